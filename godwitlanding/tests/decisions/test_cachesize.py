"""Tests that the cache size of upstreams is estimated from answers."""

import random

import pytest

from godwitlanding.decisions.cachesize import CacheSizeEstimate


@pytest.mark.parametrize("cached", [5, 14, 19, 32, 50])
def test_cache_size_is_estimated_from_answers(cached):
    # A fixed size fits only one deployment. If it is too high, evicted objects
    # are sent to an upstream where they take three times as long.
    draw = random.Random(1)
    estimate = CacheSizeEstimate()
    for _ in range(1000):
        depth = draw.randrange(60)
        estimate.note("s", depth, depth < cached)
    assert estimate.get("s") == pytest.approx(cached, abs=0.15 * cached + 1)


def test_expected_answers_do_not_change_the_estimate():
    estimate = CacheSizeEstimate()
    before = estimate.get("s")
    for depth in range(5):
        estimate.note("s", depth, True)
    assert estimate.get("s") == before


def test_services_have_separate_estimates():
    estimate = CacheSizeEstimate()
    for _ in range(50):
        estimate.note("s", 4, False)
    assert estimate.get("s") < estimate.get("t")
