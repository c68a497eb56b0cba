"""What a region's callers will ask for when a plan made now has taken effect.

Load pattern: callers come in waves, those of a small region among others. A
plan that follows what was measured is always behind: the measured rate is
that of some seconds ago, and shares of regions may move only slowly, so
at the top of a wave the small region is full and refuses, while a quarter of
its callers is sent away in the trough after it.

So a rate that rises is carried on along its slope. One that falls is taken as
it is: a request that runs elsewhere for a moment longer costs a way there and
back, one too many at home is refused.
"""

from collections import deque

# The slope is that of this time: shorter, and the luck of who calls when is
# taken for a rise.
SPAN_S = 4.0
# A measured rate is old already, and a move takes some time to be made.
LEAD_S = 4.0
# A burst begins at once and ends as suddenly; it is not carried on for ever.
MAX_RISE = 1.5


class Forecast:
    """One rate, noted again and again; ``now`` is seconds of one clock."""

    def __init__(self):
        self._noted = deque()

    def note(self, rate, now):
        """Take the rate as it is measured now."""
        self._noted.append((now, rate))
        while now - self._noted[0][0] > SPAN_S:
            self._noted.popleft()

    def get(self):
        """Return the rate to plan for, 0 where none was noted.

        >>> forecast = Forecast()
        >>> for second in range(5):
        ...     forecast.note(100.0 + 5 * second, float(second))
        >>> forecast.get()
        140.0
        """
        if not self._noted:
            return 0.0
        rate = self._noted[-1][1]
        ahead = rate + LEAD_S * max(0.0, self._get_slope())
        return min(ahead, MAX_RISE * rate)

    def _get_slope(self):
        """Return the change a second, by least squares."""
        count = len(self._noted)
        elapsed_s = self._noted[-1][0] - self._noted[0][0]
        if count < 3 or elapsed_s < SPAN_S / 2:
            return 0.0
        mean_at = sum(at for at, _ in self._noted) / count
        mean_rate = sum(rate for _, rate in self._noted) / count
        spread = sum((at - mean_at) ** 2 for at, _ in self._noted)
        joint = sum((at - mean_at) * (rate - mean_rate) for at, rate in self._noted)
        return joint / spread
