"""Tests the share of a region on this side of a network partition."""

import pytest
from hypothesis import given, strategies as st

from godwitlanding.decisions.reachability import (
    CARRIER_TIMEOUT_S,
    REACHABLE_FOR_S,
    Reachability,
)

NAMES = [f"vm-{number}" for number in range(8)]


def note_all(reachability, names, now, carries=True, reachable=1):
    for name in names:
        reachability.note(name, carries, reachable, now)


@pytest.mark.parametrize(
    ("reachable", "carries", "silent_s", "share"),
    [
        pytest.param(3, True, 0.0, 1.0, id="all are reachable"),
        pytest.param(
            1, True, CARRIER_TIMEOUT_S + 0.1, 0.5, id="silent carriers count at once"
        ),
        pytest.param(0, True, CARRIER_TIMEOUT_S + 0.1, 0.25, id="alone"),
        pytest.param(0, False, 2.0, 1.0, id="others send seldom"),
        pytest.param(0, False, REACHABLE_FOR_S + 0.1, 0.25, id="others are lost"),
    ],
)
def test_share_is_that_of_the_reachable_vms(reachable, carries, silent_s, share):
    # A partition divides four VMs of a region. The VMs that can no longer
    # reach the others go on with their own share of the region's limits.
    reachability = Reachability()
    note_all(reachability, NAMES[:3], 0.0, carries)
    note_all(reachability, NAMES[:reachable], silent_s, carries)
    assert reachability.get_share(set(NAMES[:3]), True, silent_s) == share


@pytest.mark.parametrize(
    ("at", "share"),
    [
        pytest.param(0.0, 1.0, id="all are reachable"),
        pytest.param(CARRIER_TIMEOUT_S + 0.1, 0.25, id="all carriers are silent"),
        pytest.param(REACHABLE_FOR_S + 0.1, 0.25, id="all VMs are silent"),
    ],
)
def test_vm_without_requests_counts_itself_when_the_others_are_silent(at, share):
    # Guards against a share of zero, by which limits were divided. A VM that
    # starts, stops or was paused carries no requests and may hear nobody.
    reachability = Reachability()
    note_all(reachability, NAMES[:3], 0.0)
    assert reachability.get_share(set(NAMES[:3]), False, at) == share
    note_all(reachability, NAMES[:3], at)
    assert reachability.get_share(set(NAMES[:3]), False, at) == 1.0


@given(
    st.lists(st.tuples(st.integers(0, 3), st.booleans(), st.floats(0, 20)), max_size=9),
    st.booleans(),
    st.integers(0, 3),
    st.floats(0, 30),
)
def test_share_is_above_zero_whatever_is_heard(messages, carries, listed, now):
    # Guards against a VM that may use nothing of any limit.
    reachability = Reachability()
    for number, peer_carries, at in sorted(messages, key=lambda row: row[2]):
        reachability.note(NAMES[number], peer_carries, 1, at)
    share = reachability.get_share(set(NAMES[:listed]), carries, now)
    assert 1 / len(NAMES) <= share <= 1.0


def test_vm_that_announced_leaving_is_not_counted_as_silent():
    reachability = Reachability()
    note_all(reachability, NAMES[:3], 0.0)
    note_all(reachability, NAMES[:1], 0.1, carries=False)
    note_all(reachability, NAMES[1:3], 1.0)
    assert reachability.get_share(set(NAMES[:3]), True, 1.0) == 1.0


def test_highest_reported_count_is_used():
    # A VM that carries no requests receives messages from carriers only.
    reachability = Reachability()
    note_all(reachability, NAMES[:2], 0.0, reachable=8)
    assert reachability.get_share(set(NAMES[:7]), False, 0.0) == 1.0


@given(st.lists(st.integers(0, 2), min_size=8, max_size=8))
def test_shares_of_all_sides_never_exceed_one(sides):
    # However a region is partitioned, its sides together use no more than the
    # limits of the region.
    for after_s in (CARRIER_TIMEOUT_S + 0.1, REACHABLE_FOR_S + 0.1):
        total = 0.0
        for side in set(sides):
            members = [name for name, of in zip(NAMES, sides) if of == side]
            own = members[0]
            reachability = Reachability()
            others = set(NAMES) - {own}
            note_all(reachability, others, 0.0, reachable=8)
            now = 0.0
            while now < after_s:
                now += 0.4
                reachable = reachability.count_reachable(now)
                note_all(reachability, members[1:], now, reachable=reachable)
                share = reachability.get_share(others, True, now)
            total += share
        assert total <= 1.0 + 1e-9
