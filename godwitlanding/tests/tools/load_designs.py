"""The chosen design and the naive ones that the load driver compares."""

from collections import deque

from godwitlanding.arbiter import Arbiter, Ask, Grant
from godwitlanding.codes import Refusal
from godwitlanding.messages import (
    OUTCOME_CANCELLED,
    OUTCOME_CRASHED,
    OUTCOME_FAILED,
    OUTCOME_OK,
)
from godwitlanding.tests.tools.load_driver import (
    CRASHED,
    FAILED,
    OK,
    REFUSED,
    VMS,
    ZONE_DELAY_S,
    Job,
)

FOREVER = 1e9
_OUTCOME_BY_KIND = {
    OK: OUTCOME_OK,
    FAILED: OUTCOME_FAILED,
    CRASHED: OUTCOME_CRASHED,
}


class Pooled:
    """The permit arbiter, asked over the zone's network.

    ``tries_again`` is how often the entry VM itself retries what failed.
    """

    name = "pooled"

    def __init__(self, run, work_s=0.05, slow_start_s=10.0, tries_again=1):
        self.run = run
        self.arbiter = Arbiter("status", work_s=work_s, slow_start_s=slow_start_s)
        self._tries_again = tries_again
        self._upstream_by_id = {upstream.id: upstream for upstream in run.upstreams}
        self._job_by_id = {}
        self._armed = None
        for upstream in run.upstreams:
            self.arbiter.set_loan(upstream.id, upstream.slots, FOREVER, 0.0)

    def submit(self, job):
        self._job_by_id[job.id] = job
        self._later(self._acquire, job, 0)

    def cancel(self, job):
        self._job_by_id.pop(job.id, None)
        if job.permit_id is None:
            self._later(self._call, self.arbiter.withdraw, job.id)
            return
        self._upstream_by_id[job.permit_id[1]].cancel(job)
        self._release(job, OUTCOME_CANCELLED)

    def take(self, decisions):
        now = self.run.clock.now
        for request_id, outcome in decisions:
            job = self._job_by_id.get(request_id)
            if isinstance(outcome, Grant):
                self._later(self._dispatch, job, outcome)
            elif isinstance(outcome, Refusal) and job:
                self._later(self.run.answer, job, REFUSED, outcome.retry_after_s)
        self._arm(now)

    def _acquire(self, job, attempt):
        ask = Ask(
            job.id,
            job.caller,
            job.priority,
            job.deadline - ZONE_DELAY_S,
            job.fingerprint,
            job.excluded,
            attempt,
        )
        self.take(self.arbiter.acquire(ask, self.run.clock.now))

    def _dispatch(self, job, grant):
        if job is None or job.answered:
            self._release_id(grant.permit_id, OUTCOME_CANCELLED, 0.0)
            return
        job.permit_id = (grant.permit_id, grant.upstream, self.run.clock.now)
        self._upstream_by_id[grant.upstream].send(job, self._done)

    def _done(self, job, kind):
        upstream_id = job.permit_id[1]
        self._release(job, _OUTCOME_BY_KIND[kind])
        if job.answered:
            return
        if kind == OK:
            self._job_by_id.pop(job.id, None)
            self.run.answer(job, OK)
        elif len(job.excluded) < self._tries_again:
            job.excluded |= {upstream_id}
            job.permit_id = None
            self._later(self._acquire, job, len(job.excluded))
        else:
            self.run.answer(job, FAILED)

    def _release(self, job, outcome):
        permit_id, _, began = job.permit_id
        self._release_id(permit_id, outcome, self.run.clock.now - began)

    def _release_id(self, permit_id, outcome, took_s):
        self._later(self._call, self.arbiter.release, permit_id, outcome, took_s)

    def _call(self, method, *arguments):
        self.take(method(*arguments, self.run.clock.now))

    def _later(self, function, *arguments):
        self.run.clock.at(self.run.clock.now + ZONE_DELAY_S, function, *arguments)

    def _arm(self, now):
        due = self.arbiter.get_next_time()
        if due is not None and (self._armed is None or due < self._armed):
            self._armed = due
            self.run.clock.at(due, self._tick, due)

    def _tick(self, due):
        if self._armed == due:
            self._armed = None
            self._call(self.arbiter.tick)


class Hedged(Pooled):
    """The permit arbiter; what is slow is asked for once more elsewhere."""

    name = "pooled, hedged"
    hedge_after_s = 0.2

    def _dispatch(self, job, grant):
        super()._dispatch(job, grant)
        if job and job.twin is None and not job.answered:
            now = self.run.clock.now
            self.run.clock.at(now + self.hedge_after_s, self._hedge, job)

    def _hedge(self, job):
        if job.answered or job.permit_id is None:
            return
        values = {name: getattr(job, name) for name in Job.__slots__}
        twin = Job(**values)
        twin.id, twin.twin, twin.permit_id = job.id + "h", job, None
        twin.excluded |= {job.permit_id[1]}
        job.twin = twin
        super().submit(twin)

    def _done(self, job, kind):
        other = job.twin
        super()._done(job, kind)
        if other and kind == OK and not other.answered:
            self.run.answer(other, OK)
            self.cancel(other)


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


class LeastLoadedOld(LeastLoaded):
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
