"""Runs the benchmarks that docs/CAPACITY.md quotes and saves their tables.

    python -m godwitlanding.tests.benchmarks.bench_capacity

Prints each table when its benchmark ends, and writes all tables to
out/capacity.txt and the plots to out/*.png. Takes about six minutes.
"""

import argparse
import os
import subprocess
import sys
import time

from godwitlanding.tests.benchmarks.measure import OUTPUT_DIRECTORY

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
    OUTPUT_DIRECTORY.mkdir(exist_ok=True)
    failed = 0
    with open(OUTPUT_DIRECTORY / "capacity.txt", "w") as file:
        for name, *arguments in BENCHMARKS:
            load = os.getloadavg()[0]
            began = time.monotonic()
            command = [sys.executable, "-m", f"{PACKAGE}.{name}", *arguments]
            completed = subprocess.run(command, stdout=subprocess.PIPE, text=True)
            took_s = time.monotonic() - began
            failed += completed.returncode != 0
            title = " ".join([name, *arguments])
            text = (
                f"== {title}: exit {completed.returncode}, {took_s:.0f} s, "
                f"load average before {load:.1f}\n\n{completed.stdout}\n"
            )
            print(text, flush=True)
            file.write(text)
    return failed


if __name__ == "__main__":
    sys.exit(main())
