"""Drives decision modules with counts, rates and times that may be zero.

What others announce, and what nobody has measured yet, may be zero at any
moment: no VMs, no upstreams, no requests, no time since the last update.
"""

import math

from hypothesis import example, given, settings, strategies as st

from godwitlanding.decisions.allotment import Allotments, Tolerance
from godwitlanding.decisions.placing import Candidate, is_worth_taking, place
from godwitlanding.decisions.ratelimit import LimitedUpstream, LimitRow, RateLimits
from godwitlanding.decisions.reachability import Reachability
from godwitlanding.decisions.regionshare import (
    RegionLoad,
    get_cacheable_share,
    get_shares,
    step,
)
from godwitlanding.decisions.routes import Workspace
from godwitlanding.decisions.sharing import share_fairly
from godwitlanding.decisions.tally import AskedRate, Tally, get_workspace_number
from godwitlanding.decisions.warmup import Warmup
from godwitlanding.decisions.worktime import Warmth, WorkTimes

AMOUNTS = st.one_of(st.just(0.0), st.floats(0.0, 1e6), st.floats(0.0, 1e-6))
PAUSES_S = st.sampled_from((0.0, 0.0, 0.01, 0.3, 0.7, 2.0, 6.0, 60.0))
REGIONS = ("a", "b", "c")
OTHERS = ("x", "y")
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(("take", "hear", "digest", "update", "charge", "levels")),
        PAUSES_S,
        st.integers(0, 1),
        st.booleans(),
        AMOUNTS,
    ),
    max_size=40,
)


def play_allotments(workspace, regions, carries_requests, actions):
    """Play ``actions``; yield the waits that callers are told."""
    now = 0.0
    number = get_workspace_number(workspace.name)
    allotments = Allotments("a", regions, Tolerance(), now)
    allotments.set_workspaces([workspace], now)
    reachability = Reachability()
    for action, pause_s, other, flag, amount in actions:
        now += pause_s
        if action == "take":
            yield allotments.take(workspace, now, came_back=flag)
        elif action == "hear":
            reachability.note(OTHERS[other], flag, 1, now)
            count = int(amount)
            tallies = (Tally(number, count, count),)
            allotments.receive(OTHERS[other], 1, tallies, now, carries=flag)
        elif action == "digest":
            asked = (AskedRate(number, amount),)
            allotments.receive_region_demand(REGIONS[1 + other], asked, now)
        elif action == "update":
            listed = set(OTHERS) if flag else set()
            share = reachability.get_share(listed, carries_requests, now)
            allotments.update(share, now)
            allotments.get_asked()
        elif action == "charge":
            allotments.charge(workspace, now)
        else:
            allotments.get_levels(now)
            allotments.get_status()


@settings(max_examples=300)
@given(
    st.floats(1e-3, 1e6),
    AMOUNTS,
    st.sampled_from((("a",), REGIONS)),
    st.booleans(),
    ACTIONS,
)
def test_allotment_always_gives_a_finite_wait(rate, burst, regions, carries, actions):
    # Guards against a division by a share, rate or time of zero, which ends
    # the request with status 500 or the loop that exchanges counts.
    workspace = Workspace("office", rate_per_s=rate, burst=burst)
    for wait_s in play_allotments(workspace, regions, carries, actions):
        assert 0.0 <= wait_s < math.inf


@given(
    st.sampled_from((("a",), REGIONS, ())),
    st.lists(
        st.tuples(
            st.sampled_from(("own", "peer", "digest", "update", "send")),
            PAUSES_S,
            st.one_of(st.none(), AMOUNTS),
            st.booleans(),
        ),
        max_size=30,
    ),
)
def test_rate_limits_take_any_limit(regions, actions):
    # Guards against an upstream that announces a limit of zero.
    now = 0.0
    limits = RateLimits("a", regions)
    reachability = Reachability()
    for action, pause_s, per_s, flag in actions:
        now += pause_s
        if action == "own":
            limits.note_response(1, "a" if flag else "b", per_s, now)
        elif action == "peer":
            reachability.note("x", flag, 1, now)
            limits.receive("x", 1, LimitRow(1, per_s, 0.0, 3), "a", now)
        elif action == "digest" and per_s is not None:
            limits.receive_region_limits("b", (LimitedUpstream(1, per_s),), now)
        elif action == "update":
            share = reachability.get_share({"x"}, flag, now)
            limits.update(share, flag, now)
        else:
            limits.note_sent(1, now)
        limits.may_send(1, now)
        limits.is_scarce(1, now)
        limits.get_rows(now)


@given(
    st.dictionaries(
        st.sampled_from(REGIONS),
        st.tuples(AMOUNTS, AMOUNTS, AMOUNTS, AMOUNTS),
        min_size=1,
    ),
    AMOUNTS,
)
@example(
    {
        "a": (0.0, 0.0, 0.0, 8.703459400771722e-07),
        "b": (2.225073858507203e-309, 0.0, 0.0, 0.0),
    },
    0.0,
)
def test_region_shares_of_any_load(load_by_region, elapsed_s):
    # Guards against regions without callers or without upstreams.
    loads = {name: RegionLoad(*load) for name, load in load_by_region.items()}
    for region in loads:
        shares = get_shares(region, loads)
        assert all(share >= 0.0 for share in shares.values())
        assert sum(shares.values()) <= 1.0 + 1e-9
        step({}, shares, elapsed_s)
    assert get_cacheable_share(0, 0) == 1.0
    assert get_cacheable_share(0, 5) == 0.0


@given(AMOUNTS, st.dictionaries(st.sampled_from(REGIONS), AMOUNTS, min_size=1))
def test_rate_is_shared_among_any_holders(rate, asked_by_name):
    parts = share_fairly(rate, asked_by_name)
    assert parts.keys() == asked_by_name.keys()
    assert sum(parts.values()) <= rate * (1 + 1e-9) + 1e-9


@given(
    st.integers(1, 1000), AMOUNTS, AMOUNTS, AMOUNTS, st.floats(0, 1), AMOUNTS, AMOUNTS
)
def test_any_candidate_is_placed(
    slots, occupied, work_s, usual_s, failure_share, to_target_s, left_s
):
    candidate = Candidate(
        "u", slots, occupied, work_s, usual_s, 0.0, failure_share, rank=0
    )
    placement = place([candidate])
    assert place([]) is None
    if placement:
        assert placement.finish_s >= 0.0
        is_worth_taking(placement, to_target_s, left_s)


@given(st.lists(st.tuples(st.sampled_from(list(Warmth)), AMOUNTS), max_size=20))
def test_work_times_take_any_time(responses):
    # Guards against responses that took no measurable time.
    times = WorkTimes()
    for warmth, work_s in responses:
        times.note_response("s", "u", work_s, warmth, False)
        times.recover()
    assert times.get_factor("u") > 0.0
    assert times.get_mean_s("s") > 0.0


@given(AMOUNTS, st.integers(1, 5), st.lists(PAUSES_S, max_size=8))
def test_slow_start_of_any_length(slow_start_s, slots, pauses_s):
    # Guards against an operator who turns the slow start off.
    warmup = Warmup(slow_start_s)
    warmup.note_cold("u", 0.0)
    now = 0.0
    for pause_s in pauses_s:
        now += pause_s
        assert 1 <= warmup.get_slots("u", slots, now) <= slots
        warmup.get_next_time("u", slots, now)
