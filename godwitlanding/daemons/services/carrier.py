"""Carries a request: permit, dispatch, retry, or on to another zone."""

import asyncio
from functools import singledispatchmethod
from typing import NamedTuple

from godwitlanding.base.codes import RUN_NO, Code, Refusal, make_refusal
from godwitlanding.base.kernel import Service
from godwitlanding.base.messages import OUTCOME_CANCELLED, OUTCOME_UNUSED, Poison
from godwitlanding.daemons.holdings import Permit, Spill
from godwitlanding.daemons.trace import Trace
from godwitlanding.decisions.poison import CRASHES_TO_STOP, PoisonLedger
from godwitlanding.decisions.retry import AttemptHistory, Failure, RetryPolicy


class Final(NamedTuple):
    """The request has ended: answered, or with a refusal to give."""

    refusal: Refusal | None


class Again(NamedTuple):
    """Ask for another permit."""

    reason: str


class Guard:
    """What has to be true before the first byte goes to an upstream."""

    async def confirm(self):
        """Return ``None`` once the request may be dispatched.

        Returns the ``Refusal`` to give where it may not.
        """


NO_GUARD = Guard()


class Job(NamedTuple):
    """A request under way."""

    request: object
    sink: object
    guard: Guard
    tries: AttemptHistory


class Carrier(Service):
    """Carries requests to upstreams of its zone, or passes them on."""

    name = "carrier"
    needs = ("permits", "upstreams", "passer")

    def __init__(self, context):
        self.policy = RetryPolicy(PoisonLedger())
        self.trace = Trace()
        self._counters = context.counters

    async def start(self, kernel):
        """Find the services that a request passes through."""
        self._permits = kernel.get("permits")
        self._upstreams = kernel.get("upstreams")
        self._passer = kernel.get("passer")

    def note_poison(self, message):
        """Take another process's word on a request that crashes."""
        now = asyncio.get_running_loop().time()
        self.policy.ledger.note_report(
            message.fingerprint, message.upstream, message.crashes, now
        )

    async def carry(self, request, sink, guard=NO_GUARD):
        """Carry a request; return the ``Refusal`` to give, if any.

        Where ``sink.started`` is set beside a refusal, the answer broke
        off after its beginning had gone to the caller.
        """
        poison = self.policy.check(request, asyncio.get_running_loop().time())
        if poison:
            return poison
        job = Job(request, sink, guard, AttemptHistory())
        may_pass_on = not request.from_zone
        asks = 0
        while True:
            granted = await self._permits.acquire(
                request, job.tries.excluded_upstreams, asks, may_pass_on
            )
            step = await self._use(granted, job)
            if isinstance(step, Final):
                return step.refusal and job.tries.adjust_refusal(step.refusal)
            asks += 1
            self.trace.add(request.id, "retried", reason=step.reason)
            may_pass_on = may_pass_on and not isinstance(granted, Spill)
            may_pass_on = may_pass_on and not sink.started
            self._counters.add(
                "requests_retried", reason=step.reason, service=request.service.name
            )

    @singledispatchmethod
    async def _use(self, refusal, job):
        return Final(refusal)

    @_use.register
    async def _(self, permit: Permit, job):
        loop = asyncio.get_running_loop()
        request = job.request
        self.trace.add(
            request.id,
            "granted",
            upstream=permit.upstream,
            waited_s=round(permit.waited_s, 4),
            arbiter=permit.arbiter,
        )
        started_at = loop.time()
        outcome = OUTCOME_UNUSED
        try:
            refusal = await job.guard.confirm()
            if refusal:
                return Final(refusal)
            if not self._permits.book.may_dispatch(permit, loop.time()):
                return self._ask_anew(request, loop.time())
            if not job.tries.count:
                self.policy.note_first_attempt(request.service.name, loop.time())
            outcome = OUTCOME_CANCELLED
            attempt = await self._upstreams.dispatch(request, permit, job.sink)
            outcome = attempt.outcome
        finally:
            took_s = loop.time() - started_at
            self._permits.release(permit, outcome, took_s, request.fingerprint)
        return self._judge(attempt, permit.upstream, job)

    @_use.register
    async def _(self, spill: Spill, job):
        self._counters.add("requests_passed_on", zone=spill.availability_zone)
        self.trace.add(job.request.id, "passed on", zone=spill.availability_zone)
        try:
            refusal = await job.guard.confirm()
            if refusal:
                return Final(refusal)
            attempt = await self._passer.pass_on(job.request, spill, job.sink)
        finally:
            self._permits.end_spill(spill)
        if attempt.code and attempt.run == RUN_NO and not job.sink.started:
            return Again(attempt.code.name)
        return self._judge(attempt, "", job)

    def _ask_anew(self, request, now):
        """The permit ran out, unused, before it could be dispatched."""
        if request.deadline - now < request.service.work_s:
            return Final(make_refusal(Code.DEADLINE_UNREACHABLE, 1.0))
        return Again("PERMIT_EXPIRED")

    def _judge(self, attempt, upstream, job):
        now = asyncio.get_running_loop().time()
        if attempt.code is None:
            self.policy.note_success(job.request, now)
            self.trace.add(job.request.id, "answered")
            return Final(None)
        self.trace.add(
            job.request.id,
            "failed",
            code=attempt.code.name,
            run=attempt.run,
            detail=attempt.detail,
        )
        job.tries.note(upstream, attempt.run)
        failure = Failure(attempt.outcome, attempt.run, attempt.code, attempt.detail)
        crashes = self.policy.note_failure(job.request, failure, upstream, now)
        if crashes >= CRASHES_TO_STOP:
            fingerprint = job.request.fingerprint
            self._passer.warn(Poison(fingerprint, upstream, crashes))
        if job.sink.started and not job.sink.resume:
            return Final(make_refusal(attempt.code, 1.0, attempt.detail))
        decided = self.policy.decide(job.request, failure, job.tries, now)
        if decided.is_err():
            return Final(decided.unwrap_err())
        return Again(decided.unwrap())
