"""Measures look-ups a second of a steer process on one core, full table.

    python -m godwitlanding.tests.benchmarks.bench_steer
    python -m godwitlanding.tests.benchmarks.bench_steer --profile

The process is the real daemon, fed by a stand-in of its zone daemon with
the state of the letter's size, and asked over HTTP by programs of their
own. ``--profile`` runs the same services in this process instead and shows
where the time goes, on ASGI and by a starlette route.
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
    read_cost,
    run_process,
    wait_for_health,
    write_settings,
)
from godwitlanding.tests.benchmarks.sizes import LETTER, TODAY, make_states
from godwitlanding.tests.standins.peers import StandinZoneDaemon

ADDRESS = "127.0.50.1"
PORT = 17101
ZONE_PORT = 17102
LOAD = "godwitlanding.tests.load.lookups"
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
    """Return the sums over several load programs, and the worst p99."""
    command = [sys.executable, "-m", LOAD, "--host", ADDRESS, "--port", str(PORT)]
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
    """Return a row for the daemon with the state of a size."""
    zone = size.get_zones()[0]
    stand_in = StandinZoneDaemon(make_states(size, zone))
    await stand_in.server.start(ADDRESS, ZONE_PORT)
    with write_settings(make_settings(size)) as path:
        with run_process("godwitlanding.steer", "--settings", path) as process:
            await wait_for_health(ADDRESS, PORT)
            await asyncio.sleep(3)
            loaded = read_cost(process.pid)
            counted = await send_load(size, LOAD_PROCESSES, seconds)
            after = read_cost(process.pid)
    await stand_in.server.stop()
    return [
        f"{size.blocks:,}",
        size.zones,
        size.zones * size.vms_in_zone,
        counted["per_s"],
        counted["bad"],
        counted["p50_ms"],
        counted["p99_ms"],
        loaded.resident_mb,
        after.peak_mb,
        counted["per_s"] / NODE_SHARE_PER_S,
        (after.cpu_s - loaded.cpu_s) / counted["in_all"] * 1e6,
    ]


async def run_daemons(seconds):
    """Measure the daemon at today's size and at the letter's."""
    rows = [await measure_daemon(size, seconds) for size in (TODAY, LETTER)]
    head = ["blocks", "zones", "VMs", "look-ups/s", "bad", "p50 ms", "p99 ms"]
    print(format_table(head + ["MB", "peak MB", "times 900/s", "core us"], rows))


def make_starlette(answers):
    """Return an app that answers the look-ups by a starlette route."""

    async def get_choices(request):
        caller = answers._get_caller(request.scope)
        found = answers._make_lookup_response(request.path_params["service"], caller)
        headers = {k.decode(): v.decode() for k, v in found.start["headers"]}
        return Response(found.body["body"], headers=headers)

    return Starlette(routes=[Route("/v1/steer/{service}", get_choices)])


def make_kernel(size, by_starlette):
    """Return the kernel of a steer process fed by hand."""
    settings = check_settings(json.dumps(make_settings(size))).unwrap()
    context = make_context("steer", settings, make_meter("bench", "steer"))
    for state in make_states(size, size.get_zones()[0]):
        context.replica.offer(state)
    services = make_services(context)
    if by_starlette:
        answers = next(s for s in services if s.name == "answers")
        app = make_starlette(answers)
        server = HttpServer("steer_http", app, ADDRESS, PORT, needs=("answers",))
        services = [s for s in services if s.name not in ("steer_http", "leave")]
        services.append(server)
    return Kernel([s for s in services if s.name != "leave"])


async def run_in_process(size, by_starlette, seconds, profiler=None):
    """Return look-ups for each processor second, in this process."""
    kernel = make_kernel(size, by_starlette)
    await kernel.start()
    load = asyncio.ensure_future(send_load(size, LOAD_PROCESSES, seconds))
    await asyncio.sleep(seconds / 2)
    if profiler:
        profiler.enable()
        await asyncio.sleep(seconds / 2)
        profiler.disable()
    counted = await load
    await kernel.stop()
    return counted


async def run_profile(seconds):
    """Compare ASGI with starlette, then show the profile on ASGI."""
    rows = []
    for name, by_starlette in (("ASGI", False), ("starlette route", True)):
        counted = await run_in_process(LETTER, by_starlette, seconds)
        rows.append([name, counted["per_s"], counted["p50_ms"], counted["p99_ms"]])
    print(format_table(["answered by", "look-ups/s", "p50 ms", "p99 ms"], rows))
    profiler = cProfile.Profile()
    await run_in_process(LETTER, False, seconds, profiler)
    pstats.Stats(profiler).sort_stats("tottime").print_stats(PROFILE_ROWS)


def parse_arguments(argv=None):
    """Return the arguments."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--profile", action="store_true", help="Show the profile")
    return parser.parse_args(argv)


def main(argv=None):
    """Run the benchmark."""
    arguments = parse_arguments(argv)
    print(f"{os.cpu_count()} cores, load average {os.getloadavg()[0]:.1f}")
    run = run_profile if arguments.profile else run_daemons
    asyncio.run(run(arguments.seconds))


if __name__ == "__main__":
    sys.exit(main())
