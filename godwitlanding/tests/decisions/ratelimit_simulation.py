"""Several VMs that share a limited upstream, played without a network."""

import heapq
import itertools
import random

from godwitlanding.decisions.ratelimit import RateLimits

UPSTREAM = 7
PAUSE_S = 0.05
DELAY_S = 0.005
WORK_S = 0.15
LOOK_S = 0.25
TOLD_S = 0.5
REGIONS = ("a", "b", "c")


class World:
    """VMs of region ``a``, which holds the upstream; callers ask evenly.

    ``cut`` tells of two VMs whether they cannot hear each other.
    """

    def __init__(self, vms, limit_per_s, seed, lost=0.0, cut=None):
        self.limit_per_s = limit_per_s
        self.sent_at = []
        self.asked_at = []
        self._lost = lost
        self._cut = cut or (lambda vm, other, now: False)
        self._random = random.Random(seed)
        self._limits_by_vm = {}
        self._incarnation_by_vm = dict.fromkeys(range(vms), 1)
        self._events = []
        self._numbers = itertools.count()
        for vm in range(vms):
            self.restart(vm, 0.0)

    def restart(self, vm, now):
        """A VM starts anew and knows nothing."""
        self._incarnation_by_vm[vm] += 1
        self._limits_by_vm[vm] = RateLimits("a", REGIONS)
        incarnation = self._incarnation_by_vm[vm]
        self.at(now + self._random.random() * PAUSE_S, self._tell, vm, incarnation)
        self.at(now + self._random.random() * LOOK_S, self._look, vm, incarnation)

    def at(self, when, action, *arguments):
        """Let ``action`` happen then, with ``when`` as its first argument."""
        event = (when, next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def play(self, per_s, seconds):
        """Let callers ask ``per_s`` times a second, evenly drawn."""
        now = self._random.expovariate(per_s)
        while now < seconds:
            self.at(now, self._ask, self._random.randrange(len(self._limits_by_vm)))
            now += self._random.expovariate(per_s)
        while self._events and self._events[0][0] < seconds:
            when, _, action, arguments = heapq.heappop(self._events)
            action(when, *arguments)

    def _ask(self, now, vm):
        limits = self._limits_by_vm[vm]
        self.asked_at.append(now)
        if limits.may_send(UPSTREAM, now):
            limits.note_sent(UPSTREAM, now)
            self.sent_at.append(now)
            self.at(now + WORK_S, self._answer, vm)

    def _answer(self, now, vm):
        self._limits_by_vm[vm].note_answer(UPSTREAM, "a", self.limit_per_s, now)

    def _tell(self, now, vm, incarnation):
        if self._incarnation_by_vm[vm] != incarnation:
            return
        rows = self._limits_by_vm[vm].get_rows(now, now - TOLD_S)
        for other in self._limits_by_vm:
            if other == vm or self._cut(vm, other, now):
                continue
            if self._random.random() >= self._lost:
                self.at(now + DELAY_S, self._hear, other, vm, incarnation, rows)
        self.at(now + PAUSE_S, self._tell, vm, incarnation)

    def _hear(self, now, vm, teller, incarnation, rows):
        for row in rows:
            self._limits_by_vm[vm].hear(f"vm-{teller}", incarnation, row, "a", now)

    def _look(self, now, vm, incarnation):
        if self._incarnation_by_vm[vm] != incarnation:
            return
        others = self._limits_by_vm.keys()
        heard = sum(not self._cut(other, vm, now) for other in others)
        self._limits_by_vm[vm].update(heard / len(others), True, now)
        self.at(now + LOOK_S, self._look, vm, incarnation)
