"""Queues requests for a slot and rejects those that can't start in time.

Under overload each request is checked on arrival. If it can't start in
time, it is refused or sent to another zone at once. If it delays a less
important request beyond its time, that request is. Without this a caller
would get its refusal only at its deadline, too late to do anything else.
"""

from godwitlanding.base.codes import Code, Refusal
from godwitlanding.base.timers import Timers
from godwitlanding.daemons.decision import Decision, Spill
from godwitlanding.decisions.admission import PATIENCE
from godwitlanding.decisions.fairness import bound_cost
from godwitlanding.decisions.queue import RequestQueue

# Assumed number of slots until the first upstream is lent.
DEFAULT_SLOTS = 3
# When upstreams leave, many queued requests may no longer start in time. Each
# arrival rejects at most this many from the end of the queue; the others
# expire at their own time.
MAX_DISPLACED = 4
# Reluctant slots (see ``pool``) are used once waiting for eager ones would
# take this share of the time that the next request may wait.
PRESSED_SHARE = 0.25


class Intake:
    """Queue, wait limits and spill of one arbiter."""

    def __init__(self, pool, admission, long_jobs, spill):
        self.queue = RequestQueue()
        self._pool = pool
        self._admission = admission
        self._long_jobs = long_jobs
        self._spill = spill
        self._timers = Timers()
        self._last_slots = DEFAULT_SLOTS

    def add(self, ask, now):
        """Queue a request; return its ``QueuedRequest``."""
        expected_s = ask.expected_s or self._long_jobs.get_expected_s(ask.fingerprint)
        start_by = self._get_start_by(ask, now)
        queued_request = self.queue.add(
            ask,
            now,
            start_by,
            self._long_jobs.is_long(expected_s),
            bound_cost(expected_s, self._admission.work_time.mean_s),
        )
        self._timers.set(("ask", ask.request_id), start_by)
        return queued_request

    def take_first(self, long_count):
        """Remove and return the next request, or ``None``.

        ``long_count`` is the number of long jobs that are running.
        """
        slots = self._pool.usable_slots
        may_take_long = self._long_jobs.may_start(long_count, slots)
        queued_request = self.queue.get_first(may_take_long)
        if queued_request:
            self.queue.remove(queued_request.ask.request_id)
            self._timers.cancel(("ask", queued_request.ask.request_id))
        return queued_request

    def should_use_reluctant(self, now):
        """Tell whether to use reluctant slots instead of waiting.

        Otherwise ``get_next_time`` includes the time at which the next
        request has waited too long. This applies to a short queue as well,
        since long jobs may occupy all eager slots.
        """
        first = self.queue.get_first()
        if first is None:
            return False
        may_wait_s = PRESSED_SHARE * (first.start_by - first.asked_at)
        reluctant_at = first.asked_at + may_wait_s
        eager = self._pool.eager_slots
        wait_s = self._admission.get_wait_s(len(self.queue) - 1, eager)
        if eager <= 0 or wait_s >= may_wait_s or now >= reluctant_at:
            return True
        self._timers.set(("press", ""), reluctant_at)
        return False

    def put_back(self, queued_request):
        """Return a request from ``take_first`` to its place in the queue."""
        self.queue.put_back(queued_request)
        self._timers.set(
            ("ask", queued_request.ask.request_id), queued_request.start_by
        )

    def enforce_wait_limits(self, queued_request, excluded, now):
        """Reject the new request, or those that it delays too much."""
        if self._pool.usable_slots == 0:
            is_hopeless = not self._pool.may_recover()
        else:
            is_hopeless = self._pool.is_all_excluded(excluded)
        if is_hopeless:
            return [self._reject(queued_request, Code.NO_UPSTREAM, now)]
        admit_by = now + (queued_request.start_by - now) / PATIENCE
        if now + self._estimate_wait_s(queued_request) > admit_by:
            return [
                self._reject(queued_request, self._get_full_code(queued_request), now)
            ]
        return self._displace(queued_request, now)

    def expire_requests(self, now):
        """Reject requests that have not started in time."""
        self._last_slots = self._pool.usable_slots or self._last_slots
        code = Code.DEADLINE_UNREACHABLE
        if self._pool.usable_slots == 0:
            code = Code.NO_UPSTREAM
        decisions = []
        for kind, request_id in self._timers.pop_due(now):
            if kind == "press":
                continue
            queued_request = self.queue.get(request_id)
            if queued_request:
                decisions.append(self._reject(queued_request, code, now))
            else:
                self._spill.end(request_id)
        return decisions

    def withdraw(self, request_id):
        """Remove a request whose caller has disconnected."""
        queued_request = self.queue.remove(request_id)
        if queued_request:
            self._timers.cancel(("ask", request_id))
            self.queue.note_refused(queued_request)

    def end_spill(self, request_id):
        """Record that a request sent to another zone has ended."""
        self._timers.cancel(("spill", request_id))
        self._spill.end(request_id)

    def get_next_time(self):
        """Return when ``expire_requests`` is due, or ``None``."""
        return self._timers.get_next_time()

    def estimate_retry_after_s(self, now):
        """Return after how many seconds a refused caller should retry."""
        queued = len(self.queue)
        return self._admission.get_retry_after_s(now, queued, self._last_slots)

    def _get_start_by(self, ask, now):
        if self._pool.usable_slots == 0:
            return self._admission.get_recovery_start_by(now, ask.deadline)
        return self._admission.get_start_by(now, ask.deadline, ask.priority)

    def _displace(self, newcomer, now):
        decisions = []
        for _ in range(MAX_DISPLACED):
            last = self.queue.get_last()
            if last is newcomer or now + self._estimate_wait_s(last) <= last.start_by:
                break
            decisions.append(self._reject(last, Code.DISPLACED, now))
        return decisions

    def _estimate_wait_s(self, queued_request):
        slots = self._last_slots
        ahead = self.queue.count_ahead(queued_request)
        wait_s = self._admission.get_wait_s(ahead, slots)
        if queued_request.is_long:
            ahead = self.queue.count_long_ahead(queued_request)
            limit = self._long_jobs.get_limit(slots)
            long_s = self._long_jobs.mean_long_s
            wait_s = max(wait_s, self._admission.get_wait_s(ahead, limit, long_s))
        return wait_s

    def _get_full_code(self, queued_request):
        if self.queue.is_over_share(queued_request.ask.caller):
            return Code.CALLER_OVER_SHARE
        return Code.QUEUE_FULL

    def _reject(self, queued_request, code, now):
        ask = queued_request.ask
        self.queue.remove(ask.request_id)
        self.queue.note_refused(queued_request)
        self._timers.cancel(("ask", ask.request_id))
        waited_s = now - queued_request.asked_at
        if ask.may_pass_on and ask.deadline - now > self._admission.work_time.mean_s:
            zone = self._spill.take(ask.request_id, now)
            if zone:
                self._timers.set(("spill", ask.request_id), ask.deadline)
                return Decision(ask.request_id, Spill(zone, waited_s))
        return Decision(ask.request_id, Refusal(code, self.estimate_retry_after_s(now)))
