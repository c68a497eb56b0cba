"""What callers see of each fault, and what it costs the platform.

Starts a small system for each fault, lets load run, breaks something, and
prints what the callers received, how long until all was normal again, and
the platform's reads, writes and waiting watches a second.

    python -m godwitlanding.tests.benchmarks.bench_faults [FAULT ...]
"""

import argparse
import asyncio
import json
import signal
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from godwitlanding.tests.load.load import Load, Rate
from godwitlanding.tests.tools.cluster import Cluster
from godwitlanding.tests.tools.network import claim_test_network

TEXT = (Path(__file__).parents[1] / "data/small.json5").read_text()
RATES = (Rate("status", 60.0), Rate("renewal", 12.0), Rate("passes", 6.0))
BEFORE_S = 4.0
DURING_S = 6.0
AFTER_S = 12.0
VM = "north-a-1"
UPSTREAM = "status-a-1"


class Row(NamedTuple):
    """What one fault did; times in seconds from its beginning."""

    fault: str
    sent: int
    complete: int
    refused: int
    unknown: int
    lost: int
    broken: int
    doubled: int
    over_slots: int
    normal_after_s: float
    p99_ms: int
    reads_per_s: float
    writes_per_s: float
    watches_per_s: float
    waiting: int
    why: str


async def do_nothing(cluster):
    """Break nothing: the figures at rest, under load only."""


async def kill_vm(cluster):
    """Kill an entry VM; the platform's list follows 2 s later."""
    await cluster.kill_vm(VM)


async def kill_arbiter(cluster):
    """Kill only the zone daemon that arbitrates look-ups."""
    status = await cluster.get_status(VM, "zone")
    arbiters = status["services"]["members"]["arbiters_by_service"]
    await cluster.kill(arbiters["status"][0], "zone")


async def pause(cluster, roles):
    """Pause daemons of a VM and let them go on."""
    for role in roles:
        cluster.send_signal(VM, role, signal.SIGSTOP)
    await asyncio.sleep(DURING_S)
    for role in roles:
        cluster.send_signal(VM, role, signal.SIGCONT)


async def pause_zone(cluster):
    """Pause a VM's zone daemon past its loans."""
    await pause(cluster, ("zone",))


async def pause_entry(cluster):
    """Pause a VM's entry daemon past its permits."""
    await pause(cluster, ("entry",))


async def pause_vm(cluster):
    """Pause all daemons of a VM."""
    await pause(cluster, ("zone", "entry", "steer"))


async def _outage(cluster, how):
    await cluster.standins.set_faults(outage=how)
    await asyncio.sleep(DURING_S)
    await cluster.standins.set_faults(outage="none")


async def platform_down(cluster):
    """The platform answers 503 for a while."""
    await _outage(cluster, "refuse")


async def platform_hangs(cluster):
    """The platform takes calls and never answers."""
    await _outage(cluster, "hang")


async def platform_slow(cluster):
    """Each call of the platform takes a second."""
    await cluster.standins.set_faults(delay_s=1.0)
    await asyncio.sleep(DURING_S)
    await cluster.standins.set_faults(delay_s=0.0)


async def lost_answers(cluster):
    """The platform does 20 writes and loses their answers."""
    await cluster.standins.set_faults(lost_answers=20)


async def drain_upstream(cluster):
    """An upstream says that it is draining."""
    await cluster.standins.change_upstream(UPSTREAM, draining=True)


async def slow_upstream(cluster):
    """An upstream takes ten times as long."""
    await cluster.standins.change_upstream(UPSTREAM, slow_factor=10.0)
    await asyncio.sleep(DURING_S)
    await cluster.standins.change_upstream(UPSTREAM, slow_factor=1.0)


async def crash_upstream(cluster):
    """An upstream crashes and is away for 3 s."""
    await cluster.standins.crash_upstream(UPSTREAM, 3.0)


async def lying_health(cluster):
    """Every upstream's health says that it fails."""
    await cluster.standins.change_upstream("all", health="always_bad")
    await asyncio.sleep(DURING_S)
    await cluster.standins.change_upstream("all", health="true")


async def stop_vm(cluster):
    """Stop an entry VM as planned."""
    await cluster.stop_vm(VM)


FAULTS = (
    do_nothing,
    kill_vm,
    kill_arbiter,
    pause_zone,
    pause_entry,
    pause_vm,
    platform_down,
    platform_hangs,
    platform_slow,
    lost_answers,
    drain_upstream,
    slow_upstream,
    crash_upstream,
    lying_health,
    stop_vm,
)
FAULT_BY_NAME = {fault.__name__: fault for fault in FAULTS}


async def measure(fault, network, log_directory=None, timeline=False):
    """Run one fault; return its ``Row``."""
    cluster = Cluster(TEXT, network, log_directory=log_directory)
    loop = asyncio.get_running_loop()
    try:
        cluster.stop_on_sigterm()
        await cluster.start()
        await cluster.standins.set_faults(list_lag_s=2.0, delay_s=0.003)
        load = Load(cluster)
        await load.start(*RATES)
        await asyncio.sleep(BEFORE_S)
        before = await cluster.standins.get_platform_stats()
        began = loop.time()
        await fault(cluster)
        await asyncio.sleep(max(AFTER_S, began + DURING_S + AFTER_S - loop.time()))
        took_s = loop.time() - began
        after = await cluster.standins.get_platform_stats()
        verdict = await load.evaluate_run(may_cut=True)
    finally:
        await cluster.stop()
    if timeline:
        print_timeline(load.tally, began)
    return make_row(fault.__name__, load.tally, verdict, began, before, after, took_s)


def make_row(name, tally, verdict, began, before, after, took_s):
    """Return the row of a finished run."""
    bad = [end.at for end in tally.ends if end.result.outcome != "complete"]
    last = max([at for at in bad if at >= began], default=began)
    rates = {k: (after[k] - before[k]) / took_s for k in ("reads", "writes", "watches")}
    reasons = {
        f"{service} {result.outcome} {result.reason}": count
        for (service, result), count in tally.count_by_result.items()
        if result.outcome != "complete"
    }
    return Row(
        name,
        verdict.sent,
        verdict.complete,
        verdict.refused,
        verdict.unknown,
        tally.count("lost"),
        verdict.cut,
        verdict.doubled,
        verdict.over_slots,
        round(last - began, 1),
        round(tally.get_latency_s("status", 0.99) * 1000),
        round(rates["reads"], 1),
        round(rates["writes"], 1),
        round(rates["watches"], 1),
        after["most_waiting"],
        "; ".join([*verdict.faults, *(f"{k}: {v}" for k, v in reasons.items())]),
    )


def print_timeline(tally, began):
    """Print each second's outcomes."""
    counts_by_second = {}
    for end in tally.ends:
        counts = counts_by_second.setdefault(int((end.at - began) // 1), Counter())
        counts[f"{end.service} {end.result.outcome} {end.result.reason}".strip()] += 1
    for second, counts in sorted(counts_by_second.items()):
        print(f"    {second:>4} s  " + ", ".join(f"{k} {v}" for k, v in counts.items()))


def format_row(row):
    """Return a line of the table; the reasons stand below it."""
    cells = [f"{value:>9}" for value in row[1:-1]]
    return f"{row.fault:<15}" + "".join(cells)


def parse_arguments(argv=None):
    """Return the arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("faults", nargs="*", metavar="FAULT", help="Only these")
    parser.add_argument("--logs", metavar="DIR", help="Keep settings and logs there")
    parser.add_argument("--timeline", action="store_true", help="Show each second")
    parser.add_argument("--json", metavar="FILE", help="Write the rows there as well")
    arguments = parser.parse_args(argv)
    unknown = set(arguments.faults) - set(FAULT_BY_NAME)
    if unknown:
        parser.error(f"no such fault: {sorted(unknown)}; known: {list(FAULT_BY_NAME)}")
    return arguments


def main(argv=None):
    """Run the faults and print the table."""
    arguments = parse_arguments(argv)
    network = claim_test_network()
    print(f"{'fault':<15}" + "".join(f"{name[:8]:>9}" for name in Row._fields[1:-1]))
    rows = []
    for name in arguments.faults or FAULT_BY_NAME:
        row = asyncio.run(
            measure(FAULT_BY_NAME[name], network, arguments.logs, arguments.timeline)
        )
        rows.append(row)
        print(format_row(row), flush=True)
        if row.why:
            print(f"    {row.why}")
    if arguments.json:
        Path(arguments.json).write_text(json.dumps([row._asdict() for row in rows]))


if __name__ == "__main__":
    main()
