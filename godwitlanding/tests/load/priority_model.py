"""Compares ways to let urgent requests go first at a service that is full.

VMs place requests of two kinds with the real estimates, from counts as old as
gossip makes them, in virtual time. ``python -m
godwitlanding.tests.load.priority_model`` prints the table of
``docs/design/priority.rst``.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from typing import NamedTuple

from godwitlanding.decisions.placing import Candidate, is_worth_taking, place
from godwitlanding.decisions.priority import FULL_AT, Ranks
from godwitlanding.decisions.requestcounts import INTERVAL_S, Counts, RequestCounts
from godwitlanding.decisions.retryafter import get_retry_after_s

VMS, UPSTREAMS, SLOTS = 8, 20, 3
GOSSIP_S = 0.05
SERVICE = 1
CYCLE_S = 10.0
MEAN_WORK_S = 0.385


class Kind(NamedTuple):
    """A kind of request; ``burst_s`` is when its bursts begin and end."""

    work_s: float
    target_s: float
    deadline_s: float
    usual: float
    burst: float
    burst_s: tuple[float, float]


KINDS = {
    0: Kind(0.36, 0.49, 2.45, 3.0, 1.8, (2.0, 5.5)),
    2: Kind(0.44, 1.034, 2.585, 1.0, 2.3, (1.0, 7.0)),
}


class Way(NamedTuple):
    """Less urgent requests denied at a full service: all, or by the level."""

    full_at: float
    has_level: bool = False


NONE = Way(99.0)
KEPT = Way(FULL_AT, True)


class Model:
    """One service of one region; ``cut_off`` VMs hear no peer."""

    def __init__(self, overload, way, seed=1, cut_off=()):
        burst_work_s = sum(k.usual * k.burst * k.work_s for k in KINDS.values())
        self._unit_per_s = overload * UPSTREAMS * SLOTS / burst_work_s
        self._way = way
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._running = [0] * UPSTREAMS
        self._queues = [deque() for _ in range(UPSTREAMS)]
        self._own = [[0] * UPSTREAMS for _ in range(VMS)]
        self._seen = [[0] * UPSTREAMS for _ in range(VMS)]
        self._counts = [RequestCounts() for _ in range(VMS)]
        self._ranks = [Ranks(counts) for counts in self._counts]
        self._cut_off = set(cut_off)
        self._now = 0.0
        self.outcomes = {priority: Counter() for priority in KINDS}
        for counts, ranks in zip(self._counts, self._ranks):
            counts.set_keys((SERVICE, priority) for priority in KINDS)
            ranks.set_priorities({SERVICE: KINDS.keys()})

    def run(self, seconds):
        """Run; return the outcomes of callers by priority."""
        for priority in KINDS:
            self._at(0.0, self._arrive, priority)
        self._at(0.0, self._gossip)
        for vm in range(VMS):
            self._at(INTERVAL_S * (1 + vm / VMS), self._update, vm)
        while self._events[0][0] < seconds:
            self._now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        return self.outcomes

    def _at(self, at, function, *arguments):
        heapq.heappush(self._events, (at, next(self._order), function, arguments))

    def _arrive(self, priority):
        kind = KINDS[priority]
        begin_s, end_s = kind.burst_s
        is_burst = begin_s <= self._now % CYCLE_S < end_s
        rate = self._unit_per_s * kind.usual * (kind.burst if is_burst else 1.0)
        self._at(self._now + self._rng.expovariate(rate), self._arrive, priority)
        self._ask(priority, self._now)

    def _ask(self, priority, began_at):
        vm = self._rng.randrange(VMS)
        is_first = began_at == self._now
        self._note(vm, priority, Counts(asked=1, first=is_first))
        if priority and self._is_denied(vm, priority):
            self._note(vm, priority, Counts(denied=1))
            in_progress = sum(self._running) + sum(map(len, self._queues))
            self.outcomes[priority]["denied"] += 1
            self.outcomes[priority]["denied, free"] += in_progress < UPSTREAMS * SLOTS
            self._refuse(priority, began_at)
            return
        kind = KINDS[priority]
        waited_s = self._now - began_at
        placement = place(
            Candidate(
                n, SLOTS, self._estimate(vm, n), kind.work_s, MEAN_WORK_S, 0.002, 0, 0
            )
            for n in self._rng.sample(range(UPSTREAMS), 3)
        )
        if placement is None or not is_worth_taking(
            placement, kind.target_s - waited_s, kind.deadline_s - waited_s, waited_s
        ):
            self._note(vm, priority, Counts(pressed=1))
            self._refuse(priority, began_at)
            return
        number = placement.candidate.upstream
        self._own[vm][number] += 1
        if self._running[number] >= SLOTS:
            self._queues[number].append((vm, priority, began_at))
            return
        self._running[number] += 1
        self._begin(vm, number, priority, began_at)

    def _begin(self, vm, number, priority, began_at):
        work_s = KINDS[priority].work_s * self._rng.lognormvariate(0.0, 0.15)
        self._at(self._now + work_s, self._end, vm, number, priority, began_at)

    def _end(self, vm, number, priority, began_at):
        self._own[vm][number] -= 1
        in_time = self._now - began_at <= KINDS[priority].target_s
        self.outcomes[priority]["in time" if in_time else "late"] += 1
        counts = Counts(in_time=1) if in_time else Counts(pressed=1)
        self._note(vm, priority, counts)
        if self._queues[number]:
            next_vm, next_priority, next_began_at = self._queues[number].popleft()
            self._begin(next_vm, number, next_priority, next_began_at)
        else:
            self._running[number] -= 1

    def _refuse(self, priority, began_at):
        left_s = KINDS[priority].deadline_s - (self._now - began_at)
        if self._now - began_at > 0.9:
            self.outcomes[priority]["refused"] += 1
            return
        pause_s = get_retry_after_s(left_s, MEAN_WORK_S, self._rng.random())
        self._at(self._now + pause_s, self._ask, priority, began_at)

    def _note(self, vm, priority, counts):
        self._counts[vm].note((SERVICE, priority), counts)

    def _gossip(self):
        totals = [sum(column) for column in zip(*self._own)]
        for vm in set(range(VMS)) - self._cut_off:
            self._seen[vm] = [t - o for t, o in zip(totals, self._own[vm])]
        self._at(self._now + GOSSIP_S, self._gossip)

    def _update(self, vm):
        for peer in set(range(VMS)) - {vm}:
            if not {vm, peer} & self._cut_off:
                rows = self._counts[vm].get_rows()
                self._counts[peer].receive(vm, 1, rows, self._now)
        self._counts[vm].update(self._now)
        self._ranks[vm].update(INTERVAL_S)
        self._at(self._now + INTERVAL_S, self._update, vm)

    def _estimate(self, vm, number):
        return self._own[vm][number] + self._seen[vm][number]

    def _is_denied(self, vm, priority):
        way, ranks = self._way, self._ranks[vm]
        in_progress = sum(self._estimate(vm, n) for n in range(UPSTREAMS))
        if in_progress < way.full_at * UPSTREAMS * SLOTS:
            return False
        return not way.has_level or not ranks.admits_at_full(SERVICE, priority)


def measure(overload, way, seeds=(1, 2), **keywords):
    """Return shares of callers by priority, and of denials by free slots."""
    totals = {priority: Counter() for priority in KINDS}
    for seed in seeds:
        for priority, outcomes in (
            Model(overload, way, seed, **keywords).run(40.0).items()
        ):
            totals[priority].update(outcomes)
    shares = {}
    for priority, total in totals.items():
        callers = total["in time"] + total["late"] + total["refused"]
        shares[priority, "in time"] = total["in time"] / callers
        shares[priority, "answered"] = 1.0 - total["refused"] / callers
        shares[priority, "callers"] = callers
    free = totals[2]["denied, free"] / max(1, totals[2]["denied"])
    return {**shares, "denied, free": free}


if __name__ == "__main__":
    for factor in (1.2, 1.5, 2.0):
        for compared in (NONE, Way(FULL_AT), Way(0.0, True), KEPT):
            row = measure(factor, compared)
            print(factor, compared, {k: round(v, 3) for k, v in row.items()})
