"""Slow start: limits how many slots of a cold upstream may be used.

Load pattern: an upstream has just started, or a zone takes over callers, and
its caches are empty. The first requests take several times as long, and the
least busy upstream of the pool is the cold one, so without slow start it
gets its full share at once; callers get the slowest responses, and an upstream
that sheds while it starts refuses work that a warm one would do.

The usable share of the slots rises linearly over the service's
``slow_start_s`` and begins with one slot, since an upstream that gets no
work never becomes warm. With 3 slots that makes one slot for the first half
of the time, two for the second half, then all.

How long a cache takes to fill differs by service and hour, and a zone in
which all upstreams are cold has only a third of its slots meanwhile. So the
slow start ends early once 10 requests in a row took, as a geometric mean, no
more than 1.5 times the usual time. If upstreams are only slower while cold,
slow start improves p99 by 7 to 9 % after a restart and not at all in a cold
zone (``docs/decisions.rst``); it is meant for those that also shed or fail.
"""

from math import floor, log
from typing import NamedTuple

WARM_SAMPLES = 10
WARM_TIMES = 1.5
_MIN_RELATIVE_TIME = 1e-5


class _WarmupState(NamedTuple):
    since: float
    samples: int = 0
    log_sum: float = 0.0


class Warmup:
    """Tracks which upstreams are warming up, and since when."""

    def __init__(self, slow_start_s):
        self.slow_start_s = slow_start_s
        self._state_by_upstream = {}

    def note_cold(self, upstream_id, now):
        """Start the warm-up of an upstream that has just (re)started."""
        if self.slow_start_s > 0:
            self._state_by_upstream[upstream_id] = _WarmupState(now)

    def note_warm(self, upstream_id):
        """End the upstream's warm-up."""
        self._state_by_upstream.pop(upstream_id, None)

    def note_work(self, upstream_id, relative_time):
        """Record a request's duration as a multiple of the usual one."""
        state = self._state_by_upstream.get(upstream_id)
        if state is None:
            return
        log_sum = state.log_sum + log(max(_MIN_RELATIVE_TIME, relative_time))
        state = _WarmupState(state.since, state.samples + 1, log_sum)
        if state.samples == WARM_SAMPLES:
            if log_sum <= WARM_SAMPLES * log(WARM_TIMES):
                self.note_warm(upstream_id)
                return
            state = _WarmupState(state.since)
        self._state_by_upstream[upstream_id] = state

    def get_share(self, upstream_id, now):
        """Return how warm the upstream is, from 0 to 1."""
        state = self._state_by_upstream.get(upstream_id)
        if state is None:
            return 1.0
        share = (now - state.since) / self.slow_start_s
        if share >= 1.0:
            self.note_warm(upstream_id)
        return min(1.0, max(0.0, share))

    def get_slots(self, upstream_id, slots, now):
        """Return how many of its ``slots`` may be used at ``now``."""
        share = self.get_share(upstream_id, now)
        return min(slots, 1 + floor(share * (slots - 1)))

    def get_next_time(self, upstream_id, slots, now):
        """Return when the next slot becomes usable, ``None`` if all are."""
        state = self._state_by_upstream.get(upstream_id)
        usable = self.get_slots(upstream_id, slots, now)
        if state is None or usable >= slots:
            return None
        # Slightly later than computed, so that rounding cannot make the timer
        # fire again and again with the same number of slots.
        return state.since + self.slow_start_s * usable / (slots - 1) + 1e-6
