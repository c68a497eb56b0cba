"""Measures lookups per second of a steer process with a full block table.

    python -m godwitlanding.tests.benchmarks.bench_steer
    python -m godwitlanding.tests.benchmarks.bench_steer --profile

The process is the real daemon on one core. It receives the state of a fleet of
the target size from a stand-in of its zone daemon, and requests over HTTP
from separate load processes. ``--profile`` runs the same services in this
process instead, compares plain ASGI with a starlette route, and prints a
profile of the former.
"""

import argparse
import asyncio
import cProfile
import json
import os
import pstats
import subprocess
import sys

from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from godwitlanding.base.kernel import Kernel
from godwitlanding.base.metrics import make_meter
from godwitlanding.base.settings import check_settings
from godwitlanding.base.web import HttpServer
from godwitlanding.daemons.daemon import make_context
from godwitlanding.steer import make_services
from godwitlanding.tests.benchmarks.measure import (
    format_table,
    read_process_usage,
    run_process,
    wait_for_health,
    write_settings,
)
from godwitlanding.tests.benchmarks.sizes import CURRENT_SIZE, TARGET_SIZE, make_states
from godwitlanding.tests.standins.peers import StandinZoneDaemon

ADDRESS = "127.0.50.1"
PORT = 17101
ZONE_PORT = 17102
LOAD_MODULE = "godwitlanding.tests.load.lookups"
LOAD_PROCESSES = 4
NODE_SHARE_PER_S = 900
PROFILE_ROWS = 22


def make_settings(size):
    """Return the settings of the steer process under test."""
    zone = size.get_zones()[0]
    return {
        "vm": size.get_vms(zone)[0][0],
        "address": ADDRESS,
        "availability_zone": zone,
        "platform_url": "http://127.0.50.9:1",
        "steer_port": PORT,
        "zone_port": ZONE_PORT,
        "trust_caller_header": True,
        "log_level": "error",
    }


async def send_load(size, processes, seconds, connections=16):
    """Return the summed counts of several load processes.

    Latency percentiles are the worst of any process.
    """
    command = [
        sys.executable,
        "-m",
        LOAD_MODULE,
        "--host",
        ADDRESS,
        "--port",
        str(PORT),
    ]
    command += ["--services", ",".join(size.get_services())]
    command += ["--seconds", str(seconds), "--connections", str(connections)]
    started = [
        await asyncio.create_subprocess_exec(
            *command, "--seed", str(seed), stdout=subprocess.PIPE
        )
        for seed in range(processes)
    ]
    outputs = [(await process.communicate())[0] for process in started]
    rows = [json.loads(output) for output in outputs]
    return {
        "per_s": sum(row["per_s"] for row in rows),
        "bad": sum(row["bad"] for row in rows),
        "in_all": sum(row["in_all"] for row in rows),
        "p50_ms": max(row["p50_ms"] for row in rows),
        "p99_ms": max(row["p99_ms"] for row in rows),
    }


async def measure_daemon(size, seconds):
    """Return a row for the daemon with the state of a fleet of ``size``."""
    zone = size.get_zones()[0]
    standin = StandinZoneDaemon(make_states(size, zone))
    await standin.server.start(ADDRESS, ZONE_PORT)
    with write_settings(make_settings(size)) as path:
        with run_process("godwitlanding.steer", "--settings", path) as process:
            await wait_for_health(ADDRESS, PORT)
            await asyncio.sleep(3)
            loaded = read_process_usage(process.pid)
            totals = await send_load(size, LOAD_PROCESSES, seconds)
            after = read_process_usage(process.pid)
    await standin.server.stop()
    return [
        f"{size.blocks:,}",
        size.zones,
        size.zones * size.vms_in_zone,
        totals["per_s"],
        totals["bad"],
        totals["p50_ms"],
        totals["p99_ms"],
        loaded.resident_mb,
        after.peak_mb,
        totals["per_s"] / NODE_SHARE_PER_S,
        (after.cpu_s - loaded.cpu_s) / totals["in_all"] * 1e6,
    ]


async def run_daemons(seconds):
    """Measure the daemon at the current and the target size."""
    rows = [await measure_daemon(size, seconds) for size in (CURRENT_SIZE, TARGET_SIZE)]
    header = ["blocks", "zones", "VMs", "look-ups/s", "bad", "p50 ms", "p99 ms"]
    print(format_table(header + ["MB", "peak MB", "times 900/s", "core us"], rows))


def make_starlette(steer_api):
    """Return an app that serves the lookups by a starlette route."""

    async def get_choices(request):
        caller = steer_api._get_caller(request.scope)
        found = steer_api._make_lookup_response(request.path_params["service"], caller)
        headers = {k.decode(): v.decode() for k, v in found.start["headers"]}
        return Response(found.body["body"], headers=headers)

    return Starlette(routes=[Route("/v1/steer/{service}", get_choices)])


def make_kernel(size, use_starlette):
    """Return the kernel of a steer process whose replica is already filled."""
    settings = check_settings(json.dumps(make_settings(size))).unwrap()
    context = make_context("steer", settings, make_meter("bench", "steer"))
    for state in make_states(size, size.get_zones()[0]):
        context.replica.offer(state)
    services = make_services(context)
    if use_starlette:
        steer_api = next(s for s in services if s.name == "answers")
        app = make_starlette(steer_api)
        server = HttpServer("steer_http", app, ADDRESS, PORT, needs=("answers",))
        services = [s for s in services if s.name not in ("steer_http", "leave")]
        services.append(server)
    return Kernel([s for s in services if s.name != "leave"])


async def run_in_process(size, use_starlette, seconds, profiler=None):
    """Serve lookups in this process; return the load processes' totals.

    A profiler is enabled for the second half of the run.
    """
    kernel = make_kernel(size, use_starlette)
    await kernel.start()
    load = asyncio.ensure_future(send_load(size, LOAD_PROCESSES, seconds))
    await asyncio.sleep(seconds / 2)
    if profiler:
        profiler.enable()
        await asyncio.sleep(seconds / 2)
        profiler.disable()
    totals = await load
    await kernel.stop()
    return totals


async def run_profile(seconds):
    """Compare ASGI with starlette, then print the profile of ASGI."""
    rows = []
    for name, use_starlette in (("ASGI", False), ("starlette route", True)):
        totals = await run_in_process(TARGET_SIZE, use_starlette, seconds)
        rows.append([name, totals["per_s"], totals["p50_ms"], totals["p99_ms"]])
    print(format_table(["answered by", "look-ups/s", "p50 ms", "p99 ms"], rows))
    profiler = cProfile.Profile()
    await run_in_process(TARGET_SIZE, False, seconds, profiler)
    pstats.Stats(profiler).sort_stats("tottime").print_stats(PROFILE_ROWS)


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument(
        "--profile", action="store_true", help="Profile the services in this process"
    )
    return parser.parse_args(argv)


def main(argv=None):
    """Run the benchmark."""
    arguments = parse_arguments(argv)
    print(f"{os.cpu_count()} cores, load average {os.getloadavg()[0]:.1f}")
    run = run_profile if arguments.profile else run_daemons
    asyncio.run(run(arguments.seconds))


if __name__ == "__main__":
    sys.exit(main())
