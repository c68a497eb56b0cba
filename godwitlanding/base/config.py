"""Parses and validates the operators' configuration text.

The text is JSON with comments and describes regions, services with their
upstreams and dependencies, link limits, traffic shifts with their caps,
and drains. ``docs/configuration.rst`` describes every key.

>>> parse_config(text).unwrap().service_by_name["status"].deadline_s
2.0
"""

from typing import NamedTuple

from result import Err, Ok

from godwitlanding.base.codes import Code
from godwitlanding.base.configschema import (
    CONFIG,
    KIND_BULK,
    KIND_LOOKUP,
    KIND_TRANSACTION,
)
from godwitlanding.base.schema import Checker, Field, read_text

CONFIG_KIND = "config"
CONFIG_NAME = "main"

# Smaller is served first: a lost payment, order or booking does the most
# damage, and nobody waits for a bulk download interactively.
PRIORITY_BY_KIND = {KIND_TRANSACTION: 0, KIND_LOOKUP: 1, KIND_BULK: 2}


class UpstreamConfig(NamedTuple):
    """An upstream server with licensed slots; ``address`` is ``ip:port``."""

    id: str
    address: str
    availability_zone: str
    slots: int
    service: str


class ServiceConfig(NamedTuple):
    """Configuration of a service; times are in seconds."""

    name: str
    kind: str
    deadline_s: float
    work_s: float
    slow_start_s: float
    depends_on: tuple[str, ...]
    upstream_by_id: dict[str, UpstreamConfig]

    @property
    def priority(self):
        """Return the queue priority; smaller is served first."""
        return PRIORITY_BY_KIND[self.kind]

    def get_upstreams(self, availability_zone):
        """Return the upstreams of a zone in the order of the text."""
        return tuple(
            upstream
            for upstream in self.upstream_by_id.values()
            if upstream.availability_zone == availability_zone
        )


class Region(NamedTuple):
    """A region; ``load_limit`` is the plannable share of its slots."""

    name: str
    availability_zones: tuple[str, ...]
    load_limit: float


class Link(NamedTuple):
    """Rate limits from one zone to another; 0 bytes/s means unlimited."""

    requests_per_s: float
    bytes_per_s: float


class Shift(NamedTuple):
    """A request to move a share of a zone's callers to another zone."""

    name: str
    service: str
    from_zone: str
    to_zone: str
    share: float
    cap_share: float
    step_s: float
    paused: bool


class Drain(NamedTuple):
    """An upstream, VM or zone that receives no new requests.

    A ``service`` restricts the drain of a zone to that service.
    """

    what: str
    name: str
    service: str


class Configuration(NamedTuple):
    """A validated configuration."""

    name: str
    region_by_name: dict[str, Region]
    region_by_zone: dict[str, str]
    service_by_name: dict[str, ServiceConfig]
    link_by_zones: dict[tuple[str, str], Link]
    shift_by_name: dict[str, Shift]
    drains: frozenset[Drain]

    def is_drained(self, what, name, service=""):
        """Return whether it is drained, for ``service`` or for all."""
        for_all = Drain(what, name, "") in self.drains
        return for_all or Drain(what, name, service) in self.drains


def parse_config(text):
    """Return ``Ok(Configuration)`` or ``Err`` with a list of all problems."""
    parsed = read_text(text)
    if parsed.is_err():
        return parsed
    checker = Checker(text)
    value = checker.check(parsed.unwrap(), Field("table", table=CONFIG), "")
    if checker.problems:
        return Err(checker.problems)
    _check_names(value, checker)
    _check_references(value, checker)
    return Err(checker.problems) if checker.problems else Ok(_build(value))


def _check_names(value, checker):
    zones = [zone for r in value["regions"] for zone in r["availability_zones"]]
    upstreams = [u for s in value["services"] for u in s["upstreams"]]
    for path, names in (
        ("regions", [region["name"] for region in value["regions"]]),
        ("availability_zones", zones),
        ("services", [service["name"] for service in value["services"]]),
        ("upstreams.id", [upstream["id"] for upstream in upstreams]),
        ("upstreams.address", [upstream["address"] for upstream in upstreams]),
        ("shifts", [shift["name"] for shift in value["shifts"]]),
        ("links", [f"{link['from']} to {link['to']}" for link in value["links"]]),
        ("shifts", [f"{s['service']} {s['from']}" for s in value["shifts"]]),
    ):
        for name in _find_duplicates(names):
            checker.add(Code.CONFIG_DUPLICATE, path, repr(name), "each one once")


def _find_duplicates(names):
    seen = set()
    return sorted({name for name in names if name in seen or seen.add(name)})


def _check_references(value, checker):
    zones = {zone for r in value["regions"] for zone in r["availability_zones"]}
    services = {service["name"] for service in value["services"]}
    upstreams = {u["id"] for s in value["services"] for u in s["upstreams"]}

    def check_reference(name, known, path, what):
        if name not in known:
            checker.add(
                Code.CONFIG_UNKNOWN_REFERENCE, path, repr(name), what, near=name
            )

    for service in value["services"]:
        path = f"services.{service['name']}"
        for name in service["depends_on"]:
            check_reference(
                name, services, f"{path}.depends_on", "a service of this text"
            )
        for upstream in service["upstreams"]:
            zone = upstream["availability_zone"]
            check_reference(
                zone, zones, f"{path}.{upstream['id']}", "a zone of a region"
            )
    for link in value["links"]:
        check_reference(link["from"], zones, "links.from", "a zone of a region")
        check_reference(link["to"], zones, "links.to", "a zone of a region")
    for shift in value["shifts"]:
        path = f"shifts.{shift['name']}"
        check_reference(shift["service"], services, path, "a service of this text")
        check_reference(shift["from"], zones, path, "a zone of a region")
        check_reference(shift["to"], zones, path, "a zone of a region")
        if shift["share"] > 0 and shift["cap_share"] == 0:
            checker.add(Code.CONFIG_OUT_OF_RANGE, path, "cap_share 0", "more than 0")
        if shift["from"] == shift["to"]:
            checker.add(Code.CONFIG_OUT_OF_RANGE, path, shift["to"], "another zone")
    for drain in value["drains"]:
        if drain["what"] == "upstream":
            check_reference(
                drain["name"], upstreams, "drains", "an upstream of this text"
            )
        if drain["what"] == "availability_zone":
            check_reference(drain["name"], zones, "drains", "a zone of a region")
        if drain["service"]:
            check_reference(
                drain["service"], services, "drains", "a service of this text"
            )
    _check_cycles(value, checker)


def _check_cycles(value, checker):
    dependencies_by_name = {s["name"]: s["depends_on"] for s in value["services"]}
    for name in dependencies_by_name:
        if name in _find_transitive_dependencies(name, dependencies_by_name):
            path = f"services.{name}.depends_on"
            checker.add(Code.CONFIG_UNKNOWN_REFERENCE, path, "a cycle", "no cycle")


def _find_transitive_dependencies(name, dependencies_by_name):
    dependencies = set()
    pending = list(dependencies_by_name[name])
    while pending:
        dependency = pending.pop()
        if dependency not in dependencies:
            dependencies.add(dependency)
            pending.extend(dependencies_by_name.get(dependency, ()))
    return dependencies


def _build(value):
    regions = [
        Region(r["name"], tuple(r["availability_zones"]), r["load_limit"])
        for r in value["regions"]
    ]
    links = {
        (link["from"], link["to"]): Link(link["requests_per_s"], link["bytes_per_s"])
        for link in value["links"]
    }
    shifts = [
        Shift(
            s["name"],
            s["service"],
            s["from"],
            s["to"],
            s["share"],
            s["cap_share"],
            s["step_s"],
            s["paused"],
        )
        for s in value["shifts"]
    ]
    drains = (Drain(d["what"], d["name"], d["service"]) for d in value["drains"])
    return Configuration(
        name=value["name"],
        region_by_name={region.name: region for region in regions},
        region_by_zone={z: r.name for r in regions for z in r.availability_zones},
        service_by_name={s["name"]: _build_service(s) for s in value["services"]},
        link_by_zones=links,
        shift_by_name={shift.name: shift for shift in shifts},
        drains=frozenset(drains),
    )


def _build_service(value):
    upstreams = [
        UpstreamConfig(
            u["id"], u["address"], u["availability_zone"], u["slots"], value["name"]
        )
        for u in value["upstreams"]
    ]
    return ServiceConfig(
        name=value["name"],
        kind=value["kind"],
        deadline_s=float(value["deadline_s"]),
        work_s=float(value["work_s"]),
        slow_start_s=float(value["slow_start_s"]),
        depends_on=tuple(value["depends_on"]),
        upstream_by_id={upstream.id: upstream for upstream in upstreams},
    )
