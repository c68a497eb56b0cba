"""Tests the workspace of a request and the regions where it may run."""

import pytest

from godwitlanding.decisions.access import (
    AccessDecision,
    find_access,
    intersect_regions,
    read_key,
)
from godwitlanding.decisions.routes import (
    Limits,
    Route,
    RouteConfig,
    RouteKind,
    SplitPart,
    Workspace,
)

OFFICE = Workspace("office")


def make_route(allow_anonymous=False, allowed_regions=()):
    return Route(
        name="look",
        host="h",
        path_prefix="/look/",
        kind=RouteKind.SAFE,
        timeout_s=2.0,
        target_latency_s=0.4,
        priority=2,
        parts=(SplitPart("looks", 1.0),),
        max_attempts=2,
        sticky=True,
        allowed_regions=frozenset(allowed_regions),
        allow_anonymous=allow_anonymous,
    )


def make_config(workspace_by_key):
    return RouteConfig(1, {}, {}, Limits(), workspace_by_key)


@pytest.mark.parametrize(
    ("values", "key"),
    [
        pytest.param([], b"", id="none"),
        pytest.param([b"Bearer abc"], b"abc", id="one"),
        pytest.param([b" bearer  abc "], b"abc", id="scheme in other case"),
        pytest.param([b"Basic abc"], b"", id="another scheme"),
        pytest.param([b"abc"], b"", id="no scheme"),
        pytest.param([b"Bearer"], b"", id="no key"),
        pytest.param([b"Bearer abc", b"Bearer abc"], b"", id="twice"),
        pytest.param([b"Bearer abc", b"Bearer other"], b"", id="two keys"),
    ],
)
def test_key_is_parsed_from_headers(values, key):
    assert read_key(values) == key


@pytest.mark.parametrize(
    ("workspace_by_key", "anonymous", "key", "verdict", "workspace"),
    [
        pytest.param(
            None, False, b"x", AccessDecision.GRANTED, None, id="no workspaces"
        ),
        pytest.param(
            {b"k": OFFICE}, False, b"k", AccessDecision.GRANTED, OFFICE, id="known"
        ),
        pytest.param(
            {b"k": OFFICE}, False, b"x", AccessDecision.UNKNOWN_KEY, None, id="unknown"
        ),
        pytest.param(
            {b"k": OFFICE},
            False,
            b"",
            AccessDecision.UNKNOWN_KEY,
            None,
            id="without a key",
        ),
        pytest.param(
            {}, False, b"x", AccessDecision.UNKNOWN_KEY, None, id="all keys removed"
        ),
        pytest.param(
            {b"k": OFFICE},
            True,
            b"x",
            AccessDecision.GRANTED,
            None,
            id="anonymous route",
        ),
        pytest.param(
            {b"k": OFFICE},
            True,
            b"k",
            AccessDecision.GRANTED,
            OFFICE,
            id="known on an anonymous route",
        ),
    ],
)
def test_access_depends_on_key_and_route(
    workspace_by_key, anonymous, key, verdict, workspace
):
    config = make_config(workspace_by_key)
    access = find_access(config, make_route(anonymous), key)
    assert access == (verdict, workspace)


@pytest.mark.parametrize(
    ("route_regions", "workspace_regions", "allowed"),
    [
        pytest.param((), (), None, id="unrestricted"),
        pytest.param(("a",), (), {"a"}, id="route only"),
        pytest.param((), ("a", "b"), {"a", "b"}, id="workspace only"),
        pytest.param(("a", "c"), ("a", "b"), {"a"}, id="both"),
        pytest.param(("a",), ("b",), set(), id="no common region"),
    ],
)
def test_regions_of_route_and_workspace_are_intersected(
    route_regions, workspace_regions, allowed
):
    workspace = OFFICE._replace(allowed_regions=frozenset(workspace_regions))
    route = make_route(allowed_regions=route_regions)
    assert intersect_regions(route, workspace) == allowed
    assert intersect_regions(route, None) == (set(route_regions) or None)
