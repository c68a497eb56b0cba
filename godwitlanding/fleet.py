"""Which entry VMs may be named to callers, joined from all that tells it.

Pure: no network and no clock. The platform's list lags, the members' view
covers one's own zone only, summaries tell who leaves elsewhere, and the
operators drain VMs by the text. The first that says a VM leaves wins: a
caller that is sent to a VM which stops would be cut off, while a VM passed
over for a while costs nothing but headroom.
"""

import json

from godwitlanding.choice import Target

STATE_LIVE = "live"


def parse_leaving_vms(body):
    """Return the VMs that a zone's summary says are leaving."""
    try:
        return frozenset(json.loads(body).get("leaving_vms", ()))
    except (AttributeError, TypeError) as error:
        raise ValueError(f"not a summary: {error}") from error


def list_targets(availability_zone, vms, members, leaving_vms, drained_vms):
    """Return ``{zone: (target, ...)}`` of the VMs that may be named.

    ``availability_zone`` is one's own, whose ``members`` are known better
    than the platform's list knows them.
    """
    out = {vm.vm for vm in vms if vm.state != STATE_LIVE}
    out |= leaving_vms | drained_vms
    targets = [
        Target(vm.vm, vm.address, vm.availability_zone)
        for vm in vms
        if not members or vm.availability_zone != availability_zone
    ]
    targets += [
        Target(member.vm, member.address, availability_zone)
        for member in _find_serving(members)
    ]
    targets_by_zone = {}
    for target in targets:
        if target.vm not in out:
            targets_by_zone.setdefault(target.availability_zone, []).append(target)
    return {zone: tuple(found) for zone, found in targets_by_zone.items()}


def _find_serving(members):
    alive = [member for member in members if member.alive and not member.leaving]
    # Right after a start no entry process may have been heard of: naming
    # the VMs then is better than refusing everyone.
    with_entry = [member for member in alive if member.entry_incarnation]
    return with_entry or alive
