"""Which entry VMs may be named to callers, joined from all that tells it.

Pure: no network and no clock. The platform's list lags, the members' view
covers one's own zone only, summaries tell who leaves elsewhere, and the
operators drain VMs by the text. The first that says a VM leaves wins: a
caller that is sent to a VM which stops would be cut off, while a VM passed
over for a while costs nothing but headroom.
"""

import json
from typing import NamedTuple

from godwitlanding.decisions.choice import make_target

STATE_LIVE = "live"


class Member(NamedTuple):
    """A VM of one's own zone as its zone daemon sees it."""

    vm: str
    address: str
    entry_incarnation: str = ""
    alive: bool = True
    leaving: bool = False
    platform_reachable: bool = False


class VmRow(NamedTuple):
    """A row of the platform's list; ``state`` is live or leaving."""

    vm: str
    address: str
    availability_zone: str
    state: str = STATE_LIVE


def parse_vms(body):
    """Return the rows in a ``vms`` state; ``ValueError`` if it is none."""
    return tuple(_parse_rows(VmRow, body, "vms"))


def parse_members(body):
    """Return the members in a ``members`` state; ``ValueError`` if none."""
    return tuple(_parse_rows(Member, body, "members"))


def parse_leaving_vms(body):
    """Return the VMs that a zone's summary says are leaving."""
    try:
        return frozenset(json.loads(body).get("leaving_vms", ()))
    except (AttributeError, TypeError) as error:
        raise ValueError(f"not a summary: {error}") from error


def _parse_rows(cls, body, key):
    # Fields that a newer process adds must not stop an older one.
    try:
        rows = json.loads(body)[key]
        return [
            cls(**{name: row[name] for name in cls._fields if name in row})
            for row in rows
        ]
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a list of {key}: {error}") from error


def list_targets(availability_zone, vms, members, leaving_vms, drained_vms):
    """Return ``{zone: (target, ...)}`` of the VMs that may be named.

    ``availability_zone`` is one's own, whose ``members`` are known better
    than the platform's list knows them.
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
    # Right after a start no entry process may have been heard of: naming
    # the VMs then is better than refusing everyone.
    with_entry = [member for member in alive if member.entry_incarnation]
    return with_entry or alive
