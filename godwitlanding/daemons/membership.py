"""Who is in the availability zone: the platform's list joined with heartbeats.

Answers the load pattern of a restart or a crash under load: within
``member_timeout_s`` the work of a silent member has to go elsewhere, while
the platform's list still shows it for many seconds, and a new VM has to be
used before the list shows it. Without the join, requests would be sent to
dead VMs for as long as the list lags, and a cut from the platform would
freeze the zone. The timeout of four heartbeats is the least that passes
over two lost ones and a garbage collection.

Pure: ``now`` is seconds of one monotonic clock.
"""

from typing import NamedTuple

from godwitlanding.base.rendezvous import rank
from godwitlanding.base.storetypes import VmList

STATE_LEAVING = "leaving"
# The arbiter and two that are tried after it; more only cost bytes.
ARBITERS_PER_SERVICE = 3
# Names of VMs that are gone would gather over days of replacements.
FORGET_AFTER_S = 600.0


class Member(NamedTuple):
    """A VM of the zone as this process sees it."""

    vm: str
    address: str
    incarnation: str
    entry_incarnation: str
    alive: bool
    leaving: bool
    platform_reachable: bool
    listed: bool


class _LastHeartbeat(NamedTuple):
    at: float
    heartbeat: tuple


class Membership:
    """Joins the two sources; the process itself is always a live member."""

    def __init__(self, vm, address, availability_zone, timeout_s, started_at):
        self.vm = vm
        self.leaving = False
        self.vm_list = VmList(0, ())
        self._address = address
        self._availability_zone = availability_zone
        self._timeout_s = timeout_s
        self._started_at = started_at
        self._last_heartbeat_by_vm = {}

    def update_vm_list(self, vm_list, now):
        """Take a list of VMs; an older one than the last is passed over."""
        if vm_list.version < self.vm_list.version:
            return False
        self.vm_list = vm_list
        listed = {entry.vm for entry in vm_list.vms}
        for vm, heard in list(self._last_heartbeat_by_vm.items()):
            if vm not in listed and now - heard.at > FORGET_AFTER_S:
                del self._last_heartbeat_by_vm[vm]
        return True

    def record_heartbeat(self, heartbeat, now):
        """Note a member's sign of life; ``True`` if it is news to the zone."""
        former = self._last_heartbeat_by_vm.get(heartbeat.vm)
        self._last_heartbeat_by_vm[heartbeat.vm] = _LastHeartbeat(now, heartbeat)
        if former is None or now - former.at > self._timeout_s:
            return True
        return _identity(former.heartbeat) != _identity(heartbeat)

    def get_members(self, now, own_heartbeat):
        """Return every member, listed or heard, by its VM's name."""
        member_by_vm = {}
        for entry in self.vm_list.vms:
            if entry.availability_zone == self._availability_zone:
                leaving = entry.state == STATE_LEAVING
                member_by_vm[entry.vm] = Member(
                    entry.vm, entry.address, "", "", False, leaving, False, True
                )
        for vm, heard in self._last_heartbeat_by_vm.items():
            alive = now - heard.at <= self._timeout_s
            if alive or vm in member_by_vm:
                member_by_vm[vm] = _merge(member_by_vm.get(vm), heard, alive)
        own = _merge(
            member_by_vm.get(self.vm), _LastHeartbeat(now, own_heartbeat), True
        )
        member_by_vm[self.vm] = own
        return member_by_vm

    def get_lowest_version(self, kind, name, own_version, now):
        """Return the lowest version that a member has, 0 if one is unheard."""
        lowest = own_version
        vms = {
            entry.vm
            for entry in self.vm_list.vms
            if entry.availability_zone == self._availability_zone
        }
        vms |= {
            vm
            for vm, heard in self._last_heartbeat_by_vm.items()
            if now - heard.at <= self._timeout_s
        }
        for vm in vms - {self.vm}:
            heard = self._last_heartbeat_by_vm.get(vm)
            held = 0
            for row in heard.heartbeat.versions if heard else ():
                if (row.kind, row.name) == (kind, name):
                    held = row.version
            lowest = min(lowest, held)
        return lowest

    def is_settled(self, now):
        """Tell whether the others have had time to be heard.

        A process that has just started has heard nobody and would take
        itself for the arbiter of everything.
        """
        if now - self._started_at >= self._timeout_s:
            return True
        listed = {
            entry.vm
            for entry in self.vm_list.vms
            if entry.availability_zone == self._availability_zone
        }
        return bool(listed) and listed <= set(self._last_heartbeat_by_vm) | {self.vm}

    def is_gone(self, vm, now):
        """Tell whether the platform's list lacks ``vm`` and it is silent."""
        if not self.vm_list.version or vm == self.vm:
            return False
        if any(entry.vm == vm for entry in self.vm_list.vms):
            return False
        heard = self._last_heartbeat_by_vm.get(vm)
        return heard is None or now - heard.at > self._timeout_s


def get_active(member_by_vm):
    """Return the VMs that may be given work: alive and not leaving."""
    return sorted(
        vm for vm, member in member_by_vm.items() if member.alive and not member.leaving
    )


def get_serving(member_by_vm):
    """Return the active VMs or, where there are none, all that are alive.

    Where every VM of a zone is drained or stops, callers with an answer
    that they have cached still come, and the end of the drain still has to
    be heard of: without anybody to grant and to watch, the callers would be
    refused, and the zone would stay drained for good.
    """
    alive = sorted(vm for vm, member in member_by_vm.items() if member.alive)
    return get_active(member_by_vm) or alive


def choose_arbiters(services, member_by_vm):
    """Return the VMs to ask for permits, best first, by service."""
    serving = get_serving(member_by_vm)
    return {
        service: rank(f"arbiter/{service}", serving)[:ARBITERS_PER_SERVICE]
        for service in services
    }


def choose_reachable(key, member_by_vm, count):
    """Return ``count`` VMs for work with the platform, best first.

    Members that reach the platform go first, so that one which is cut off
    from it does not keep the zone from learning of a change.
    """
    ranked = rank(key, get_serving(member_by_vm))
    reachable = [vm for vm in ranked if member_by_vm[vm].platform_reachable]
    return (reachable + [vm for vm in ranked if vm not in reachable])[:count]


def _identity(heartbeat):
    return (
        heartbeat.incarnation,
        heartbeat.leaving,
        heartbeat.entry_incarnation,
        heartbeat.platform_reachable,
    )


def _merge(listed, heard, alive):
    heartbeat = heard.heartbeat
    return Member(
        vm=heartbeat.vm,
        address=heartbeat.address or (listed.address if listed else ""),
        incarnation=heartbeat.incarnation,
        entry_incarnation=heartbeat.entry_incarnation,
        alive=alive,
        leaving=heartbeat.leaving or bool(listed and listed.leaving),
        platform_reachable=heartbeat.platform_reachable,
        listed=listed is not None,
    )
