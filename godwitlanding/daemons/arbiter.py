"""Grants free upstream slots from one queue per service and zone.

Combines other modules: ``queue`` and ``fairness`` order the requests,
``admission`` limits the waiting time, ``longjobs`` limits the slots of long
jobs, ``pool``, ``outlier`` and ``warmup`` choose the upstream, ``poison``
blocks requests that crash upstreams, and ``spill`` sends requests to other
zones.

Pure: it uses no network and no clock. Methods take ``now`` in seconds of
one monotonic clock and return the decisions that became due. Each request
gets one final decision or is withdrawn. The daemon calls ``tick`` at
``get_next_time()``.

>>> arbiter = Arbiter("status")
>>> arbiter.set_loan("s1", slots=3, until=10.0, now=0.0)
[]
>>> arbiter.acquire(Ask("r1", "office", 1, deadline=2.0), now=0.0)
[Decision(request_id='r1', outcome=Grant(permit_id=1, upstream='s1', ...
"""

from godwitlanding.base.codes import RUN_NO, RUN_UNKNOWN, Code, Refusal
from godwitlanding.daemons.decision import Ask, Decision, Grant, Spill
from godwitlanding.daemons.intake import Intake
from godwitlanding.daemons.permits import OpenPermits, OutcomeRecorder, Permit
from godwitlanding.daemons.pool import Pool
from godwitlanding.decisions.admission import QueueAdmission
from godwitlanding.decisions.longjobs import LongJobs
from godwitlanding.decisions.outlier import OutlierDetector
from godwitlanding.decisions.poison import PoisonLedger
from godwitlanding.decisions.spill import SpillAllowances
from godwitlanding.decisions.warmup import Warmup

DEFAULT_WORK_S = 0.05
DEFAULT_SLOW_START_S = 10.0
# Requests at the head of the queue that may use none of the free upstreams
# are skipped, at most this many, which bounds the cost of a decision.
MAX_SKIPPED = 8
SUSPECT_RETRY_AFTER_S = 1.0

__all__ = ["Arbiter", "Ask", "Decision", "Grant", "Spill"]


class Arbiter:
    """Grants the slots of the upstreams that their owners lend to it.

    ``work_s`` and ``slow_start_s`` come from the service's configuration.
    ``poison`` may be shared by all arbiters of a process.
    """

    def __init__(
        self,
        service,
        first_permit_id=1,
        work_s=DEFAULT_WORK_S,
        slow_start_s=DEFAULT_SLOW_START_S,
        poison=None,
    ):
        """Create an arbiter whose permit ids start at ``first_permit_id``."""
        self.service = service
        self.poison = poison or PoisonLedger()
        self.admission = QueueAdmission(work_s)
        self.spill = SpillAllowances()
        self.long_jobs = LongJobs(work_s)
        self.outliers = OutlierDetector()
        self.warmup = Warmup(slow_start_s)
        self.pool = Pool(self.warmup)
        self._permits = OpenPermits(self.pool)
        self._intake = Intake(self.pool, self.admission, self.long_jobs, self.spill)
        self._outcome_recorder = OutcomeRecorder(
            self.pool, self.outliers, self.poison, self.admission, self.long_jobs
        )
        self._next_permit_id = first_permit_id
        self._now = 0.0

    def set_loan(self, upstream_id, slots, until, now):
        """Add or renew the loan of an upstream until ``until``."""
        upstream = self.pool.get(upstream_id)
        upstream.slots = slots
        upstream.loan_end = until
        self.outliers.add(upstream_id)
        self.pool.refresh(upstream, now)
        return self.tick(now)

    def end_loan(self, upstream_id):
        """End the loan of an upstream; its open permits stay counted."""
        upstream = self.pool.get(upstream_id)
        upstream.loan_end = 0.0
        self.outliers.remove(upstream_id)
        self.pool.refresh(upstream, self._now)

    def block(self, upstream_id, until):
        """Grant nothing on an upstream until ``until``.

        Used while its open permits are unknown.
        """
        upstream = self.pool.get(upstream_id)
        upstream.blocked_until = until
        self.pool.refresh(upstream, self._now)

    def unblock(self, upstream_id, now):
        """End a block, as all open permits of the upstream are known."""
        upstream = self.pool.get(upstream_id)
        upstream.blocked_until = 0.0
        self.pool.refresh(upstream, now)
        return self.tick(now)

    def add_open_permit(self, permit_id, upstream_id, until):
        """Add an open permit that a former arbiter granted."""
        permit = Permit(upstream_id, None, 0, False)
        self._permits.open(permit_id, permit, until, self._now)

    def set_usable(self, upstream_id, usable, now):
        """Set whether drains, probes and the platform allow an upstream."""
        upstream = self.pool.get(upstream_id)
        if usable != upstream.usable:
            upstream.usable = usable
            self.pool.refresh(upstream, now)
        return self.tick(now)

    def note_cold(self, upstream_id, now):
        """Start the warm-up of an upstream that has just restarted.

        This does not make it usable, as an upstream may restart while it
        is leaving; see ``set_usable``.
        """
        self.warmup.note_cold(upstream_id, now)
        self.pool.refresh(self.pool.get(upstream_id), now)
        return self.tick(now)

    def set_allowances(self, allowance_by_zone, now):
        """Set the plan's spill allowances: requests in flight by zone."""
        self.spill.set_allowances(allowance_by_zone)
        return self.tick(now)

    def note_poison(self, fingerprint, upstream_id, crashes, now):
        """Apply a ``Poison`` message; refuse queued requests that match it."""
        self.poison.note_report(fingerprint, upstream_id, crashes, now)
        return self.tick(now)

    def acquire(self, ask, now):
        """Queue a request; return the decisions, which may include its own."""
        decisions = self.tick(now)
        if ask.deadline <= now:
            refusal = Refusal(
                Code.DEADLINE_UNREACHABLE, self._intake.estimate_retry_after_s(now)
            )
            return decisions + [Decision(ask.request_id, refusal)]
        poisoned = self._check_poison(ask, now)
        if poisoned:
            return decisions + [Decision(ask.request_id, poisoned)]
        if ask.request_id in self._intake.queue:
            return decisions
        queued_request = self._intake.add(ask, now)
        decisions += self._grant_waiting(now)
        if ask.request_id in self._intake.queue:
            excluded = self._get_excluded(ask, now)
            decisions += self._intake.enforce_wait_limits(queued_request, excluded, now)
        return decisions

    def withdraw(self, request_id, now):
        """Remove a request whose caller has disconnected."""
        self._intake.withdraw(request_id)
        return self.tick(now)

    def release(self, permit_id, outcome, took_s, now, tells_of_upstream=True):
        """Free a permit's slot; ``outcome`` is from ``messages.OUTCOMES``.

        ``tells_of_upstream`` is as in ``OutcomeRecorder.record``.
        """
        permit = self._permits.get(permit_id)
        if permit:
            self._permits.close(permit_id, now)
            self._outcome_recorder.record(
                permit, outcome, took_s, now, tells_of_upstream
            )
        return self.tick(now)

    def end_spill(self, request_id, now):
        """Record that a request sent to another zone has ended."""
        self._intake.end_spill(request_id)
        return self.tick(now)

    def get_next_time(self):
        """Return the time of the next ``tick``, or ``None``."""
        times = (
            self._intake.get_next_time(),
            self._permits.get_next_time(),
            self.pool.get_next_time(),
        )
        return min((time for time in times if time is not None), default=None)

    def tick(self, now):
        """Return the decisions due at ``now``, grants first."""
        self._now = now
        self._permits.close_ended(now)
        self.pool.run_timers(now)
        if self.pool.usable_slots == 0:
            self.pool.lift_ejections(now)
        refused = self._intake.expire_requests(now)
        return self._grant_waiting(now) + refused

    def get_status(self, now):
        """Return the state of queue, slots and upstreams for operators."""
        upstreams = self.pool.upstream_by_id.values()
        return {
            "queued": len(self._intake.queue),
            "busy": len(self._permits),
            "busy_by_upstream": {u.id: u.open_count for u in upstreams if u.open_count},
            "slots": sum(u.slots for u in upstreams if u.is_on_loan(now)),
            "usable_slots": self.pool.usable_slots,
            "usable_upstreams": sorted(u.id for u in upstreams if u.capacity),
            "ejected": sorted(u.id for u in upstreams if u.ejected_until > now),
            "slow": sorted(u.id for u in upstreams if u.slow_until > now),
            "work_s": round(self.admission.work_time.mean_s, 6),
            "spilled": self.spill.get_open(),
        }

    def _grant_waiting(self, now):
        decisions = []
        skipped = []
        while len(skipped) < MAX_SKIPPED and self._has_free_slot(now):
            queued_request = self._intake.take_first(self._permits.long_count)
            if queued_request is None:
                break
            outcome = self._decide(queued_request, now)
            if outcome is None:
                skipped.append(queued_request)
            else:
                decisions.append(Decision(queued_request.ask.request_id, outcome))
        for queued_request in skipped:
            self._intake.put_back(queued_request)
        return decisions

    def _has_free_slot(self, now):
        if self.pool.has_free(include_reluctant=False):
            return True
        return self.pool.has_free() and self._intake.should_use_reluctant(now)

    def _decide(self, queued_request, now):
        ask = queued_request.ask
        poisoned = self._check_poison(ask, now)
        if poisoned:
            return poisoned
        upstream = self.pool.find_free(self._get_excluded(ask, now), now)
        if upstream is None:
            return None
        self._intake.queue.note_served(queued_request)
        return self._grant(queued_request, upstream, now)

    def _grant(self, queued_request, upstream, now):
        ask = queued_request.ask
        permit = Permit(upstream.id, now, ask.fingerprint, queued_request.is_long)
        permit_id = self._next_permit_id
        self._next_permit_id += 1
        self._permits.open(permit_id, permit, ask.deadline, now)
        return Grant(
            permit_id, upstream.id, ask.deadline, now - queued_request.asked_at
        )

    def _check_poison(self, ask, now):
        if not ask.fingerprint or not self.poison.is_suspect(ask.fingerprint, now):
            return None
        run = RUN_UNKNOWN if ask.attempt else RUN_NO
        if self.poison.is_stopped(ask.fingerprint, now):
            wait_s = self.poison.get_retry_after_s(ask.fingerprint, now)
            return Refusal(Code.POISON_REQUEST, wait_s, run)
        if self._permits.count_open(ask.fingerprint):
            detail = "The same request crashed an upstream and is being tried alone."
            return Refusal(Code.POISON_REQUEST, SUSPECT_RETRY_AFTER_S, run, detail)
        return None

    def _get_excluded(self, ask, now):
        crashed = self.poison.get_crashed_upstreams(ask.fingerprint, now)
        return ask.excluded_upstreams | crashed
