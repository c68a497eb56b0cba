"""Measures the memory and CPU cost of the control plane in each daemon.

    python -m godwitlanding.tests.benchmarks.bench_control

Each daemon is the real program in its own process. ``steer`` and ``entry``
receive their state from a stand-in of the zone daemon. ``zone`` receives it
from the stand-in platform and from 23 stand-ins of other members that send
heartbeats.
"""

import asyncio
import json
import sys
from contextlib import asynccontextmanager

from godwitlanding.base.messages import State, VersionOf
from godwitlanding.base.store import HttpStore
from godwitlanding.daemons.blocks import BlockChange
from godwitlanding.daemons.blockstore import format_delta
from godwitlanding.tests.benchmarks.measure import (
    format_table,
    plot,
    read_process_usage,
    run_benchmark,
    run_process,
    wait_for_health,
    write_settings,
)
from godwitlanding.tests.benchmarks.sizes import (
    CURRENT_SIZE,
    TARGET_SIZE,
    make_block_objects,
    make_config,
    make_members,
    make_plan,
    make_states,
    make_summary,
    make_vms,
)
from godwitlanding.tests.standins.peers import StandinPeer, StandinZoneDaemon

ADDRESS = "127.0.50.1"
PLATFORM = "127.0.51.250"
PLATFORM_PORT = 17403
HTTP_PORT_BY_ROLE = {"steer": 17404, "entry": 17405, "zone": 17406}
ZONE_PORT = 17407
IDLE_S = 6.0
SUMMARY_INTERVAL_S = 2.0
_QUIET_INTERVAL_S = 0.5


def make_settings(size, role):
    """Return the settings of the daemon under test."""
    zone = size.get_zones()[0]
    return {
        "vm": size.get_vms(zone)[0][0],
        "address": ADDRESS,
        "availability_zone": zone,
        "platform_url": f"http://{PLATFORM}:{PLATFORM_PORT}",
        "steer_port": HTTP_PORT_BY_ROLE["steer"],
        "entry_port": HTTP_PORT_BY_ROLE["entry"],
        "zone_http_port": HTTP_PORT_BY_ROLE["zone"],
        "zone_port": ZONE_PORT,
        "entry_peer_port": 17408,
        "steer_max_age_s": 0.1,
        "stop_limit_s": 1,
        "log_level": "error",
    }


@asynccontextmanager
async def run_daemon(role, settings):
    """Start a daemon and wait until it is ready; yield its process id."""
    with write_settings(settings) as path:
        with run_process(f"godwitlanding.{role}", "--settings", path) as process:
            await wait_for_health(ADDRESS, HTTP_PORT_BY_ROLE[role])
            yield process.pid


async def wait_until_quiet(pid):
    """Wait until the process has handled all messages and is idle."""
    while True:
        before = read_process_usage(pid).cpu_s
        await asyncio.sleep(_QUIET_INTERVAL_S)
        if read_process_usage(pid).cpu_s - before <= 0.01:
            return


async def measure_idle(pid, seconds=IDLE_S):
    """Return percent of a core, resident and peak megabytes when idle."""
    before = read_process_usage(pid)
    await asyncio.sleep(seconds)
    after = read_process_usage(pid)
    percent = (after.cpu_s - before.cpu_s) / seconds * 100
    return [percent, after.resident_mb, after.peak_mb]


def _encode(value):
    return json.dumps(value).encode()


def make_pushes(size):
    """Return rows ``(name, count, make_state)`` of the states to push.

    ``make_state(n)`` returns the ``n``-th state, counted from 1.
    """
    zone = size.get_zones()[0]
    vms = _encode(make_vms(size))
    plan = _encode(make_plan(size))
    members = make_members(size, zone)

    def push_summary(n):
        body = _encode(make_summary(size, n))
        return State("summary", size.get_zones()[n % size.zones], 10 + n, body)

    def push_members(n):
        members["members"][1]["leaving"] = bool(n % 2)
        return State("members", zone, 10 + n, _encode(members))

    def push_config(upstreams):
        text = make_config(size._replace(upstreams=upstreams))
        first = 10 + upstreams

        def push(n):
            return State("config", "main", first + n, f"//{n}\n{text}".encode())

        return push

    def push_delta(count):
        first = 1 + count * 100

        def push(n):
            changes = [
                BlockChange(s << 12, (s << 12) + 255, n % 700 + 1)
                for s in range(5000, 5000 + count)
            ]
            number = next(numbers)
            body = format_delta(number, changes)
            return State("blocks", f"delta-{number:08}", first + n, body)

        return push

    numbers = iter(range(1, 1_000_000))
    return [
        ("summary of a zone", 2000, push_summary),
        ("members of the zone", 500, push_members),
        (
            f"plan, {len(plan) // 1000} KB",
            100,
            lambda n: State("plan", "main", 9 + n, plan),
        ),
        (
            f"VM list, {len(vms) // 1000} KB",
            50,
            lambda n: State("vms", "main", 9 + n, vms),
        ),
        ("config, 45 upstreams", 50, push_config(45)),
        ("config, 1,000 upstreams", 20, push_config(1000)),
        ("config, 8,000 upstreams", 10, push_config(8000)),
        ("delta of 1 block", 1000, push_delta(1)),
        ("delta of 100 blocks", 200, push_delta(100)),
        ("delta of 10,000 blocks", 10, push_delta(10_000)),
    ]


async def measure_pushes(role, size):
    """Return the idle cost of ``steer`` or ``entry`` and rows of push costs.

    Pushes are measured at ``TARGET_SIZE`` only.
    """
    states = make_states(size, size.get_zones()[0], with_blocks=role == "steer")
    standin = StandinZoneDaemon(states)
    await standin.server.start(ADDRESS, ZONE_PORT)
    push_rows = []
    async with run_daemon(role, make_settings(size, role)) as pid:
        await asyncio.sleep(2)
        await wait_until_quiet(pid)
        idle = await measure_idle(pid)
        if size is TARGET_SIZE:
            for what, count, make in make_pushes(size):
                if role == "entry" and "block" in what:
                    continue
                push_rows.append(await _measure_push(standin, pid, what, count, make))
    await standin.server.stop()
    return idle, push_rows


async def _measure_push(standin, pid, what, count, make):
    before = read_process_usage(pid)
    for n in range(1, count + 1):
        await standin.push(make(n))
        await asyncio.sleep(0.001)
    await wait_until_quiet(pid)
    after = read_process_usage(pid)
    cost_ms = (after.cpu_s - before.cpu_s) / count * 1000
    return [what, count, cost_ms, after.resident_mb]


async def measure_zone(size, with_blocks):
    """Return rows for the zone daemon, idle and with summaries."""
    zone = size.get_zones()[0]
    names = [vm for vm, _ in size.get_vms(zone)]
    rows = [(vm, f"127.0.50.{n}", zone) for n, vm in enumerate(names, 1)]
    daemon_address = f"{ADDRESS}:{ZONE_PORT}"
    peers = [StandinPeer(*row, ZONE_PORT, daemon_address) for row in rows[1:]]
    url = f"http://{PLATFORM}:{PLATFORM_PORT}"
    arguments = ("--host", PLATFORM, "--port", str(PLATFORM_PORT))
    with run_process("godwitlanding.tests.standins.standin_platform", *arguments):
        await _wait_for_platform(url)
        store = HttpStore(url, 5.0)
        await _populate_platform(store, url, size, rows, with_blocks)
        for peer in peers:
            await peer.start()
        settings = make_settings(size, "zone")
        async with run_daemon("zone", settings) as pid:
            await asyncio.sleep(3)
            result_rows = []
            if with_blocks:
                await _copy_versions(store, peers)
            await asyncio.sleep(2)
            result_rows.append(["at rest", *await measure_idle(pid)])
            task = asyncio.ensure_future(_write_summaries(store, size))
            await asyncio.sleep(2)
            result_rows.append(["with summaries", *await measure_idle(pid)])
            task.cancel()
        for peer in peers:
            await peer.stop()
        await store.close()
    return result_rows


async def _wait_for_platform(url):
    store = HttpStore(url, 1.0)
    while (await store.list_vms()).is_err():
        await asyncio.sleep(0.1)
    await store.close()


async def _populate_platform(store, url, size, rows, with_blocks):
    import aiohttp

    keys = ("vm", "address", "availability_zone", "state")
    value = make_vms(size)
    others = [vm for vm in value["vms"] if vm["availability_zone"] != rows[0][2]]
    own = [dict(zip(keys, (*row, "live"))) for row in rows]
    async with aiohttp.ClientSession() as session:
        vms = {"vms": own + others}
        async with session.put(f"{url}/standin/vms", json=vms) as response:
            assert response.status < 300, response.status
    await store.put("config", "main", make_config(size).encode(), 0)
    await store.put("plan", "main", _encode(make_plan(size)), 0)
    if with_blocks:
        for name, body in make_block_objects(size).items():
            (await store.put("blocks", name, body, 0)).unwrap()


async def _copy_versions(store, peers):
    stored = (await store.list("blocks")).unwrap()
    versions = tuple(VersionOf(s.kind, s.name, s.version) for s in stored)
    for peer in peers:
        peer.versions = versions


async def _write_summaries(store, size):
    version_by_zone = dict.fromkeys(size.get_zones()[1:], 0)
    sequence = 0
    while True:
        sequence += 1
        body = _encode(make_summary(size, sequence))
        for zone, version in version_by_zone.items():
            written = await store.put("summary", zone, body, version)
            version_by_zone[zone] = written.unwrap()
            await asyncio.sleep(SUMMARY_INTERVAL_S / size.zones)


async def run():
    """Print all tables and write the plots."""
    idle_rows = []
    for role in ("steer", "entry"):
        for name, size in (("today", CURRENT_SIZE), ("letter", TARGET_SIZE)):
            idle, pushes = await measure_pushes(role, size)
            idle_rows.append([role, name, "at rest", *idle])
        print(f"\nWhat a push costs {role}, with the letter's state")
        print(format_table(["push", "count", "ms each", "MB after"], pushes))
        _plot_config(role, pushes)
    for name, size, with_blocks in (
        ("today", CURRENT_SIZE, False),
        ("letter, no blocks", TARGET_SIZE, False),
        ("letter, with blocks", TARGET_SIZE, True),
    ):
        for row in await measure_zone(size, with_blocks):
            idle_rows.append(["zone", name, *row])
    print("\nEach daemon")
    header = ["daemon", "state", "load", "core %", "MB", "peak MB"]
    print(format_table(header, idle_rows))


def _plot_config(role, pushes):
    points = [
        (int(what.split()[1].replace(",", "")), cost_ms)
        for what, _, cost_ms, _ in pushes
        if what.startswith("config")
    ]
    title = f"A changed configuration in {role}"
    plot(f"config_{role}", title, "upstreams", "ms", {role: points})


def main(argv=None):
    """Run the benchmark."""
    run_benchmark(run, __doc__, argv)


if __name__ == "__main__":
    sys.exit(main())
