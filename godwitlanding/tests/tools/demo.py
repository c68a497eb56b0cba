"""Runs the whole system locally for half a minute (``make demo``).

Four VMs in two regions forward look-ups and payments to eight upstreams, all
as real processes, with stand-ins of the store and the upstreams. During the
run one VM is killed, an upstream is drained, the store is unavailable for two
seconds and the configuration changes. The exit code is 0 only if all promises
to callers held. A plot shows the results of callers over time.
"""

import argparse
import asyncio
import logging
import sys
import tempfile
from pathlib import Path

from godwitlanding.tests.soak.run import draw_plot, run_faults
from godwitlanding.tests.soak.schedule import Fault
from godwitlanding.tests.tools.processes import ROOT

TIMEOUT_S = 58.0
FAULTS = (
    Fault(2.0, 2.0, "vm", "kill", 0),
    Fault(3.5, 1.0, "upstream", "drain", 2),
    Fault(5.0, 2.0, "store", "down", 0),
    Fault(7.5, 1.0, "operator", "config", 0),
)
# Prefixes of the judge's problems, by the figure of the last line in which
# they are counted.
PROBLEM_PREFIXES_BY_FIGURE = {
    "doubled": ("TWICE",),
    "cut": ("LOST", "HELD"),
    "mixed": ("MIXED",),
    "unasked": ("UNASKED",),
    "over_quota": ("QUOTA",),
}


def format_line(report):
    """Return the demo's last line: counts of responses and of problems."""
    outcomes = report.count_by_outcome
    sent = sum(outcomes.values())
    broken = {
        figure: sum(problem.startswith(prefixes) for problem in report.problems)
        for figure, prefixes in PROBLEM_PREFIXES_BY_FIGURE.items()
    }
    figures = {
        "sent": sent,
        "complete": outcomes.get("200", 0),
        "refused": outcomes.get("503", 0),
        "over_allotment": outcomes.get("429", 0),
        "unreached": outcomes.get("refused", 0) + outcomes.get("closed", 0),
        **broken,
    }
    verdict = "failed" if report.problems else "ok"
    return f"demo: {verdict} " + " ".join(f"{k}={v}" for k, v in figures.items())


def run_demo(folder):
    """Run the system with its faults; return the soak's ``Report``."""
    # The stand-ins' servers log errors when faults end their calls.
    logging.disable(logging.CRITICAL)
    return asyncio.run(asyncio.wait_for(run_faults(1, FAULTS, folder), TIMEOUT_S))


def parse_arguments(argv=None):
    """Parse and return the arguments."""
    parser = argparse.ArgumentParser(
        prog="demo", description=__doc__.split("\n", maxsplit=1)[0]
    )
    parser.add_argument(
        "--logs", type=Path, metavar="DIR", help="Directory for settings and logs"
    )
    parser.add_argument(
        "--plot",
        type=Path,
        default=ROOT / "out/demo.png",
        help="File of the plot; default: out/demo.png",
    )
    return parser.parse_args(argv)


def main(argv=None):
    """Run the demo and return its exit code."""
    arguments = parse_arguments(argv)
    print("starting 4 VMs, 8 upstreams and a store; four faults in ten seconds")
    try:
        if arguments.logs:
            arguments.logs.mkdir(parents=True, exist_ok=True)
            report = run_demo(arguments.logs)
        else:
            with tempfile.TemporaryDirectory(prefix="demo-") as folder:
                report = run_demo(Path(folder))
    except TimeoutError:
        print("demo: failed it took too long")
        return 1
    draw_plot([report], arguments.plot)
    print(f"results of callers over time: {arguments.plot}")
    for problem in report.problems:
        print(f"  BROKEN {problem}")
    print(format_line(report))
    return 1 if report.problems else 0


if __name__ == "__main__":
    sys.exit(main())
