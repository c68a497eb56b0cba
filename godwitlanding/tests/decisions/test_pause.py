"""How long an upstream that wants a pause gets nothing."""

import pytest

from godwitlanding.decisions.pause import Pauses


@pytest.mark.parametrize(
    ("asked", "now", "left_s"),
    [
        ([], 5.0, 0.0),
        ([(1.0, 2.0)], 1.5, 1.5),
        ([(1.0, 2.0)], 3.0, 0.0),
        # The longest one counts: each was a promise to its request.
        ([(1.0, 5.0), (1.1, 0.5)], 2.0, 4.0),
        ([(1.0, 0.5), (1.1, 5.0)], 2.0, 4.1),
        ([(1.0, 0.0)], 1.0, 0.0),
    ],
)
def test_pause_lasts_as_long_as_was_asked(asked, now, left_s):
    pauses = Pauses()
    for at, pause_s in asked:
        pauses.note("u", pause_s, at)
    assert pauses.get_left_s("u", now) == pytest.approx(left_s)
    assert pauses.get_left_s("other", now) == 0.0


def test_pause_of_all_ends_with_the_first():
    pauses = Pauses()
    pauses.note("a", 2.0, 0.0)
    pauses.note("b", 1.0, 0.0)
    assert pauses.get_least_left_s(["a", "b"], 0.5) == pytest.approx(0.5)
    assert pauses.get_least_left_s(["a", "b", "c"], 0.5) == 0.0
    assert pauses.get_least_left_s([], 0.5) == 0.0
    pauses.forget("b")
    assert pauses.get_least_left_s(["a", "b"], 0.5) == 0.0
