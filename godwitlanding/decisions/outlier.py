"""Detects failing and slow upstreams from the outcomes of their requests.

Load pattern: one upstream fails or takes ten times as long while its health
endpoint lags or reports that it is healthy. If it fails quickly it is always
the least busy one, so without ejection it gets most of the requests and
fails them. A slow one occupies its slots; its callers wait ten times as long
though other upstreams have free slots.

Failures eject: 5 in a row, since at a failure rate of 10 % shared by all
upstreams this happens by chance once in 100,000 requests, and only if the
upstream fails at least twice as often as the average, since what fails
everywhere is a dependency or the requests themselves and no upstream would
be better. A crash ejects at once. The first ejection lasts 5 seconds and
each further one twice as long, up to 60.

Slowness does not eject, because a slow slot is still a paid slot and serves
when the others are full; a slow upstream is used last for the same times
(``pool``). An upstream is slow if its work takes 5 times the median of its
peers, as geometric means of about the last 20 requests, at least 10.
Exponentially distributed times exceed that by chance in 3 of a million such
means; at 3 times and 4 requests healthy upstreams were marked all the time
and p99 at 70 % load rose from 0.23 to 0.41 s. Afterwards a slow upstream is
on probation until 4 more requests are measured, one at a time, since each of
them may take ten times as long for its caller.

At most half of the upstreams are ejected at once, whatever is measured: a
measurement fault, or a failure that all share, must not empty a zone.
"""

from math import log

from sortedcontainers import SortedList

from godwitlanding.base.messages import (
    OUTCOME_CRASHED,
    OUTCOME_FAILED,
    OUTCOME_OK,
    OUTCOME_TIMEOUT,
)

FAILURES_TO_EJECT = 5
MIN_FAILURE_RATIO = 2.0
EJECT_S = 5.0
MAX_EJECT_S = 60.0
MAX_EJECTED_SHARE = 0.5
SLOW_TIMES = 5.0
MIN_SAMPLES = 10
PROBATION_SAMPLES = 4
# Weight of the newest sample in the moving means: about the last 20 count.
_ALPHA = 0.1
_MIN_RELATIVE_TIME = 1e-5
_FAILURES = frozenset({OUTCOME_FAILED, OUTCOME_TIMEOUT, OUTCOME_CRASHED})


class _Record:
    def __init__(self):
        self.mean_log = 0.0
        self.samples = 0
        self.min_samples = MIN_SAMPLES
        self.failures_in_a_row = 0
        self.failure_share = 0.0
        self.ejected_until = 0.0
        self.slow_until = 0.0
        self.on_probation = False
        self.eject_s = EJECT_S


class OutlierDetector:
    """Detects outliers among the upstreams of one service in one zone."""

    def __init__(self):
        self._record_by_upstream = {}
        self._means = SortedList()
        self._ejected = set()
        self._failure_share = 0.0

    def add(self, upstream_id):
        """Add an upstream; the ejection limit is a share of all added."""
        self._record_by_upstream.setdefault(upstream_id, _Record())

    def remove(self, upstream_id):
        """Remove an upstream that is no longer configured or on loan."""
        record = self._record_by_upstream.pop(upstream_id, None)
        self._ejected.discard(upstream_id)
        if record and record.samples >= record.min_samples:
            self._means.discard(record.mean_log)

    def note(self, upstream_id, outcome, relative_time, now):
        """Record how a request ended; outcomes are those of ``messages``.

        ``relative_time`` is its duration as a multiple of what such requests
        usually take, so that an upstream which happened to get long jobs
        does not seem slow.
        """
        record = self._record_by_upstream.setdefault(upstream_id, _Record())
        if outcome == OUTCOME_OK:
            self._note_failure_share(record, 0.0)
            record.failures_in_a_row = 0
            record.eject_s = max(EJECT_S, record.eject_s * 0.9)
            self._note_time(record, relative_time, now)
        elif outcome in _FAILURES:
            self._note_failure_share(record, 1.0)
            record.failures_in_a_row += 1
            if outcome == OUTCOME_TIMEOUT:
                self._note_time(record, relative_time, now)
            if self._is_outlier(record, outcome):
                self._eject(upstream_id, record, now)

    def is_ejected(self, upstream_id, now):
        """Return whether the upstream is ejected at ``now``."""
        return self.get_ejected_until(upstream_id) > now

    def is_slow(self, upstream_id, now):
        """Return whether the upstream is marked slow at ``now``."""
        record = self._record_by_upstream.get(upstream_id)
        return record is not None and record.slow_until > now

    def get_ejected_until(self, upstream_id):
        """Return when the upstream's ejection ends, 0 if never ejected."""
        record = self._record_by_upstream.get(upstream_id)
        return record.ejected_until if record else 0.0

    def get_slow_until(self, upstream_id):
        """Return when the upstream's slow mark ends, 0 if never marked."""
        record = self._record_by_upstream.get(upstream_id)
        return record.slow_until if record else 0.0

    def is_on_probation(self, upstream_id):
        """Return whether the upstream's speed is being measured again."""
        record = self._record_by_upstream.get(upstream_id)
        return record is not None and record.on_probation

    def _note_failure_share(self, record, failed):
        record.failure_share += _ALPHA * (failed - record.failure_share)
        overall_weight = _ALPHA / max(1, len(self._record_by_upstream))
        self._failure_share += overall_weight * (failed - self._failure_share)

    def _is_outlier(self, record, outcome):
        if outcome == OUTCOME_CRASHED:
            return True
        fails_more = record.failure_share >= MIN_FAILURE_RATIO * self._failure_share
        return fails_more and record.failures_in_a_row >= FAILURES_TO_EJECT

    def _eject(self, upstream_id, record, now):
        self._ejected = {
            ejected for ejected in self._ejected if self.is_ejected(ejected, now)
        }
        limit = int(len(self._record_by_upstream) * MAX_EJECTED_SHARE)
        if len(self._ejected | {upstream_id}) > limit:
            return
        self._ejected.add(upstream_id)
        record.ejected_until = now + record.eject_s
        record.eject_s = min(MAX_EJECT_S, record.eject_s * 2)
        record.failures_in_a_row = 0

    def _note_time(self, record, relative_time, now):
        if record.samples >= record.min_samples:
            self._means.discard(record.mean_log)
        record.samples += 1
        weight = max(_ALPHA, 1.0 / record.samples)
        record.mean_log += weight * (
            log(max(_MIN_RELATIVE_TIME, relative_time)) - record.mean_log
        )
        if record.samples < record.min_samples:
            return
        record.on_probation = False
        self._means.add(record.mean_log)
        median_log = self._means[(len(self._means) - 1) // 2]
        is_slow = record.mean_log > median_log + log(SLOW_TIMES)
        if is_slow and record.slow_until <= now:
            self._mark_slow(record, now)

    def _mark_slow(self, record, now):
        # Its speed is measured again afterwards: it may have recovered, which
        # only new requests can show.
        self._means.discard(record.mean_log)
        record.samples = 0
        record.min_samples = PROBATION_SAMPLES
        record.on_probation = True
        record.slow_until = now + record.eject_s
        record.eject_s = min(MAX_EJECT_S, record.eject_s * 2)
