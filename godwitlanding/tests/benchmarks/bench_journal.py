"""Measures the journal's cost to the platform and the entry process.

    python -m godwitlanding.tests.benchmarks.bench_journal

Non-idempotent requests are recorded in the journal of an entry process. Runs
the real journal of one process against an in-memory platform. Measures the
writes per second by payments per second, and the size and time of one write
by the number of records in it.
"""

import asyncio
import sys
import time
import uuid

from godwitlanding.base.settings import check_settings
from godwitlanding.daemons.daemon import make_context
from godwitlanding.daemons.journal import Journal
from godwitlanding.daemons.journalformat import Outcome
from godwitlanding.daemons.services.journal import JournalWriter
from godwitlanding.daemons.ticket import JOURNALED, Ticket
from godwitlanding.tests.benchmarks.measure import format_table, plot, run_benchmark
from godwitlanding.tests.support import FakeStore

RATES = (1, 5, 20, 100)
SECONDS = 6.0
WORK_S = 0.3
RECORD_COUNTS = (10, 100, 1000)
BODY = b"x" * 300
SETTINGS = """{vm: "v", address: "127.0.50.1", availability_zone: "z",
    platform_url: "http://127.0.50.1:1"}"""


def make_ticket():
    """Return an unused ticket."""
    return Ticket("pay", JOURNALED, "v", "v-1", int(time.time()), uuid.uuid4().hex)


def make_outcome(body=BODY):
    """Return the outcome of a payment."""
    return Outcome(200, (("content-type", "application/json"),), body)


async def measure_rate(rate):
    """Return writes and waiting times at ``rate`` payments per second."""
    store = FakeStore()
    operations = []

    async def record_call(operation, kind, name):
        operations.append(operation)

    store.before_call = record_call
    store.delay_s = 0.003
    context = make_context("entry", check_settings(SETTINGS).unwrap())
    writer = JournalWriter(context, store)
    await writer.start(None)
    waits = []

    async def pay():
        began = time.perf_counter()
        claim = writer.submit(make_ticket(), 1).unwrap()
        assert await writer.wait_recorded(claim) is None
        waits.append(time.perf_counter() - began)
        await asyncio.sleep(WORK_S)
        writer.finish(claim, make_outcome())

    tasks = []
    for _ in range(int(rate * SECONDS)):
        tasks.append(asyncio.ensure_future(pay()))
        await asyncio.sleep(1 / rate)
    writes = operations.count("put")
    await asyncio.gather(*tasks)
    await writer.stop()
    waits.sort()
    return [
        rate,
        writes / SECONDS,
        writes / SECONDS / rate,
        waits[len(waits) // 2] * 1000,
        waits[-1] * 1000,
    ]


def measure_size(records):
    """Return bytes and milliseconds of a write of ``records`` records."""
    row = [records]
    for body in (None, BODY):
        journal = Journal("v-entry-1")
        for _ in range(records):
            claim = journal.submit(make_ticket(), 1).unwrap()
            journal.finish(claim, make_outcome(body))
        began = time.perf_counter()
        write = journal.begin_write()
        took_s = time.perf_counter() - began
        row += [len(write.value), len(write.value) / records, took_s * 1000]
    return row


async def run():
    """Print both tables and write the plot."""
    rows = [await measure_rate(rate) for rate in RATES]
    header = ["payments/s", "writes/s", "writes a payment", "p50 wait ms", "most ms"]
    print(format_table(header, rows))
    print("\nOne write, without and with bodies of answers")
    rows = [measure_size(records) for records in RECORD_COUNTS]
    header = ["records", "bytes", "a record", "ms", "with bodies", "a record", "ms"]
    print(format_table(header, rows))
    series = {
        "without bodies": [(row[0], row[1] / 1000) for row in rows],
        "with bodies": [(row[0], row[4] / 1000) for row in rows],
    }
    plot("journal", "A write of a journal", "records", "KB", series)


def main(argv=None):
    """Run the benchmark."""
    run_benchmark(run, __doc__, argv)


if __name__ == "__main__":
    sys.exit(main())
