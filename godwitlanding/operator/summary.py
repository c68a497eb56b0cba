"""Summarises daemon statuses, plan and leases for ``godwitctl status``."""

import json
from typing import NamedTuple

from godwitlanding.base.config import CONFIG_KIND
from godwitlanding.decisions.plan import EMPTY_PLAN, parse_plan


class VmRow(NamedTuple):
    """Daemon states of a VM; ``behind`` lists those with an older version."""

    vm: str
    availability_zone: str
    zone: str
    entry: str
    steer: str
    behind: str


class ServiceRow(NamedTuple):
    """State of a service in a zone, as reported by its arbiter.

    ``usable`` is the number of slots that may be granted; ``out`` lists the
    upstreams that receive no new requests, with the reason.
    """

    service: str
    availability_zone: str
    arbiter: str
    slots: int
    usable: int
    busy: int
    queued: int
    out: str


class PlanRow(NamedTuple):
    """Share of a zone's callers that a zone receives, and its spill allowance.

    The allowance is in requests in flight.
    """

    service: str
    from_zone: str
    to_zone: str
    share: float
    allowance: int


def summarise_plan(plan, only_service=""):
    """Return a ``PlanRow`` for each pair of zones in the plan."""
    rows = []
    weights = plan.weight_by_zone_by_origin_by_service
    for service in sorted({*weights, *plan.allowance_by_zones_by_service}):
        if only_service and service != only_service:
            continue
        by_origin = weights.get(service, {})
        for origin in sorted(by_origin):
            allowances = plan.get_allowances(service, origin)
            for zone in sorted({*by_origin[origin], *allowances}):
                share = float(by_origin[origin].get(zone, 0.0))
                allowance = allowances.get(zone, 0)
                rows.append(PlanRow(service, origin, zone, share, allowance))
    return rows


def summarise_vms(fleet, config_version):
    """Return a ``VmRow`` for each VM."""
    state_by_role_by_vm = {}
    behind_by_vm = {}
    zone_by_vm = {}
    for daemon in fleet:
        zone_by_vm[daemon.vm] = daemon.availability_zone
        state_by_role_by_vm.setdefault(daemon.vm, {})[daemon.role] = daemon.state
        version = daemon.get_version(CONFIG_KIND)
        if daemon.status is not None and version < config_version:
            behind_by_vm.setdefault(daemon.vm, []).append(f"{daemon.role} {version}")
    return [
        VmRow(
            vm,
            zone_by_vm[vm],
            state_by_role.get("zone", ""),
            state_by_role.get("entry", ""),
            state_by_role.get("steer", ""),
            ", ".join(behind_by_vm.get(vm, [])),
        )
        for vm, state_by_role in state_by_role_by_vm.items()
    ]


def summarise_services(fleet, only_service=""):
    """Return a ``ServiceRow`` for each service of each arbiter."""
    rows = []
    for daemon in fleet:
        arbiters = _get_service(daemon, "arbitration").get("services", {})
        for name, status in sorted(arbiters.items()):
            if only_service and name != only_service:
                continue
            rows.append(
                ServiceRow(
                    name,
                    daemon.availability_zone,
                    daemon.vm,
                    status.get("slots", 0),
                    status.get("usable_slots", 0),
                    status.get("busy", 0),
                    status.get("queued", 0),
                    _format_excluded_upstreams(status),
                )
            )
    return sorted(rows)


def count_in_progress(fleet, item):
    """Return how many requests a drained item has in progress.

    ``item`` is a table of ``drains`` in the configuration text.
    """
    if item["what"] == "vm":
        return sum(
            _get_service(daemon, "requests").get("in_progress", 0)
            for daemon in fleet
            if daemon.vm == item["name"] and daemon.role == "entry"
        )
    count = 0
    for daemon in fleet:
        arbiters = _get_service(daemon, "arbitration").get("services", {})
        for service, status in arbiters.items():
            if item["what"] == "upstream":
                count += status.get("busy_by_upstream", {}).get(item["name"], 0)
            elif daemon.availability_zone == item["name"]:
                is_included = item.get("service", service) == service
                count += status.get("busy", 0) if is_included else 0
    return count


def _get_service(daemon, name):
    return (daemon.status or {}).get("services", {}).get(name, {})


def _format_excluded_upstreams(status):
    """Return the upstreams that receive no new requests, with the reasons."""
    why_by_upstream = {name: "ejected" for name in status.get("ejected", ())}
    why_by_upstream.update(status.get("out", {}))
    pairs = sorted(why_by_upstream.items())
    return ", ".join(f"{name} ({why})" for name, why in pairs)


def summarise_leases(lease, plan):
    """Return the planner's lease holder and the state of the plan by name."""
    result = {}
    if lease.is_ok():
        value = json.loads(lease.unwrap().value)
        result["planner"] = value.get("holder", "")
    if plan.is_ok():
        value = read_plan(plan)
        result["plan version"] = plan.unwrap().version
        result["plan step"] = value.step
        result["plan why"] = value.why
        for name, share in value.moved_by_shift.items():
            result[f"shift {name}"] = f"{share:.1%} moved"
    return result


def read_plan(plan):
    """Return the plan of a store result, an empty plan if it has none."""
    try:
        return parse_plan(plan.unwrap().value) if plan.is_ok() else EMPTY_PLAN
    except ValueError:
        return EMPTY_PLAN
