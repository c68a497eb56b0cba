"""Lists the entry VMs that callers may be directed to.

Pure: no network and no clock. Combines the platform's VM list, which lags,
the members of the own zone, the summaries of other zones, which list VMs
that are leaving, and the drains in the configuration. A VM is left out as
soon as one source reports that it is leaving: a caller directed to a
stopping VM would be disconnected, while leaving out a VM for some time only
costs headroom.
"""

import json
from typing import NamedTuple

from godwitlanding.decisions.choice import make_target

STATE_LIVE = "live"


class Member(NamedTuple):
    """A VM of the own zone as reported by the zone daemon."""

    vm: str
    address: str
    entry_incarnation: str = ""
    alive: bool = True
    leaving: bool = False
    platform_reachable: bool = False


class VmRow(NamedTuple):
    """A row of the platform's VM list; ``state`` is live or leaving."""

    vm: str
    address: str
    availability_zone: str
    state: str = STATE_LIVE


def parse_vms(body):
    """Return the rows of a ``vms`` object; raises ``ValueError``."""
    return tuple(_parse_rows(VmRow, body, "vms"))


def parse_members(body):
    """Return the members of a ``members`` object; raises ``ValueError``."""
    return tuple(_parse_rows(Member, body, "members"))


def parse_leaving_vms(body):
    """Return the leaving VMs in a zone's summary; raises ``ValueError``."""
    try:
        return frozenset(json.loads(body).get("leaving_vms", ()))
    except (AttributeError, TypeError) as error:
        raise ValueError(f"invalid summary: {error}") from error


def _parse_rows(cls, body, key):
    # Unknown fields, as written by newer processes, are ignored.
    try:
        rows = json.loads(body)[key]
        return [
            cls(**{name: row[name] for name in cls._fields if name in row})
            for row in rows
        ]
    except (KeyError, TypeError) as error:
        raise ValueError(f"invalid list of {key}: {error}") from error


def list_targets(availability_zone, vms, members, leaving_vms, drained_vms):
    """Return ``{zone: (target, ...)}`` of the VMs for callers.

    ``availability_zone`` is the own zone. Its ``members`` are more recent
    than the platform's list and replace it there.
    """
    excluded = {vm.vm for vm in vms if vm.state != STATE_LIVE}
    excluded |= leaving_vms | drained_vms
    targets = [
        make_target(vm.vm, vm.address, vm.availability_zone)
        for vm in vms
        if not members or vm.availability_zone != availability_zone
    ]
    targets += [
        make_target(member.vm, member.address, availability_zone)
        for member in _find_serving(members)
    ]
    targets_by_zone = {}
    for target in targets:
        if target.vm not in excluded:
            targets_by_zone.setdefault(target.availability_zone, []).append(target)
    return {zone: tuple(found) for zone, found in targets_by_zone.items()}


def _find_serving(members):
    alive = [member for member in members if member.alive and not member.leaving]
    # Right after a start no entry process may be known yet. Listing the VMs
    # without one is then better than refusing all callers.
    with_entry = [member for member in alive if member.entry_incarnation]
    return with_entry or alive
