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
"""

from math import floor


class Warmup:
    """Since when each upstream has been warming up."""

    def __init__(self, slow_start_s):
        self.slow_start_s = slow_start_s
        self._cold_at_by_upstream = {}

    def note_cold(self, upstream_id, now):
        """The upstream has just begun, or crashed and come back."""
        if self.slow_start_s > 0:
            self._cold_at_by_upstream[upstream_id] = now

    def note_warm(self, upstream_id):
        """The upstream's own word, or the end of its warm-up."""
        self._cold_at_by_upstream.pop(upstream_id, None)

    def get_share(self, upstream_id, now):
        """Return how warm the upstream is, from 0 to 1."""
        cold_at = self._cold_at_by_upstream.get(upstream_id)
        if cold_at is None:
            return 1.0
        share = (now - cold_at) / self.slow_start_s
        if share >= 1.0:
            self.note_warm(upstream_id)
        return min(1.0, max(0.0, share))

    def get_slots(self, upstream_id, slots, now):
        """Return how many of its ``slots`` may be used at ``now``."""
        share = self.get_share(upstream_id, now)
        return min(slots, 1 + floor(share * (slots - 1)))

    def get_next_time(self, upstream_id, slots, now):
        """Return when the next slot opens, or ``None`` when all are."""
        cold_at = self._cold_at_by_upstream.get(upstream_id)
        usable = self.get_slots(upstream_id, slots, now)
        if cold_at is None or usable >= slots:
            return None
        # A step later than worked out, so that rounding cannot make the
        # time come back as due with the same number of slots for ever.
        return cold_at + self.slow_start_s * usable / (slots - 1) + 1e-6
