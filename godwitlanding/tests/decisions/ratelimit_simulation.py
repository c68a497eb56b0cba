"""Simulates VMs that share a limited upstream, without a network."""

import heapq
import itertools
import random

from godwitlanding.decisions.ratelimit import RateLimits

UPSTREAM = 7
GOSSIP_INTERVAL_S = 0.05
NETWORK_DELAY_S = 0.005
SERVICE_TIME_S = 0.15
UPDATE_INTERVAL_S = 0.25
REPORT_WINDOW_S = 0.5
REGIONS = ("a", "b", "c")


class RateLimitSimulation:
    """VMs of region ``a``, which contains the upstream.

    Callers choose VMs evenly. ``is_partitioned`` tells of two VMs at a time
    whether they cannot reach each other; ``loss`` is the share of messages
    that are lost.
    """

    def __init__(self, vms, limit_per_s, seed, loss=0.0, is_partitioned=None):
        self.limit_per_s = limit_per_s
        self.sent_at = []
        self.requested_at = []
        self._loss = loss
        self._is_partitioned = is_partitioned or (lambda vm, other, now: False)
        self._random = random.Random(seed)
        self._limits_by_vm = {}
        self._incarnation_by_vm = dict.fromkeys(range(vms), 1)
        self._events = []
        self._event_numbers = itertools.count()
        for vm in range(vms):
            self.restart(vm, 0.0)

    def restart(self, vm, now):
        """Restart a VM, which loses its state."""
        self._incarnation_by_vm[vm] += 1
        self._limits_by_vm[vm] = RateLimits("a", REGIONS)
        incarnation = self._incarnation_by_vm[vm]
        self.schedule(
            now + self._random.random() * GOSSIP_INTERVAL_S,
            self._send_counts,
            vm,
            incarnation,
        )
        self.schedule(
            now + self._random.random() * UPDATE_INTERVAL_S,
            self._update_limits,
            vm,
            incarnation,
        )

    def schedule(self, when, action, *arguments):
        """Run ``action`` at ``when``, which becomes its first argument."""
        event = (when, next(self._event_numbers), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, per_s, seconds):
        """Run with requests at ``per_s``, as a Poisson process."""
        now = self._random.expovariate(per_s)
        while now < seconds:
            self.schedule(
                now, self._request, self._random.randrange(len(self._limits_by_vm))
            )
            now += self._random.expovariate(per_s)
        while self._events and self._events[0][0] < seconds:
            when, _, action, arguments = heapq.heappop(self._events)
            action(when, *arguments)

    def _request(self, now, vm):
        limits = self._limits_by_vm[vm]
        self.requested_at.append(now)
        if limits.may_send(UPSTREAM, now):
            limits.note_sent(UPSTREAM, now)
            self.sent_at.append(now)
            self.schedule(now + SERVICE_TIME_S, self._answer, vm)

    def _answer(self, now, vm):
        self._limits_by_vm[vm].note_response(UPSTREAM, "a", self.limit_per_s, now)

    def _send_counts(self, now, vm, incarnation):
        if self._incarnation_by_vm[vm] != incarnation:
            return
        rows = self._limits_by_vm[vm].get_rows(now, now - REPORT_WINDOW_S)
        for other in self._limits_by_vm:
            if other == vm or self._is_partitioned(vm, other, now):
                continue
            if self._random.random() >= self._loss:
                self.schedule(
                    now + NETWORK_DELAY_S,
                    self._receive_counts,
                    other,
                    vm,
                    incarnation,
                    rows,
                )
        self.schedule(now + GOSSIP_INTERVAL_S, self._send_counts, vm, incarnation)

    def _receive_counts(self, now, vm, sender, incarnation, rows):
        for row in rows:
            self._limits_by_vm[vm].receive(f"vm-{sender}", incarnation, row, "a", now)

    def _update_limits(self, now, vm, incarnation):
        if self._incarnation_by_vm[vm] != incarnation:
            return
        others = self._limits_by_vm.keys()
        reachable = sum(not self._is_partitioned(other, vm, now) for other in others)
        self._limits_by_vm[vm].update(reachable / len(others), True, now)
        self.schedule(now + UPDATE_INTERVAL_S, self._update_limits, vm, incarnation)
