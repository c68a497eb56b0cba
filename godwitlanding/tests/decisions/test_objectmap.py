"""Tests the map of the objects that upstreams have cached."""

import pytest

from godwitlanding.decisions.objectmap import (
    ANNOUNCE_INTERVAL_S,
    MAX_KNOWN,
    CacheEntry,
    ObjectMap,
    get_object_number,
)


def test_entry_is_announced_once_and_again_after_an_interval():
    # A peer that missed the announcement would send the object to another
    # upstream, where its first request is cold.
    object_map = ObjectMap()
    cache_entry = CacheEntry(1, 7)
    announced = [
        object_map.note(cache_entry, at) for at in (0.0, 1.0, ANNOUNCE_INTERVAL_S + 0.1)
    ]
    assert announced == [True, False, True]


def test_entry_announced_by_a_peer_is_listed():
    object_map = ObjectMap()
    object_map.receive(CacheEntry(1, 7), 0.0)
    assert set(object_map.get_upstreams(7)) == {1}
    assert object_map.get_depth(1, 7) == 0
    assert object_map.count_known(1) == 1


def test_oldest_entries_of_an_upstream_are_dropped():
    # An upstream caches a few dozen objects. A request for one that it evicted
    # long ago takes three times the expected time.
    object_map = ObjectMap()
    for key in range(MAX_KNOWN):
        object_map.note(CacheEntry(1, key), 0.0)
    object_map.note(CacheEntry(1, 0), 1.0)
    object_map.note(CacheEntry(1, 99), 1.0)
    assert object_map.get_depth(1, 0) == 1
    assert object_map.get_depth(1, 1) is None
    assert not object_map.get_upstreams(1)


@pytest.mark.parametrize(
    "remove",
    [
        pytest.param(lambda m: m.forget(1), id="upstream removed"),
        pytest.param(lambda m: m.drop(CacheEntry(1, 7)), id="object not sent"),
        pytest.param(lambda m: m.keep_only({2}), id="upstream no longer listed"),
    ],
)
def test_removed_entry_is_not_listed(remove):
    object_map = ObjectMap()
    object_map.note(CacheEntry(1, 7), 0.0)
    object_map.note(CacheEntry(2, 7), 0.0)
    remove(object_map)
    assert set(object_map.get_upstreams(7)) == {2}
    # It is announced again when the upstream is sent the object again.
    assert object_map.note(CacheEntry(1, 7), 0.1)


def test_recently_added_entries_are_counted():
    object_map = ObjectMap()
    for key, at in ((1, 0.0), (2, 5.0), (3, 5.5)):
        object_map.note(CacheEntry(1, key), at)
    object_map.note(CacheEntry(1, 1), 5.6)
    assert object_map.count_added_since(1, 4.0) == 2


def test_services_may_have_objects_with_the_same_key():
    assert get_object_number("a", "1") != get_object_number("b", "1")


def test_entries_for_a_starting_vm_are_limited():
    object_map = ObjectMap()
    for key in range(5):
        object_map.note(CacheEntry(1, key), 0.0)
    assert len(object_map.get_cache_entries(100)) == 5
    assert len(object_map.get_cache_entries(3)) == 3
