"""Decides whether a failed request is retried.

Load pattern: an upstream crashes, sheds load or drains with requests in
progress. Without retries its callers see each failure; with unbounded ones a
struggling service gets several times its load, and a request that crashes
upstreams takes them all down.

A request is retried only if that is safe (idempotent, or certainly not run),
on another upstream, at most twice, within the service's retry budget and
only while there is time left for the usual work. That is three attempts in
all: with 2 % of attempts failing at random, 8 requests in a million would
fail three times, and a fourth attempt mostly wastes a slot on a request that
fails because of its own content.
"""

from typing import NamedTuple

from result import Err, Ok

from godwitlanding.base.codes import RUN_NO, RUN_UNKNOWN, Code, make_refusal
from godwitlanding.base.messages import OUTCOME_CRASHED
from godwitlanding.decisions.poison import PoisonLedger
from godwitlanding.decisions.retrybucket import RetryTokenBucket

MAX_ATTEMPTS = 3


class Failure(NamedTuple):
    """A failed attempt, as input of the retry decision."""

    outcome: str
    run: str
    code: Code
    detail: str = ""


class AttemptHistory:
    """The attempts made so far for one request."""

    def __init__(self):
        self.count = 0
        self.excluded_upstreams = []
        self.may_have_run = False

    def note(self, upstream, run):
        """Record an attempt at ``upstream``, ``""`` if in another zone."""
        self.count += 1
        if upstream:
            self.excluded_upstreams.append(upstream)
        self.may_have_run = self.may_have_run or run != RUN_NO

    def adjust_refusal(self, refusal):
        """Return the refusal with a ``run`` that holds for all attempts.

        The last attempt may certainly not have run while an earlier one may
        have: a caller that is told "not run" would then run it twice.
        """
        if self.may_have_run and refusal.run == RUN_NO:
            return refusal._replace(run=RUN_UNKNOWN)
        return refusal


class RetryPolicy:
    """Decides on retries, with a budget per service and a poison ledger."""

    def __init__(self, ledger=None):
        self.ledger = ledger or PoisonLedger()
        self._budget_by_service = {}

    def check(self, request, now):
        """Return the ``Refusal`` of a stopped request, or ``None``."""
        if not self.ledger.is_stopped(request.fingerprint, now):
            return None
        retry_after_s = self.ledger.get_retry_after_s(request.fingerprint, now)
        return make_refusal(Code.POISON_REQUEST, retry_after_s)

    def note_first_attempt(self, service, now):
        """Count a first attempt, which adds to the retry budget."""
        self._get_budget(service).note_first_attempt(now)

    def note_success(self, request, now):
        """Record that an upstream completed the request."""
        self.ledger.note_success(request.fingerprint, now)

    def note_failure(self, request, failure, upstream, now):
        """Record the failure if it is a crash of one of this zone's upstreams.

        Returns how many upstreams the request has crashed; 0 if the failure
        is no such crash.
        """
        if failure.outcome != OUTCOME_CRASHED or not upstream:
            return 0
        return self.ledger.note_crash(request.fingerprint, upstream, now)

    def decide(self, request, failure, attempts, now):
        """Return ``Ok(reason)`` to retry, else ``Err(refusal)``."""
        refusal = make_refusal(failure.code, 1.0, failure.detail, failure.run)
        if not request.is_repeatable:
            return Err(refusal)
        if failure.run != RUN_NO and not request.is_idempotent:
            return Err(refusal)
        poison = self.check(request, now)
        if poison:
            return Err(poison)
        if attempts.count >= MAX_ATTEMPTS:
            return Err(refusal)
        if request.deadline - now < request.service.work_s:
            return Err(refusal)
        if not self._get_budget(request.service.name).may_retry(now):
            return Err(make_refusal(Code.RETRY_BUDGET_SPENT, 1.0, run=failure.run))
        return Ok(failure.code.name)

    def _get_budget(self, service):
        if service not in self._budget_by_service:
            self._budget_by_service[service] = RetryTokenBucket()
        return self._budget_by_service[service]
