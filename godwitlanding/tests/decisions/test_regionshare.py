"""Tests how much of a region's load runs elsewhere, and how fast it moves."""

import pytest
from hypothesis import given, strategies as st

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
        pytest.param({"a": (50, 100), "b": (50, 100)}, {}, id="all have headroom"),
        pytest.param({"a": (180, 100), "b": (45, 100)}, {"b": 0.25}, id="one is full"),
        pytest.param({"a": (180, 100), "b": (180, 100)}, {}, id="all are full"),
        pytest.param(
            {"a": (180, 100), "b": (60, 100), "c": (30, 100)},
            {"b": 1 / 6, "c": 1 / 3},
            id="in proportion to headroom",
        ),
        pytest.param(
            {"a": (180, 100), "b": (180, 100), "c": (0, 100)},
            {"c": 0.25},
            id="two full ones share the headroom",
        ),
        pytest.param(
            {"a": (180, 100, 100), "b": (100, 100, 200)},
            {"b": 4 / 9},
            id="the other has slots and more objects than its target",
        ),
        pytest.param(
            {"a": (100, 100, 150), "b": (45, 100, 100)},
            {"b": 0.1},
            id="more objects than the target, the other has headroom",
        ),
        pytest.param(
            {"a": (100, 100, 150), "b": (100, 100, 150)},
            {},
            id="both have more objects than their target",
        ),
        pytest.param(
            {"a": (120, 40, 50, 100), "b": (45, 15, 20, 100)},
            {"b": 0.25},
            id="no region can cache the objects, slots of one are full",
        ),
        pytest.param(
            {"a": (90, 40, 50, 100), "b": (45, 15, 20, 100)},
            {},
            id="no region can cache the objects, no slots are full",
        ),
        pytest.param(
            {"a": (120, 40, 50, 100), "b": (45, 100, 100, 100), "c": (45, 50, 50, 100)},
            {"b": 45 / 120},
            id="the region that can cache the objects comes first",
        ),
    ],
)
def test_get_shares(loads, expected):
    shares = get_shares("a", make_loads(**loads))
    assert shares == pytest.approx(expected)


@pytest.mark.parametrize("overload", [1.0, 1.3, 2.0, 5.0])
def test_redirected_load_never_exceeds_the_headroom(overload):
    # Three regions plan independently. If what they send added up to more than
    # the headroom, the region that has it would be overloaded as well.
    loads = make_loads(a=(100 * overload, 100), b=(90 * overload, 100), c=(40, 100))
    sent = sum(
        get_shares(region, loads).get("c", 0.0) * loads[region].arrivals_per_s
        for region in ("a", "b")
    )
    assert sent <= MAX_UTILIZATION * 100 - 40 + 1e-9


LOADS = st.one_of(
    st.tuples(st.floats(1, 200), st.floats(0, 200), st.floats(0, 400)),
    st.tuples(
        st.floats(1, 200), st.floats(0, 200), st.floats(0, 400), st.floats(0, 400)
    ),
)


def test_region_without_callers_that_receives_all_it_can_take():
    # Guards against a division by zero: what such a region receives exceeds
    # its capacity by a rounding error, and it has no arrivals to divide by.
    loads = make_loads(a=(268, 92, 88), b=(0, 32, 186), c=(0, 65))
    for region in ("b", "c"):
        assert get_shares(region, loads) == {}


@given(st.dictionaries(st.sampled_from("abcd"), LOADS, min_size=1))
def test_region_that_takes_more_than_its_target_is_not_overloaded(pairs):
    loads = make_loads(**pairs)
    shares_by_region = {region: get_shares(region, loads) for region in loads}
    for region, load in loads.items():
        assert sum(shares_by_region[region].values()) <= 1.0 + 1e-9
        kept = load.arrivals_per_s * (1.0 - sum(shares_by_region[region].values()))
        received = sum(
            shares.get(region, 0.0) * loads[sender].arrivals_per_s
            for sender, shares in shares_by_region.items()
        )
        usable = MAX_UTILIZATION * max(load[1:])
        assert received <= max(0.0, usable - kept) + 1e-6


def test_shares_move_no_faster_than_allowed():
    # Load changes suddenly, and the target share with it. If the share
    # followed at once, callers would change the region that serves them all
    # together, and arrive where no upstream has their objects cached.
    current = {}
    for _ in range(4):
        moved = step(current, {"b": 0.6, "c": 0.3}, 0.5)
        change = sum(abs(moved[name] - current.get(name, 0.0)) for name in moved)
        assert change <= MAX_STEP_PER_S * 0.5 + 1e-9
        current = moved
    assert sum(current.values()) == pytest.approx(MAX_STEP_PER_S * 2)


def test_selector_keeps_an_object_in_its_region():
    selector = RegionSelector("a")
    shares = {"b": 0.3, "c": 0.1}
    region_by_key = {str(n): selector.pick(shares, str(n)) for n in range(1000)}
    for key, region in region_by_key.items():
        assert selector.pick(shares, key) == region
    moved = {
        key
        for key, region in region_by_key.items()
        if selector.pick({"b": 0.3, "c": 0.12}, key) != region
    }
    assert len(moved) < 40
    assert 250 < sum(region == "b" for region in region_by_key.values()) < 350


def test_selector_spreads_requests_without_an_object_evenly():
    selector = RegionSelector("a")
    regions = [selector.pick({"b": 0.25}, "") for _ in range(40)]
    assert all(regions[n : n + 4].count("b") == 1 for n in range(0, 40, 4))


@pytest.mark.parametrize(
    ("upstreams", "objects", "expected"), [(2, 0, 1.0), (2, 80, 0.35), (12, 62, 1.0)]
)
def test_region_serves_no_more_objects_than_it_can_cache(upstreams, objects, expected):
    assert get_cacheable_share(upstreams, objects) == expected
