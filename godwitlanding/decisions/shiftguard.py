"""How fast a VM's callers may change the region in which they are served.

Load pattern: a burst fills a region, or callers move to it and ask for
objects that other regions know. Answering each where that is soonest would
move a third of the region's requests within a second, and the region that
gets them has neither the slots nor the objects for that.

What the regions' plan deals out moves slowly by itself. Each choice beside
it, for an object that is known elsewhere or a home that is full, is allowed
only while the share of requests that run in the other region stays within
``STEP`` of what it was in the ``WINDOW_S`` before.
"""

from collections import Counter

# Users allow 0.15 from one span of 2 s to the next. The plan moves 0.08 in
# that time, and what it moves counts here as well.
WINDOW_S = 2.0
MAX_SHARE_INCREASE = 0.06
# A VM with thirty requests a second sees sixty in a window, dealt by chance.
SLACK = 2


class ShiftGuard:
    """Counts one VM's requests by the region in which they run."""

    def __init__(self):
        self._begun_at = 0.0
        self._counts = Counter()
        self._former = Counter()

    def note(self, region, now):
        """A request runs in ``region``."""
        self._roll_window(now)
        self._counts[region] += 1

    def may_change(self, region, now):
        """Tell whether one more request may be sent to another region."""
        self._roll_window(now)
        former = self._former.total()
        if not former:
            # Nobody was served before, so nobody changes.
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
