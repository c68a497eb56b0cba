"""Measures the effect of each fault on callers and on the platform.

Starts a small system under load for each fault, injects the fault, and
prints the outcomes that callers received, the time until all requests
succeeded again, and the platform's reads, writes and watches per second.

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

CONFIG_TEXT = (Path(__file__).parents[1] / "data/small.json5").read_text()
RATES = (Rate("status", 60.0), Rate("renewal", 12.0), Rate("passes", 6.0))
BEFORE_S = 4.0
DURING_S = 6.0
AFTER_S = 12.0
VM = "north-a-1"
UPSTREAM = "status-a-1"


class Row(NamedTuple):
    """The effect of one fault; times are in seconds from its start."""

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
    """Inject no fault: the baseline under load."""


async def kill_vm(cluster):
    """Kill an entry VM; the platform's VM list shows it 2 s later."""
    await cluster.kill_vm(VM)


async def kill_arbiter(cluster):
    """Kill only the zone daemon that arbitrates lookups."""
    status = await cluster.get_status(VM, "zone")
    arbiters = status["services"]["members"]["arbiters_by_service"]
    await cluster.kill(arbiters["status"][0], "zone")


async def pause_daemons(cluster, roles):
    """Pause daemons of a VM for ``DURING_S``, then resume them."""
    for role in roles:
        cluster.send_signal(VM, role, signal.SIGSTOP)
    await asyncio.sleep(DURING_S)
    for role in roles:
        cluster.send_signal(VM, role, signal.SIGCONT)


async def pause_zone(cluster):
    """Pause a VM's zone daemon until its loans have expired."""
    await pause_daemons(cluster, ("zone",))


async def pause_entry(cluster):
    """Pause a VM's entry daemon until its permits have expired."""
    await pause_daemons(cluster, ("entry",))


async def pause_vm(cluster):
    """Pause all daemons of a VM."""
    await pause_daemons(cluster, ("zone", "entry", "steer"))


async def _run_outage(cluster, mode):
    await cluster.standins.set_faults(outage=mode)
    await asyncio.sleep(DURING_S)
    await cluster.standins.set_faults(outage="none")


async def platform_down(cluster):
    """Make the platform respond with 503 for ``DURING_S``."""
    await _run_outage(cluster, "refuse")


async def platform_hangs(cluster):
    """Make the platform accept calls without responding for ``DURING_S``."""
    await _run_outage(cluster, "hang")


async def platform_slow(cluster):
    """Delay each platform call by a second for ``DURING_S``."""
    await cluster.standins.set_faults(delay_s=1.0)
    await asyncio.sleep(DURING_S)
    await cluster.standins.set_faults(delay_s=0.0)


async def lost_answers(cluster):
    """Make the platform apply 20 writes and drop their responses."""
    await cluster.standins.set_faults(lost_answers=20)


async def drain_upstream(cluster):
    """Make an upstream report that it is draining."""
    await cluster.standins.change_upstream(UPSTREAM, draining=True)


async def slow_upstream(cluster):
    """Make an upstream ten times slower for ``DURING_S``."""
    await cluster.standins.change_upstream(UPSTREAM, slow_factor=10.0)
    await asyncio.sleep(DURING_S)
    await cluster.standins.change_upstream(UPSTREAM, slow_factor=1.0)


async def crash_upstream(cluster):
    """Crash an upstream, which restarts after 3 s."""
    await cluster.standins.crash_upstream(UPSTREAM, 3.0)


async def lying_health(cluster):
    """Make all upstreams report failing health checks for ``DURING_S``."""
    await cluster.standins.change_upstream("all", health="always_bad")
    await asyncio.sleep(DURING_S)
    await cluster.standins.change_upstream("all", health="true")


async def stop_vm(cluster):
    """Stop an entry VM gracefully."""
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
    """Run the system under load with one fault; return its ``Row``."""
    cluster = Cluster(CONFIG_TEXT, network, log_directory=log_directory)
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
    """Return the ``Row`` of a finished run."""
    failed_at_s = [end.at for end in tally.ends if end.result.outcome != "complete"]
    last = max([at for at in failed_at_s if at >= began], default=began)
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
    """Print the number of each outcome per second from the fault's start."""
    counts_by_second = {}
    for end in tally.ends:
        counts = counts_by_second.setdefault(int((end.at - began) // 1), Counter())
        counts[f"{end.service} {end.result.outcome} {end.result.reason}".strip()] += 1
    for second, counts in sorted(counts_by_second.items()):
        print(f"    {second:>4} s  " + ", ".join(f"{k} {v}" for k, v in counts.items()))


def format_row(row):
    """Return a line of the table, without the reasons."""
    cells = [f"{value:>9}" for value in row[1:-1]]
    return f"{row.fault:<15}" + "".join(cells)


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument(
        "faults", nargs="*", metavar="FAULT", help="Run only these faults"
    )
    parser.add_argument("--logs", metavar="DIR", help="Directory for settings and logs")
    parser.add_argument(
        "--timeline", action="store_true", help="Print the outcomes of each second"
    )
    parser.add_argument("--json", metavar="FILE", help="Write the rows there as well")
    arguments = parser.parse_args(argv)
    unknown = set(arguments.faults) - set(FAULT_BY_NAME)
    if unknown:
        parser.error(f"unknown faults: {sorted(unknown)}; known: {list(FAULT_BY_NAME)}")
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
