"""Limits the slots that long jobs may hold.

Load pattern: one request in ten takes forty times as long as the others,
such as a bundle of plans for a school's roof among single sheets. Long jobs
accumulate in the slots, since each stays so much longer; when they hold all
of them, every short request waits for a long one to end.

The duration of a request is predicted from earlier requests with the same
fingerprint, or from the caller's hint. A job is long from 6 times the
typical time: work of one kind with exponentially distributed times is above
that in 3 cases of 100, so it is not split by mere chance. Typical is the
geometric mean, which a few very long jobs hardly change; if all work is
long, none counts as long.

Long jobs may hold three quarters of the slots. The reserve is idle only
while no short request waits for it, and the figures for other shares are in
``docs/decisions.rst``.
"""

from collections import OrderedDict
from math import exp, floor, log

LONG_FACTOR = 6.0
LONG_SHARE = 0.75
MAX_FINGERPRINTS = 4096
_ALPHA = 0.3
_TYPICAL_ALPHA = 0.02
_MIN_S = 1e-4


class LongJobs:
    """Predicts how long requests take and limits the long ones."""

    def __init__(self, work_s):
        self.work_s = max(_MIN_S, work_s)
        self._typical_log = log(self.work_s)
        self._expected_by_fingerprint = OrderedDict()
        self.mean_long_s = 0.0

    @property
    def typical_s(self):
        """Return the geometric mean of the request durations in seconds."""
        return exp(self._typical_log)

    def note(self, fingerprint, took_s):
        """Record the duration of a finished request."""
        took_s = max(_MIN_S, took_s)
        self._typical_log += _TYPICAL_ALPHA * (log(took_s) - self._typical_log)
        if took_s > LONG_FACTOR * self.typical_s:
            change_s = took_s - self.mean_long_s
            self.mean_long_s += change_s * (_ALPHA if self.mean_long_s else 1.0)
        if not fingerprint:
            return
        mean_s = self._expected_by_fingerprint.get(fingerprint, took_s)
        self._expected_by_fingerprint[fingerprint] = mean_s + _ALPHA * (took_s - mean_s)
        self._expected_by_fingerprint.move_to_end(fingerprint)
        if len(self._expected_by_fingerprint) > MAX_FINGERPRINTS:
            self._expected_by_fingerprint.popitem(last=False)

    def get_expected_s(self, fingerprint):
        """Return the mean duration for the fingerprint, 0 if unknown."""
        return self._expected_by_fingerprint.get(fingerprint, 0.0)

    def get_usual_s(self, fingerprint):
        """Return the expected duration, the typical one if unknown."""
        return self.get_expected_s(fingerprint) or self.typical_s

    def is_long(self, expected_s):
        """Return whether a request of that duration counts as long."""
        return expected_s > LONG_FACTOR * self.typical_s

    def get_limit(self, slots):
        """Return how many of the slots long jobs may hold."""
        return max(1, floor(slots * LONG_SHARE))

    def may_start(self, open_count, slots):
        """Return whether a long job may start while ``open_count`` run."""
        return open_count < self.get_limit(slots)
