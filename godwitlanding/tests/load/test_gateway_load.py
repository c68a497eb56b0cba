"""What callers get of whole VMs under a load, on the paused clock."""

import pytest

from godwitlanding.tests.load.gateway_model import Shape, World

pytestmark = pytest.mark.looptime

SMALL = Shape(
    vms_by_zone={"a1": 2, "b1": 2},
    upstreams_by_zone={"a1": 4, "b1": 4},
    region_by_zone={"a1": "a", "b1": "b"},
    rate_by_zone={"a1": 30, "b1": 30},
    objects=40,
)
LEARN_S = 6.0
SETTLE_S = 3
PLAYED_S = 10


async def play_limited(limit_per_s, count):
    """Play callers while some upstreams are limited; return their shares."""
    async with World(SMALL, seed=1) as world:
        await world.play(LEARN_S)
        world.outcomes.clear()
        for upstream in list(world.upstream_by_id.values())[::-1][:count]:
            upstream.limit_per_s = limit_per_s
        await world.play(PLAYED_S)
        return world.count(since_s=SETTLE_S)


@pytest.mark.parametrize("count", [1, 3])
async def test_callers_hardly_notice_that_some_upstreams_are_limited(count):
    # Guards against callers refused while other upstreams have room.
    shares = await play_limited(2.0, count)
    assert shares["in_time"] >= 0.9
    assert shares.get("refused", 0.0) <= 0.01


async def test_limited_upstreams_serve_what_they_know():
    # Guards against turns spent on first runs, which are late for everybody.
    shares = await play_limited(2.5, 8)
    # 20 of 60 requests a second can be served at all.
    assert shares["in_time"] + shares["late"] >= 0.28
    assert shares["in_time"] >= 0.15
