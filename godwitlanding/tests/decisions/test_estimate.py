"""Tests of the measure for the reliability of expected finish times."""

import random

import pytest

from godwitlanding.decisions.estimate import MAX_MARGIN, FinishEstimates


@pytest.mark.parametrize(
    "sigma, long_share, least, most",
    [
        (0.15, 0.0, 1.1, 1.4),
        # Guards against a margin that long requests move.
        (0.15, 0.03, 1.1, 1.4),
        (0.4, 0.0, 1.4, 1.9),
        # More than a few are not long requests, but a wrong expectation.
        (0.15, 0.5, 0.98 * MAX_MARGIN, MAX_MARGIN),
    ],
)
def test_nine_in_ten_responses_come_within_the_margin(sigma, long_share, least, most):
    rng = random.Random(1)
    estimates = FinishEstimates()
    margins = []
    for _ in range(3000):
        took_s = 0.2 * rng.lognormvariate(0.0, sigma)
        estimates.note("s", 0.2, took_s * (7 if rng.random() < long_share else 1))
        margins.append(estimates.get_margin("s"))
    assert least <= sum(margins[1000:]) / 2000 <= most


def test_margin_rises_faster_than_it_falls():
    # Guards against a burst that is over before the margin shows it.
    estimates = FinishEstimates()
    for _ in range(10):
        estimates.note("s", 0.2, 0.6)
    assert estimates.get_margin("s") == pytest.approx(1.5)
    for _ in range(10):
        estimates.note("s", 0.2, 0.2)
    assert estimates.get_margin("s") > 1.4
    assert estimates.get_margin("another") == 1.0
