"""Slow start: how many slots of a cold upstream may be used.

Load pattern: an upstream has just started, or a zone takes over callers,
and its caches are empty. The first requests take several times as long, and
the pool's least busy upstream is just the cold one, so without slow start
it is given its full share at once; callers see the slowest answers, and an
upstream that sheds while it starts refuses work that a warm one would do.

The usable share of the slots rises in a straight line over the service's
``slow_start_s`` and begins with one slot, since an upstream that is given
no work never gets warm. With 3 slots that makes one slot for the first
half of the time, two for the second half, then all.

How long a cache takes to fill differs by service and hour, and a zone in
which all upstreams are cold has only a third of its slots meanwhile. So the
slow start ends early once 10 requests in a row took, as a geometric mean,
no more than 1.5 times the usual time. Where upstreams are only slower while
cold, slow start gains 7 to 9 % at p99 after a restart and nothing in a cold
zone (``docs/decisions.rst``); it is for those that shed or fail besides.
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
    """Since when each upstream has been warming up."""

    def __init__(self, slow_start_s):
        self.slow_start_s = slow_start_s
        self._state_by_upstream = {}

    def note_cold(self, upstream_id, now):
        """The upstream has just begun, or crashed and come back."""
        if self.slow_start_s > 0:
            self._state_by_upstream[upstream_id] = _WarmupState(now)

    def note_warm(self, upstream_id):
        """The upstream's own word, or the end of its warm-up."""
        self._state_by_upstream.pop(upstream_id, None)

    def note_work(self, upstream_id, relative_time):
        """A request took that many times what such requests usually take."""
        cold = self._state_by_upstream.get(upstream_id)
        if cold is None:
            return
        log_sum = cold.log_sum + log(max(_MIN_RELATIVE_TIME, relative_time))
        cold = _WarmupState(cold.since, cold.samples + 1, log_sum)
        if cold.samples == WARM_SAMPLES:
            if log_sum <= WARM_SAMPLES * log(WARM_TIMES):
                self.note_warm(upstream_id)
                return
            cold = _WarmupState(cold.since)
        self._state_by_upstream[upstream_id] = cold

    def get_share(self, upstream_id, now):
        """Return how warm the upstream is, from 0 to 1."""
        cold = self._state_by_upstream.get(upstream_id)
        if cold is None:
            return 1.0
        share = (now - cold.since) / self.slow_start_s
        if share >= 1.0:
            self.note_warm(upstream_id)
        return min(1.0, max(0.0, share))

    def get_slots(self, upstream_id, slots, now):
        """Return how many of its ``slots`` may be used at ``now``."""
        share = self.get_share(upstream_id, now)
        return min(slots, 1 + floor(share * (slots - 1)))

    def get_next_time(self, upstream_id, slots, now):
        """Return when the next slot opens, or ``None`` when all are."""
        cold = self._state_by_upstream.get(upstream_id)
        usable = self.get_slots(upstream_id, slots, now)
        if cold is None or usable >= slots:
            return None
        # A step later than worked out, so that rounding cannot make the
        # time come back as due with the same number of slots for ever.
        return cold.since + self.slow_start_s * usable / (slots - 1) + 1e-6
