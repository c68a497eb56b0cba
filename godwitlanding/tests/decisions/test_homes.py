"""Objects keep to few upstreams, the same in every VM's eyes."""

from collections import Counter

import pytest

from godwitlanding.decisions.homes import (
    MAX_HOMES,
    REMEMBERED_OBJECTS,
    Homes,
    count_homes,
    pick_homes,
)

UPSTREAMS = tuple(f"u{number}" for number in range(12))


def get_first(homes, key, upstreams=UPSTREAMS):
    return homes.get_order("s", key, upstreams)[0]


def test_every_vm_gives_an_object_the_same_order():
    for key in ("17", "2f", "a"):
        order = Homes().get_order("s", key, UPSTREAMS)
        assert order == Homes().get_order("s", key, UPSTREAMS)
        assert sorted(order) == sorted(UPSTREAMS)


def test_each_upstream_is_home_to_no_more_objects_than_it_remembers():
    homes = Homes()
    count = Counter(get_first(homes, str(key)) for key in range(62))
    assert max(count.values()) <= 24


def test_upstream_that_leaves_moves_only_its_own_objects():
    homes = Homes()
    fewer = UPSTREAMS[:-1]
    for key in map(str, range(62)):
        before = get_first(homes, key)
        if before != UPSTREAMS[-1]:
            assert get_first(homes, key, fewer) == before


@pytest.mark.parametrize(
    ("upstreams", "objects", "expected"),
    [
        (12, 62, 1),
        (16, 62, 2),
        (6, 24, 1),
        (2, 62, 1),
        (100, 62, MAX_HOMES),
        (12, 0, 3),
    ],
)
def test_count_homes(upstreams, objects, expected):
    assert count_homes(upstreams, objects) == expected


@pytest.mark.parametrize(
    ("unusable", "unsound", "expected"),
    [
        pytest.param("", "", ["a", "b"], id="all sound"),
        pytest.param("", "a", ["b", "c"], id="the next takes its place"),
        pytest.param("b", "", ["a", "c"], id="one may not be used"),
        pytest.param("", "abc", ["a", "b", "c"], id="none sound"),
        pytest.param("b", "ac", ["a", "c"], id="none sound, one not to be used"),
        pytest.param("abc", "", [], id="none may be used"),
    ],
)
def test_pick_homes(unusable, unsound, expected):
    homes = pick_homes(
        ["a", "b", "c"],
        2,
        lambda upstream: upstream not in unusable,
        lambda upstream: upstream not in unsound,
    )
    assert homes == expected


class Memory:
    """An upstream that knows the objects that it handled last."""

    def __init__(self):
        self._known = []

    def handle(self, key):
        """Return whether the object was known."""
        known = key in self._known
        if known:
            self._known.remove(key)
        self._known = [*self._known[-15:], key]
        return known


def test_overload_does_not_push_out_what_is_known():
    # Requests come faster than their objects' homes can carry. Sent to
    # whichever upstream is free, each would meet one that does not know its
    # object, and take three times as long just when slots are short.
    homes = Homes()
    memory_by_upstream = {upstream: Memory() for upstream in UPSTREAMS}
    keys = [str(key) for key in range(62)]
    for key in keys:
        homes.note_object("s", key)
    known = 0
    for turn in range(40):
        for key in keys:
            order = homes.get_order("s", key, UPSTREAMS)
            count = homes.get_count("s", len(UPSTREAMS))
            picked = pick_homes(order, count, lambda _: True, lambda _: True)
            known += memory_by_upstream[picked[turn % count]].handle(key)
    assert REMEMBERED_OBJECTS < 16
    assert known / (40 * 62) > 0.85
