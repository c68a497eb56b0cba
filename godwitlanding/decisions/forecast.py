"""Predicts a region's request rate for when a plan takes effect.

Load pattern: callers come in waves, in small regions too. A plan that follows
the measured rate always lags: the rate was measured some seconds ago, and
shares of regions may change only slowly, so at the peak of a wave a small
region is full and refuses requests, while in the trough after it a quarter of
its callers is sent to other regions.

So a rising rate is extrapolated along its slope. A falling rate is used as
measured: a request that runs in another region for a moment longer costs a
round trip there, while one too many in its own region is refused.
"""

from collections import deque

# Time over which the slope is computed; over a shorter one, the randomness of
# arrivals looks like a rise.
SLOPE_WINDOW_S = 4.0
# Covers the age of a measured rate and the time that a change of shares takes.
LEAD_S = 4.0
# Limits the extrapolation: a burst begins and ends suddenly.
MAX_RISE = 1.5


class Forecast:
    """Predicts one rate from repeated measurements.

    ``now`` is the time in seconds on one clock in every call.
    """

    def __init__(self):
        self._samples = deque()

    def note(self, rate, now):
        """Add a measurement of the rate."""
        self._samples.append((now, rate))
        while now - self._samples[0][0] > SLOPE_WINDOW_S:
            self._samples.popleft()

    def get(self):
        """Return the rate to plan for, 0 if none was measured.

        >>> forecast = Forecast()
        >>> for second in range(5):
        ...     forecast.note(100.0 + 5 * second, float(second))
        >>> forecast.get()
        140.0
        """
        if not self._samples:
            return 0.0
        rate = self._samples[-1][1]
        predicted = rate + LEAD_S * max(0.0, self._get_slope())
        return min(predicted, MAX_RISE * rate)

    def _get_slope(self):
        """Return the change a second, by a least-squares fit."""
        count = len(self._samples)
        elapsed_s = self._samples[-1][0] - self._samples[0][0]
        if count < 3 or elapsed_s < SLOPE_WINDOW_S / 2:
            return 0.0
        mean_at = sum(at for at, _ in self._samples) / count
        mean_rate = sum(rate for _, rate in self._samples) / count
        variance = sum((at - mean_at) ** 2 for at, _ in self._samples)
        covariance = sum(
            (at - mean_at) * (rate - mean_rate) for at, rate in self._samples
        )
        return covariance / variance
