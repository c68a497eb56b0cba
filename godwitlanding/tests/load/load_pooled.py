"""The chosen design, driven by the load driver, plain and with hedging."""

from godwitlanding.base.codes import Refusal
from godwitlanding.base.messages import (
    OUTCOME_CANCELLED,
    OUTCOME_CRASHED,
    OUTCOME_FAILED,
    OUTCOME_OK,
)
from godwitlanding.daemons.arbiter import Arbiter, Ask, Grant
from godwitlanding.tests.load.load_driver import (
    CRASHED,
    FAILED,
    OK,
    REFUSED,
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
