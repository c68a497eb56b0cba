"""Baseline load-balancing designs, to compare with the permit arbiter."""

from collections import deque

from godwitlanding.tests.load.load_driver import FAILED, OK, VMS
from godwitlanding.tests.load.load_pooled import Pooled


class Direct:
    """Forwards each request immediately; the upstreams queue it."""

    def __init__(self, run):
        self.run = run
        self._upstream_by_job = {}

    def choose_upstream(self, job):
        raise NotImplementedError

    def submit(self, job):
        upstream = self.choose_upstream(job)
        self._upstream_by_job[job] = upstream
        upstream.send(job, self._done)

    def cancel(self, job):
        upstream = self._upstream_by_job.pop(job, None)
        if upstream:
            upstream.cancel(job)

    def _done(self, job, outcome):
        self._upstream_by_job.pop(job, None)
        self.run.answer(job, OK if outcome == OK else FAILED)


class RoundRobin(Direct):
    """Each entry VM cycles through the upstreams independently."""

    name = "round robin"

    def __init__(self, run):
        super().__init__(run)
        self._next_by_vm = list(range(VMS))

    def choose_upstream(self, job):
        self._next_by_vm[job.vm] += 1
        return self.run.upstreams[self._next_by_vm[job.vm] % len(self.run.upstreams)]


class LeastLoaded(Direct):
    """Chooses the least loaded upstream by load reports.

    Reports are up to ``lag_s`` old, or older if they have stopped.
    """

    name = "least loaded"
    lag_s = 1.0
    sample_size = None

    def __init__(self, run):
        super().__init__(run)
        self.reports_stopped = False
        self._load_by_upstream = dict.fromkeys(run.upstreams, 0)
        run.clock.schedule(self.lag_s, self._update_loads)

    def choose_upstream(self, job):
        upstreams = self.run.upstreams
        if self.sample_size:
            upstreams = self.run.random.sample(upstreams, self.sample_size)
        least = min(self._load_by_upstream[upstream] for upstream in upstreams)
        best = [u for u in upstreams if self._load_by_upstream[u] == least]
        return self.run.random.choice(best)

    def _update_loads(self):
        if not self.reports_stopped:
            self._load_by_upstream = {u: u.assigned for u in self.run.upstreams}
        self.run.clock.schedule(self.run.clock.now + self.lag_s, self._update_loads)


class LeastOfTwo(LeastLoaded):
    """Chooses the less loaded of two random upstreams by delayed reports."""

    name = "least of two"
    sample_size = 2


class LeastLoadedStale(LeastLoaded):
    """Chooses the least loaded upstream by reports up to 5 seconds old."""

    name = "least loaded, 5 s"
    lag_s = 5.0


class HashByKey(Direct):
    """Sends requests with the same key to the same upstream."""

    name = "hash by key"

    def choose_upstream(self, job):
        return self.run.upstreams[job.fingerprint % len(self.run.upstreams)]


class StaticShares:
    """Each entry VM has a fixed share of the slots and its own queue.

    Requests that have passed their deadline are not started.
    """

    name = "static shares"

    def __init__(self, run):
        self.run = run
        self._queue_by_vm = [deque() for _ in range(VMS)]
        self._free_slots_by_vm = [[] for _ in range(VMS)]
        self._upstream_by_job = {}
        for index, upstream in enumerate(run.upstreams):
            for slot in range(upstream.slots):
                self._free_slots_by_vm[(index + slot) % VMS].append(upstream)

    def submit(self, job):
        self._queue_by_vm[job.vm].append(job)
        self._start_queued(job.vm)

    def cancel(self, job):
        upstream = self._upstream_by_job.pop(job, None)
        if upstream:
            upstream.cancel(job)
            self._release_slot(job, upstream)

    def _start_queued(self, vm):
        queue, free_slots = self._queue_by_vm[vm], self._free_slots_by_vm[vm]
        while queue and free_slots:
            job = queue.popleft()
            if job.answered:
                continue
            upstream = free_slots.pop(0)
            self._upstream_by_job[job] = upstream
            upstream.send(job, self._done)

    def _done(self, job, outcome):
        upstream = self._upstream_by_job.pop(job, None)
        self.run.answer(job, OK if outcome == OK else FAILED)
        if upstream:
            self._release_slot(job, upstream)

    def _release_slot(self, job, upstream):
        self._free_slots_by_vm[job.vm].append(upstream)
        self._start_queued(job.vm)


class Fifo(StaticShares):
    """One pooled first-in, first-out queue without deadlines.

    Requests are executed even if their callers no longer wait.
    """

    name = "fifo, no deadline"

    def __init__(self, run):
        super().__init__(run)
        self._free_slots_by_vm[0] += self._free_slots_by_vm.pop()

    def submit(self, job):
        job.vm = 0
        super().submit(job)

    def cancel(self, job):
        """Do nothing: this design does not detect that a caller has left."""

    def _start_queued(self, vm):
        queue, free_slots = self._queue_by_vm[vm], self._free_slots_by_vm[vm]
        while queue and free_slots:
            job, upstream = queue.popleft(), free_slots.pop(0)
            self._upstream_by_job[job] = upstream
            upstream.send(job, self._done)


DESIGNS = (Pooled, StaticShares, RoundRobin, LeastLoaded, LeastOfTwo, Fifo)
