"""How many objects an upstream remembers is learnt, whatever it is."""

import random

import pytest

from godwitlanding.decisions.cachesize import CacheSizeEstimate


@pytest.mark.parametrize("remembered", [5, 14, 19, 32, 50])
def test_memory_is_learnt_from_answers(remembered):
    # A figure from one deployment is wrong at the next one: too high, and
    # forgotten objects are sent where they take three times the time.
    draw = random.Random(1)
    memory = CacheSizeEstimate()
    for _ in range(1000):
        depth = draw.randrange(60)
        memory.note("s", depth, depth < remembered)
    assert memory.get("s") == pytest.approx(remembered, abs=0.15 * remembered + 1)


def test_objects_that_are_known_say_nothing_new():
    memory = CacheSizeEstimate()
    before = memory.get("s")
    for depth in range(5):
        memory.note("s", depth, True)
    assert memory.get("s") == before


def test_services_differ():
    memory = CacheSizeEstimate()
    for _ in range(50):
        memory.note("s", 4, False)
    assert memory.get("s") < memory.get("t")
