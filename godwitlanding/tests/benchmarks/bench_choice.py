"""Compares methods of assigning callers to zones and VMs.

    python -m godwitlanding.tests.benchmarks.bench_choice

Shows for each method how many callers move when a tenth of one zone's
callers is shifted to another, with two zones and with three; how many move
on a refresh without any change; and how far the shares are from the weights.
"""

import argparse
import random
import sys
import time
from bisect import bisect_right
from itertools import accumulate

from godwitlanding.decisions.choice import (
    get_seed,
    make_target,
    rank_targets,
    rank_zones,
)
from godwitlanding.tests.benchmarks.measure import format_table

CALLERS = 50_000
SHIFTS = {
    "2 zones": ({"a": 0.8, "b": 0.2}, {"a": 0.7, "b": 0.3}),
    "3 zones": ({"a": 0.6, "b": 0.1, "c": 0.3}, {"a": 0.5, "b": 0.1, "c": 0.4}),
    "undo to 0": ({"a": 0.9, "b": 0.1}, {"a": 1.0, "b": 0.0}),
}


def choose_random(caller, weights):
    """Return a weighted random zone, as a stateless balancer does."""
    return random.choices(list(weights), weights.values())[0]


def choose_interval(caller, weights):
    """Return the zone whose weight interval contains the caller's hash."""
    names = sorted(weights)
    boundaries = list(accumulate(weights[name] for name in names))
    position = get_seed.__wrapped__(caller) / 2**64 * boundaries[-1]
    return names[min(bisect_right(boundaries, position), len(names) - 1)]


def choose_rendezvous(caller, weights):
    """Return the zone by weighted rendezvous hashing, as in production."""
    return rank_zones(caller, "status", weights)[0]


METHODS = {
    "random": choose_random,
    "interval of a hash": choose_interval,
    "weighted rendezvous": choose_rendezvous,
}


def measure_methods():
    """Return a row for each method and shift."""
    callers = [f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}" for n in range(CALLERS)]
    rows = []
    for method, choose in METHODS.items():
        for shift, (before, after) in SHIFTS.items():
            began = time.perf_counter()
            old = [choose(caller, before) for caller in callers]
            cost_us = (time.perf_counter() - began) / CALLERS * 1e6
            repeated = [choose(caller, before) for caller in callers]
            new = [choose(caller, after) for caller in callers]
            min_moved_share = sum(max(0, before[z] - after[z]) for z in before)
            max_deviation = max(abs(new.count(z) / CALLERS - after[z]) for z in after)
            rows.append(
                [
                    method,
                    shift,
                    min_moved_share * 100,
                    _count_moved(old, new) * 100,
                    _count_moved(old, repeated) * 100,
                    max_deviation * 100,
                    cost_us,
                ]
            )
    return rows


def _count_moved(old, new):
    return sum(a != b for a, b in zip(old, new)) / len(old)


def measure_vms():
    """Return rows of moved callers and load balance over a zone's VMs."""
    rows = []
    for count in (2, 6, 24):
        targets = [make_target(f"v{n:02}", f"10.0.0.{n}", "a") for n in range(count)]
        first_choices = [rank_targets(f"c{n}", targets)[0].vm for n in range(CALLERS)]
        loads = [first_choices.count(target.vm) for target in targets]
        after_loss = [rank_targets(f"c{n}", targets[1:])[0].vm for n in range(CALLERS)]
        moved = _count_moved(first_choices, after_loss) * 100
        rows.append([count, 100 / count, moved, max(loads) / (CALLERS / count)])
    return rows


def main(argv=None):
    """Run the benchmark."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.parse_args(argv)
    print(f"{CALLERS:,} callers, a shift of a tenth")
    header = ["way", "shift", "must move %", "moved %", "moved by a refresh %"]
    header += ["off the weights %", "us"]
    print(format_table(header, measure_methods()))
    print("\nA zone's VMs by rendezvous, then one VM lost")
    header = ["VMs", "must move %", "moved %", "busiest to mean"]
    print(format_table(header, measure_vms()))


if __name__ == "__main__":
    sys.exit(main())
