"""Tests of which requests a stopping VM accepts."""

import math

import pytest

from godwitlanding.decisions.stopschedule import StopSchedule


@pytest.mark.parametrize(
    ("stop_s", "at_s", "timeout_s", "finish_s", "is_accepted"),
    [
        pytest.param(6.0, 0.0, 2.5, 1.0, True, id="ends in time"),
        pytest.param(6.0, 2.9, 2.5, 9.0, True, id="timeout is just in time"),
        pytest.param(6.0, 3.1, 2.5, 0.1, False, id="timeout is just too late"),
        pytest.param(6.0, 3.1, 3.0, 2.1, False, id="long work"),
        pytest.param(6.0, 0.5, 8.0, 2.1, True, id="long timeout, short work"),
        pytest.param(6.0, 0.5, 8.0, 2.7, False, id="may take too long"),
        pytest.param(6.0, 0.5, 8.0, math.inf, False, id="no estimate"),
        pytest.param(10.0, 3.1, 8.0, 0.1, False, id="callers know by now"),
        pytest.param(10.0, 5.1, 4.0, 0.1, True, id="long stop, in time"),
        pytest.param(10.0, 5.2, 5.0, 0.1, False, id="long stop, too late"),
        pytest.param(2.0, 0.0, 2.5, 0.1, True, id="short stop, short work"),
        pytest.param(2.0, 0.0, 2.5, 1.0, False, id="short stop, long work"),
    ],
)
def test_request_is_accepted_if_it_ends_before_the_process(
    stop_s, at_s, timeout_s, finish_s, is_accepted
):
    # Guards against requests that the end of the process cuts off.
    schedule = StopSchedule()
    schedule.begin(100.0, stop_s)
    now = 100.0 + at_s
    assert schedule.may_accept(now + timeout_s, finish_s, now) is is_accepted


def test_running_vm_accepts_every_request():
    assert StopSchedule().may_accept(1e9, math.inf, 0.0)


def test_second_stop_signal_does_not_extend_the_stop():
    schedule = StopSchedule()
    schedule.begin(100.0, 6.0)
    end_at = schedule.end_at
    schedule.begin(102.0, 60.0)
    assert schedule.end_at == end_at


@pytest.mark.parametrize("stop_s", [1.0, 6.0, 10.0, 60.0])
def test_phases_follow_each_other_before_the_kill(stop_s):
    schedule = StopSchedule()
    schedule.begin(100.0, stop_s)
    phases = [100.0, schedule.close_at, schedule.refuse_at, schedule.end_at]
    assert phases == sorted(phases)
    assert schedule.end_at < 100.0 + stop_s
