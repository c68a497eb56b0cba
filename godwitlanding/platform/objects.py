"""Decodes the store objects written by the operator, upstreams and VMs.

A newer version of the platform may add fields, words and forms of values. Only
what it adds is lost here: unknown fields are ignored, an unknown kind of route
is served as one that must not be repeated, and a route or service whose row
cannot be read is left out, and reported. A version that cannot be decoded at
all is invalid, and so is one with an invalid workspace, because it is then
unknown whose a key is.
"""

import ipaddress
import math

import orjson

from godwitlanding.decisions.routes import (
    Limits,
    Route,
    RouteConfig,
    RouteKind,
    RowProblem,
    Service,
    SplitPart,
    Workspace,
)
from godwitlanding.gateway.registry import Upstream
from godwitlanding.platform.units import read_seconds, read_version

CONFIG_KIND = "config"
CONFIG_NAME = "main"
UPSTREAM_KIND = "servers"
EVACUATION_KIND = "evacuations"
# Written by this system: one object for each of its VMs.
VM_KIND = "godwit-vms"
# Written by this system: one object for each region, a map of which objects
# its upstreams know.
OBJECT_MAP_KIND = "godwit-objects"

# 2 ms on a whole core.
ROWS_PER_STEP = 100
_DEFAULT_PRIORITY = 1
_LEAVING_BY_STATE = {"ready": False, "draining": True}
_ROW_ERRORS = (ValueError, LookupError, TypeError, AttributeError, ArithmeticError)
_LIMIT_READERS = {
    "max_header_bytes": ("max_header_bytes", int),
    "max_body_bytes": ("max_body_bytes", int),
    "header_timeout": ("header_timeout_s", read_seconds),
    "idle_timeout": ("idle_timeout_s", read_seconds),
}


def _read_rows(table):
    columns = table["columns"]
    for row in table["rows"]:
        yield {
            name: value
            for name, value in zip(columns, row, strict=True)
            if value is not None
        }


def _read_split(row):
    split = row.get("traffic_split")
    if not split:
        return (SplitPart(row["service"], 1.0),)
    owner = f"route {row['name']!r}"
    parts = tuple(
        SplitPart(part["service"], _read_non_negative(owner, "weight", part["weight"]))
        for part in split
    )
    if not any(part.weight for part in parts):
        raise ValueError(f"{owner} has no part with a weight above 0")
    return parts


def _read_routes(table, services):
    """Return the routes by host and prefix, and the ``RowProblem`` list.

    This is a generator, which yields after each ``ROWS_PER_STEP`` rows.
    """
    route_by_prefix = {}
    problems = []
    for number, row in enumerate(_read_rows(table), 1):
        if number % ROWS_PER_STEP == 0:
            yield
        # Without host and prefix, it is unknown which requests are meant.
        host = _get_typed(row, "host", str).lower()
        path_prefix = _get_typed(row, "path_prefix", str)
        name = str(row.get("name", path_prefix))
        try:
            route = _read_route(row)
            _check_services(route, services)
            if route.kind is RouteKind.UNKNOWN:
                problems.append(RowProblem("routes", name, f"kind {row['kind']!r}"))
        except _ROW_ERRORS as error:
            problems.append(RowProblem("routes", name, repr(error)))
            route = _make_unserved_route(name, host, path_prefix)
        route_by_prefix[host, path_prefix] = route
    return route_by_prefix, problems


def _make_unserved_route(name, host, path_prefix):
    return Route(
        name=name,
        host=host,
        path_prefix=path_prefix,
        kind=RouteKind.UNKNOWN,
        timeout_s=0.0,
        target_latency_s=0.0,
        priority=_DEFAULT_PRIORITY,
        parts=(),
        max_attempts=1,
        sticky=False,
        allowed_regions=frozenset(),
    )


def _check_services(route, services):
    for part in route.parts:
        if part.service not in services:
            raise ValueError(f"service {part.service!r} is not defined")


def _read_kind(word):
    if not isinstance(word, str):
        raise TypeError(f"kind has the wrong type: {word!r}")
    try:
        return RouteKind(word)
    except ValueError:
        return RouteKind.UNKNOWN


def _read_route(row):
    return Route(
        name=row["name"],
        host=row["host"].lower(),
        path_prefix=row["path_prefix"],
        kind=_read_kind(row["kind"]),
        timeout_s=read_seconds(row["timeout"]),
        target_latency_s=read_seconds(row["target_latency"]),
        priority=int(row.get("priority", _DEFAULT_PRIORITY)),
        parts=_read_split(row),
        max_attempts=int(row.get("max_attempts", 1)),
        sticky=bool(row.get("sticky", False)),
        allowed_regions=frozenset(row.get("allowed_regions") or ()),
        allow_anonymous=bool(row.get("allow_anonymous", False)),
    )


def _read_workspaces(table):
    workspace_by_key = {}
    names = set()
    for row in _read_rows(table):
        workspace = _read_workspace(row)
        if workspace.name in names:
            raise ValueError(f"workspace {workspace.name!r} is listed twice")
        names.add(workspace.name)
        for key in row.get("api_keys") or ():
            # The message names the workspace because keys must not be logged.
            if not isinstance(key, str) or not key:
                raise ValueError(f"workspace {workspace.name!r} has an invalid key")
            existing = workspace_by_key.setdefault(key.encode(), workspace)
            if existing is not workspace:
                raise ValueError(
                    f"workspaces {existing.name!r} and {workspace.name!r} share a key"
                )
    return workspace_by_key


def _read_workspace(row):
    name = row["name"]
    if not isinstance(name, str) or not (name.isascii() and name.isprintable()):
        raise ValueError(f"{name!r} is not a valid workspace name")
    if not name:
        raise ValueError("workspace name is empty")
    owner = f"workspace {name!r}"
    priority = row.get("priority")
    return Workspace(
        name=name,
        rate_per_s=_read_non_negative(owner, "limit", row.get("rate_per_s", 0)),
        burst=_read_non_negative(owner, "limit", row.get("burst", 0)),
        priority=None if priority is None else int(priority),
        allowed_regions=frozenset(row.get("allowed_regions") or ()),
    )


def _read_non_negative(owner, field, value):
    amount = float(value)
    if not 0.0 <= amount < math.inf:
        raise ValueError(f"{owner} has the invalid {field} {value!r}")
    return amount


def _read_service(row):
    return Service(
        name=row["name"],
        health_path=row.get("health_path", ""),
        max_connections=int(row.get("max_conns", 0)),
        warmup_s=read_seconds(row.get("warmup", "0s")),
        cold_per_s=float(row.get("cold_per_s", 0.0)),
    )


def _read_services(table):
    """Return the services by name, and the ``RowProblem`` list."""
    service_by_name = {}
    problems = []
    for row in _read_rows(table):
        try:
            service_by_name[row["name"]] = _read_service(row)
        except _ROW_ERRORS as error:
            name = str(row.get("name", ""))
            problems.append(RowProblem("services", name, repr(error)))
    return service_by_name, problems


def _read_limits(row):
    """Return the ``Limits``, and the ``RowProblem`` list.

    The default replaces a limit that cannot be read.
    """
    fields = {}
    problems = []
    for name, (field, read) in _LIMIT_READERS.items():
        if name not in row:
            continue
        try:
            fields[field] = read(row[name])
        except _ROW_ERRORS as error:
            problems.append(RowProblem("limits", name, repr(error)))
    return Limits()._replace(**fields), problems


def get_config_order(value):
    """Return the version of an encoded configuration, 0 if it has none.

    Its versions increase, while a delayed write may bring an earlier one back
    under a new revision of the store.
    """
    try:
        return read_version(orjson.loads(value)["version"])
    except _ROW_ERRORS:
        return 0


def read_config(spec):
    """Return the ``RouteConfig`` in ``spec``.

    Raises ``ValueError``, ``KeyError``, ``TypeError`` or ``AttributeError`` if
    no part of it can be used.
    """
    steps = read_config_in_steps(spec)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def read_config_in_steps(spec):
    """Read a configuration as ``read_config`` does, some milliseconds a step.

    This is a generator, whose return value is the ``RouteConfig``.
    """
    service_by_name, service_problems = _read_services(spec["services"])
    route_by_prefix, route_problems = yield from _read_routes(
        spec["routes"], service_by_name
    )
    limits, limit_problems = _read_limits(spec.get("limits") or {})
    tenants = spec.get("tenants")
    return RouteConfig(
        version=read_version(spec["version"]),
        route_by_prefix=route_by_prefix,
        service_by_name=service_by_name,
        limits=limits,
        workspace_by_key=None if tenants is None else _read_workspaces(tenants),
        problems=(*service_problems, *route_problems, *limit_problems),
    )


def read_upstream(name, spec):
    """Return the ``Upstream`` that is stored under ``name``.

    Anybody may write to the store, so every field that an upstream writes is
    checked, including unused ones. Raises ``ValueError``, ``KeyError`` or
    ``TypeError`` if the object is not that of an upstream.
    """
    _get_typed(spec, "version", str)
    _get_typed(spec, "seq", int)
    return Upstream(
        id=name,
        service=_get_typed(spec, "service", str),
        address=_read_address(_get_typed(spec, "address", str)),
        availability_zone=_get_typed(spec, "zone", str),
        slots=_read_slots(_get_typed(spec, "slots", int)),
        leaving=_LEAVING_BY_STATE[_get_typed(spec, "state", str)],
        cold_s=read_seconds(spec["cold_remaining"]),
        born_ms=_get_typed(spec, "born", int) if "born" in spec else 0,
    )


def get_upstream_order(value):
    """Return the order of an upstream's encoded entry, ``None`` without one.

    It grows with each write of the upstream: first with its starts, then with
    the number that it counts from 1 at each start. A delayed write may bring
    an earlier entry back.
    """
    try:
        spec = orjson.loads(value)
        born_ms = _get_typed(spec, "born", int) if "born" in spec else 0
        return born_ms, _get_typed(spec, "seq", int)
    except _ROW_ERRORS:
        return None


def read_vm(spec):
    """Return the IP address and the availability zone of an entry VM.

    Raises the same exceptions as ``read_upstream``.
    """
    host = _get_typed(spec, "host", str)
    ipaddress.IPv4Address(host)
    return host, _get_typed(spec, "zone", str)


def _get_typed(spec, name, expected_type):
    value = spec[name]
    # In Python, bool is a subclass of int.
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise TypeError(f"{name} has the wrong type: {value!r}")
    return value


def _read_slots(number):
    if number < 1:
        raise ValueError(f"{number} slots, expected at least 1")
    return number


def _read_address(text):
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not 0 < int(port) < 65536:
        raise ValueError(f"{port} is not a valid port")
    return host, int(port)
