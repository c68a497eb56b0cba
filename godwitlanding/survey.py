"""Sums up what the daemons say, as rows of the operators' tables."""

import json
from typing import NamedTuple

from godwitlanding.config import CONFIG_KIND


class VmRow(NamedTuple):
    """The daemons of a VM; ``behind`` names those with an older text."""

    vm: str
    availability_zone: str
    zone: str
    entry: str
    steer: str
    behind: str


class ServiceRow(NamedTuple):
    """A service in a zone as its arbiter counts it.

    ``usable`` slots may be granted; ``out`` names upstreams that get
    nothing new.
    """

    service: str
    availability_zone: str
    arbiter: str
    slots: int
    usable: int
    busy: int
    queued: int
    out: str


def summarise_vms(fleet, config_version):
    """Return a ``VmRow`` a VM."""
    state_by_role_by_vm = {}
    behind_by_vm = {}
    zone_by_vm = {}
    for daemon in fleet:
        zone_by_vm[daemon.vm] = daemon.availability_zone
        state_by_role_by_vm.setdefault(daemon.vm, {})[daemon.role] = daemon.state
        held = daemon.get_version(CONFIG_KIND)
        if daemon.status is not None and held < config_version:
            behind_by_vm.setdefault(daemon.vm, []).append(f"{daemon.role} {held}")
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


def summarise_services(fleet, only=""):
    """Return a ``ServiceRow`` for each service that an arbiter serves."""
    rows = []
    for daemon in fleet:
        services = (daemon.status or {}).get("services", {})
        arbiters = services.get("arbitration", {}).get("services", {})
        for name, status in sorted(arbiters.items()):
            if only and name != only:
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
                    _format_out(status),
                )
            )
    return sorted(rows)


def _format_out(status):
    """Return which upstreams get nothing new, each with the reason."""
    why_by_upstream = {name: "ejected" for name in status.get("ejected", ())}
    why_by_upstream.update(status.get("out", {}))
    pairs = sorted(why_by_upstream.items())
    return ", ".join(f"{name} ({why})" for name, why in pairs)


def summarise_leases(fleet, lease, plan):
    """Return the planner's lease and the plan's state by name."""
    result = {}
    if lease.is_ok():
        value = json.loads(lease.unwrap().value)
        result["planner"] = value.get("holder", "")
    if plan.is_ok():
        value = json.loads(plan.unwrap().value)
        result["plan version"] = plan.unwrap().version
        result["plan step"] = value.get("step", 0)
        result["plan why"] = value.get("why", "")
        for name, share in value.get("moved_by_shift", {}).items():
            result[f"shift {name}"] = f"{share:.1%} moved"
    return result
