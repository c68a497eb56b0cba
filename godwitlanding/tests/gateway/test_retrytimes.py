"""Tests of which refused callers are told booked times."""

import random
from types import SimpleNamespace

import pytest

from godwitlanding.base.metrics import Counters
from godwitlanding.decisions.routes import (
    Limits,
    Route,
    RouteConfig,
    RouteKind,
    Service,
    SplitPart,
    Workspace,
    get_contended_priorities,
)
from godwitlanding.gateway.attempt import AdmittedRequest
from godwitlanding.gateway.registry import Registry
from godwitlanding.gateway.retrytimes import RetryTimes

pytestmark = pytest.mark.looptime

KEYS = {b"key": Workspace("w")}


def make_route(name, service, priority):
    parts = (SplitPart(service, 1.0),)
    return Route(
        name,
        "h",
        f"/{name}/",
        RouteKind.SAFE,
        2.5,
        0.4,
        priority,
        parts,
        2,
        True,
        frozenset(),
    )


def make_config(version, routes, workspace_by_key=None):
    names = {part.service for route in routes for part in route.parts}
    return RouteConfig(
        version,
        {("h", route.path_prefix): route for route in routes},
        {name: Service(name, "/", 100, 3.0, 6.0) for name in names},
        Limits(),
        workspace_by_key,
    )


@pytest.mark.parametrize(
    ("routes", "workspace_by_key", "expected"),
    [
        pytest.param([("a", "s", 0)], None, set(), id="one route"),
        pytest.param([("a", "s", 1), ("b", "s", 1)], None, set(), id="same priority"),
        pytest.param([("a", "s", 0), ("b", "t", 2)], None, set(), id="apart"),
        pytest.param([("a", "s", 0), ("b", "s", 2)], None, {"s"}, id="ranked"),
        pytest.param([("a", "s", 0), ("b", "t", 0)], KEYS, {"s", "t"}, id="workspaces"),
    ],
)
async def test_contended_services(routes, workspace_by_key, expected):
    # Guards against other retry times for deployments without contention.
    config = make_config(1, [make_route(*row) for row in routes], workspace_by_key)
    assert set(get_contended_priorities(config)) == expected


async def test_bookings_follow_the_configuration():
    # Guards against bookings that outlive the routes they were made for.
    registry = Registry({})
    chooser = SimpleNamespace(get_turnover_s=lambda request, now: 0.1)
    counters = Counters()
    retry_times = RetryTimes(counters, random.Random(1))
    kernel = SimpleNamespace(get={"registry": registry, "chooser": chooser}.get)
    await retry_times.start(kernel)
    urgent, bulk = make_route("a", "s", 0), make_route("b", "s", 2)
    registry.set_config(make_config(1, [urgent, bulk]))
    for number in range(40):
        retry_times.note_completed("s", number / 40)
    request = AdmittedRequest(b"r", urgent, "s", "k", 1, 2.5, 0.4, 2.5, came_back=True)
    assert retry_times.get_retry_after_s(request) <= 0.32 * 2.5
    registry.set_config(make_config(2, [urgent]))
    assert not retry_times.is_contended("s")
    retry_times.get_retry_after_s(request)
    registry.set_config(make_config(3, [urgent, bulk]))
    retry_times.get_retry_after_s(request)
    assert counters.get("returns_booked", service="s", room="yes") == 1
    assert counters.get("returns_booked", service="s", room="no") == 1
    assert counters.get("returns_refused", service="s", priority=0) == 2


@pytest.mark.parametrize("priorities", [(0, 2), (0, 0)])
async def test_retry_time_after_the_deadline_is_not_negative(priorities):
    # Guards against an invalid Retry-After for a body that ended too late.
    registry = Registry({})
    chooser = SimpleNamespace(get_turnover_s=lambda request, now: 0.1)
    retry_times = RetryTimes(Counters(), random.Random(1))
    kernel = SimpleNamespace(get={"registry": registry, "chooser": chooser}.get)
    await retry_times.start(kernel)
    routes = [make_route(str(n), "s", p) for n, p in enumerate(priorities)]
    registry.set_config(make_config(1, routes))
    request = AdmittedRequest(b"r", routes[0], "s", "k", 1, -1.0, 0.4, -1.0, False)
    assert retry_times.get_retry_after_s(request) == 0.0
