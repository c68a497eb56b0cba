"""Tests routing by host and longest prefix, and splits by weight."""

import pytest

from godwitlanding.decisions.routes import (
    Limits,
    Route,
    RouteConfig,
    RouteKind,
    SplitPart,
    Splitter,
    find_route,
)


def make_route(name, prefix="/a/", parts=(SplitPart("s", 1.0),), host="h"):
    return Route(
        name,
        host,
        prefix,
        RouteKind.SAFE,
        2.0,
        0.4,
        1,
        tuple(parts),
        2,
        True,
        frozenset(),
    )


def make_config(*routes):
    return RouteConfig(1, {(r.host, r.path_prefix): r for r in routes}, {}, Limits())


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("h", "/a/b/c", "inner"),
        ("h", "/a/b/", "inner"),
        ("h", "/a/b", "outer"),
        ("h", "/a/bc/d", "outer"),
        ("h", "/a/?x=/a/b/c", "outer"),
        ("h", "/other/", None),
        ("h", "/a", None),
        ("other", "/a/b/c", None),
        ("h", "", None),
    ],
)
def test_find_route(host, path, expected):
    config = make_config(make_route("outer", "/a/"), make_route("inner", "/a/b/"))
    route = find_route(config, host, path)
    assert (route and route.name) == expected


@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (50, 0, 50), (99, 1)])
def test_any_hundred_requests_are_split_by_weight(weights):
    parts = [SplitPart(f"s{n}", weight) for n, weight in enumerate(weights)]
    route = make_route("r", parts=parts)
    splitter = Splitter()
    picks = [splitter.pick(route) for _ in range(500)]
    for begin in (0, 130, 400):
        window = picks[begin : begin + 100]
        for part in parts:
            expected = 100 * part.weight / sum(weights)
            assert abs(window.count(part.service) - expected) <= 1


def test_changed_weights_apply_at_once():
    splitter = Splitter()
    old = make_route("r", parts=[SplitPart("a", 1), SplitPart("b", 1)])
    new = make_route("r", parts=[SplitPart("a", 0), SplitPart("b", 1)])
    for _ in range(10):
        splitter.pick(old)
    assert {splitter.pick(new) for _ in range(50)} == {"b"}
