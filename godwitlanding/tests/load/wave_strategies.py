"""Alternatives that ``wave_model`` compares with the decisions in use."""

import math
from collections import Counter, deque

from godwitlanding.decisions.forecast import Forecast

FIT_WINDOW_S = 40.0
FIT_PERIODS_S = tuple(24.0 * 1.12**n for n in range(9))
# A fit needs this many seconds of measurements.
MIN_FIT_S = 24.0
# Seconds until the shares planned now take effect: the age of the rates, and
# up to 4 s for the move.
RATE_AGE_S = 2.5
LEAD_S = 4
MAX_ERROR = 0.3
MAX_RESIDUAL = 0.25


class MeasuredRate:
    """Uses the last measurement."""

    def __init__(self):
        self._rate = 0.0

    def note(self, rate, now):
        """Replace the measurement."""
        self._rate = rate

    def get(self):
        """Return the last measurement."""
        return self._rate


class WaveFit:
    """Fits period, phase and amplitude; returns the peak until ``LEAD_S``.

    Uses the linear forecast while the fit is bad, or the last 2 s deviate from
    it by more than ``MAX_RESIDUAL`` of the mean.
    """

    def __init__(self):
        self._linear = Forecast()
        self._samples = deque()
        self._now = 0.0

    def note(self, rate, now):
        """Add a measurement of the rate."""
        self._now = now
        self._linear.note(rate, now)
        self._samples.append((now, rate))
        while now - self._samples[0][0] > FIT_WINDOW_S:
            self._samples.popleft()

    def get(self):
        """Return the rate to plan for."""
        if self._now - self._samples[0][0] < MIN_FIT_S:
            return self._linear.get()
        error, mean, cosine, sine, omega = min(map(self._fit, FIT_PERIODS_S))

        def predict(at):
            angle = omega * (at - self._now)
            return mean + cosine * math.cos(angle) + sine * math.sin(angle)

        rms = math.sqrt(error / len(self._samples))
        recent = [r - predict(t) for t, r in self._samples if self._now - t <= 2.0]
        is_bad = rms > MAX_ERROR * math.hypot(cosine, sine)
        if is_bad or abs(sum(recent) / len(recent)) > MAX_RESIDUAL * mean:
            return self._linear.get()
        ahead = (self._now + RATE_AGE_S + lead for lead in range(LEAD_S + 1))
        return max(0.0, *map(predict, ahead))

    def _fit(self, period_s):
        """Return the squared error and the coefficients by least squares."""
        omega = 2 * math.pi / period_s
        rows = []
        for at, rate in self._samples:
            angle = omega * (at - self._now)
            rows.append((1.0, math.cos(angle), math.sin(angle), rate))
        sums = [[sum(r[i] * r[j] for r in rows) for j in range(4)] for i in range(3)]
        for i in range(3):
            for k in {0, 1, 2} - {i}:
                quotient = sums[k][i] / sums[i][i]
                sums[k] = [a - quotient * b for a, b in zip(sums[k], sums[i])]
        fitted = [sums[i][3] / sums[i][i] for i in range(3)]
        error = sum((r[3] - sum(map(math.prod, zip(fitted, r)))) ** 2 for r in rows)
        return error, *fitted, omega


class ExactGuard:
    """Limits all that changes between two spans of 2 s that slide.

    The rises of all regions, the plan's own included, add up to at most
    ``MAX_CHANGE``.
    """

    MAX_CHANGE = 0.15
    STEP_S = 0.1
    STEPS = 20

    def __init__(self):
        self._steps = deque()

    def note(self, region, now):
        """Count a request that runs in ``region``."""
        step = int(now / self.STEP_S)
        if not self._steps or self._steps[-1][0] != step:
            self._steps.append((step, Counter()))
        self._steps[-1][1][region] += 1

    def may_change(self, region, now):
        """Return whether one more request may be sent to ``region``."""
        step = int(now / self.STEP_S)
        while self._steps and self._steps[0][0] <= step - 2 * self.STEPS:
            self._steps.popleft()
        current = Counter((region,))
        former = Counter()
        for at, counts in self._steps:
            (current if at > step - self.STEPS else former).update(counts)
        if not former or current[region] <= 1:
            return True
        rises = {
            name: count / current.total() - former[name] / former.total()
            for name, count in current.items()
        }
        rise = sum(max(0.0, rise) for rise in rises.values())
        return rises[region] <= 0.0 or rise <= self.MAX_CHANGE
