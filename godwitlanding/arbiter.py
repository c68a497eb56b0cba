"""Who gets the next free slot: one pooled queue for a service in a zone.

Joins the decisions of the modules around it: ``queue`` and ``fairness`` say
who is next, ``admission`` who may wait, ``reserve`` how many slots long
jobs hold, ``pool``, ``outlier`` and ``warmup`` which upstream takes the
work, ``poison`` what must not run, ``spill`` what goes to another zone.

Pure: no network and no clock of its own. Every method takes ``now`` in
seconds of one monotonic clock and returns the decisions that became due;
each request gets one final decision or is withdrawn. The daemon calls
``tick`` at ``get_next_time()``.

>>> arbiter = Arbiter("status")
>>> arbiter.set_loan("s1", slots=3, until=10.0, now=0.0)
[]
>>> arbiter.acquire(Ask("r1", "office", 1, deadline=2.0), now=0.0)
[Decision(request_id='r1', outcome=Grant(permit_id=1, upstream='s1', ...
"""

from typing import NamedTuple

from godwitlanding.admission import RECOVERY_WAIT_S, Admission
from godwitlanding.codes import RUN_NO, RUN_UNKNOWN, Code, Refusal
from godwitlanding.fairness import bound_cost
from godwitlanding.outlier import OutlierDetector
from godwitlanding.permits import Permit, PermitBook, Teacher
from godwitlanding.poison import PoisonLedger
from godwitlanding.pool import Pool
from godwitlanding.queue import AskQueue
from godwitlanding.reserve import LongJobs
from godwitlanding.spill import SpillAllowances
from godwitlanding.timers import Timers
from godwitlanding.warmup import Warmup

DEFAULT_WORK_S = 0.05
DEFAULT_SLOW_START_S = 10.0
DEFAULT_SLOTS = 3
# Requests at the head that may use none of the free upstreams are passed
# over, this many at most, so that a decision's cost stays bounded.
MAX_PASSED_OVER = 8
# Places that shrink at once, as when upstreams leave, are cut back by a few
# of the last requests at each arrival; the others end by their own time.
MAX_DISPLACED = 4
SUSPECT_RETRY_AFTER_S = 1.0


class Ask(NamedTuple):
    """A request that wants a slot; ``deadline`` is on the arbiter's clock.

    ``expected_s`` is a hint of how long the work takes, 0 for none.
    """

    request_id: str
    caller: str
    priority: int
    deadline: float
    fingerprint: int = 0
    excluded_upstreams: frozenset[str] = frozenset()
    attempt: int = 0
    may_pass_on: bool = True
    expected_s: float = 0.0


class Grant(NamedTuple):
    """A permit for one slot of an upstream until ``until``."""

    permit_id: int
    upstream: str
    until: float
    waited_s: float


class Spill(NamedTuple):
    """Leave to hand the request to another zone, once."""

    availability_zone: str
    waited_s: float


class Decision(NamedTuple):
    """What becomes of a request: ``Grant``, ``Spill`` or ``Refusal``."""

    request_id: str
    outcome: Grant | Spill | Refusal


class Arbiter:
    """Grants the slots that owners have lent to it.

    ``work_s`` and ``slow_start_s`` are the service's, from the
    configuration. ``poison`` may be shared by all arbiters of a process.
    """

    def __init__(
        self,
        service,
        first_permit_id=1,
        work_s=DEFAULT_WORK_S,
        slow_start_s=DEFAULT_SLOW_START_S,
        poison=None,
    ):
        """Serve ``service``; permit ids count up from ``first_permit_id``."""
        self.service = service
        self.poison = poison or PoisonLedger()
        self.admission = Admission(work_s)
        self.spill = SpillAllowances()
        self.long_jobs = LongJobs(work_s)
        self.outliers = OutlierDetector()
        self.warmup = Warmup(slow_start_s)
        self.pool = Pool(self.warmup)
        self._permits = PermitBook(self.pool)
        self._teacher = Teacher(
            self.pool, self.outliers, self.poison, self.admission, self.long_jobs
        )
        self._queue = AskQueue()
        self._next_permit_id = first_permit_id
        self._timers = Timers()
        self._last_slots = DEFAULT_SLOTS
        self._now = 0.0

    def set_loan(self, upstream_id, slots, until, now):
        """Take or renew a loan of an upstream until ``until``."""
        upstream = self.pool.get(upstream_id)
        upstream.slots = slots
        upstream.loan_end = until
        self.outliers.add(upstream_id)
        self.pool.refresh(upstream, now)
        return self.tick(now)

    def end_loan(self, upstream_id):
        """Grant nothing more on an upstream; its open permits stay known."""
        upstream = self.pool.get(upstream_id)
        upstream.loan_end = 0.0
        self.outliers.remove(upstream_id)
        self.pool.refresh(upstream, self._now)

    def has_loan(self, upstream_id, now):
        """Tell whether the upstream is on loan at ``now``."""
        upstream = self.pool.upstream_by_id.get(upstream_id)
        return upstream is not None and upstream.is_on_loan(now)

    def block(self, upstream_id, until):
        """Grant nothing on an upstream before ``until``: permits unknown."""
        upstream = self.pool.get(upstream_id)
        upstream.blocked_until = until
        self.pool.refresh(upstream, self._now)

    def unblock(self, upstream_id, now):
        """Every holder has answered: the open permits are known."""
        upstream = self.pool.get(upstream_id)
        upstream.blocked_until = 0.0
        self.pool.refresh(upstream, now)
        return self.tick(now)

    def add_open_permit(self, permit_id, upstream_id, until):
        """Count a permit that a former arbiter granted."""
        permit = Permit(upstream_id, None, 0, False)
        self._permits.open(permit_id, permit, until, self._now)

    def set_usable(self, upstream_id, usable, now, cold=False):
        """Take the word of drains, probes and the platform on an upstream.

        ``cold`` tells that it has just started, so that slow start applies.
        """
        upstream = self.pool.get(upstream_id)
        upstream.usable = usable
        if usable and cold:
            self.warmup.note_cold(upstream_id, now)
        self.pool.refresh(upstream, now)
        return self.tick(now)

    def set_allowances(self, allowance_by_zone, now):
        """Take the plan's spill allowances: requests in flight by zone."""
        self.spill.set_allowances(allowance_by_zone)
        return self.tick(now)

    def note_poison(self, fingerprint, upstream_id, crashes, now):
        """Take a ``Poison`` message; refuse what waits with it at once."""
        self.poison.note_report(fingerprint, upstream_id, crashes, now)
        return self.tick(now)

    def acquire(self, ask, now):
        """Queue a request; the decisions may hold its own."""
        decisions = self.tick(now)
        if ask.deadline <= now:
            refusal = Refusal(Code.DEADLINE_UNREACHABLE, self._get_return(now))
            return decisions + [Decision(ask.request_id, refusal)]
        poisoned = self._check_poison(ask, now)
        if poisoned:
            return decisions + [Decision(ask.request_id, poisoned)]
        if ask.request_id in self._queue:
            return decisions
        waiting = self._enqueue(ask, now)
        decisions += self._grant_waiting(now)
        if ask.request_id in self._queue:
            decisions += self._bound_queue(waiting, now)
        return decisions

    def withdraw(self, request_id, now):
        """Forget a request whose caller has gone."""
        waiting = self._queue.remove(request_id)
        if waiting:
            self._timers.cancel(("ask", request_id))
            self._queue.note_refused(waiting)
        return self.tick(now)

    def release(self, permit_id, outcome, took_s, now):
        """Free the slot of a permit; ``outcome`` as in ``messages``."""
        permit = self._permits.get(permit_id)
        if permit:
            self._permits.close(permit_id, now)
            self._teacher.note(permit, outcome, took_s, now)
        return self.tick(now)

    def end_spill(self, request_id, now):
        """The request that was passed on has ended."""
        self._timers.cancel(("spill", request_id))
        self.spill.end(request_id)
        return self.tick(now)

    def get_next_time(self):
        """Return when ``tick`` has to be called next, or ``None``."""
        times = (
            self._timers.get_next_time(),
            self._permits.get_next_time(),
            self.pool.get_next_time(),
        )
        return min((time for time in times if time is not None), default=None)

    def tick(self, now):
        """Return the decisions due at ``now``, grants first."""
        self._now = now
        self._permits.close_ended(now)
        self.pool.run_timers(now)
        refused = self._end_waits(now)
        if self.pool.usable_slots == 0:
            self.pool.lift_ejections(now)
        else:
            self._last_slots = self.pool.usable_slots
        return self._grant_waiting(now) + refused

    def get_status(self, now):
        """Return slots, busy, queued and usable upstreams for operators."""
        upstreams = self.pool.upstream_by_id.values()
        return {
            "queued": len(self._queue),
            "busy": len(self._permits),
            "slots": sum(u.slots for u in upstreams if u.is_on_loan(now)),
            "usable_slots": self.pool.usable_slots,
            "usable_upstreams": sorted(u.id for u in upstreams if u.capacity),
            "ejected": sorted(u.id for u in upstreams if u.ejected_until > now),
            "slow": sorted(u.id for u in upstreams if u.slow_until > now),
            "work_s": round(self.admission.work_time.mean_s, 6),
            "spilled": self.spill.get_open(),
        }

    def _enqueue(self, ask, now):
        expected_s = ask.expected_s or self.long_jobs.get_expected_s(ask.fingerprint)
        start_by = self.admission.get_start_by(now, ask.deadline)
        waiting = self._queue.add(
            ask,
            now,
            start_by,
            self.long_jobs.is_long(expected_s),
            bound_cost(expected_s, self.admission.work_time.mean_s),
        )
        self._timers.set(("ask", ask.request_id), start_by)
        return waiting

    def _grant_waiting(self, now):
        decisions = []
        passed_over = []
        while len(passed_over) < MAX_PASSED_OVER and self.pool.has_free():
            may_take_long = self.long_jobs.may_start(
                self._permits.long_count, self.pool.usable_slots
            )
            waiting = self._queue.get_first(may_take_long)
            if waiting is None:
                break
            self._queue.remove(waiting.ask.request_id)
            outcome = self._place(waiting, now)
            if outcome is None:
                passed_over.append(waiting)
            else:
                self._timers.cancel(("ask", waiting.ask.request_id))
                decisions.append(Decision(waiting.ask.request_id, outcome))
        for waiting in passed_over:
            self._queue.put_back(waiting)
        return decisions

    def _place(self, waiting, now):
        ask = waiting.ask
        poisoned = self._check_poison(ask, now)
        if poisoned:
            return poisoned
        upstream = self.pool.find_free(self._get_excluded(ask, now), now)
        if upstream is None:
            return None
        self._queue.note_served(waiting)
        return self._grant(waiting, upstream, now)

    def _grant(self, waiting, upstream, now):
        ask = waiting.ask
        permit = Permit(upstream.id, now, ask.fingerprint, waiting.is_long)
        permit_id = self._next_permit_id
        self._next_permit_id += 1
        self._permits.open(permit_id, permit, ask.deadline, now)
        return Grant(permit_id, upstream.id, ask.deadline, now - waiting.asked_at)

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

    def _bound_queue(self, waiting, now):
        if self.pool.usable_slots == 0:
            if not self.pool.may_recover(now):
                return [self._give_up(waiting, Code.NO_UPSTREAM, now)]
            end = min(waiting.start_by, now + RECOVERY_WAIT_S)
            self._timers.set(("ask", waiting.ask.request_id), end)
        elif self.pool.is_all_excluded(self._get_excluded(waiting.ask, now)):
            return [self._give_up(waiting, Code.NO_UPSTREAM, now)]
        if self._is_late(waiting, now):
            return [self._give_up(waiting, self._get_full_code(waiting), now)]
        decisions = []
        for _ in range(MAX_DISPLACED):
            last = self._queue.get_last()
            if last is waiting or not self._is_late(last, now):
                break
            decisions.append(self._give_up(last, Code.DISPLACED, now))
        return decisions

    def _is_late(self, waiting, now):
        slots = self._last_slots
        wait_s = self.admission.get_wait_s(self._queue.count_ahead(waiting), slots)
        if waiting.is_long:
            ahead = self._queue.count_long_ahead(waiting)
            limit = self.long_jobs.get_limit(slots)
            long_s = self.long_jobs.mean_long_s
            wait_s = max(wait_s, self.admission.get_wait_s(ahead, limit, long_s))
        return now + wait_s > waiting.start_by

    def _get_excluded(self, ask, now):
        crashed = self.poison.get_crashed(ask.fingerprint, now)
        return ask.excluded_upstreams | crashed

    def _get_full_code(self, waiting):
        if self._queue.is_over_share(waiting.ask.caller):
            return Code.CALLER_OVER_SHARE
        return Code.QUEUE_FULL

    def _end_waits(self, now):
        decisions = []
        for _, request_id in self._timers.pop_due(now):
            waiting = self._queue.get(request_id)
            if waiting is None:
                self.spill.end(request_id)
                continue
            code = Code.DEADLINE_UNREACHABLE
            if self.pool.usable_slots == 0:
                code = Code.NO_UPSTREAM
            decisions.append(self._give_up(waiting, code, now))
        return decisions

    def _give_up(self, waiting, code, now):
        ask = waiting.ask
        self._queue.remove(ask.request_id)
        self._queue.note_refused(waiting)
        self._timers.cancel(("ask", ask.request_id))
        waited_s = now - waiting.asked_at
        if ask.may_pass_on and ask.deadline - now > self.admission.work_time.mean_s:
            zone = self.spill.take(ask.request_id, now)
            if zone:
                self._timers.set(("spill", ask.request_id), ask.deadline)
                return Decision(ask.request_id, Spill(zone, waited_s))
        refusal = Refusal(code, self._get_return(now))
        return Decision(ask.request_id, refusal)

    def _get_return(self, now):
        return self.admission.get_retry_after_s(now, len(self._queue), self._last_slots)
