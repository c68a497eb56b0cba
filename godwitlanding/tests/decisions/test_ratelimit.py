"""Tests the requests that VMs together send to limited upstreams."""

import pytest

from godwitlanding.decisions.ratelimit import (
    LIMIT_TTL_S,
    REMOTE_SETTLE_S,
    REMOTE_TIMEOUT_S,
    REPORT_REMOVED_S,
    LimitedUpstream,
    LimitRow,
    RateLimits,
)
from godwitlanding.tests.decisions.ratelimit_simulation import (
    REGIONS,
    UPSTREAM,
    RateLimitSimulation,
)

# The users' requirement: it applies from this time on, in any window.
SETTLE_S = 4.0
WINDOW_S = 4.0
DURATION_S = 30.0
SEEDS = range(5)


def get_max_per_window(simulation, settled_at=SETTLE_S):
    """Return the most requests that were sent in one window."""
    sent = [at for at in simulation.sent_at if at >= settled_at]
    return max(
        (sum(start <= at < start + WINDOW_S for at in sent) for start in sent),
        default=0,
    )


def get_allowed(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_S + 5


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("demand_factor", [1.5, 3.0, 10.0])
@pytest.mark.parametrize("limit_per_s", [0.3, 1.0, 2.7, 8.0, 30.0])
@pytest.mark.parametrize("vms", [1, 3, 9])
def test_vms_together_keep_to_a_limit_and_use_it(vms, limit_per_s, demand_factor, seed):
    # Guards against overloading a limited upstream, or leaving it idle.
    simulation = RateLimitSimulation(vms, limit_per_s, seed, loss=0.05)
    simulation.run(demand_factor * limit_per_s, DURATION_S)
    assert get_max_per_window(simulation) <= get_allowed(limit_per_s)
    sent = sum(at >= SETTLE_S for at in simulation.sent_at)
    max_requests = limit_per_s * (DURATION_S - SETTLE_S)
    assert 0.55 * max_requests - 2 <= sent <= 1.1 * max_requests + 2


@pytest.mark.parametrize("seed", SEEDS)
def test_sides_of_a_partition_keep_to_a_limit_together(seed):
    # Guards against each side of a partition using the whole region's limit.
    def is_partitioned(vm, other, now):
        return 8.0 < now < 16.0 and (vm < 4) != (other < 4)

    simulation = RateLimitSimulation(9, 2.7, seed, is_partitioned=is_partitioned)
    simulation.run(12.0, DURATION_S)
    assert get_max_per_window(simulation) <= get_allowed(2.7)


@pytest.mark.parametrize("seed", SEEDS)
def test_restarted_vms_keep_to_a_limit(seed):
    # Guards against restarted VMs that take the limit to be unused.
    simulation = RateLimitSimulation(9, 2.7, seed)
    for vm in range(9):
        simulation.schedule(8.0 + vm, lambda now, vm=vm: simulation.restart(vm, now))
    simulation.run(12.0, DURATION_S)
    assert get_max_per_window(simulation) <= get_allowed(2.7)


def test_removed_limit_restricts_no_vm():
    simulation = RateLimitSimulation(4, 2.0, seed=1)
    simulation.schedule(10.0, lambda now: setattr(simulation, "limit_per_s", None))
    simulation.run(12.0, 20.0)
    requested = sum(at >= 12.0 for at in simulation.requested_at)
    assert sum(at >= 12.0 for at in simulation.sent_at) == requested


def test_lowered_limit_applies_at_once():
    simulation = RateLimitSimulation(4, 20.0, seed=1)
    simulation.schedule(10.0, lambda now: setattr(simulation, "limit_per_s", 1.0))
    simulation.run(20.0, 20.0)
    assert get_max_per_window(simulation, 11.0) <= get_allowed(1.0)


def make_limits(region="a"):
    return RateLimits(region, REGIONS)


def test_limit_without_an_answer_expires():
    # Guards against an upstream that is avoided forever once no VM sends to
    # it.
    limits = make_limits()
    assert limits.note_response(UPSTREAM, "a", 1.0, 0.0)
    limits.update(1.0, True, LIMIT_TTL_S)
    assert limits.get(UPSTREAM) == 1.0
    limits.update(1.0, True, LIMIT_TTL_S + 0.1)
    assert limits.get(UPSTREAM) is None
    assert limits.may_send(UPSTREAM, LIMIT_TTL_S + 0.1)


def test_limit_of_zero_allows_an_occasional_request():
    limits = make_limits()
    limits.note_response(UPSTREAM, "a", 0.0, 0.0)
    limits.update(1.0, True, 0.1)
    assert not limits.may_send(UPSTREAM, 5.0)
    assert limits.may_send(UPSTREAM, 10.5)


def test_vm_without_callers_sends_nothing_to_limited_upstreams():
    limits = make_limits()
    limits.note_response(UPSTREAM, "a", 5.0, 0.0)
    limits.update(1.0, False, 1.0)
    assert not limits.may_send(UPSTREAM, 2.0)
    limits.update(1.0, True, 2.0)
    assert limits.may_send(UPSTREAM, 2.0)


def test_limited_upstreams_are_left_to_their_own_region():
    limits = make_limits("b")
    limits.receive_region_limits("a", (LimitedUpstream(UPSTREAM, 2.0),), 0.0)
    assert not limits.may_send(UPSTREAM, 2.0)
    # Its VMs are lost or partitioned: each other region uses half.
    limits.update(1.0, True, REMOTE_TIMEOUT_S + 0.1)
    now = REMOTE_TIMEOUT_S + 0.1
    assert limits.may_send(UPSTREAM, now)
    limits.note_sent(UPSTREAM, now)
    limits.update(1.0, True, now + 0.5)
    assert not limits.may_send(UPSTREAM, now + 0.5)
    assert limits.may_send(UPSTREAM, now + 1.1)


def test_other_regions_drop_a_removed_limit():
    limits = make_limits("b")
    limits.note_response(UPSTREAM, "a", 2.0, 0.0)
    limits.receive_region_limits("a", (), 0.5)
    assert not limits.may_send(UPSTREAM, 0.5)
    limits.receive_region_limits("a", (), REMOTE_SETTLE_S + 0.1)
    assert limits.may_send(UPSTREAM, REMOTE_SETTLE_S + 0.1)


def test_newer_report_replaces_older_ones():
    # Guards against a limit that never expires because VMs keep reporting it
    # to each other.
    limits = make_limits()
    limits.note_response(UPSTREAM, "a", 2.0, 10.0)
    assert limits.receive("vm", 1, LimitRow(UPSTREAM, None, 0.1, 0), "a", 10.5)
    assert limits.get(UPSTREAM) is None
    assert not limits.receive("vm", 1, LimitRow(UPSTREAM, 2.0, 0.6, 0), "a", 10.7)
    # A VM reports the answer that it got itself, not what others report.
    (row,) = limits.get_rows(10.7)
    assert row.per_s == 2.0
    assert row.age_s == pytest.approx(0.7)
    limits.update(1.0, True, 10.4 + REPORT_REMOVED_S + 0.1)
    assert limits.get_rows(20.0) == ()


def test_counts_of_other_vms_are_applied_once():
    limits = make_limits()
    limits.note_response(UPSTREAM, "a", 5.0, 0.0)
    # What another VM sent before this VM knew the limit does not count.
    limits.receive("old", 1, LimitRow(UPSTREAM, 5.0, 0.1, 100), "a", 0.5)
    limits.update(1.0, True, 3.0)
    for _ in range(3):
        limits.receive("old", 1, LimitRow(UPSTREAM, 5.0, 0.1, 104), "a", 3.0)
    assert limits.may_send(UPSTREAM, 3.0)
    # A restarted VM counts from zero.
    limits.receive("old", 2, LimitRow(UPSTREAM, 5.0, 0.1, 1), "a", 3.0)
    assert not limits.may_send(UPSTREAM, 3.0)


@pytest.mark.parametrize(
    ("limit_per_s", "sent", "scarce"),
    [(4.0, 0, False), (20.0, 1, False), (4.0, 1, True), (1.0, 1, True)],
)
def test_limit_is_scarce_under_demand(limit_per_s, sent, scarce):
    limits = make_limits()
    assert not limits.is_scarce(UPSTREAM, 0.0)
    limits.note_response(UPSTREAM, "a", limit_per_s, 0.0)
    limits.update(1.0, True, 2.0)
    for _ in range(sent):
        limits.note_sent(UPSTREAM, 2.0)
    assert limits.is_scarce(UPSTREAM, 2.0) is scarce


def test_limit_of_another_region_is_scarce():
    limits = make_limits("b")
    limits.receive_region_limits("a", (LimitedUpstream(UPSTREAM, 50.0),), 0.0)
    assert limits.is_scarce(UPSTREAM, 2.0)
