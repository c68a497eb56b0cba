"""Compares the entry daemon with a minimal reverse proxy.

    python -m godwitlanding.tests.benchmarks.bench_entry

Requests that need no work at the upstream are sent directly to it, through
the minimal proxy (``passthrough.py``) and through the entry daemon with its
real zone daemon. Measures latency with one connection, requests per second
with many, and CPU time per request. The three targets alternate within one
run, and the table shows the median of the rounds. ``--send`` is the load
generator, which runs in its own process.
"""

import argparse
import asyncio
import itertools
import json
import statistics
import sys
import time
from typing import NamedTuple

from godwitlanding.tests.benchmarks.measure import (
    format_table,
    read_process_usage,
    run_process,
)
from godwitlanding.tests.load.lookups import Connection
from godwitlanding.tests.tools.cluster import Cluster
from godwitlanding.tests.tools.network import make_network

NETWORK = make_network(30)
BASELINE = ("127.0.30.240", 8100)
UPSTREAMS = 10
SLOTS = 30
CONNECTIONS = (1, 32)
ROUNDS = 3
WARMUP_S = 1.0


class Target(NamedTuple):
    """Where requests are sent, and the processes whose CPU time is counted."""

    name: str
    host: str
    port: int
    path: str
    pids: tuple[int, ...]


class Result(NamedTuple):
    """The measurements of one target in one round."""

    per_s: float
    p50_ms: float
    p99_ms: float
    cpu_us: float


def make_config_text():
    """Return a configuration with more slots than there are connections."""
    upstreams = [
        {
            "id": f"status-{number}",
            "address": f"127.0.2.{number}:9000",
            "availability_zone": "za",
            "slots": SLOTS,
        }
        for number in range(1, UPSTREAMS + 1)
    ]
    service = {
        "name": "status",
        "kind": "lookup",
        "deadline_s": 5,
        "work_s": 0.005,
        "slow_start_s": 0,
        "upstreams": upstreams,
    }
    regions = [{"name": "north", "availability_zones": ["za"]}]
    return json.dumps(
        {"format": 1, "name": "bench", "regions": regions, "services": [service]}
    )


async def send(host, port, path, connections, seconds):
    """Send requests back to back on each connection for ``seconds``.

    Returns the number of responses, the throughput and the latencies.
    """
    loop = asyncio.get_running_loop()
    latencies = []
    request = f"GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n".encode()
    opened = []
    for _ in range(connections):
        _, connection = await loop.create_connection(
            lambda: Connection(itertools.repeat(request), latencies), host, port
        )
        opened.append(connection)
    await asyncio.sleep(WARMUP_S)
    latencies.clear()
    began = time.perf_counter()
    await asyncio.sleep(seconds)
    took_s = time.perf_counter() - began
    ordered = sorted(latencies)
    return {
        "count": sum(connection.answered for connection in opened),
        "bad": sum(connection.bad for connection in opened),
        "per_s": len(ordered) / took_s,
        "p50_ms": ordered[len(ordered) // 2] * 1000,
        "p99_ms": ordered[len(ordered) * 99 // 100] * 1000,
    }


async def run_round(target, connections, seconds):
    """Send to a target from a separate process; return the ``Result``."""
    before = sum(read_process_usage(pid).cpu_s for pid in target.pids)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "godwitlanding.tests.benchmarks.bench_entry",
        "--send",
        json.dumps([target.host, target.port, target.path, connections, seconds]),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    counts = json.loads(output)
    if counts["bad"]:
        raise RuntimeError(f"{target.name}: {counts['bad']} responses were not 200")
    cpu_s = sum(read_process_usage(pid).cpu_s for pid in target.pids) - before
    cpu_us = cpu_s / counts["count"] * 1e6
    return Result(counts["per_s"], counts["p50_ms"], counts["p99_ms"], cpu_us)


def get_medians(results):
    """Return a ``Result`` with the median of each measurement."""
    return Result(*(statistics.median(column) for column in zip(*results)))


async def measure(targets, seconds):
    """Measure the targets alternately; return the rows of the table."""
    rows = []
    for connections in CONNECTIONS:
        results_by_name = {target.name: [] for target in targets}
        for _ in range(ROUNDS):
            for target in targets:
                result = await run_round(target, connections, seconds)
                results_by_name[target.name].append(result)
        medians = {name: get_medians(r) for name, r in results_by_name.items()}
        rows += make_rows(connections, medians)
    return rows


def make_rows(connections, result_by_name):
    """Return a row for each target, with ratios to the minimal proxy."""
    baseline = result_by_name["pass-through"]
    return [
        [
            name,
            connections,
            *result,
            result.per_s / baseline.per_s,
            result.p50_ms / baseline.p50_ms,
            result.p99_ms / baseline.p99_ms,
        ]
        for name, result in result_by_name.items()
    ]


async def run(seconds):
    """Start the cluster and the proxy, measure and print the table."""
    cluster = Cluster(make_config_text(), NETWORK, vms_per_zone=1)
    upstreams = [f"127.0.31.{number}:9000" for number in range(1, UPSTREAMS + 1)]
    host, port = BASELINE
    arguments = ("--host", host, "--port", str(port))
    try:
        await cluster.start()
        with run_process(
            "godwitlanding.tests.benchmarks.passthrough",
            *arguments,
            "--upstreams",
            ",".join(upstreams),
        ) as baseline:
            await asyncio.sleep(2.0)
            targets = list_targets(cluster, baseline.pid)
            rows = await measure(targets, seconds)
    finally:
        await cluster.stop()
    header = ["target", "callers", "per_s", "p50 ms", "p99 ms", "cpu us"]
    print(format_table([*header, "per_s x", "p50 x", "p99 x"], rows))


def list_targets(cluster, baseline_pid):
    """Return the upstream, the minimal proxy and the entry daemon."""
    entry = cluster.get_pid("za-1", "entry")
    zone = cluster.get_pid("za-1", "zone")
    path = "/s/status/x?ms=0"
    return [
        Target("direct", "127.0.31.1", 9000, "/x?ms=0", ()),
        Target("pass-through", *BASELINE, path, (baseline_pid,)),
        Target("entry", "127.0.30.1", 7002, path, (entry, zone)),
    ]


def main(argv=None):
    """Run the benchmark, or the load generator with ``--send``."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--seconds", type=float, default=3.0, help="Length of each round"
    )
    parser.add_argument("--send", help=argparse.SUPPRESS)
    arguments = parser.parse_args(argv)
    if arguments.send:
        print(json.dumps(asyncio.run(send(*json.loads(arguments.send)))))
    else:
        asyncio.run(run(arguments.seconds))


if __name__ == "__main__":
    sys.exit(main())
