"""Runs all daemons locally for half a minute (``make demo-daemons``).

Starts stand-ins and daemons as separate processes, applies the sample, and
sends look-ups, payments and downloads while one upstream is drained and one
entry VM is killed. Prints what callers and upstreams counted. The exit code is
0 only if all checks passed.
"""

import argparse
import asyncio
import sys
from collections import Counter
from pathlib import Path

from godwitlanding.tests.load.load import Load, Rate
from godwitlanding.tests.load.verdict import evaluate_run
from godwitlanding.tests.tools.cluster import Cluster
from godwitlanding.tests.tools.network import claim, make_network
from godwitlanding.tests.tools.processes import ROOT

TIMEOUT_S = 58.0
LOAD_S = 20.0
LIST_LAG_S = 2.0
DRAIN_AT_S = 5.0
KILL_AT_S = 9.0
KILLED_VM = "north-a-1"
DRAINED_UPSTREAM = "status-south-a-1"
RATES = (Rate("status", 60.0), Rate("renewal", 12.0), Rate("passes", 6.0))


async def run_demo(sample, network, load_s=LOAD_S, log_directory=None):
    """Run the system under load, print the table and return the verdict."""
    cluster = Cluster(sample.read_text(), network, log_directory=log_directory)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    try:
        print(f"starting {len(cluster.vm_by_name)} entry VMs and the stand-ins")
        cluster.stop_on_sigterm()
        await cluster.start()
        await cluster.standins.set_faults(list_lag_s=LIST_LAG_S)
        print(f"ready after {loop.time() - started_at:.1f} s; load for {load_s:.0f} s")
        load = Load(cluster)
        await load.start(*RATES)
        await asyncio.sleep(DRAIN_AT_S)
        await drain(cluster)
        await asyncio.sleep(KILL_AT_S - DRAIN_AT_S)
        print(f"killing {KILLED_VM}")
        await cluster.kill_vm(KILLED_VM)
        await asyncio.sleep(max(0.0, load_s - KILL_AT_S))
        tally = await load.end()
        stats = await cluster.standins.get_upstream_stats()
        counters = await read_counters(cluster)
        executions = await cluster.standins.get_executions()
    finally:
        await cluster.stop()
    verdict = evaluate_run(tally, executions, stats, [DRAINED_UPSTREAM])
    print_table(tally, stats, counters)
    return verdict


async def drain(cluster):
    """Drain one upstream by ``godwitctl``, and record the time there."""
    print(f"draining {DRAINED_UPSTREAM}")
    await cluster.run_ctl("drain", "upstream", DRAINED_UPSTREAM, "--yes")
    # The upstream still reports good health and accepts every request, so the
    # requests begun after the drain show the effect of the configuration
    # alone.
    await cluster.standins.change_upstream(
        DRAINED_UPSTREAM,
        draining=True,
        refuses_when_draining=False,
        health="always_ok",
    )


async def read_counters(cluster):
    """Return the sum of the counters of all reachable entry daemons."""
    total = Counter()
    for vm in cluster.vm_by_name:
        status = await cluster.get_status(vm, "entry")
        total.update((status or {}).get("counters", {}))
    return total


def print_table(tally, stats, counters):
    """Print the counts of callers, entry daemons and upstreams."""
    columns = "{:<10} {:>6} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8}"
    titles = ("service", "sent", "complete", "refused", "unknown")
    print(columns.format(*titles, "p50 ms", "p90 ms", "p99 ms"))
    for service, sent in sorted(tally.sent_by_service.items()):
        outcomes = ("complete", "refused", "unknown")
        counts = [tally.count(outcome, service) for outcome in outcomes]
        shares = [f"{tally.get_latency_s(service, p) * 1000:.0f}" for p in (0.5, 0.9)]
        last = f"{tally.get_latency_s(service, 0.99) * 1000:.0f}"
        print(columns.format(service, sent, *counts, *shares, last))
    for (service, result), count in sorted(tally.count_by_result.items()):
        if result.outcome != "complete":
            print(f"  {service}: {count} {result.outcome}: {result.reason}")
    for (service, reason), count in sorted(tally.retries.items()):
        print(f"  {service}: callers retried {count} times: {reason}")
    for name, count in sorted(counters.items()):
        if name.startswith(("requests_waited", "requests_retried", "requests_passed")):
            print(f"  entry daemons: {name} {count}")
    busiest = max(stats, key=lambda id: stats[id]["most_busy"])
    most = stats[busiest]
    print(f"  most slots ever busy: {most['most_busy']} of {most['slots']} ({busiest})")
    names = ("begun", "cut", "shed", "refused_draining", "begun_after_drain")
    totals = {name: sum(s[name] for s in stats.values()) for name in names}
    print("  upstreams: " + ", ".join(f"{k} {v}" for k, v in totals.items()))


def parse_arguments(argv=None):
    """Parse and return the arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument(
        "--sample",
        type=Path,
        default=ROOT / "samples/demo.json5",
        help="Configuration to apply",
    )
    parser.add_argument(
        "--seconds", type=float, default=LOAD_S, help="Duration of the load"
    )
    parser.add_argument(
        "--loopback",
        type=int,
        default=1,
        metavar="N",
        help="VMs at 127.0.N.x, upstreams at 127.0.N+1.x, to run beside another",
    )
    parser.add_argument("--logs", metavar="DIR", help="Directory for settings and logs")
    return parser.parse_args(argv)


def main(argv=None):
    """Run the demo and return its exit code."""
    arguments = parse_arguments(argv)
    network = make_network(arguments.loopback)
    if not claim(network):
        print("demo: failed another run has these addresses; try --loopback 10")
        return 1
    demo = run_demo(arguments.sample, network, arguments.seconds, arguments.logs)
    try:
        verdict = asyncio.run(asyncio.wait_for(demo, TIMEOUT_S))
    except (TimeoutError, RuntimeError) as error:
        print(f"demo: failed {error or 'it took too long'}")
        return 1
    except asyncio.CancelledError:
        print("demo: failed it was ended from outside")
        return 1
    for fault in verdict.faults:
        print(f"  FAULT {fault}")
    print(verdict.format("demo"))
    return 1 if verdict.faults else 0


if __name__ == "__main__":
    sys.exit(main())
