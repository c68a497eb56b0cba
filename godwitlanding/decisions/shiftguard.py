"""Limits how fast a VM's requests may move between regions.

Load pattern: a burst fills a region, or callers move to it and ask for
objects that are cached in other regions. If each went where it is answered
soonest, a third of the region's requests would move within a second, and the
region that gets them has neither the slots nor the cached objects for that.

The shares of the regions' plan move slowly by themselves. Each choice that
differs from it, for an object cached elsewhere or a home that is full, is
allowed only while the share of requests that run in the other region stays
within ``MAX_SHARE_INCREASE`` of its share in the previous ``WINDOW_S``.
"""

from collections import Counter

# Users accept a change of 0.15 from one span of 2 s to the next. The plan
# moves 0.08 in that time, and what it moves counts here as well.
WINDOW_S = 2.0
MAX_SHARE_INCREASE = 0.06
# Requests allowed beyond the share: a VM with thirty requests a second gets
# only sixty in a window, with random variation.
SLACK = 2


class ShiftGuard:
    """Counts one VM's requests by the region in which they run."""

    def __init__(self):
        self._begun_at = 0.0
        self._counts = Counter()
        self._former = Counter()

    def note(self, region, now):
        """Count a request that runs in ``region``."""
        self._roll_window(now)
        self._counts[region] += 1

    def may_change(self, region, now):
        """Return whether one more request may be sent to ``region``."""
        self._roll_window(now)
        former = self._former.total()
        if not former:
            # No request was served before, so there is no share to keep.
            return True
        share = self._former[region] / former + MAX_SHARE_INCREASE
        return self._counts[region] + 1 <= share * (self._counts.total() + 1) + SLACK

    def _roll_window(self, now):
        elapsed_s = now - self._begun_at
        if elapsed_s < WINDOW_S:
            return
        self._former = self._counts if elapsed_s < 2 * WINDOW_S else Counter()
        self._counts = Counter()
        self._begun_at = now
