"""Tests the outcomes of requests to a simulated fleet, in virtual time."""

import pytest

from godwitlanding.tests.load.gateway_model import FleetModel, FleetShape

pytestmark = pytest.mark.looptime

SMALL = FleetShape(
    vms_by_zone={"a1": 2, "b1": 2},
    upstreams_by_zone={"a1": 4, "b1": 4},
    region_by_zone={"a1": "a", "b1": "b"},
    rate_by_zone={"a1": 30, "b1": 30},
    object_count=40,
)
WARM_UP_S = 6.0
SETTLE_S = 3
MEASURE_S = 10


async def run_limited(limit_per_s, count, draws=None):
    """Run with some upstreams limited; return the share of each outcome.

    ``draws`` seeds the generator of the VMs.
    """
    async with FleetModel(SMALL, seed=1, draws=draws) as fleet:
        await fleet.run(WARM_UP_S)
        fleet.outcomes.clear()
        for upstream in list(fleet.upstream_by_id.values())[::-1][:count]:
            upstream.limit_per_s = limit_per_s
        await fleet.run(MEASURE_S)
        return fleet.get_outcome_shares(since_s=SETTLE_S)


@pytest.mark.parametrize("count", [1, 3])
async def test_callers_hardly_notice_that_some_upstreams_are_limited(count):
    # Guards against refusals while other upstreams have free slots.
    shares = await run_limited(2.0, count)
    assert shares["in_time"] >= 0.9
    assert shares.get("refused", 0.0) <= 0.01


@pytest.mark.parametrize("draws", [1, 20])
async def test_region_of_limited_upstreams_is_relieved_by_another(draws):
    # Guards against callers who wait until the regions' shares have changed
    # step by step, and against a region that takes no load because its
    # estimated number of objects is just above its target.
    shares = await run_limited(2.0, 3, draws)
    assert shares["in_time"] >= 0.9
    assert shares.get("refused", 0.0) <= 0.01


async def test_limited_upstreams_serve_cached_objects():
    # Guards against limited capacity spent on uncached objects, whose
    # responses are late for all callers.
    shares = await run_limited(2.5, 8)
    # The limited upstreams accept 20 of 60 requests per second.
    assert shares["in_time"] + shares["late"] >= 0.28
    assert shares["in_time"] >= 0.15
