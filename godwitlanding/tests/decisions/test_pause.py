"""Tests for how long an upstream that asked for a pause gets no requests."""

import pytest

from godwitlanding.decisions.pause import Pauses


@pytest.mark.parametrize(
    ("requested", "now", "left_s"),
    [
        ([], 5.0, 0.0),
        ([(1.0, 2.0)], 1.5, 1.5),
        ([(1.0, 2.0)], 3.0, 0.0),
        # The longest pause applies: each was announced to its request.
        ([(1.0, 5.0), (1.1, 0.5)], 2.0, 4.0),
        ([(1.0, 0.5), (1.1, 5.0)], 2.0, 4.1),
        ([(1.0, 0.0)], 1.0, 0.0),
    ],
)
def test_pause_lasts_as_long_as_requested(requested, now, left_s):
    pauses = Pauses()
    for at, pause_s in requested:
        pauses.note("u", pause_s, at)
    assert pauses.get_left_s("u", now) == pytest.approx(left_s)
    assert pauses.get_left_s("other", now) == 0.0


def test_group_is_paused_until_its_first_upstream_is_free():
    pauses = Pauses()
    pauses.note("a", 2.0, 0.0)
    pauses.note("b", 1.0, 0.0)
    assert pauses.get_least_left_s(["a", "b"], 0.5) == pytest.approx(0.5)
    assert pauses.get_least_left_s(["a", "b", "c"], 0.5) == 0.0
    assert pauses.get_least_left_s([], 0.5) == 0.0
    pauses.forget("b")
    assert pauses.get_least_left_s(["a", "b"], 0.5) == 0.0
