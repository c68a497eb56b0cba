"""Decodes what the operator and the upstreams keep in the platform's store."""

import ipaddress
import math

from godwitlanding.decisions.routes import (
    Limits,
    Route,
    RouteConfig,
    RouteKind,
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
# A kind of our own: one object for each VM of the system.
VM_KIND = "godwit-vms"
# Another one: one object for each region, with what its upstreams know.
OBJECT_MAP_KIND = "godwit-objects"

_DEFAULT_PRIORITY = 1
_LEAVING_BY_STATE = {"ready": False, "draining": True}


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
    if split:
        return tuple(SplitPart(p["service"], float(p["weight"])) for p in split)
    return (SplitPart(row["service"], 1.0),)


def _read_route(row):
    return Route(
        name=row["name"],
        host=row["host"].lower(),
        path_prefix=row["path_prefix"],
        kind=RouteKind(row["kind"]),
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
            raise ValueError(f"workspace {workspace.name!r} stands twice")
        names.add(workspace.name)
        for key in row.get("api_keys") or ():
            # The message names the workspace: keys stand in no log line.
            if not isinstance(key, str) or not key:
                raise ValueError(f"workspace {workspace.name!r} has an odd key")
            holder = workspace_by_key.setdefault(key.encode(), workspace)
            if holder is not workspace:
                raise ValueError(
                    f"workspaces {holder.name!r} and {workspace.name!r} share a key"
                )
    return workspace_by_key


def _read_workspace(row):
    name = row["name"]
    if not isinstance(name, str) or not (name.isascii() and name.isprintable()):
        raise ValueError(f"{name!r} is no name of a workspace")
    if not name:
        raise ValueError("a workspace has no name")
    priority = row.get("priority")
    return Workspace(
        name=name,
        rate_per_s=_read_non_negative(name, row.get("rate_per_s", 0)),
        burst=_read_non_negative(name, row.get("burst", 0)),
        priority=None if priority is None else int(priority),
        allowed_regions=frozenset(row.get("allowed_regions") or ()),
    )


def _read_non_negative(name, value):
    amount = float(value)
    if not 0.0 <= amount < math.inf:
        raise ValueError(f"workspace {name!r} may send {value!r}")
    return amount


def _read_service(row):
    return Service(
        name=row["name"],
        health_path=row.get("health_path", ""),
        max_connections=int(row.get("max_conns", 0)),
        warmup_s=read_seconds(row.get("warmup", "0s")),
        cold_per_s=float(row.get("cold_per_s", 0.0)),
    )


def _read_limits(row):
    default = Limits()
    return Limits(
        max_header_bytes=int(row.get("max_header_bytes", default.max_header_bytes)),
        max_body_bytes=int(row.get("max_body_bytes", default.max_body_bytes)),
        header_timeout_s=read_seconds(row.get("header_timeout", "3s")),
        idle_timeout_s=read_seconds(row.get("idle_timeout", "15s")),
    )


def read_config(spec):
    """Return the ``RouteConfig`` in ``spec``.

    Raises ``ValueError``, ``KeyError`` or ``TypeError`` where it is not one.
    """
    routes = [_read_route(row) for row in _read_rows(spec["routes"])]
    services = [_read_service(row) for row in _read_rows(spec["services"])]
    tenants = spec.get("tenants")
    return RouteConfig(
        version=read_version(spec["version"]),
        route_by_prefix={(r.host, r.path_prefix): r for r in routes},
        service_by_name={service.name: service for service in services},
        limits=_read_limits(spec.get("limits") or {}),
        workspace_by_key=None if tenants is None else _read_workspaces(tenants),
    )


def read_upstream(name, spec):
    """Return the ``Upstream`` whose entry is called ``name``.

    Anybody may write into the store, so every field that an upstream writes
    is checked, also those that nothing here uses. Raises ``ValueError``,
    ``KeyError`` or ``TypeError`` where the entry is not one of an upstream.
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


def read_vm(spec):
    """Return the IP number and the availability zone of an entry VM.

    Raises as ``read_upstream`` does.
    """
    host = _get_typed(spec, "host", str)
    ipaddress.IPv4Address(host)
    return host, _get_typed(spec, "zone", str)


def _get_typed(spec, name, kind):
    value = spec[name]
    # To Python a bool is a whole number.
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"{name} is {value!r}")
    return value


def _read_slots(number):
    if number < 1:
        raise ValueError(f"{number} slots")
    return number


def _read_address(text):
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not 0 < int(port) < 65536:
        raise ValueError(f"{port} is no port")
    return host, int(port)
