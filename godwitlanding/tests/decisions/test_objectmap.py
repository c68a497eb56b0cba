"""Objects stay where they are known."""

import pytest

from godwitlanding.decisions.objectmap import (
    ANNOUNCE_INTERVAL_S,
    MAX_KNOWN,
    CacheEntry,
    ObjectMap,
    get_object_number,
)


def test_meeting_is_told_once_and_again_after_a_while():
    # A peer that missed the word would have the object learnt elsewhere.
    object_map = ObjectMap()
    cache_entry = CacheEntry(1, 7)
    announced = [
        object_map.note(cache_entry, at) for at in (0.0, 1.0, ANNOUNCE_INTERVAL_S + 0.1)
    ]
    assert announced == [True, False, True]


def test_what_a_peer_told_is_known():
    object_map = ObjectMap()
    object_map.hear(CacheEntry(1, 7), 0.0)
    assert set(object_map.get_upstreams(7)) == {1}
    assert object_map.get_depth(1, 7) == 0
    assert object_map.count_known(1) == 1


def test_upstream_is_not_taken_to_know_more_than_it_can_remember():
    # An upstream remembers a few dozen objects. One that it forgot long ago
    # and is still sent for takes three times the time that is expected.
    object_map = ObjectMap()
    for key in range(MAX_KNOWN):
        object_map.note(CacheEntry(1, key), 0.0)
    object_map.note(CacheEntry(1, 0), 1.0)
    object_map.note(CacheEntry(1, 99), 1.0)
    assert object_map.get_depth(1, 0) == 1
    assert object_map.get_depth(1, 1) is None
    assert not object_map.get_upstreams(1)


@pytest.mark.parametrize(
    "lose",
    [
        pytest.param(lambda m: m.forget(1), id="upstream is gone"),
        pytest.param(lambda m: m.drop(CacheEntry(1, 7)), id="it did not get it"),
        pytest.param(lambda m: m.keep_only({2}), id="no longer listed"),
    ],
)
def test_lost_upstream_knows_nothing(lose):
    object_map = ObjectMap()
    object_map.note(CacheEntry(1, 7), 0.0)
    object_map.note(CacheEntry(2, 7), 0.0)
    lose(object_map)
    assert set(object_map.get_upstreams(7)) == {2}
    # It is told anew when it meets the object once more.
    assert object_map.note(CacheEntry(1, 7), 0.1)


def test_first_meetings_of_late_are_counted():
    object_map = ObjectMap()
    for key, at in ((1, 0.0), (2, 5.0), (3, 5.5)):
        object_map.note(CacheEntry(1, key), at)
    object_map.note(CacheEntry(1, 1), 5.6)
    assert object_map.count_added_since(1, 4.0) == 2


def test_services_may_have_objects_of_the_same_name():
    assert get_object_number("a", "1") != get_object_number("b", "1")


def test_vm_that_starts_is_told_all():
    object_map = ObjectMap()
    for key in range(5):
        object_map.note(CacheEntry(1, key), 0.0)
    assert len(object_map.get_cache_entries(100)) == 5
    assert len(object_map.get_cache_entries(3)) == 3
