"""What upstreams in need get, from all VMs together."""

import pytest

from godwitlanding.decisions.ratelimit import (
    FAR_SETTLE_S,
    FAR_SILENT_S,
    LAPSE_S,
    TELL_GONE_S,
    LimitedUpstream,
    LimitRow,
    RateLimits,
)
from godwitlanding.tests.decisions.ratelimit_simulation import REGIONS, UPSTREAM, World

# The users' rule: from the first time on, in any window.
SETTLE_S = 4.0
WINDOW_S = 4.0
PLAYED_S = 30.0
SEEDS = range(5)


def count_most(world, settled_at=SETTLE_S):
    """Return the most requests that were sent in one window."""
    sent = [at for at in world.sent_at if at >= settled_at]
    return max(
        (sum(begun <= at < begun + WINDOW_S for at in sent) for begun in sent),
        default=0,
    )


def get_allowed(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_S + 5


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("asked_times", [1.5, 3.0, 10.0])
@pytest.mark.parametrize("limit_per_s", [0.3, 1.0, 2.7, 8.0, 30.0])
@pytest.mark.parametrize("vms", [1, 3, 9])
def test_vms_together_keep_to_a_limit_and_use_it(vms, limit_per_s, asked_times, seed):
    # Guards against VMs that overrun an upstream in need, or leave it idle.
    world = World(vms, limit_per_s, seed, lost=0.05)
    world.play(asked_times * limit_per_s, PLAYED_S)
    assert count_most(world) <= get_allowed(limit_per_s)
    sent = sum(at >= SETTLE_S for at in world.sent_at)
    most = limit_per_s * (PLAYED_S - SETTLE_S)
    assert 0.55 * most - 2 <= sent <= 1.1 * most + 2


@pytest.mark.parametrize("seed", SEEDS)
def test_sides_of_a_cut_keep_to_a_limit_together(seed):
    # Guards against each side of a cut sending what the whole region may.
    def cut(vm, other, now):
        return 8.0 < now < 16.0 and (vm < 4) != (other < 4)

    world = World(9, 2.7, seed, cut=cut)
    world.play(12.0, PLAYED_S)
    assert count_most(world) <= get_allowed(2.7)


@pytest.mark.parametrize("seed", SEEDS)
def test_vms_that_start_anew_keep_to_a_limit(seed):
    # Guards against VMs that start and take the limit for unused.
    world = World(9, 2.7, seed)
    for vm in range(9):
        world.at(8.0 + vm, lambda now, vm=vm: world.restart(vm, now))
    world.play(12.0, PLAYED_S)
    assert count_most(world) <= get_allowed(2.7)


def test_limit_that_is_gone_binds_nobody():
    world = World(4, 2.0, seed=1)
    world.at(10.0, lambda now: setattr(world, "limit_per_s", None))
    world.play(12.0, 20.0)
    settled = sum(at >= 12.0 for at in world.asked_at)
    assert sum(at >= 12.0 for at in world.sent_at) == settled


def test_lowered_limit_binds_at_once():
    world = World(4, 20.0, seed=1)
    world.at(10.0, lambda now: setattr(world, "limit_per_s", 1.0))
    world.play(20.0, 20.0)
    assert count_most(world, 11.0) <= get_allowed(1.0)


def make_limits(region="a"):
    return RateLimits(region, REGIONS)


def test_limit_without_an_answer_lapses():
    # Guards against an upstream that is shunned for good once nobody asks it.
    limits = make_limits()
    assert limits.note_answer(UPSTREAM, "a", 1.0, 0.0)
    limits.update(1.0, True, LAPSE_S)
    assert limits.get(UPSTREAM) == 1.0
    limits.update(1.0, True, LAPSE_S + 0.1)
    assert limits.get(UPSTREAM) is None
    assert limits.may_send(UPSTREAM, LAPSE_S + 0.1)


def test_limit_of_nothing_lets_a_request_through_now_and_then():
    limits = make_limits()
    limits.note_answer(UPSTREAM, "a", 0.0, 0.0)
    limits.update(1.0, True, 0.1)
    assert not limits.may_send(UPSTREAM, 5.0)
    assert limits.may_send(UPSTREAM, 10.5)


def test_vm_that_carries_nothing_leaves_limited_upstreams_alone():
    limits = make_limits()
    limits.note_answer(UPSTREAM, "a", 5.0, 0.0)
    limits.update(1.0, False, 1.0)
    assert not limits.may_send(UPSTREAM, 2.0)
    limits.update(1.0, True, 2.0)
    assert limits.may_send(UPSTREAM, 2.0)


def test_other_regions_leave_limited_upstreams_to_their_own():
    limits = make_limits("b")
    limits.receive_region_limits("a", (LimitedUpstream(UPSTREAM, 2.0),), 0.0)
    assert not limits.may_send(UPSTREAM, 2.0)
    # Its VMs are lost or cut off: each other region has half.
    limits.update(1.0, True, FAR_SILENT_S + 0.1)
    now = FAR_SILENT_S + 0.1
    assert limits.may_send(UPSTREAM, now)
    limits.note_sent(UPSTREAM, now)
    limits.update(1.0, True, now + 0.5)
    assert not limits.may_send(UPSTREAM, now + 0.5)
    assert limits.may_send(UPSTREAM, now + 1.1)


def test_other_regions_learn_that_a_limit_is_gone():
    limits = make_limits("b")
    limits.note_answer(UPSTREAM, "a", 2.0, 0.0)
    limits.receive_region_limits("a", (), 0.5)
    assert not limits.may_send(UPSTREAM, 0.5)
    limits.receive_region_limits("a", (), FAR_SETTLE_S + 0.1)
    assert limits.may_send(UPSTREAM, FAR_SETTLE_S + 0.1)


def test_newer_report_wins_and_old_ones_do_not_come_back():
    # Guards against a limit that lives on since VMs repeat it to each other.
    limits = make_limits()
    limits.note_answer(UPSTREAM, "a", 2.0, 10.0)
    assert limits.hear("vm", 1, LimitRow(UPSTREAM, None, 0.1, 0), "a", 10.5)
    assert limits.get(UPSTREAM) is None
    assert not limits.hear("vm", 1, LimitRow(UPSTREAM, 2.0, 0.6, 0), "a", 10.7)
    # What it tells itself is its own answer, not what it has heard.
    (row,) = limits.get_rows(10.7)
    assert row.per_s == 2.0
    assert row.age_s == pytest.approx(0.7)
    limits.update(1.0, True, 10.4 + TELL_GONE_S + 0.1)
    assert limits.get_rows(20.0) == ()


def test_counts_of_others_are_taken_once():
    limits = make_limits()
    limits.note_answer(UPSTREAM, "a", 5.0, 0.0)
    # What a neighbour had sent before this VM knew of the limit is over.
    limits.hear("old", 1, LimitRow(UPSTREAM, 5.0, 0.1, 100), "a", 0.5)
    limits.update(1.0, True, 3.0)
    for _ in range(3):
        limits.hear("old", 1, LimitRow(UPSTREAM, 5.0, 0.1, 104), "a", 3.0)
    assert limits.may_send(UPSTREAM, 3.0)
    # One that has started anew counts from nothing.
    limits.hear("old", 2, LimitRow(UPSTREAM, 5.0, 0.1, 1), "a", 3.0)
    assert not limits.may_send(UPSTREAM, 3.0)


@pytest.mark.parametrize(
    ("limit_per_s", "sent", "scarce"),
    [(4.0, 0, False), (20.0, 1, False), (4.0, 1, True), (1.0, 1, True)],
)
def test_limit_is_scarce_while_it_is_asked_for(limit_per_s, sent, scarce):
    limits = make_limits()
    assert not limits.is_scarce(UPSTREAM, 0.0)
    limits.note_answer(UPSTREAM, "a", limit_per_s, 0.0)
    limits.update(1.0, True, 2.0)
    for _ in range(sent):
        limits.note_sent(UPSTREAM, 2.0)
    assert limits.is_scarce(UPSTREAM, 2.0) is scarce


def test_limit_is_scarce_for_those_who_leave_it_to_others():
    limits = make_limits("b")
    limits.receive_region_limits("a", (LimitedUpstream(UPSTREAM, 50.0),), 0.0)
    assert limits.is_scarce(UPSTREAM, 2.0)
