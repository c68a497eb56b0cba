"""Tests the plan of a region for a service, with small fakes."""

from types import SimpleNamespace

import pytest

from godwitlanding.gateway.regionbalancer import RegionBalancer
from godwitlanding.gateway.registry import Upstream

pytestmark = pytest.mark.looptime

SERVICE = "picha"
WORK_S = 0.25


def make_balancer(upstreams_by_region, rate_by_region, objects):
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
