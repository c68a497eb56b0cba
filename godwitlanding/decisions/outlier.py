"""Which upstreams get no work, or get it last, by what their work shows.

Load pattern: one upstream fails or takes ten times as long while its health
endpoint lags or says that all is well. Failing quickly it is always the
least busy one, so without ejection it draws most of the requests and fails
them. A slow one holds its slots; its callers wait ten times as long though
others had room.

Failures eject: 5 in a row, since at a failure rate of 10 % that all
upstreams share this comes about by chance once in 100,000 requests, and
only where the upstream fails at least twice as often as the others, since
what fails everywhere is a dependency or the requests themselves and no
upstream would be better. A crash ejects at once. The first ejection lasts
5 seconds and each further one twice as long, up to 60.

Slowness does not eject, because a slow slot is still a paid slot and serves
where the others are full; a slow upstream is used last for the same times
(``pool``). It is slow whose work takes 5 times the median of its peers, as
geometric means of about the last 20 requests, 10 at the least. Work whose
times spread exponentially strays beyond that by chance in 3 of a million
such means; at 3 times and 4 requests healthy upstreams were marked all the
time and p99 at 70 % load rose from 0.23 to 0.41 s. After its time a slow
upstream is on probation until 4 more requests are measured, one at a time,
since each of them may cost its caller ten times the time.

At most half of the upstreams are ejected at once, whatever is measured: a
fault in the measuring, or a failure that all share, must not empty a zone.
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
# Weight of the newest sample in the running means: about the last 20 count.
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
    """Judges the upstreams of one service in one zone by their outcomes."""

    def __init__(self):
        self._record_by_upstream = {}
        self._means = SortedList()
        self._ejected = set()
        self._failure_share = 0.0

    def add(self, upstream_id):
        """Know an upstream; the floor counts all that are known."""
        self._record_by_upstream.setdefault(upstream_id, _Record())

    def remove(self, upstream_id):
        """Forget an upstream that is no longer configured or lent."""
        record = self._record_by_upstream.pop(upstream_id, None)
        self._ejected.discard(upstream_id)
        if record and record.samples >= record.min_samples:
            self._means.discard(record.mean_log)

    def note(self, upstream_id, outcome, relative_time, now):
        """Count how a request ended; outcomes as in ``messages``.

        ``times_usual`` is how long it took as a multiple of what such
        requests usually take, so that an upstream which was given long
        jobs by chance does not seem slow.
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
        """Tell whether the upstream gets no work at ``now``."""
        return self.get_ejected_until(upstream_id) > now

    def is_slow(self, upstream_id, now):
        """Tell whether the upstream is to be used last at ``now``."""
        record = self._record_by_upstream.get(upstream_id)
        return record is not None and record.slow_until > now

    def get_ejected_until(self, upstream_id):
        """Return when the upstream's ejection ends, 0 for none."""
        record = self._record_by_upstream.get(upstream_id)
        return record.ejected_until if record else 0.0

    def get_slow_until(self, upstream_id):
        """Return until when the upstream is used last, 0 for no time."""
        record = self._record_by_upstream.get(upstream_id)
        return record.slow_until if record else 0.0

    def is_on_probation(self, upstream_id):
        """Tell whether the upstream's slowness is being measured anew."""
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
        # What it takes is measured anew once the time is over: it may have
        # recovered, and without work it could never show that.
        self._means.discard(record.mean_log)
        record.samples = 0
        record.min_samples = PROBATION_SAMPLES
        record.on_probation = True
        record.slow_until = now + record.eject_s
        record.eject_s = min(MAX_EJECT_S, record.eject_s * 2)
