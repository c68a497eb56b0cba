"""Tests the plan of a region for a service, with small fakes."""

from types import SimpleNamespace

import pytest
from hypothesis import given, strategies as st

from godwitlanding.decisions.cachesize import MIN_OBJECTS
from godwitlanding.decisions.regionshare import MIN_SIZE_RATIO, USUAL_CACHE_SIZE
from godwitlanding.gateway.regionbalancer import RegionBalancer
from godwitlanding.gateway.registry import Upstream

pytestmark = pytest.mark.looptime

SERVICE = "picha"
WORK_S = 0.25


def make_balancer(upstreams_by_region, rate_by_region, objects, cache_size=16.0):
    """Return the ``RegionBalancer`` of region "a"; upstreams have 3 slots."""
    upstreams = {
        region: [
            Upstream(f"{region}-{n}", SERVICE, ("h", 1), f"{region}1", 3, False, 0.0)
            for n in range(count)
        ]
        for region, count in upstreams_by_region.items()
    }
    return RegionBalancer(
        SimpleNamespace(
            region="a", region_by_zone={f"{name}1": name for name in upstreams}
        ),
        SimpleNamespace(
            config=SimpleNamespace(service_by_name={SERVICE: None}),
            get_usable=lambda service, region: upstreams[region],
        ),
        SimpleNamespace(
            get_arrival_rates=lambda service: dict(rate_by_region),
            count_vms=lambda: 3,
        ),
        SimpleNamespace(
            get_mean_s=lambda service: WORK_S, get_factor=lambda upstream: 1.0
        ),
        SimpleNamespace(get_objects=lambda service: objects),
        SimpleNamespace(get=lambda upstream: None),
        set(),
        SimpleNamespace(get_cache_size=lambda service: cache_size),
    )


@pytest.mark.parametrize(
    ("rates", "expected"),
    [
        # 2 upstreams serve 24 requests a second, 7 serve 84; 0.9 of these are
        # used. 50 - 21.6 are in excess, of which region "b" takes all.
        pytest.param({"a": 50, "b": 40}, {"b": 28.4 / 50}, id="slots of one are full"),
        pytest.param({"a": 20, "b": 40}, {}, id="no slots are full"),
        pytest.param({"a": 50, "b": 90}, {}, id="all slots are full"),
    ],
)
async def test_load_beyond_the_slots_goes_to_free_slots(rates, expected):
    # Guards against refusals in a small region while slots of other regions
    # are free, because the objects fit into the caches of no region.
    balancer = make_balancer({"a": 2, "b": 7}, rates, objects=450)
    balancer.update()
    shares = balancer.shares_by_service[SERVICE]
    assert {n: s for n, s in shares.items() if s} == pytest.approx(expected)


@pytest.mark.parametrize(
    ("cache_size", "expected"),
    [
        pytest.param(16.0, 0.0, id="as many as usual"),
        pytest.param(19.4, 0.0, id="within the error of the estimate"),
        # 2 upstreams with 17.5 objects each, of 240.
        pytest.param(28.0, 1 - 35 / 240, id="clearly more"),
    ],
)
async def test_larger_caches_take_the_objects_of_a_small_region(cache_size, expected):
    # Guards against a small region whose requests find two of three objects
    # evicted, while upstreams of a large one could cache all of them.
    rates = {"a": 20, "b": 20}
    balancer = make_balancer({"a": 2, "b": 14}, rates, 240, cache_size)
    balancer.update()
    shares = balancer.shares_by_service[SERVICE]
    assert shares.get("b", 0.0) == pytest.approx(expected)
    assert balancer.can_cache_all_objects(SERVICE, "b") == (expected > 0.0)


@given(
    st.tuples(st.integers(0, 12), st.integers(0, 12), st.integers(0, 12)),
    st.tuples(st.floats(0, 200), st.floats(0, 200), st.floats(0, 200)),
    st.integers(0, 500),
    st.floats(MIN_OBJECTS, USUAL_CACHE_SIZE * MIN_SIZE_RATIO),
)
def test_usual_caches_are_planned_for_as_before(upstreams, rates, objects, size):
    # Guards against a plan that moves requests in deployments whose upstreams
    # keep 14 to 16 objects, whatever the error of the estimate.
    regions = ("a", "b", "c")
    loads = [
        make_balancer(
            dict(zip(regions, upstreams)), dict(zip(regions, rates)), objects, cache
        ).get_loads(SERVICE, 0.0)
        for cache in (USUAL_CACHE_SIZE, size)
    ]
    assert loads[0] == loads[1]
