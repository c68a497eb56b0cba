"""A model of the retries of many VMs while all upstreams shed.

Compares ways to bound them; it needs no network and no clock.

Requests arrive at VMs by weight; each is retried up to twice, if its VM's
budget allows. Events change the VMs: ``restart`` replaces a VM's process,
``move`` sends the callers of some VMs to the others, ``join`` adds VMs that
those in ``unaware`` do not get to know (a cut), ``suspend`` stops a VM and its
clock.
"""

import math
import random
from bisect import bisect_left
from collections import deque
from typing import NamedTuple

from godwitlanding.decisions.retrybudget import RetryBudget

RATIO, WINDOW_S, SLACK = 0.2, 10.0, 60.0
MAX_RETRIES = 2
MIN_SHARES = 8


class Event(NamedTuple):
    """A change of the VMs in ``vms`` at a time; see above for the kinds."""

    at: float
    kind: str
    vms: tuple
    for_s: float = 0.0
    unaware: tuple = ()


class Load(NamedTuple):
    """Requests a second of all VMs together, and when upstreams shed."""

    vms: int
    rate_per_s: float
    length_s: float
    shed_from: float
    # Share of the attempts that are shed from then on.
    shed: float = 0.9


class CountedWindow:
    """Three quarters of the ratio, by the counts of this process's window."""

    def __init__(self, started_at, get_suspended_s):
        self.requests = deque()
        self.retries = deque()

    def note_request(self, now):
        self.requests.append(now)

    def take(self, vms, now):
        for times in (self.requests, self.retries):
            while times and times[0] < now - WINDOW_S:
                times.popleft()
        allowed = 0.75 * RATIO * len(self.requests)
        allowed += 0.5 * SLACK / max(MIN_SHARES, vms)
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True


class QuietStart(CountedWindow):
    """As above; a process does not retry in its first window."""

    def __init__(self, started_at, get_suspended_s):
        super().__init__(started_at, get_suspended_s)
        self.quiet_until = started_at + WINDOW_S

    def take(self, vms, now):
        return now >= self.quiet_until and super().take(vms, now)


class _Credit:
    """The product's budget for one service, with bounds of its own."""

    ratio = RATIO
    window_s = WINDOW_S
    slack = SLACK

    def __init__(self, started_at, get_suspended_s):
        self.budget = RetryBudget(
            self.ratio, self.window_s, self.slack, started_at, get_suspended_s
        )

    def note_request(self, now):
        self.budget.note_request("s", now)

    def take(self, vms, now):
        return self.budget.take("s", vms, now)


class ShortCredit(_Credit):
    """Two thirds of the ratio, each request's part for half a window."""

    ratio = 4 / 3 * RATIO
    window_s = WINDOW_S / 2
    slack = SLACK / 2


class EarnedCredit(_Credit):
    """Half of the ratio, each request's part for a window."""


DESIGNS = (CountedWindow, QuietStart, ShortCredit, EarnedCredit)


class Play(NamedTuple):
    """Times of all requests and retries."""

    requests: list
    retries: list

    def get_worst_excess(self):
        """Return by how much retries exceed what is allowed in any window.

        A window's requests are those in it, in the one before it or in the
        one half a window before it, whichever has most.
        """
        worst = -math.inf
        for index, begin in enumerate(self.retries):
            retries = self._count(self.retries, begin, begin + WINDOW_S)
            requests = max(
                self._count(self.requests, begin - back_s, begin - back_s + WINDOW_S)
                for back_s in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            worst = max(worst, retries - RATIO * requests - SLACK)
        return worst

    @staticmethod
    def _count(times, begin, end):
        return bisect_left(times, end) - bisect_left(times, begin)


class Fleet:
    """The VMs and their budgets while a load is played."""

    def __init__(self, design, load, seed):
        self._make_budget = design
        self._random = random.Random(seed)
        self._load = load
        self._weights = [1.0] * load.vms
        self._known = [load.vms] * load.vms
        self._clock_lag_s = [0.0] * load.vms
        self._suspended_until = [-1.0] * load.vms
        self._budgets = [self._start_budget(vm, -WINDOW_S) for vm in range(load.vms)]

    def play(self, events=()):
        """Return the ``Play`` of the load with ``events``, in any order."""
        play = Play([], [])
        pending = sorted(events, reverse=True)
        now = 0.0
        while True:
            now += self._random.expovariate(self._load.rate_per_s)
            if now > self._load.length_s:
                return play
            while pending and pending[-1].at <= now:
                self._apply(pending.pop())
            play.requests.append(now)
            vm = self._pick_vm(now)
            if vm is not None:
                self._serve(vm, now, play)

    def _start_budget(self, vm, now):
        lag_s = self._clock_lag_s[vm]
        return self._make_budget(now - lag_s, lambda: self._clock_lag_s[vm])

    def _pick_vm(self, now):
        weights = [
            0.0 if self._suspended_until[vm] > now else weight
            for vm, weight in enumerate(self._weights)
        ]
        if not any(weights):
            return None
        return self._random.choices(range(len(weights)), weights)[0]

    def _serve(self, vm, now, play):
        budget = self._budgets[vm]
        own_now = now - self._clock_lag_s[vm]
        budget.note_request(own_now)
        for _ in range(MAX_RETRIES):
            if not self._is_shed(now) or not budget.take(self._known[vm], own_now):
                return
            play.retries.append(now)

    def _is_shed(self, now):
        load = self._load
        return now >= load.shed_from and self._random.random() < load.shed

    def _apply(self, event):
        vms = [vm for vm in event.vms if vm < len(self._budgets)]
        if event.kind == "restart":
            for vm in vms:
                self._budgets[vm] = self._start_budget(vm, event.at)
        elif event.kind == "move":
            self._weights = [
                0.0 if vm in vms else 1.0 for vm in range(len(self._budgets))
            ]
        elif event.kind == "join":
            self._join(event)
        elif event.kind == "suspend":
            for vm in vms:
                self._clock_lag_s[vm] += event.for_s
                self._suspended_until[vm] = event.at + event.for_s

    def _join(self, event):
        for _ in event.vms:
            self._weights.append(1.0)
            self._known.append(0)
            self._clock_lag_s.append(0.0)
            self._suspended_until.append(-1.0)
            self._budgets.append(self._start_budget(len(self._budgets), event.at))
        total = len(self._budgets)
        for vm in range(total):
            if vm not in event.unaware:
                self._known[vm] = total
