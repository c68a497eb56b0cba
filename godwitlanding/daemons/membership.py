"""Tracks the members of a zone by the platform's VM list and heartbeats.

When a VM restarts or crashes under load, the work of the silent member has
to move within ``member_timeout_s``, while the platform's list still has it
for many seconds. A new VM has to be used before the list has it. With the
list alone, requests would go to dead VMs while the list lags, and the
members would not change while the platform is unreachable. The timeout of
four heartbeats is the shortest that tolerates two lost ones and a garbage
collection.

Pure: ``now`` is seconds of one monotonic clock.
"""

from typing import NamedTuple

from godwitlanding.base.rendezvous import rank
from godwitlanding.base.storetypes import VmList

STATE_LEAVING = "leaving"
# The arbiter and two alternatives; more would only enlarge messages.
ARBITERS_PER_SERVICE = 3
# Without expiry, names of replaced VMs would accumulate over days.
FORGET_AFTER_S = 600.0


class Member(NamedTuple):
    """The state of a VM of the zone as known to this process."""

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
    """Merges both sources; the own VM is always an alive member."""

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
        """Apply a VM list; return ``False`` if it is older than the last."""
        if vm_list.version < self.vm_list.version:
            return False
        self.vm_list = vm_list
        listed = {entry.vm for entry in vm_list.vms}
        for vm, last in list(self._last_heartbeat_by_vm.items()):
            if vm not in listed and now - last.at > FORGET_AFTER_S:
                del self._last_heartbeat_by_vm[vm]
        return True

    def record_heartbeat(self, heartbeat, now):
        """Record a heartbeat; return whether the member has changed."""
        former = self._last_heartbeat_by_vm.get(heartbeat.vm)
        self._last_heartbeat_by_vm[heartbeat.vm] = _LastHeartbeat(now, heartbeat)
        if former is None or now - former.at > self._timeout_s:
            return True
        return _identity(former.heartbeat) != _identity(heartbeat)

    def get_members(self, now, own_heartbeat):
        """Return all members by VM name, listed or known by heartbeat."""
        member_by_vm = {}
        for entry in self.vm_list.vms:
            if entry.availability_zone == self._availability_zone:
                leaving = entry.state == STATE_LEAVING
                member_by_vm[entry.vm] = Member(
                    entry.vm, entry.address, "", "", False, leaving, False, True
                )
        for vm, last in self._last_heartbeat_by_vm.items():
            alive = now - last.at <= self._timeout_s
            if alive or vm in member_by_vm:
                member_by_vm[vm] = _merge(member_by_vm.get(vm), last, alive)
        own = _merge(
            member_by_vm.get(self.vm), _LastHeartbeat(now, own_heartbeat), True
        )
        member_by_vm[self.vm] = own
        return member_by_vm

    def get_lowest_version(self, kind, name, own_version, now):
        """Return the lowest version of an object among the members.

        It is 0 if a listed member has sent no heartbeat.
        """
        lowest = own_version
        vms = {
            entry.vm
            for entry in self.vm_list.vms
            if entry.availability_zone == self._availability_zone
        }
        vms |= {
            vm
            for vm, last in self._last_heartbeat_by_vm.items()
            if now - last.at <= self._timeout_s
        }
        for vm in vms - {self.vm}:
            last = self._last_heartbeat_by_vm.get(vm)
            held = 0
            for row in last.heartbeat.versions if last else ():
                if (row.kind, row.name) == (kind, name):
                    held = row.version
            lowest = min(lowest, held)
        return lowest

    def is_settled(self, now):
        """Tell whether the other members have had time to send heartbeats.

        Right after its start a process knows no other member and would
        become the arbiter of every service.
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
        """Tell whether ``vm`` is neither listed nor sending heartbeats."""
        if not self.vm_list.version or vm == self.vm:
            return False
        if any(entry.vm == vm for entry in self.vm_list.vms):
            return False
        last = self._last_heartbeat_by_vm.get(vm)
        return last is None or now - last.at > self._timeout_s


def get_active(member_by_vm):
    """Return the VMs that may get work: alive and not leaving."""
    return sorted(
        vm for vm, member in member_by_vm.items() if member.alive and not member.leaving
    )


def get_serving(member_by_vm):
    """Return the active VMs or, if there are none, all that are alive.

    If all VMs of a zone are drained or stopping, callers with a cached
    steering response still arrive, and the zone still has to receive the
    end of the drain. Without a VM that grants permits and watches the
    platform, the callers would be refused and the zone would stay drained.
    """
    alive = sorted(vm for vm, member in member_by_vm.items() if member.alive)
    return get_active(member_by_vm) or alive


def choose_arbiters(services, member_by_vm):
    """Return the arbiter VM and its alternatives, in order, by service."""
    serving = get_serving(member_by_vm)
    return {
        service: rank(f"arbiter/{service}", serving)[:ARBITERS_PER_SERVICE]
        for service in services
    }


def choose_reachable(key, member_by_vm, count):
    """Return ``count`` VMs for work with the platform, preferred first.

    Members that reach the platform come first, so that a disconnected one
    does not keep changes from the zone.
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


def _merge(listed, last, alive):
    heartbeat = last.heartbeat
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
