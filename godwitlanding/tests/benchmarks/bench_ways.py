"""Compares alternative constants and designs of the decision modules.

Each experiment changes one constant of a pure module, runs the load patterns
that depend on it, and prints the mean over several seeds.

    python -m godwitlanding.tests.benchmarks.bench_ways --way return
"""

import argparse
import sys
from contextlib import ExitStack
from functools import partial
from itertools import product
from math import isinf
from statistics import fmean
from typing import NamedTuple
from unittest.mock import patch

from godwitlanding.daemons import intake, pool
from godwitlanding.decisions import admission, fairness, longjobs, outlier, warmup
from godwitlanding.tests.benchmarks.bench_decisions import run_design
from godwitlanding.tests.load.load_designs import StaticShares
from godwitlanding.tests.load.load_patterns import WORKLOADS, make_patterns
from godwitlanding.tests.load.load_pooled import Hedged, Pooled
from godwitlanding.tests.load.load_report import summarise

ROW = "{:16}{:<12}{:22}" + "{:>10}" * 9
HEADINGS = (
    "workload",
    "value",
    "pattern",
    "goodput",
    "refused",
    "late",
    "p50",
    "p99",
    "others p99",
    "others wait",
    "told p99",
    "normal",
)


class Experiment(NamedTuple):
    """A constant, the values to compare and the load patterns to run.

    ``change(value)`` returns a context manager that sets the value.
    """

    name: str
    values: tuple
    patterns: tuple
    change: object


def _change_constant(module, name):
    return lambda value: patch.object(module, name, value)


def _change_wait(value):
    return patch.dict(admission.WAIT_SHARE_BY_PRIORITY, {1: value})


def _change_patience(value):
    context = ExitStack()
    context.enter_context(patch.object(admission, "PATIENCE", value))
    context.enter_context(patch.object(intake, "PATIENCE", value))
    return context


def _change_reluctance(value):
    # Without reluctance, slow and cold slots are used like any other, instead
    # of only when the queue wait is long.
    if value == "reluctant":
        return patch.object(intake, "PRESSED_SHARE", intake.PRESSED_SHARE)
    return patch.object(pool.Pool, "_get_eager", lambda self, upstream, now: 10**6)


EXPERIMENTS = (
    Experiment(
        "wait share of look-ups",
        (0.05, 0.1, 0.15, 0.25, 0.5),
        ("steady 70%", "burst 5x 10 s", "overload 2x"),
        _change_wait,
    ),
    Experiment(
        "patience",
        (1.0, 1.5, 2.0, 3.0),
        ("steady 70%", "overload 1.2x", "overload 2x"),
        _change_patience,
    ),
    Experiment(
        "return share",
        (0.1, 0.15, 0.3, 0.5, 1.0),
        ("all come back",),
        _change_constant(admission, "RETURN_SHARE"),
    ),
    Experiment(
        "longest return",
        (1.0, 30.0, 60.0),
        ("all come back",),
        _change_constant(admission, "MAX_RETRY_AFTER_S"),
    ),
    Experiment(
        "share of long jobs",
        (0.34, 0.5, 0.75, 0.9, 1.0),
        ("long among short",),
        _change_constant(longjobs, "LONG_SHARE"),
    ),
    Experiment(
        "burst of a caller",
        (0.0, 2.0, 4.0, 8.0, 1e9),
        ("steady 70%", "hot caller 10x"),
        _change_constant(fairness, "BURST"),
    ),
    Experiment(
        "slow at times the median",
        (3.0, 5.0, 8.0, 1e9),
        ("steady 70%", "slow upstream 10x", "long among short"),
        _change_constant(outlier, "SLOW_TIMES"),
    ),
    Experiment(
        "slow and cold slots",
        ("reluctant", "like others"),
        ("slow upstream 10x", "cold zone, all at once", "restarted upstream"),
        _change_reluctance,
    ),
    Experiment(
        "pressed share",
        (0.0, 0.15, 0.25, 0.5),
        ("slow upstream 10x", "cold zone, all at once", "crashing request"),
        _change_constant(intake, "PRESSED_SHARE"),
    ),
    Experiment(
        "warm after samples",
        (10, 30, 10**9),
        ("cold zone, all at once", "crashing request"),
        _change_constant(warmup, "WARM_SAMPLES"),
    ),
)
DESIGN_EXPERIMENTS = (
    ("hedging", ("steady 70%", "slow upstream 10x", "overload 2x"), (Pooled, Hedged)),
    ("pooling", ("steady 70%", "hot caller 10x"), (Pooled, StaticShares)),
)


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--way", default="", help="Only experiments whose name contains this"
    )
    parser.add_argument(
        "--seeds", type=int, default=5, help="Number of seeds to average over"
    )
    return parser.parse_args(argv)


def print_row(workload, value, pattern, summaries):
    """Print a row with the means of the summaries."""

    def mean(name, digits=3):
        values = [getattr(summary, name) for summary in summaries]
        finite = [item for item in values if not isinf(item)]
        text = f"{fmean(finite):.{digits}f}" if finite else "never"
        never = len(values) - len(finite)
        return f"{text}+{never}n" if never and finite else text

    print(
        ROW.format(
            workload.name,
            str(value),
            pattern.name,
            mean("goodput"),
            mean("refused", 0),
            mean("late", 0),
            mean("p50_s"),
            mean("p99_s"),
            mean("others_p99_s"),
            mean("wait_p99_s"),
            mean("told_p99_s"),
            mean("recovery_s", 1),
        )
    )


def run_experiment(experiment, seeds):
    """Print a row for each workload, pattern and value of an experiment."""
    for workload in WORKLOADS:
        pattern_by_name = make_patterns(workload)
        for name in experiment.patterns:
            for value in experiment.values:
                with experiment.change(value):
                    measure(workload, value, pattern_by_name[name], Pooled, seeds)


def run_designs(experiment, seeds):
    """Print the rows of an experiment that compares designs."""
    _, patterns, designs = experiment
    for workload, name, design in product(WORKLOADS, patterns, designs):
        pattern = make_patterns(workload)[name]
        label = design.name.removeprefix("pooled, ")[:11]
        measure(workload, label, pattern, design, seeds)


def measure(workload, value, pattern, design, seeds):
    """Run a design with each seed and print a row with the means."""
    run = partial(run_design, design, workload, pattern)
    summaries = [summarise(run(seed), pattern) for seed in range(1, seeds + 1)]
    print_row(workload, value, pattern, summaries)


def main(argv=None):
    """Run the benchmark."""
    arguments = parse_arguments(argv)
    for experiment in EXPERIMENTS:
        if arguments.way in experiment.name:
            print(f"\n{experiment.name}\n{ROW.format(*HEADINGS)}")
            run_experiment(experiment, arguments.seeds)
    for experiment in DESIGN_EXPERIMENTS:
        if arguments.way in experiment[0]:
            print(f"\n{experiment[0]}\n{ROW.format(*HEADINGS)}")
            run_designs(experiment, arguments.seeds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
