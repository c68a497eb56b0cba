"""Simulates a zone in memory: members, holders, messages and upstreams.

Runs the modules without I/O (``UpstreamOwner``, ``PermitServer``,
``Borrower``) of several VMs against each other. Messages have a latency and
may be delayed, dropped and reordered. Each process may be killed, paused or
partitioned from others. For each upstream the running requests are counted,
which is what its licence limits.
"""

import random

from godwitlanding.daemons.roster import EMPTY_ROSTER
from godwitlanding.tests.daemons.zone_processes import (
    HEARTBEAT_STEPS,
    STEP_S,
    VM_LIST_LAG_S,
    EntryProcess,
    ZoneProcess,
)


class FakePlatform:
    """Stores the roster object; simulates outages and lost responses."""

    def __init__(self):
        self.available = True
        self.lose_answers = False
        self.version = 1
        self.roster = EMPTY_ROSTER

    def put(self, roster, expected_version):
        if not self.available or expected_version not in (self.version, 0):
            return False
        if expected_version == 0 and self.version != 1:
            return False
        self.version += 1
        self.roster = roster
        return not self.lose_answers


class Node:
    """Holds the two processes of a VM; ``None`` for one that is down."""

    def __init__(self, zone, entry):
        self.zone = zone
        self.entry = entry


class ZoneSimulation:
    """Simulates time, messages, VMs and upstreams of one zone."""

    def __init__(self, vms=3, upstreams=3, slots=1, seed=0):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.platform = FakePlatform()
        self.slots_by_upstream = {f"u{i}": slots for i in range(upstreams)}
        self.node_by_vm = {}
        self.removed_at_by_vm = {}
        self.partitions = set()
        self.vms_without_platform = set()
        self.max_extra_delay_s = 0.0
        self.flap_probability = 0.0
        self.finish_probability = 0.1
        self.running_by_permit = {}
        self.started = 0
        self.slot_violations = []
        self._in_flight = []
        self._last_number = 0
        self._steps = 0
        for index in range(vms):
            self.add_vm(f"vm{index}")

    def next_number(self):
        self._last_number += 1
        return self._last_number

    def add_vm(self, vm):
        zone = ZoneProcess(self, vm, self.next_number())
        entry = EntryProcess(self, vm, self.next_number())
        self.node_by_vm[vm] = Node(zone, entry)

    def remove_vm(self, vm):
        """Remove a VM; the platform's VM list reflects this later."""
        del self.node_by_vm[vm]
        self.removed_at_by_vm[vm] = self.now

    def restart(self, vm, role):
        """Kill a process and start a new incarnation at once."""
        kinds = {"zone": ZoneProcess, "entry": EntryProcess}
        setattr(self.node_by_vm[vm], role, kinds[role](self, vm, self.next_number()))

    def list_gone_vms(self):
        return [
            vm
            for vm, at in self.removed_at_by_vm.items()
            if self.now - at >= VM_LIST_LAG_S
        ]

    def list_owners(self, roster):
        return sorted(set(roster.owner_by_upstream.values()))

    def send(self, sender, receiver, role, deliver):
        if frozenset((sender, receiver)) in self.partitions:
            return
        delay_s = 0.0 if sender == receiver else self.rng.uniform(0.001, 0.02)
        if self.max_extra_delay_s and self.rng.random() < 0.3:
            delay_s += self.rng.uniform(0.0, self.max_extra_delay_s)
        due = self.now + delay_s
        self._in_flight.append((due, self.next_number(), receiver, role, deliver))

    def start(self, key, running):
        """Start a request at an upstream and check its number of slots."""
        self.started += 1
        self.running_by_permit[key] = running
        busy = self.count_busy(running.upstream)
        if busy > self.slots_by_upstream[running.upstream]:
            self.slot_violations.append((self.now, running.upstream, busy))

    def count_busy(self, upstream):
        return sum(
            running.upstream == upstream and running.until > self.now
            for running in self.running_by_permit.values()
        )

    def run(self, duration_s):
        """Advance the time while callers send requests continuously."""
        for _ in range(round(duration_s / STEP_S)):
            self.now += STEP_S
            self._steps += 1
            self._deliver()
            for index, vm in enumerate(sorted(self.node_by_vm)):
                node = self.node_by_vm[vm]
                is_heartbeat_step = (self._steps + index) % HEARTBEAT_STEPS == 0
                if node.zone and not node.zone.paused:
                    if is_heartbeat_step:
                        node.zone.tick()
                    else:
                        node.zone.permit_server.tick(self.now)
                if node.entry and not node.entry.paused:
                    node.entry.tick(self.rng)
            self._deliver()

    def _deliver(self):
        while True:
            due = [m for m in self._in_flight if m[0] <= self.now]
            ready = [m for m in due if self._can_deliver(m)]
            if not ready:
                break
            for message in sorted(ready, key=lambda m: m[:2]):
                self._in_flight.remove(message)
                process = self._find_process(message[2], message[3])
                if process:
                    message[4](process)
        self._in_flight = [m for m in self._in_flight if self.now - m[0] < 30]

    def _can_deliver(self, message):
        process = self._find_process(message[2], message[3])
        return process is None or not process.paused

    def _find_process(self, vm, role):
        node = self.node_by_vm.get(vm)
        return getattr(node, role) if node else None
