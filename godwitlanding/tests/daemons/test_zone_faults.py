"""Tests random fault schedules on roster, loans, arbiter and holders.

``GODWIT_SCHEDULES`` sets the number of schedules for a long run. The
default is small, and the schedules are the same in each run.
"""

import os

from hypothesis import HealthCheck, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from hypothesis.strategies import booleans, floats, integers, sampled_from

from godwitlanding.tests.daemons.zone_simulation import ZoneSimulation

SCHEDULES = int(os.environ.get("GODWIT_SCHEDULES", "40"))
STEPS = 40
VMS = ("vm0", "vm1", "vm2")
ROLES = ("zone", "entry")


class ZoneFaults(RuleBasedStateMachine):
    """Applies process, network, membership and platform faults at random.

    Slots of an upstream must not be exceeded after any of them.
    """

    @initialize(
        seed=integers(0, 10_000),
        slots=integers(1, 3),
        finish_probability=sampled_from((0.02, 0.1)),
    )
    def begin(self, seed, slots, finish_probability):
        self.simulation = ZoneSimulation(slots=slots, seed=seed)
        self.simulation.finish_probability = finish_probability
        self.simulation.run(3)

    @rule(duration_s=floats(0.1, 4.0))
    def run(self, duration_s):
        self.simulation.run(duration_s)

    @rule(index=integers(0, 2), role=sampled_from(ROLES))
    def kill(self, index, role):
        self.simulation.restart(self._pick(index), role)

    @rule(index=integers(0, 2), role=sampled_from(ROLES), paused=booleans())
    def pause(self, index, role, paused):
        getattr(self.simulation.node_by_vm[self._pick(index)], role).paused = paused

    @rule(index=integers(0, 2), role=sampled_from(ROLES), s=floats(0.5, 6.0))
    def pause_for(self, index, role, s):
        process = getattr(self.simulation.node_by_vm[self._pick(index)], role)
        process.paused = True
        self.simulation.run(s)
        process.paused = False

    @rule(one=integers(0, 2), other=integers(0, 2))
    def toggle_partition(self, one, other):
        if one != other:
            pair = frozenset((self._pick(one), self._pick(other)))
            self.simulation.partitions ^= {pair}

    @rule()
    def end_partitions(self):
        self.simulation.partitions.clear()
        self.simulation.vms_without_platform.clear()

    @rule(index=integers(0, 2))
    def toggle_platform_access(self, index):
        self.simulation.vms_without_platform ^= {self._pick(index)}

    @rule(available=booleans(), lose_answers=booleans())
    def set_platform(self, available, lose_answers):
        self.simulation.platform.available = available
        self.simulation.platform.lose_answers = lose_answers

    @rule(seconds=sampled_from((0.0, 0.0, 1.0, 5.0)))
    def set_max_extra_delay(self, seconds):
        self.simulation.max_extra_delay_s = seconds

    @rule(share=sampled_from((0.0, 0.1, 0.5)), duration_s=floats(1.0, 8.0))
    def set_flap_probability(self, share, duration_s):
        """Give the members different views of alive VMs and the arbiter."""
        self.simulation.flap_probability = share
        self.simulation.run(duration_s)
        if not share:
            for node in self.simulation.node_by_vm.values():
                node.zone.forced_arbiter = None

    @precondition(lambda self: len(self.simulation.removed_at_by_vm) < 6)
    @rule(index=integers(0, 2))
    def replace(self, index):
        vm = self._pick(index)
        self.simulation.remove_vm(vm)
        self.simulation.add_vm(f"{vm}x")

    @precondition(lambda self: len(self.simulation.removed_at_by_vm) < 3)
    @rule()
    def replace_all_at_once(self):
        for vm in sorted(self.simulation.node_by_vm):
            self.simulation.remove_vm(vm)
            self.simulation.add_vm(f"{vm}y")

    @invariant()
    def slots_are_never_exceeded(self):
        if hasattr(self, "simulation"):
            assert not self.simulation.slot_violations

    def _pick(self, index):
        return sorted(self.simulation.node_by_vm)[index]


ZoneFaults.TestCase.settings = settings(
    max_examples=SCHEDULES,
    stateful_step_count=STEPS,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestZoneFaults = ZoneFaults.TestCase
