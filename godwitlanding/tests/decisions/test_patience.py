"""Callers of unlike patience are told from those that come back."""

import random

import pytest

from godwitlanding.decisions.patience import Patience

FULL_S = 3.2


def draw_left_s(draw, spread, came_back):
    left_s = FULL_S * (1 - spread * draw.random())
    return left_s - draw.uniform(0.2, 1.2) if came_back else left_s


def learn(spread, share_back, requests=600):
    draw = random.Random(7)
    patience = Patience()
    for _ in range(requests):
        patience.note(draw_left_s(draw, spread, draw.random() < share_back))
    return patience


def count_waited(patience, spread, came_back):
    draw = random.Random(8)
    waited = [
        patience.get_waited_s(draw_left_s(draw, spread, came_back)) > 0.03
        for _ in range(1000)
    ]
    return sum(waited) / len(waited)


# How much patience differs, how many requests are repeats, and the least
# share of those that is known for what it is.
CROWDS = (
    (0.0, 0.0, 1.0),
    (0.0, 0.33, 1.0),
    (0.15, 0.0, 0.7),
    (0.15, 0.1, 0.7),
    (0.15, 0.33, 0.7),
    (0.3, 0.1, 0.4),
)


@pytest.mark.parametrize(("spread", "share_back", "known"), CROWDS)
def test_first_attempts_are_not_taken_for_repeats(spread, share_back, known):
    # Callers differ in how long they wait. Measured against the most patient
    # one, the others seem to have waited already; their requests are held to
    # a target that is half over and refused, though slots are free.
    patience = learn(spread, share_back)
    assert count_waited(patience, spread, came_back=False) < 0.03
    assert count_waited(patience, spread, came_back=True) >= known


def test_wait_of_a_repeat_is_exact_where_patience_is_the_same():
    patience = learn(0.0, 0.2)
    assert patience.get_waited_s(FULL_S - 0.4) == pytest.approx(0.4, abs=0.01)


def test_nobody_has_waited_before_patience_is_known():
    patience = Patience()
    patience.note(FULL_S)
    assert patience.get_waited_s(0.5) == 0.0


def test_longer_patience_is_learnt():
    # A configuration changes the callers' time: what was the longest wait is
    # no longer, and the band has to move with it.
    draw = random.Random(9)
    patience = learn(0.0, 0.1)
    for _ in range(3000):
        patience.note(2 * FULL_S * (1 - 0.1 * draw.random()))
    waited_s = patience.get_waited_s(FULL_S)
    assert waited_s == pytest.approx(0.9 * FULL_S, rel=0.1)
