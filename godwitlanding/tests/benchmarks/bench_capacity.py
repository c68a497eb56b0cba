"""Runs all slopes that docs/CAPACITY.md quotes and writes their tables.

    python -m godwitlanding.tests.benchmarks.bench_capacity

Prints each table as it is measured, and writes them to out/capacity.txt
and the plots to out/*.png. Takes about six minutes.
"""

import argparse
import os
import subprocess
import sys
import time

from godwitlanding.tests.benchmarks.measure import OUT

PACKAGE = "godwitlanding.tests.benchmarks"
BENCHMARKS = (
    ("bench_choice",),
    ("bench_blocks",),
    ("bench_steer",),
    ("bench_steer", "--profile"),
    ("bench_zone",),
    ("bench_control",),
    ("bench_journal",),
)


def main(argv=None):
    """Run the benchmarks one after another; return the number that failed."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.parse_args(argv)
    OUT.mkdir(exist_ok=True)
    failed = 0
    with open(OUT / "capacity.txt", "w") as file:
        for name, *arguments in BENCHMARKS:
            load = os.getloadavg()[0]
            began = time.monotonic()
            command = [sys.executable, "-m", f"{PACKAGE}.{name}", *arguments]
            done = subprocess.run(command, stdout=subprocess.PIPE, text=True)
            took_s = time.monotonic() - began
            failed += done.returncode != 0
            title = " ".join([name, *arguments])
            text = (
                f"== {title}: exit {done.returncode}, {took_s:.0f} s, "
                f"load average before {load:.1f}\n\n{done.stdout}\n"
            )
            print(text, flush=True)
            file.write(text)
    return failed


if __name__ == "__main__":
    sys.exit(main())
