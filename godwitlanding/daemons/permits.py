"""Counts the open permits of an arbiter and evaluates their outcomes.

A permit occupies a slot until its holder releases it or until it expires,
so a lost message or a crashed holder can't block a slot beyond the
request's deadline. Permits of former arbiters are counted as well. A permit
stays counted after the loan of its upstream has ended, since its request
still runs there.
"""

from typing import NamedTuple

from godwitlanding.base.messages import (
    OUTCOME_CANCELLED,
    OUTCOME_CRASHED,
    OUTCOME_LEAVING,
    OUTCOME_OK,
    OUTCOME_SHED,
    OUTCOME_TIMEOUT,
)
from godwitlanding.base.timers import Timers

# A cancellation may reach the upstream after the permit has expired, and the
# slot must not be reused before. A one-way trip in the zone takes 1 ms and a
# busy event loop responds within tens of milliseconds.
PERMIT_GRACE_S = 0.05
# An upstream that refuses work responds faster than others and would be
# offered the whole queue. After the pause the health check knows its state.
SHED_PAUSE_S = 0.25
LEAVING_PAUSE_S = 2.0
# Outcomes whose permit duration measures the throughput of a slot.
_WORK_TIME_OUTCOMES = frozenset({OUTCOME_OK, OUTCOME_TIMEOUT, OUTCOME_CANCELLED})


class Permit(NamedTuple):
    """An open permit; ``granted_at`` is ``None`` for a former arbiter's."""

    upstream_id: str
    granted_at: float | None
    fingerprint: int
    is_long: bool


class OpenPermits:
    """The open permits of an arbiter by id."""

    def __init__(self, pool):
        self._pool = pool
        self._timers = Timers()
        self._permit_by_id = {}
        self._open_by_fingerprint = {}
        self.long_count = 0

    def __len__(self):
        return len(self._permit_by_id)

    def get(self, permit_id):
        """Return the open permit, or ``None``."""
        return self._permit_by_id.get(permit_id)

    def count_open(self, fingerprint):
        """Return the number of running requests with the fingerprint."""
        return self._open_by_fingerprint.get(fingerprint, 0)

    def open(self, permit_id, permit, until, now):
        """Add a permit that expires at ``until``; known ids are ignored."""
        if permit_id in self._permit_by_id:
            return
        self._permit_by_id[permit_id] = permit
        self._timers.set(permit_id, until + PERMIT_GRACE_S)
        self.long_count += permit.is_long
        if permit.fingerprint:
            count = self.count_open(permit.fingerprint)
            self._open_by_fingerprint[permit.fingerprint] = count + 1
        self._pool.take(self._pool.get(permit.upstream_id), now)

    def close(self, permit_id, now):
        """Remove a permit and free its slot."""
        permit = self._permit_by_id.pop(permit_id)
        self._timers.cancel(permit_id)
        self.long_count -= permit.is_long
        if permit.fingerprint:
            count = self._open_by_fingerprint[permit.fingerprint] - 1
            self._open_by_fingerprint[permit.fingerprint] = count
            if count == 0:
                del self._open_by_fingerprint[permit.fingerprint]
        self._pool.give_back(self._pool.get(permit.upstream_id), now)

    def close_ended(self, now):
        """Free the slots of expired permits."""
        for permit_id in self._timers.pop_due(now):
            self.close(permit_id, now)

    def get_next_time(self):
        """Return when the next permit expires, or ``None``."""
        return self._timers.get_next_time()


class OutcomeRecorder:
    """Passes the outcomes of permits to the modules that use them."""

    def __init__(self, pool, outliers, poison, admission, long_jobs):
        self._pool = pool
        self._outliers = outliers
        self._poison = poison
        self._admission = admission
        self._long_jobs = long_jobs

    def record(self, permit, outcome, took_s, now, tells_of_upstream=True):
        """Record the outcome of a permit that its holder has released.

        Without ``tells_of_upstream``, only the holder's links have failed.
        """
        held_s = took_s if permit.granted_at is None else now - permit.granted_at
        took_s = took_s or held_s
        if outcome in _WORK_TIME_OUTCOMES and held_s > 0:
            self._admission.work_time.note(held_s)
        usual_s = self._long_jobs.get_usual_s(permit.fingerprint)
        if outcome in (OUTCOME_OK, OUTCOME_TIMEOUT):
            self._long_jobs.note(permit.fingerprint, took_s)
        if not tells_of_upstream:
            return
        self._record_poison(permit, outcome, now)
        self._outliers.note(permit.upstream_id, outcome, took_s / usual_s, now)
        if outcome == OUTCOME_OK:
            self._record_warmth(permit, took_s)
        self._update_upstream(permit.upstream_id, outcome, now)

    def _record_poison(self, permit, outcome, now):
        if outcome == OUTCOME_OK:
            self._poison.note_success(permit.fingerprint, now)
        if outcome == OUTCOME_CRASHED:
            self._poison.note_crash(permit.fingerprint, permit.upstream_id, now)

    def _record_warmth(self, permit, took_s):
        # When all upstreams are cold, the typical time rises as well, and
        # each upstream would seem warm in comparison.
        usual_s = self._long_jobs.get_expected_s(permit.fingerprint)
        usual_s = usual_s or min(self._long_jobs.typical_s, self._long_jobs.work_s)
        self._pool.warmup.note_work(permit.upstream_id, took_s / usual_s)

    def _update_upstream(self, upstream_id, outcome, now):
        upstream = self._pool.get(upstream_id)
        upstream.ejected_until = self._outliers.get_ejected_until(upstream_id)
        upstream.slow_until = self._outliers.get_slow_until(upstream_id)
        upstream.on_probation = self._outliers.is_on_probation(upstream_id)
        if outcome == OUTCOME_CRASHED:
            self._pool.warmup.note_cold(upstream_id, max(now, upstream.ejected_until))
        if outcome == OUTCOME_SHED:
            upstream.paused_until = max(upstream.paused_until, now + SHED_PAUSE_S)
        if outcome == OUTCOME_LEAVING:
            upstream.paused_until = max(upstream.paused_until, now + LEAVING_PAUSE_S)
        self._pool.refresh(upstream, now)
