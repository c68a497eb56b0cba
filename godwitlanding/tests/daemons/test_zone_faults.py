"""Random schedules of faults over roster, loans, arbiter and holders.

``GODWIT_SCHEDULES`` sets the number of schedules for a long run; the
default is small and the same every time.
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

from godwitlanding.tests.daemons.zone_world import World

SCHEDULES = int(os.environ.get("GODWIT_SCHEDULES", "40"))
STEPS = 40
VMS = ("vm0", "vm1", "vm2")
ROLES = ("zone", "entry")


class ZoneFaults(RuleBasedStateMachine):
    """Kills, pauses, cuts, wrong views, outages and lost answers."""

    @initialize(
        seed=integers(0, 10_000),
        slots=integers(1, 3),
        finish_share=sampled_from((0.02, 0.1)),
    )
    def begin(self, seed, slots, finish_share):
        self.world = World(slots=slots, seed=seed)
        self.world.finish_share = finish_share
        self.world.run(3)

    @rule(duration_s=floats(0.1, 4.0))
    def run(self, duration_s):
        self.world.run(duration_s)

    @rule(index=integers(0, 2), role=sampled_from(ROLES))
    def kill(self, index, role):
        self.world.restart(self._pick(index), role)

    @rule(index=integers(0, 2), role=sampled_from(ROLES), paused=booleans())
    def pause(self, index, role, paused):
        getattr(self.world.node_by_vm[self._pick(index)], role).paused = paused

    @rule(index=integers(0, 2), role=sampled_from(ROLES), s=floats(0.5, 6.0))
    def pause_for(self, index, role, s):
        process = getattr(self.world.node_by_vm[self._pick(index)], role)
        process.paused = True
        self.world.run(s)
        process.paused = False

    @rule(one=integers(0, 2), other=integers(0, 2))
    def cut(self, one, other):
        if one != other:
            pair = frozenset((self._pick(one), self._pick(other)))
            self.world.cuts ^= {pair}

    @rule()
    def heal(self):
        self.world.cuts.clear()
        self.world.cut_off.clear()

    @rule(index=integers(0, 2))
    def cut_off_from_platform(self, index):
        self.world.cut_off ^= {self._pick(index)}

    @rule(available=booleans(), lose_answers=booleans())
    def set_platform(self, available, lose_answers):
        self.world.platform.available = available
        self.world.platform.lose_answers = lose_answers

    @rule(seconds=sampled_from((0.0, 0.0, 1.0, 5.0)))
    def hold_back_messages(self, seconds):
        self.world.hold_back_s = seconds

    @rule(share=sampled_from((0.0, 0.1, 0.5)), duration_s=floats(1.0, 8.0))
    def disagree(self, share, duration_s):
        """Members differ about who is alive and who the arbiter is."""
        self.world.flap = share
        self.world.run(duration_s)
        if not share:
            for node in self.world.node_by_vm.values():
                node.zone.forced_arbiter = None

    @precondition(lambda self: len(self.world.removed_at_by_vm) < 6)
    @rule(index=integers(0, 2))
    def replace(self, index):
        vm = self._pick(index)
        self.world.remove_vm(vm)
        self.world.add_vm(f"{vm}x")

    @precondition(lambda self: len(self.world.removed_at_by_vm) < 3)
    @rule()
    def replace_all_at_once(self):
        for vm in sorted(self.world.node_by_vm):
            self.world.remove_vm(vm)
            self.world.add_vm(f"{vm}y")

    @invariant()
    def slots_are_never_exceeded(self):
        if hasattr(self, "world"):
            assert not self.world.over_slots

    def _pick(self, index):
        return sorted(self.world.node_by_vm)[index]


ZoneFaults.TestCase.settings = settings(
    max_examples=SCHEDULES,
    stateful_step_count=STEPS,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestZoneFaults = ZoneFaults.TestCase
