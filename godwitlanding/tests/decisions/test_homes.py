"""Objects keep to few upstreams, the same in every VM's eyes."""

from collections import Counter

from godwitlanding.decisions.homes import Homes

UPSTREAMS = tuple(f"u{number}" for number in range(12))


def get_first(homes, key, upstreams=UPSTREAMS):
    ranking = homes.get_ranking("s", key, upstreams)
    return min(ranking, key=ranking.get)


def test_every_vm_gives_an_object_the_same_order():
    for key in ("17", "2f", "a"):
        ranking = Homes().get_ranking("s", key, UPSTREAMS)
        assert ranking == Homes().get_ranking("s", key, UPSTREAMS)
        assert sorted(ranking.values()) == list(range(12))


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
