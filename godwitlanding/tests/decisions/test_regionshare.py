"""How much of a region's load runs elsewhere, and how fast that moves."""

import pytest

from godwitlanding.decisions.regionshare import (
    MAX_STEP_PER_S,
    MAX_UTILIZATION,
    RegionLoad,
    RegionSelector,
    get_cacheable_share,
    get_shares,
    step,
)


def make_loads(**pairs):
    return {name: RegionLoad(*pair) for name, pair in pairs.items()}


@pytest.mark.parametrize(
    ("loads", "expected"),
    [
        pytest.param({"a": (50, 100), "b": (50, 100)}, {}, id="everyone has room"),
        pytest.param({"a": (180, 100), "b": (45, 100)}, {"b": 0.25}, id="one is full"),
        pytest.param({"a": (180, 100), "b": (180, 100)}, {}, id="all are full"),
        pytest.param(
            {"a": (180, 100), "b": (60, 100), "c": (30, 100)},
            {"b": 1 / 6, "c": 1 / 3},
            id="in proportion to the room",
        ),
        pytest.param(
            {"a": (180, 100), "b": (180, 100), "c": (0, 100)},
            {"c": 0.25},
            id="two full ones share the room",
        ),
    ],
)
def test_get_shares(loads, expected):
    shares = get_shares("a", make_loads(**loads))
    assert shares == pytest.approx(expected)


@pytest.mark.parametrize("overload", [1.0, 1.3, 2.0, 5.0])
def test_what_is_sent_never_exceeds_the_room_there(overload):
    # Three regions plan on their own. If what they send adds up to more than
    # the room, the region that has some to spare is pushed over as well.
    loads = make_loads(a=(100 * overload, 100), b=(90 * overload, 100), c=(40, 100))
    sent = sum(
        get_shares(region, loads).get("c", 0.0) * loads[region].arrivals_per_s
        for region in ("a", "b")
    )
    assert sent <= MAX_UTILIZATION * 100 - 40 + 1e-9


def test_shares_move_no_faster_than_allowed():
    # Load jumps, and the wanted share with it. Callers of a region would
    # change the region that serves them all at once, and arrive where
    # nothing knows their objects.
    held = {}
    for _ in range(4):
        moved = step(held, {"b": 0.6, "c": 0.3}, 0.5)
        change = sum(abs(moved[name] - held.get(name, 0.0)) for name in moved)
        assert change <= MAX_STEP_PER_S * 0.5 + 1e-9
        held = moved
    assert sum(held.values()) == pytest.approx(MAX_STEP_PER_S * 2)


def test_dealer_keeps_an_object_to_its_region():
    dealer = RegionSelector("a")
    shares = {"b": 0.3, "c": 0.1}
    region_by_key = {str(n): dealer.pick(shares, str(n)) for n in range(1000)}
    for key, region in region_by_key.items():
        assert dealer.pick(shares, key) == region
    moved = {
        key
        for key, region in region_by_key.items()
        if dealer.pick({"b": 0.3, "c": 0.12}, key) != region
    }
    assert len(moved) < 40
    assert 250 < sum(region == "b" for region in region_by_key.values()) < 350


def test_dealer_spreads_what_has_no_object_evenly():
    dealer = RegionSelector("a")
    regions = [dealer.pick({"b": 0.25}, "") for _ in range(40)]
    assert all(regions[n : n + 4].count("b") == 1 for n in range(0, 40, 4))


@pytest.mark.parametrize(
    ("upstreams", "objects", "expected"), [(2, 0, 1.0), (2, 80, 0.35), (12, 62, 1.0)]
)
def test_region_serves_no_more_objects_than_it_remembers(upstreams, objects, expected):
    assert get_cacheable_share(upstreams, objects) == expected
