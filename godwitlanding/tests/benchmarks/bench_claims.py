"""Compares the cost of claims in the journal with one create per request.

    python -m godwitlanding.tests.benchmarks.bench_claims

An entry process writes its journal to an in-memory store whose calls take
5 ms, like those of the platform. Submissions arrive at random and the work
takes 0.3 s. Prints for each rate the writes per second, the time that a
submission waits for its claim, and the bytes written per second. A key
that the caller provides always takes two writes: the create and the
outcome.
"""

import argparse
import asyncio
import random
import sys
import time

from result import Ok

from godwitlanding.daemons.daemon import make_context
from godwitlanding.daemons.journalformat import Outcome
from godwitlanding.daemons.services.journal import JournalWriter
from godwitlanding.daemons.ticket import JOURNALED, Ticket
from godwitlanding.tests.benchmarks.measure import format_table
from godwitlanding.tests.daemons.support_entry import make_settings

RATES_PER_S = (0.5, 5, 20, 100)
STORE_DELAY_S = 0.005
WORK_S = 0.3
OUTCOME = Outcome(201, (("content-type", "application/json"),), b"x" * 300)


class CountingStore:
    """Accepts every write after ``STORE_DELAY_S`` and records its size."""

    def __init__(self):
        self.sizes = []

    async def put(self, kind, name, value, expected_version):
        """Return ``Ok(new version)`` and record the size of the value."""
        await asyncio.sleep(STORE_DELAY_S)
        self.sizes.append(len(value))
        return Ok(expected_version + 1)


async def measure(rate_per_s, seconds):
    """Return a row for submissions at ``rate_per_s`` to one process."""
    store = CountingStore()
    sizes = store.sizes
    writer = JournalWriter(make_context("entry", make_settings("127.0.0.1")), store)
    await writer.start(None)
    waits = []
    tasks = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        tasks.append(asyncio.ensure_future(submit_and_work(writer, len(tasks), waits)))
        await asyncio.sleep(random.expovariate(rate_per_s))
    await asyncio.gather(*tasks)
    await writer.stop()
    ordered = sorted(waits)
    return [
        rate_per_s,
        len(waits),
        len(sizes) / seconds,
        2 * len(waits) / seconds,
        ordered[len(ordered) // 2] * 1000,
        ordered[len(ordered) * 99 // 100] * 1000,
        sum(sizes) / seconds / 1000,
    ]


async def submit_and_work(writer, number, waits):
    """Submit a request, run its work and record how long the claim took."""
    ticket = Ticket("pay", JOURNALED, "za1", "h", int(time.time()), f"{number:032x}")
    began = time.perf_counter()
    claim = writer.submit(ticket, number).unwrap()
    await writer.wait_recorded(claim)
    waits.append(time.perf_counter() - began)
    await asyncio.sleep(WORK_S)
    writer.finish(claim, OUTCOME)


async def run(seconds):
    """Measure all rates at the same time and print the table."""
    rows = await asyncio.gather(*(measure(rate, seconds) for rate in RATES_PER_S))
    header = ["presses/s", "presses", "writes/s", "by create/s", "p50 ms", "p99 ms"]
    print(format_table([*header, "KB/s"], rows))


def main(argv=None):
    """Run the benchmark."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=20.0)
    asyncio.run(run(parser.parse_args(argv).seconds))


if __name__ == "__main__":
    sys.exit(main())
