"""Tests of the retries of all VMs together while VMs come and go."""

import random

import pytest

from godwitlanding.tests.load.retry_model import (
    EarnedCredit,
    Event,
    Fleet,
    Load,
)

VMS = 11
SHED_FROM = 20.0
LOAD = Load(VMS, 107.0, 45.0, SHED_FROM)
FIRST, SECOND = tuple(range(VMS // 2)), tuple(range(VMS // 2, VMS))
ALL = FIRST + SECOND


def restart_in_turn(begin, gap_s, rounds=1):
    return [
        Event(begin + gap_s * (vm + VMS * number), "restart", (vm,))
        for number in range(rounds)
        for vm in ALL
    ]


SCHEDULES = {
    "nothing": [],
    "each VM restarts once": restart_in_turn(20.5, 0.3),
    "each VM restarts twice": restart_in_turn(20.5, 0.3, rounds=2),
    "VMs restart again and again": restart_in_turn(20.5, 0.1, rounds=12),
    "all restart at once, twice": [Event(at, "restart", ALL) for at in (21.0, 24.0)],
    "callers move to the other half": [Event(21.0, "move", SECOND)],
    "callers move back and forth": [
        Event(19.0 + 2 * number, "move", (FIRST, SECOND)[number % 2])
        for number in range(10)
    ],
    "a half is killed, then the other": [
        Event(21.0, "move", FIRST),
        Event(21.0, "restart", FIRST),
        Event(24.0, "move", SECOND),
        Event(24.0, "restart", SECOND),
    ],
    "VMs join unknown to two that are cut off": [
        Event(20.5, "join", (11, 12, 13, 14, 15, 16), unaware=(0, 1)),
    ],
    "VMs are suspended until upstreams shed": [
        Event(10.5, "suspend", FIRST, for_s=9.5),
    ],
}


def draw_schedule(seed):
    """Return events of all kinds in a drawn order."""
    rng = random.Random(seed)
    events = []
    for _ in range(rng.randint(5, 40)):
        kind = rng.choice(["restart", "restart", "move", "suspend"])
        vms = tuple(rng.sample(ALL, rng.randint(1, VMS - 1)))
        for_s = rng.uniform(0.2, 6.0) if kind == "suspend" else 0.0
        events.append(Event(rng.uniform(10.0, 40.0), kind, vms, for_s))
    return events


@pytest.mark.parametrize("rate_per_s", [8.0, 107.0, 400.0])
@pytest.mark.parametrize("name", SCHEDULES)
def test_retries_of_all_vms_stay_within_the_bound(name, rate_per_s):
    # VMs that restart forget what they have spent, and callers who move earn
    # it once more elsewhere: the sum exceeded its bound.
    play = Fleet(EarnedCredit, LOAD._replace(rate_per_s=rate_per_s), 1).play(
        SCHEDULES[name]
    )
    assert play.get_worst_excess() <= 0.0


@pytest.mark.parametrize("seed", range(20))
def test_retries_stay_within_the_bound_in_any_order_of_events(seed):
    # The bound held for the orders of events that had been seen only.
    play = Fleet(EarnedCredit, LOAD, seed).play(draw_schedule(seed))
    assert play.get_worst_excess() <= 0.0


@pytest.mark.parametrize("rate_per_s", [8.0, 107.0, 400.0])
def test_burst_of_failures_is_retried(rate_per_s):
    # One upstream of sixteen ends with its requests: none of them may be
    # denied a retry for the sake of the bound.
    load = LOAD._replace(rate_per_s=rate_per_s, length_s=22.0, shed=1 / 16)
    play = Fleet(EarnedCredit, load, 2).play()
    assert len(play.retries) >= 0.95 * load.shed * rate_per_s * 2.0
