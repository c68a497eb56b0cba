"""Compares the arbiter with simpler designs by the results for callers.

Prints a table for each load pattern and writes a plot of each to ``out/``.
Then prints the cost of one decision by queue length and number of
upstreams.

    python -m godwitlanding.tests.benchmarks.bench_decisions --pattern burst
"""

import argparse
import sys
from functools import partial
from pathlib import Path

from godwitlanding.tests.benchmarks.bench_cost import print_costs
from godwitlanding.tests.load.load_designs import (
    DESIGNS,
    HashByKey,
    LeastLoadedStale,
)
from godwitlanding.tests.load.load_driver import Run
from godwitlanding.tests.load.load_patterns import WORKLOADS, make_patterns
from godwitlanding.tests.load.load_plot import plot_pattern
from godwitlanding.tests.load.load_pooled import Hedged, Pooled
from godwitlanding.tests.load.load_report import summarise

EXTRA_DESIGNS_BY_PATTERN = {
    "hot key": (HashByKey,),
    "slow upstream 10x": (Hedged,),
    "steady 70%": (Hedged, LeastLoadedStale),
    "reports stop": (LeastLoadedStale,),
}
HEADINGS = (
    "design",
    "tries",
    "good",
    "refused",
    "late",
    "failed",
    "goodput",
    "on time",
    "p50",
    "p99",
    "others p99",
    "others wait",
    "others good",
    "most on one",
    "normal after",
)
ROW = "{:19}{:>7}{:>7}{:>8}{:>7}{:>7}" + "{:>9}" * 4 + "{:>12}" * 5


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--pattern", default="", help="Only patterns whose name contains this"
    )
    parser.add_argument(
        "--workload", default="", help="Only workloads whose name contains this"
    )
    parser.add_argument(
        "--seed", type=int, default=1, help="Random seed of the arrivals"
    )
    parser.add_argument(
        "--out", default="out", metavar="DIR", help="Directory for plots"
    )
    parser.add_argument("--no-plots", action="store_true", help="Print tables only")
    parser.add_argument(
        "--no-costs", action="store_true", help="Skip the decision costs"
    )
    return parser.parse_args(argv)


def run_design(design, workload, pattern, seed=1):
    """Simulate a design under a load pattern; return the finished run."""
    if issubclass(design, Pooled):
        design = partial(design, work_s=workload.work_s)
    run = Run(design, pattern.streams, workload.upstreams, seed, pattern.events)
    run.run(pattern.seconds)
    return run


def print_rows(rows):
    """Print a table of ``(name, Summary)`` rows."""
    print(ROW.format(*HEADINGS))
    for name, s in rows:
        print(
            ROW.format(
                name,
                s.offered,
                s.good,
                s.refused,
                s.late,
                s.failed,
                f"{s.goodput:.3f}",
                f"{s.on_time:.4f}",
                f"{s.p50_s:.3f}",
                f"{s.p99_s:.3f}",
                f"{s.others_p99_s:.3f}",
                f"{s.wait_p99_s:.3f}",
                f"{s.others_good:.4f}",
                s.most_assigned,
                f"{s.recovery_s:.0f}",
            )
        )


def run_pattern(workload, pattern, arguments):
    """Run every design under a pattern; print the table and write the plot."""
    print(f"\n{workload.name}: {pattern.name}")
    designs = DESIGNS + EXTRA_DESIGNS_BY_PATTERN.get(pattern.name, ())
    run_by_design = {
        design.name: run_design(design, workload, pattern, arguments.seed)
        for design in designs
    }
    print_rows((name, summarise(run, pattern)) for name, run in run_by_design.items())
    if not arguments.no_plots:
        name = f"{workload.name} {pattern.name}".replace(" ", "-").replace(",", "")
        path = Path(arguments.out) / f"decisions-{name.replace('%', '')}.png"
        path.parent.mkdir(exist_ok=True)
        plot_pattern(workload, pattern, run_by_design, path)


def main(argv=None):
    """Run the benchmark."""
    arguments = parse_arguments(argv)
    print("Times in seconds; goodput is a share of what the slots can serve.")
    for workload in WORKLOADS:
        for name, pattern in make_patterns(workload).items():
            if arguments.pattern in name and arguments.workload in workload.name:
                run_pattern(workload, pattern, arguments)
    if not arguments.no_costs:
        print_costs(sys.stdout)
    return 0


if __name__ == "__main__":
    sys.exit(main())
