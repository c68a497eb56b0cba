"""Compares ways to share load waves between three regions, in virtual time.

Three regions with a third of the callers each; region "a" has a tenth of the
slots. Waves have a period of 36 s and an amplitude of 0.55 and are a third of
a period apart. A request takes a slot of the region that the plan picks, or
overflows into another region with a free slot if the guard permits, or is
refused. Rates are averaged as by ``ArrivalRates`` and are 1 s old.

python -m godwitlanding.tests.load.wave_model
"""

import heapq
import math
import random
from collections import Counter, deque
from typing import NamedTuple

from godwitlanding.decisions.forecast import Forecast
from godwitlanding.decisions.regionshare import (
    RegionLoad,
    RegionSelector,
    get_shares,
    step,
)
from godwitlanding.decisions.shiftguard import ShiftGuard
from godwitlanding.tests.load.wave_strategies import ExactGuard, MeasuredRate, WaveFit

REGIONS = ("a", "b", "c")
SLOTS_BY_REGION = {"a": 12, "b": 54, "c": 54}
WORK_S = 0.25
RATE = 130.0
PERIOD_S = 36.0
AMPLITUDE = 0.55
VMS_PER_REGION = 4
UPDATE_S = 0.5
RATE_AGE_S = 1.0
SPAN_S = 2.0
# Begins after the first period, in which rates and shares settle.
MEASURED_FROM_S = 36.0


class Scenario(NamedTuple):
    """What happens to the waves; times in seconds."""

    seconds: float = 144.0
    waves_stop_at: float = math.inf
    # Region "a" gets twice its rate for 4 s, in the trough of its wave.
    burst_at: float = math.inf
    # From here on, the other regions' rates are not heard for 12 s.
    cut_at: float = math.inf


class Outcome(NamedTuple):
    """Shares of the requests since ``MEASURED_FROM_S``.

    ``changed_regions`` and ``changed_vms`` are the shares of the spans of 2 s
    in which the share of the requests that run in other regions differs by
    more than 0.15 from the span before, for each region or VM.
    """

    refused: float
    refused_in_small: float
    moved: float
    changed_regions: float
    changed_vms: float


def get_rate(region, now, scenario):
    """Return the requests per second of a region's callers."""
    phase = REGIONS.index(region) / len(REGIONS)
    wave = AMPLITUDE * math.sin(2 * math.pi * (now / PERIOD_S + phase))
    if now >= scenario.waves_stop_at:
        wave = 0.0
    is_burst = region == "a" and 0.0 <= now - scenario.burst_at < 4.0
    return RATE * (1.0 + wave) * (2.0 if is_burst else 1.0)


class WaveModel:
    """One run; ``make_forecast``, ``make_guard`` and ``move`` are compared."""

    def __init__(self, scenario, seed, make_forecast, make_guard, move, max_overflow):
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._move = move
        self._max_overflow = max_overflow
        self._overflow_share = Counter()
        self._guards = {
            (region, vm): make_guard()
            for region in REGIONS
            for vm in range(VMS_PER_REGION)
        }
        self._forecasts = {
            (planner, region): make_forecast()
            for planner in REGIONS
            for region in REGIONS
        }
        self._selectors = {name: RegionSelector(name[0]) for name in self._guards}
        self._shares = {region: {} for region in REGIONS}
        self._ends = {region: [] for region in REGIONS}
        self._arrived = Counter()
        self._rates = dict.fromkeys(REGIONS, RATE)
        self._recent = deque([self._rates], maxlen=1 + round(RATE_AGE_S / UPDATE_S))
        self._heard = {}
        self._log = []

    def run(self):
        """Run the scenario and return its ``Outcome``."""
        heap = [(self._draw_gap(r, 0.0), r) for r in REGIONS]
        heap += [(0.0, "")]
        heapq.heapify(heap)
        while heap[0][0] < self._scenario.seconds:
            now, region = heapq.heappop(heap)
            if region:
                self._take(region, now)
                heapq.heappush(heap, (now + self._draw_gap(region, now), region))
            else:
                self._update(now)
                heapq.heappush(heap, (now + UPDATE_S, ""))
        return self._judge()

    def _draw_gap(self, region, now):
        return self._rng.expovariate(get_rate(region, now, self._scenario))

    def _take(self, region, now):
        self._arrived[region] += 1
        vm = (region, self._rng.randrange(VMS_PER_REGION))
        key = str(self._rng.randrange(450))
        planned = self._selectors[vm].pick(self._shares[region], key)
        chosen = planned if self._has_free(planned, now) else None
        guard = self._guards[vm]
        if chosen is None:
            others = sorted(
                REGIONS, key=lambda r: (r != region, self._get_busy_share(r, now))
            )
            for other in others:
                if other == planned or not self._has_free(other, now):
                    continue
                if self._overflow_share[vm] > self._max_overflow:
                    break
                if guard.may_change(other, now):
                    chosen = other
                    break
        sample = float(chosen not in (None, planned))
        self._overflow_share[vm] += 0.02 * (sample - self._overflow_share[vm])
        if chosen:
            guard.note(chosen, now)
            heapq.heappush(self._ends[chosen], now + self._rng.gammavariate(4, 0.0625))
        self._log.append((now, vm, chosen))

    def _get_busy_share(self, region, now):
        ends = self._ends[region]
        while ends and ends[0] <= now:
            heapq.heappop(ends)
        return len(ends) / SLOTS_BY_REGION[region]

    def _has_free(self, region, now):
        return self._get_busy_share(region, now) < 1.0

    def _update(self, now):
        weight = 1.0 - 0.7**UPDATE_S
        self._rates = {
            r: rate + weight * (self._arrived[r] / UPDATE_S - rate)
            for r, rate in self._rates.items()
        }
        self._arrived.clear()
        self._recent.append(self._rates)
        is_cut = 0.0 <= now - self._scenario.cut_at < 12.0
        for planner in REGIONS:
            heard = dict(self._recent[0])
            if is_cut:
                heard = {**self._heard[planner], planner: heard[planner]}
            self._heard[planner] = heard
            loads = {}
            for region in REGIONS:
                forecast = self._forecasts[(planner, region)]
                forecast.note(heard[region], now)
                capacity = SLOTS_BY_REGION[region] / WORK_S
                loads[region] = RegionLoad(forecast.get(), capacity, capacity, capacity)
            target = get_shares(planner, loads)
            self._shares[planner] = self._move(self._shares[planner], target, UPDATE_S)

    def _judge(self):
        counted = [row for row in self._log if row[0] >= MEASURED_FROM_S]
        small = [row for row in counted if row[1][0] == "a"]
        changes = [c for r in REGIONS for c in self._get_changes(counted, {r})]
        vm_changes = [c for vm in self._guards for c in self._get_changes(counted, vm)]
        return Outcome(
            sum(row[2] is None for row in counted) / len(counted),
            sum(row[2] is None for row in small) / len(small),
            sum(row[2] not in (None, row[1][0]) for row in counted) / len(counted),
            sum(change > 0.15 for change in changes) / len(changes),
            sum(change > 0.15 for change in vm_changes) / len(vm_changes),
        )

    def _get_changes(self, rows, source):
        """Return the changes of the share that a region or a VM sends away."""
        sent, away = Counter(), Counter()
        for now, vm, chosen in rows:
            if chosen and (vm == source or {vm[0]} == source):
                span = int(now / SPAN_S)
                sent[span] += 1
                away[span] += chosen != vm[0]
        shares = [away[span] / sent[span] for span in sorted(sent)]
        return [abs(b - a) for a, b in zip(shares, shares[1:])]


SCENARIO_BY_NAME = {
    "waves": Scenario(),
    "waves stop": Scenario(waves_stop_at=79.0),
    "burst in a trough": Scenario(burst_at=97.0),
    "cut off": Scenario(cut_at=75.0),
}
# Forecast, guard, and the largest share of requests beyond the plan.
WAYS = (
    (MeasuredRate, ShiftGuard, 0.05),
    (Forecast, ShiftGuard, 0.05),
    (WaveFit, ShiftGuard, 0.05),
    (Forecast, ShiftGuard, 1.0),
    (Forecast, ExactGuard, 1.0),
    (WaveFit, ExactGuard, 1.0),
)


def main(seed=1):
    """Print the outcome of each way in each scenario."""
    for name, scenario in SCENARIO_BY_NAME.items():
        for forecast, guard, overflow in WAYS:
            model = WaveModel(scenario, seed, forecast, guard, step, overflow)
            figures = " ".join(f"{figure:.3f}" for figure in model.run())
            print(f"{name:18}{forecast.__name__:13}{guard.__name__:11}", end="")
            print(f"{overflow:.2f} {figures}")


if __name__ == "__main__":
    main()
