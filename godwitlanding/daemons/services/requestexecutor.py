"""Executes a request: acquires a permit, dispatches, retries or spills.

A spill is a request that is forwarded to another zone.
"""

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


class Finished(NamedTuple):
    """The request has ended with a response, or with a refusal to return."""

    refusal: Refusal | None


class Retry(NamedTuple):
    """The request needs another permit; ``reason`` names the error."""

    reason: str


class Guard:
    """A condition to meet before the first byte is sent to an upstream."""

    async def confirm(self):
        """Return ``None`` once the request may be dispatched.

        Returns a ``Refusal`` if it may not be dispatched.
        """


NO_GUARD = Guard()


class ActiveRequest(NamedTuple):
    """A request that is being executed, and its attempts so far."""

    request: object
    sink: object
    guard: Guard
    attempts: AttemptHistory


class RequestExecutor(Service):
    """Executes requests at upstreams of this zone or in another zone."""

    name = "carrier"
    needs = ("permits", "upstreams", "passer")

    def __init__(self, context):
        self.policy = RetryPolicy(PoisonLedger())
        self.trace = Trace()
        self._counters = context.counters

    async def start(self, kernel):
        """Look up the services that are used."""
        self._permits = kernel.get("permits")
        self._upstreams = kernel.get("upstreams")
        self._passer = kernel.get("passer")

    def note_poison(self, message):
        """Record the report of another process on a crashing request."""
        now = asyncio.get_running_loop().time()
        self.policy.ledger.note_report(
            message.fingerprint, message.upstream, message.crashes, now
        )

    async def execute(self, request, sink, guard=NO_GUARD):
        """Execute a request; return the ``Refusal``, or ``None`` if served.

        A refusal with ``sink.started`` set means that the response broke
        off after part of it was sent to the caller.
        """
        poison = self.policy.check(request, asyncio.get_running_loop().time())
        if poison:
            return poison
        active = ActiveRequest(request, sink, guard, AttemptHistory())
        may_pass_on = not request.from_zone
        acquire_count = 0
        while True:
            granted = await self._permits.acquire(
                request, active.attempts.excluded_upstreams, acquire_count, may_pass_on
            )
            step = await self._handle_grant(granted, active)
            if isinstance(step, Finished):
                return step.refusal and active.attempts.adjust_refusal(step.refusal)
            acquire_count += 1
            self.trace.add(request.id, "retried", reason=step.reason)
            may_pass_on = may_pass_on and not isinstance(granted, Spill)
            may_pass_on = may_pass_on and not sink.started
            self._counters.add(
                "requests_retried", reason=step.reason, service=request.service.name
            )

    @singledispatchmethod
    async def _handle_grant(self, refusal, active):
        return Finished(refusal)

    @_handle_grant.register
    async def _(self, permit: Permit, active):
        loop = asyncio.get_running_loop()
        request = active.request
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
            refusal = await active.guard.confirm()
            if refusal:
                return Finished(refusal)
            if not self._permits.held_permits.may_dispatch(permit, loop.time()):
                return self._handle_expired_permit(request, loop.time())
            if not active.attempts.count:
                self.policy.note_first_attempt(request.service.name, loop.time())
            outcome = OUTCOME_CANCELLED
            attempt = await self._upstreams.dispatch(request, permit, active.sink)
            outcome = attempt.outcome
        finally:
            took_s = loop.time() - started_at
            self._permits.release(permit, outcome, took_s, request.fingerprint)
        return self._handle_attempt(attempt, permit.upstream, active)

    @_handle_grant.register
    async def _(self, spill: Spill, active):
        self._counters.add("requests_passed_on", zone=spill.availability_zone)
        self.trace.add(active.request.id, "passed on", zone=spill.availability_zone)
        try:
            refusal = await active.guard.confirm()
            if refusal:
                return Finished(refusal)
            attempt = await self._passer.forward_spill(
                active.request, spill, active.sink
            )
        finally:
            self._permits.end_spill(spill)
        if attempt.code and attempt.run == RUN_NO and not active.sink.started:
            return Retry(attempt.code.name)
        return self._handle_attempt(attempt, "", active)

    def _handle_expired_permit(self, request, now):
        """Return the next step after a permit that expired before dispatch."""
        if request.deadline - now < request.service.work_s:
            return Finished(make_refusal(Code.DEADLINE_UNREACHABLE, 1.0))
        return Retry("PERMIT_EXPIRED")

    def _handle_attempt(self, attempt, upstream, active):
        now = asyncio.get_running_loop().time()
        if attempt.code is None:
            self.policy.note_success(active.request, now)
            self.trace.add(active.request.id, "answered")
            return Finished(None)
        self.trace.add(
            active.request.id,
            "failed",
            code=attempt.code.name,
            run=attempt.run,
            detail=attempt.detail,
        )
        active.attempts.note(upstream, attempt.run)
        failure = Failure(attempt.outcome, attempt.run, attempt.code, attempt.detail)
        crashes = self.policy.note_failure(active.request, failure, upstream, now)
        if crashes >= CRASHES_TO_STOP:
            fingerprint = active.request.fingerprint
            self._passer.broadcast_poison(Poison(fingerprint, upstream, crashes))
        if active.sink.started and not active.sink.resume:
            return Finished(make_refusal(attempt.code, 1.0, attempt.detail))
        decision = self.policy.decide(active.request, failure, active.attempts, now)
        if decision.is_err():
            return Finished(decision.unwrap_err())
        return Retry(decision.unwrap())
