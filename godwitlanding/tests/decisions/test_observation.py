"""What one VM learns of an upstream serves all."""

import random

import pytest

from godwitlanding.decisions.observation import (
    FAILED,
    MAX_TOLD,
    RECENT_ANSWERS,
    TELL_S,
    Observations,
)
from godwitlanding.decisions.worktime import Warmth, WorkTimes


@pytest.mark.parametrize(
    ("seen", "is_known_bad", "told"),
    [
        pytest.param(1.0, False, False, id="as usual"),
        pytest.param(5.0, False, True, id="slow"),
        pytest.param(FAILED, False, True, id="failed"),
        pytest.param(1.0, True, True, id="well again"),
    ],
)
def test_only_what_is_out_of_the_ordinary_is_told(seen, is_known_bad, told):
    observations = Observations()
    observations.note(7, seen, is_known_bad, 0.0)
    assert bool(observations.get_told(0.1)) is told
    assert observations.get_told(TELL_S + 0.1) == ()


def test_each_observation_is_taken_once():
    # A bulletin repeats what the one before it told, as that may be lost.
    # Counted twice, one late answer would put an upstream out of use.
    teller, hearer = Observations(), Observations()
    teller.note(7, 5.0, False, 0.0)
    told = teller.get_told(0.1)
    assert len(hearer.hear("vm", 1, told)) == 1
    assert hearer.hear("vm", 1, told) == []
    teller.note(8, 5.0, False, 0.2)
    assert [o.upstream for o in hearer.hear("vm", 1, teller.get_told(0.3))] == [8]
    assert len(hearer.hear("vm", 2, told)) == 1


def test_what_is_told_is_bounded():
    observations = Observations()
    for number in range(10 * MAX_TOLD):
        observations.note(number, FAILED, True, 0.0)
    assert len(observations.get_told(0.1)) == MAX_TOLD


def test_slow_vm_keeps_to_itself_that_all_are_late():
    # A VM runs five times slower for some seconds, and each answer reaches it
    # late. Its neighbours would pass over every upstream in turn.
    observations = Observations()
    for number in range(3 * RECENT_ANSWERS):
        observations.note(number, 5.0, False, 0.0)
    assert len(observations.get_told(0.1)) < RECENT_ANSWERS


def play(vms, requests_each_per_s, times, pooled):
    """Return how many requests a slow upstream gets until all avoid it.

    150 upstreams get the requests evenly; VMs hear of each other at once.
    An answer comes when the work is done, late ones so much later.
    """
    rng = random.Random(1)
    upstreams = [str(number) for number in range(150)]
    worktimes = [WorkTimes() for _ in range(vms)]
    for each in worktimes:
        for _ in range(20):
            each.note_answer("s", "0", 0.3, Warmth.WARM, False)
    rate = vms * requests_each_per_s
    answers = []
    sent = 0
    for number in range(int(20 * rate)):
        now = number / rate
        while answers and answers[0][0] <= now:
            _, vm, upstream, work_s = answers.pop(0)
            seen = worktimes[vm].note_answer("s", upstream, work_s, Warmth.WARM, False)
            for other in range(vms) if pooled and seen >= 1.8 else ():
                if other != vm:
                    worktimes[other].hear_times(upstream, seen)
        vm = rng.randrange(vms)
        upstream = rng.choice(upstreams)
        is_slow = upstream == "0"
        if is_slow and worktimes[vm].is_slow(upstream):
            continue
        sent += is_slow
        work_s = 0.3 * (times if is_slow else 1.0)
        answers.append((now + work_s, vm, upstream, work_s))
        answers.sort()
    return sent


@pytest.mark.parametrize("vms", [12, 65, 195])
@pytest.mark.parametrize("times", [4, 8])
def test_slow_upstream_is_known_to_all_after_a_few_answers(vms, times):
    # In 20 s a four times slower upstream got 33 requests of 12 VMs with 30 a
    # second each, 190 of 65, and 155 of 195 VMs with 6 a second each; where
    # they told each other 5, 14 and 9.
    requests_each_per_s = 6 if vms == 195 else 30
    alone = play(vms, requests_each_per_s, times, False)
    together = play(vms, requests_each_per_s, times, True)
    assert together < 0.5 * alone
    assert together < 2.5 * times * vms * requests_each_per_s / 150 * 0.3 + 6
