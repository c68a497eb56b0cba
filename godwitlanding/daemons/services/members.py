"""Exchanges heartbeats in a zone and tracks which members are alive."""

import asyncio
import json

from godwitlanding.base.kernel import Service
from godwitlanding.base.log import log_warning
from godwitlanding.base.messages import Fetch, Heartbeat, State
from godwitlanding.base.storetypes import VmEntry, VmList
from godwitlanding.base.tasks import Tasks
from godwitlanding.daemons.membership import Membership, choose_arbiters, get_active
from godwitlanding.daemons.versions import choose_versions

VMS_KIND = "vms"
MEMBERS_KIND = "members"
ENTRY_ROLE = "entry"


def parse_vm_list(state):
    """Return the ``VmList`` in a ``vms`` state."""
    rows = json.loads(state.body)["vms"]
    return VmList(state.version, tuple(VmEntry(**row) for row in rows))


def format_vm_list(vm_list):
    """Return the ``vms`` state of a list of VMs."""
    rows = [entry._asdict() for entry in vm_list.vms]
    body = json.dumps({"vms": rows}, sort_keys=True).encode()
    return State(VMS_KIND, "main", vm_list.version, body)


class Members(Service):
    """Sends and receives heartbeats; publishes the ``members`` state."""

    name = "members"
    needs = ("peers", "configuration")

    def __init__(self, context):
        self.member_by_vm = {}
        self.platform_reachable = False
        self.entry_incarnation = ""
        self.membership = None
        self._context = context
        self._tasks = Tasks()
        self._pool = None
        self._configuration = None
        self._listeners = []
        self._alive_since_by_vm = {}
        self._published_count = 0
        self._heartbeat_count = 0
        # Kind and name of the objects that are being fetched.
        self._fetching = set()

    async def start(self, kernel):
        """Start sending and handling heartbeats."""
        settings = self._context.settings
        self.membership = Membership(
            self._context.vm,
            settings["address"],
            self._context.availability_zone,
            settings["member_timeout_s"],
            self._now(),
        )
        self._configuration = kernel.get("configuration")
        peers = kernel.get("peers")
        self._pool = peers.pool
        peers.handle(Heartbeat, self._handle_heartbeat)
        self._context.replica.listen(self._apply_state)
        self._tasks.repeat(settings["heartbeat_s"], self._send_heartbeats)

    async def stop(self):
        """Stop sending heartbeats."""
        await self._tasks.stop()

    def listen(self, listener):
        """Call ``listener()`` after each change of the ``members`` state."""
        self._listeners.append(listener)

    def get_services(self):
        """Return the sorted service names of the current configuration."""
        config = self._configuration.config
        return sorted(config.service_by_name) if config else []

    def get_arbiters(self):
        """Return the candidate arbiters by service, in order of preference."""
        return choose_arbiters(self.get_services(), self.member_by_vm)

    def get_active(self):
        """Return the VMs of the zone that may be assigned work."""
        return get_active(self.member_by_vm)

    def get_alive_since(self, vm):
        """Return the loop time since which a member has been alive.

        For a member that is not alive it is the present time.
        """
        return self._alive_since_by_vm.get(vm, self._now())

    def is_settled(self):
        """Tell whether heartbeats of all other members could have arrived."""
        return self.membership.is_settled(self._now())

    def get_peer_addresses(self):
        """Return ``ip:port`` of the other members' zone daemons, by VM."""
        port = self._context.settings["zone_port"]
        return {
            vm: f"{member.address}:{port}"
            for vm, member in self.member_by_vm.items()
            if vm != self._context.vm and member.address
        }

    def get_other_zone_addresses(self):
        """Return ``ip:port`` of the zone daemons in other zones, by zone."""
        port = self._context.settings["zone_port"]
        addresses_by_zone = {}
        for entry in self.membership.vm_list.vms:
            if entry.availability_zone != self._context.availability_zone:
                addresses = addresses_by_zone.setdefault(entry.availability_zone, [])
                addresses.append(f"{entry.address}:{port}")
        return addresses_by_zone

    def get_lowest_version(self, kind, name):
        """Return the lowest version of an object that a listed member holds.

        A listed member without a received heartbeat counts as holding no
        version: it may be paused and later serve callers from an old one.
        """
        return self.membership.get_lowest_version(
            kind, name, self._context.replica.get_version(kind, name), self._now()
        )

    async def announce(self):
        """Send heartbeats now, for example when this VM starts to leave."""
        await self._send_heartbeats()

    def set_leaving(self):
        """Mark this VM as leaving, so that it is offered to no more callers.

        It still serves its open requests.
        """
        self.membership.leaving = True
        self.refresh()

    def remove_entry(self, incarnation):
        """Stop announcing an entry process that is leaving or has ended."""
        if self.entry_incarnation == incarnation:
            self.entry_incarnation = ""
            self.refresh()

    def refresh(self):
        """Recompute the members and publish them if they have changed."""
        now = self._now()
        members = self.membership.get_members(now, self._make_heartbeat())
        self.member_by_vm = self._mark_drained(members)
        self._update_alive_since(now)
        if self.is_settled():
            self._publish()

    def get_status(self):
        """Return the members and arbiters known to this process."""
        if self.membership is None:
            return {}
        members = [m._asdict() for _, m in sorted(self.member_by_vm.items())]
        return {
            "availability_zone": self._context.availability_zone,
            "incarnation": self._context.incarnation,
            "members": members,
            "arbiters_by_service": self.get_arbiters(),
            "vm_list_version": self.membership.vm_list.version,
            "platform_reachable": self.platform_reachable,
        }

    def _now(self):
        return asyncio.get_running_loop().time()

    def _mark_drained(self, member_by_vm):
        config = self._configuration.config
        if config is None:
            return member_by_vm
        return {
            vm: member._replace(leaving=member.leaving or config.is_drained("vm", vm))
            for vm, member in member_by_vm.items()
        }

    def _update_alive_since(self, now):
        for vm, member in self.member_by_vm.items():
            if member.alive:
                self._alive_since_by_vm.setdefault(vm, now)
            else:
                self._alive_since_by_vm.pop(vm, None)

    def _publish(self):
        body = json.dumps(
            {
                "members": [
                    {
                        "vm": member.vm,
                        "address": member.address,
                        "entry_incarnation": member.entry_incarnation,
                        "alive": member.alive,
                        "leaving": member.leaving,
                        "platform_reachable": member.platform_reachable,
                    }
                    for _, member in sorted(self.member_by_vm.items())
                ],
                "arbiters_by_service": self.get_arbiters(),
            },
            sort_keys=True,
        ).encode()
        zone = self._context.availability_zone
        held = self._context.replica.get(MEMBERS_KIND, zone)
        if held and held.body == body:
            return
        self._published_count += 1
        state = State(MEMBERS_KIND, zone, self._published_count, body)
        self._context.replica.offer(state)
        for listener in self._listeners:
            listener()

    def _make_heartbeat(self):
        return Heartbeat(
            vm=self._context.vm,
            incarnation=self._context.incarnation,
            leaving=self.membership.leaving,
            versions=self._get_versions(),
            entry_incarnation=self.entry_incarnation,
            platform_reachable=self.platform_reachable,
            address=self._context.settings["address"],
        )

    def _get_versions(self):
        states = self._context.replica.state_by_key.values()
        return choose_versions(states, self._heartbeat_count)

    async def _send_heartbeats(self):
        self._heartbeat_count += 1
        self.refresh()
        heartbeat = self._make_heartbeat()
        for vm, address in self.get_peer_addresses().items():
            self._tasks.run(self._send(address, heartbeat))
        self._context.counters.add(
            "heartbeats_sent", amount=len(self.get_peer_addresses())
        )

    async def _send(self, address, heartbeat):
        sent = await self._pool.send(address, heartbeat)
        if sent.is_err():
            self._context.counters.add("heartbeats_unsent")

    async def _handle_heartbeat(self, channel, heartbeat):
        if channel.peer.availability_zone != self._context.availability_zone:
            return
        if channel.peer.role == ENTRY_ROLE:
            self.remove_entry(heartbeat.entry_incarnation)
            return
        has_changed = self.membership.record_heartbeat(heartbeat, self._now())
        if has_changed:
            self.refresh()
        await self._fetch_missing(channel, heartbeat)

    async def _fetch_missing(self, channel, heartbeat):
        replica = self._context.replica
        for row in heartbeat.versions:
            if row.version <= replica.get_version(row.kind, row.name):
                continue
            key = (row.kind, row.name)
            # An object that takes longer than a heartbeat interval must not be
            # requested again with each heartbeat of each member.
            if key in self._fetching:
                continue
            self._fetching.add(key)
            try:
                await self._fetch(channel, row)
            finally:
                self._fetching.discard(key)

    async def _fetch(self, channel, row):
        timeout_s = self._context.settings["member_timeout_s"]
        fetched = await channel.call(Fetch(row.kind, row.name), timeout_s)
        if fetched.is_ok() and isinstance(fetched.unwrap(), State):
            self._context.counters.add("versions_fetched", kind=row.kind)
            self._context.replica.offer(fetched.unwrap())

    def _apply_state(self, state):
        if state.kind == VMS_KIND:
            try:
                vm_list = parse_vm_list(state)
            except (ValueError, KeyError, TypeError) as error:
                log_warning("members:bad_vm_list", error=repr(error))
                return
            self.membership.update_vm_list(vm_list, self._now())
            self.refresh()
        elif state.kind == "config":
            self.refresh()
