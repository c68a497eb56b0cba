"""The naive designs that the load driver compares with the chosen one."""

from collections import deque

from godwitlanding.tests.load.load_driver import FAILED, OK, VMS
from godwitlanding.tests.load.load_pooled import Pooled


class Direct:
    """Sends each request on at once; the upstreams let it wait."""

    def __init__(self, run):
        self.run = run
        self._upstream_by_job = {}

    def pick(self, job):
        raise NotImplementedError

    def submit(self, job):
        upstream = self.pick(job)
        self._upstream_by_job[job] = upstream
        upstream.send(job, self._done)

    def cancel(self, job):
        upstream = self._upstream_by_job.pop(job, None)
        if upstream:
            upstream.cancel(job)

    def _done(self, job, kind):
        self._upstream_by_job.pop(job, None)
        self.run.answer(job, OK if kind == OK else FAILED)


class RoundRobin(Direct):
    """Each entry VM goes round the upstreams on its own."""

    name = "round robin"

    def __init__(self, run):
        super().__init__(run)
        self._next_by_vm = list(range(VMS))

    def pick(self, job):
        self._next_by_vm[job.vm] += 1
        return self.run.upstreams[self._next_by_vm[job.vm] % len(self.run.upstreams)]


class LeastLoaded(Direct):
    """The least loaded by reports that are ``lag_s`` old or have stopped."""

    name = "least loaded"
    lag_s = 1.0
    choices = None

    def __init__(self, run):
        super().__init__(run)
        self.reports_stop = False
        self._load_by_upstream = dict.fromkeys(run.upstreams, 0)
        run.clock.at(self.lag_s, self._report)

    def pick(self, job):
        upstreams = self.run.upstreams
        if self.choices:
            upstreams = self.run.random.sample(upstreams, self.choices)
        least = min(self._load_by_upstream[upstream] for upstream in upstreams)
        best = [u for u in upstreams if self._load_by_upstream[u] == least]
        return self.run.random.choice(best)

    def _report(self):
        if not self.reports_stop:
            self._load_by_upstream = {u: u.assigned for u in self.run.upstreams}
        self.run.clock.at(self.run.clock.now + self.lag_s, self._report)


class LeastOfTwo(LeastLoaded):
    """The less loaded of two random upstreams by lagging reports."""

    name = "least of two"
    choices = 2


class LeastLoadedStale(LeastLoaded):
    """The least loaded by reports that are 5 seconds old."""

    name = "least loaded, 5 s"
    lag_s = 5.0


class HashByKey(Direct):
    """The same key always to the same upstream."""

    name = "hash by key"

    def pick(self, job):
        return self.run.upstreams[job.fingerprint % len(self.run.upstreams)]


class StaticShares:
    """Each entry VM has its own slots and its own queue for them.

    What can no longer be served before its deadline leaves the queue.
    """

    name = "static shares"

    def __init__(self, run):
        self.run = run
        self._queue_by_vm = [deque() for _ in range(VMS)]
        self._free_by_vm = [[] for _ in range(VMS)]
        self._place_by_job = {}
        for index, upstream in enumerate(run.upstreams):
            for slot in range(upstream.slots):
                self._free_by_vm[(index + slot) % VMS].append(upstream)

    def submit(self, job):
        self._queue_by_vm[job.vm].append(job)
        self._start(job.vm)

    def cancel(self, job):
        place = self._place_by_job.pop(job, None)
        if place:
            place.cancel(job)
            self._free(job, place)

    def _start(self, vm):
        queue, free = self._queue_by_vm[vm], self._free_by_vm[vm]
        while queue and free:
            job = queue.popleft()
            if job.answered:
                continue
            upstream = free.pop(0)
            self._place_by_job[job] = upstream
            upstream.send(job, self._done)

    def _done(self, job, kind):
        upstream = self._place_by_job.pop(job, None)
        self.run.answer(job, OK if kind == OK else FAILED)
        if upstream:
            self._free(job, upstream)

    def _free(self, job, upstream):
        self._free_by_vm[job.vm].append(upstream)
        self._start(job.vm)


class Fifo(StaticShares):
    """One pooled queue, first come first served, without deadlines.

    Work goes on after its caller has left.
    """

    name = "fifo, no deadline"

    def __init__(self, run):
        super().__init__(run)
        self._free_by_vm[0] += self._free_by_vm.pop()

    def submit(self, job):
        job.vm = 0
        super().submit(job)

    def cancel(self, job):
        """Know nothing of callers that have left."""

    def _start(self, vm):
        queue, free = self._queue_by_vm[vm], self._free_by_vm[vm]
        while queue and free:
            job, upstream = queue.popleft(), free.pop(0)
            self._place_by_job[job] = upstream
            upstream.send(job, self._done)


DESIGNS = (Pooled, StaticShares, RoundRobin, LeastLoaded, LeastOfTwo, Fifo)
