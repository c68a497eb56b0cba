"""Tests that first attempts are distinguished from retries."""

import random

import pytest

from godwitlanding.decisions.patience import Patience

PATIENCE_S = 3.2


def draw_left_s(draw, spread, came_back):
    left_s = PATIENCE_S * (1 - spread * draw.random())
    return left_s - draw.uniform(0.2, 1.2) if came_back else left_s


def make_patience(spread, retry_share, requests=600):
    draw = random.Random(7)
    patience = Patience()
    for _ in range(requests):
        patience.note(draw_left_s(draw, spread, draw.random() < retry_share))
    return patience


def get_waited_share(patience, spread, came_back):
    draw = random.Random(8)
    waited = [
        patience.get_waited_s(draw_left_s(draw, spread, came_back)) > 0.03
        for _ in range(1000)
    ]
    return sum(waited) / len(waited)


# Spread of the patience, share of retries, and the minimum share of the
# retries that must be detected.
CALLER_MIXES = (
    (0.0, 0.0, 1.0),
    (0.0, 0.33, 1.0),
    (0.15, 0.0, 0.7),
    (0.15, 0.1, 0.7),
    (0.15, 0.33, 0.7),
    (0.3, 0.1, 0.4),
)


@pytest.mark.parametrize(("spread", "retry_share", "min_detected"), CALLER_MIXES)
def test_first_attempts_are_not_taken_for_retries(spread, retry_share, min_detected):
    # Callers differ in how long they wait. Compared with the most patient one,
    # the others seem to have waited already; their requests would be held to a
    # target latency that is half over and be refused although slots are free.
    patience = make_patience(spread, retry_share)
    assert get_waited_share(patience, spread, came_back=False) < 0.03
    assert get_waited_share(patience, spread, came_back=True) >= min_detected


def test_wait_of_a_retry_is_exact_with_equal_patience():
    patience = make_patience(0.0, 0.2)
    assert patience.get_waited_s(PATIENCE_S - 0.4) == pytest.approx(0.4, abs=0.01)


def test_wait_is_zero_before_patience_is_known():
    patience = Patience()
    patience.note(PATIENCE_S)
    assert patience.get_waited_s(0.5) == 0.0


def test_longer_patience_is_learnt():
    # A new configuration changes the callers' patience: the former longest
    # wait is no longer the longest, and the band has to move.
    draw = random.Random(9)
    patience = make_patience(0.0, 0.1)
    for _ in range(3000):
        patience.note(2 * PATIENCE_S * (1 - 0.1 * draw.random()))
    waited_s = patience.get_waited_s(PATIENCE_S)
    assert waited_s == pytest.approx(0.9 * PATIENCE_S, rel=0.1)


@pytest.mark.parametrize(
    ("left_s", "repeats", "requests"),
    [
        pytest.param(3 * PATIENCE_S, 1, 3000, id="one longer deadline"),
        pytest.param(1e9, 1, 20_000, id="one absurd deadline"),
        pytest.param(2 * PATIENCE_S, 500, 20_000, id="patience becomes shorter"),
    ],
)
def test_first_attempts_are_recognized_after_longer_deadlines(
    left_s, repeats, requests
):
    # Guards against a route on which every request counts as late and as a
    # retry until the VM restarts, because a caller once had more time left.
    patience = make_patience(0.15, 0.33)
    for _ in range(repeats):
        patience.note(left_s)
    draw = random.Random(9)
    for _ in range(requests):
        patience.note(draw_left_s(draw, 0.15, draw.random() < 0.33))
    assert get_waited_share(patience, 0.15, came_back=False) < 0.03
    assert get_waited_share(patience, 0.15, came_back=True) >= 0.5
