"""Tests of how a VM concludes that it is cut off from all upstreams."""

import pytest

from godwitlanding.decisions.digest import Digest
from godwitlanding.decisions.fleet import choose_addresses
from godwitlanding.decisions.reach import (
    FIRST_HOLD_S,
    MAX_HOLD_S,
    REPEAT_WITHIN_S,
    Reach,
    ReachState,
)
from godwitlanding.tests.support_fleet import make_fleet, make_gossip_message, make_peer


@pytest.mark.parametrize(
    ("events", "listed", "suspected"),
    [
        pytest.param(["u1"], 12, False, id="one may just have ended"),
        pytest.param(["u1", "u1", "u1"], 12, False, id="one again and again"),
        pytest.param(["u1", "u2"], 12, True, id="two"),
        pytest.param(["u1", "", "u2"], 12, False, id="a connection between"),
        pytest.param(["u1"], 1, True, id="the only one"),
        pytest.param([], 12, False, id="nothing tried"),
    ],
)
def test_vm_suspects_itself_after_failures_in_a_row(events, listed, suspected):
    state = ReachState()
    for upstream_id in events:
        if upstream_id:
            state.note_failed(upstream_id, 1.0)
        else:
            state.note_connected(1.0)
    assert state.is_suspected(listed) is suspected


def test_vm_says_that_it_is_cut_off_until_its_links_have_held():
    # Guards against callers that come and go with links that do.
    state = ReachState()
    assert state.get_reach(0.0) is Reach.UNKNOWN
    state.note_connected(0.0)
    assert state.get_reach(0.0) is Reach.CONNECTED
    hold_s = FIRST_HOLD_S
    now = 0.0
    for _ in range(6):
        now += 2.0
        state.note_failed("u1", now)
        assert state.note_cut_off(now)
        assert not state.note_cut_off(now)
        assert state.note_connected(now)
        assert not state.is_cut_off()
        assert state.get_reach(now + 0.99 * hold_s) is Reach.CUT_OFF
        assert state.get_reach(now + 1.01 * hold_s) is Reach.CONNECTED
        hold_s = min(MAX_HOLD_S, 2 * hold_s)
    now += REPEAT_WITHIN_S + 1.0
    state.note_cut_off(now)
    state.note_connected(now)
    assert state.get_reach(now + 1.01 * FIRST_HOLD_S) is Reach.CONNECTED


CONNECTED, CUT_OFF = Reach.CONNECTED, Reach.CUT_OFF


@pytest.mark.parametrize(
    ("own", "peers", "digest_reach", "named"),
    [
        pytest.param(CONNECTED, [CONNECTED, CUT_OFF], None, ["own", "p0"], id="one"),
        pytest.param(CUT_OFF, [CONNECTED, CUT_OFF], None, ["p0"], id="own and one"),
        pytest.param(CUT_OFF, [CUT_OFF], CONNECTED, ["far"], id="a region"),
        pytest.param(CUT_OFF, [CUT_OFF], CUT_OFF, ["own", "p0"], id="all"),
        pytest.param(CUT_OFF, [Reach.UNKNOWN], None, ["p0"], id="older version"),
    ],
)
def test_directory_names_vms_in_touch_or_else_all(own, peers, digest_reach, named):
    # Guards against callers without an address where all VMs are cut off.
    messages = [
        make_gossip_message(f"p{number}", reach=reach)
        for number, reach in enumerate(peers)
    ]
    digests = []
    if digest_reach is not None:
        carriers = ("far:1",)
        digests.append(Digest("q", 1, carriers, {}, (), "", (), reach=digest_reach))
    addresses = choose_addresses(
        make_peer("own", reach=own), make_fleet(*messages), "r", digests
    )
    assert [address.partition(":")[0] for address in addresses] == named
