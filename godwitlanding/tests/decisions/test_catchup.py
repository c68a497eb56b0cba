"""When a VM that misses a change gets it in another way."""

import pytest

from godwitlanding.decisions.catchup import MAX_PATIENCE_S, CatchUp, CatchUpStep
from godwitlanding.decisions.storereaders import BEHIND_S, STALLED_S

STEP_S = 0.1


def play(catch_up, seconds, is_receiving=False, source_has_change=False, begin=0.0):
    """Return the steps that are not ``NONE``, with their times."""
    steps = []
    for number in range(round(seconds / STEP_S)):
        now = begin + number * STEP_S
        step = catch_up.decide(now, is_receiving, source_has_change)
        if step is not CatchUpStep.NONE:
            steps.append((round(now, 1), step))
    return steps


def test_slow_transfer_is_never_taken_for_a_lost_one():
    # Guards against a transfer that is abandoned for ever as it takes longer
    # than small changes do.
    assert play(CatchUp(), 60.0, is_receiving=True) == []


@pytest.mark.parametrize(
    ("source_has_change", "patience_s"), [(False, BEHIND_S), (True, STALLED_S)]
)
def test_first_attempt_waits_longer_for_a_source_with_the_change(
    source_has_change, patience_s
):
    steps = play(CatchUp(), 1.5, source_has_change=source_has_change)
    at, step = steps[0]
    assert step is CatchUpStep.FOLLOW_OTHER
    assert patience_s <= at <= patience_s + 2 * STEP_S


def test_attempts_take_turns_and_become_rarer():
    # Guards against retries that add load to links that are full.
    steps = play(CatchUp(), 40.0)
    kinds = [step for _, step in steps]
    assert kinds[:4] == [CatchUpStep.FOLLOW_OTHER, CatchUpStep.READ_STORE] * 2
    gaps = [later[0] - earlier[0] for earlier, later in zip(steps, steps[1:])]
    assert len(steps) <= 14
    assert max(gaps) <= MAX_PATIENCE_S + 2 * STEP_S
    assert gaps[0] < gaps[2] < gaps[4]


def test_transfer_that_stalls_half_way_is_given_up():
    catch_up = CatchUp()
    assert play(catch_up, 2.0, is_receiving=True, source_has_change=True) == []
    steps = play(catch_up, 2.0, source_has_change=True, begin=2.0)
    assert steps[0][1] is CatchUpStep.FOLLOW_OTHER


def test_attempts_begin_anew_after_catching_up():
    catch_up = CatchUp()
    play(catch_up, 10.0)
    catch_up.note_current()
    assert play(catch_up, 0.6, begin=10.0)[0][1] is CatchUpStep.FOLLOW_OTHER
