"""The permit arbiter as a load-driver design, with and without hedging."""

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

LOAN_EXPIRY_S = 1e9
_PERMIT_OUTCOMES = {
    OK: OUTCOME_OK,
    FAILED: OUTCOME_FAILED,
    CRASHED: OUTCOME_CRASHED,
}


class Pooled:
    """Requests permits from the arbiter over the zone's network.

    ``max_retries`` is the number of retries of a failed request by the entry
    VM.
    """

    name = "pooled"

    def __init__(self, run, work_s=0.05, slow_start_s=10.0, max_retries=1):
        self.run = run
        self.arbiter = Arbiter("status", work_s=work_s, slow_start_s=slow_start_s)
        self._max_retries = max_retries
        self._upstream_by_id = {upstream.id: upstream for upstream in run.upstreams}
        self._job_by_id = {}
        self._next_tick_at = None
        for upstream in run.upstreams:
            self.arbiter.set_loan(upstream.id, upstream.slots, LOAN_EXPIRY_S, 0.0)

    def submit(self, job):
        self._job_by_id[job.id] = job
        self._call_delayed(self._acquire, job, 0)

    def cancel(self, job):
        self._job_by_id.pop(job.id, None)
        if job.permit_id is None:
            self._call_delayed(self._call_arbiter, self.arbiter.withdraw, job.id)
            return
        self._upstream_by_id[job.permit_id[1]].cancel(job)
        self._release(job, OUTCOME_CANCELLED)

    def apply_decisions(self, decisions):
        now = self.run.clock.now
        for request_id, outcome in decisions:
            job = self._job_by_id.get(request_id)
            if isinstance(outcome, Grant):
                self._call_delayed(self._dispatch, job, outcome)
            elif isinstance(outcome, Refusal) and job:
                self._call_delayed(self.run.answer, job, REFUSED, outcome.retry_after_s)
        self._schedule_tick(now)

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
        self.apply_decisions(self.arbiter.acquire(ask, self.run.clock.now))

    def _dispatch(self, job, grant):
        if job is None or job.answered:
            self._release_id(grant.permit_id, OUTCOME_CANCELLED, 0.0)
            return
        job.permit_id = (grant.permit_id, grant.upstream, self.run.clock.now)
        self._upstream_by_id[grant.upstream].send(job, self._done)

    def _done(self, job, outcome):
        upstream_id = job.permit_id[1]
        self._release(job, _PERMIT_OUTCOMES[outcome])
        if job.answered:
            return
        if outcome == OK:
            self._job_by_id.pop(job.id, None)
            self.run.answer(job, OK)
        elif len(job.excluded) < self._max_retries:
            job.excluded |= {upstream_id}
            job.permit_id = None
            self._call_delayed(self._acquire, job, len(job.excluded))
        else:
            self.run.answer(job, FAILED)

    def _release(self, job, outcome):
        permit_id, _, began = job.permit_id
        self._release_id(permit_id, outcome, self.run.clock.now - began)

    def _release_id(self, permit_id, outcome, took_s):
        self._call_delayed(
            self._call_arbiter, self.arbiter.release, permit_id, outcome, took_s
        )

    def _call_arbiter(self, method, *arguments):
        self.apply_decisions(method(*arguments, self.run.clock.now))

    def _call_delayed(self, function, *arguments):
        self.run.clock.schedule(self.run.clock.now + ZONE_DELAY_S, function, *arguments)

    def _schedule_tick(self, now):
        due = self.arbiter.get_next_time()
        if due is not None and (self._next_tick_at is None or due < self._next_tick_at):
            self._next_tick_at = due
            self.run.clock.schedule(due, self._tick, due)

    def _tick(self, due):
        if self._next_tick_at == due:
            self._next_tick_at = None
            self._call_arbiter(self.arbiter.tick)


class Hedged(Pooled):
    """As ``Pooled``, and sends slow requests to a second upstream as well."""

    name = "pooled, hedged"
    hedge_after_s = 0.2

    def _dispatch(self, job, grant):
        super()._dispatch(job, grant)
        if job and job.hedge_peer is None and not job.answered:
            now = self.run.clock.now
            self.run.clock.schedule(now + self.hedge_after_s, self._hedge, job)

    def _hedge(self, job):
        if job.answered or job.permit_id is None:
            return
        values = {name: getattr(job, name) for name in Job.__slots__}
        duplicate = Job(**values)
        duplicate.id, duplicate.hedge_peer, duplicate.permit_id = (
            job.id + "h",
            job,
            None,
        )
        duplicate.excluded |= {job.permit_id[1]}
        job.hedge_peer = duplicate
        super().submit(duplicate)

    def _done(self, job, outcome):
        peer = job.hedge_peer
        super()._done(job, outcome)
        if peer and outcome == OK and not peer.answered:
            self.run.answer(peer, OK)
            self.cancel(peer)
