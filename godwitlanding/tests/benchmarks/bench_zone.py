"""Measures the traffic of changes and heartbeats within and between zones.

    python -m godwitlanding.tests.benchmarks.bench_zone

Runs the real services of the zone daemon (members, replication, peers,
listener) over loopback with an in-memory platform. All daemons share one
process and therefore one core. Messages and bytes are counted when they are
encoded. Permits, loans and probes are left out because they depend on
requests.
"""

import asyncio
import json
import resource
import sys
import zlib

from godwitlanding.base.messages import State
from godwitlanding.daemons.blocks import BlockChange
from godwitlanding.daemons.blockstore import format_delta
from godwitlanding.tests.benchmarks.measure import format_table, plot, run_benchmark
from godwitlanding.tests.benchmarks.sizes import (
    CURRENT_SIZE,
    TARGET_SIZE,
    make_block_objects,
    make_config,
    make_summary,
)
from godwitlanding.tests.benchmarks.zones import Fleet, TrafficCounter

MEMBER_COUNTS = (2, 6, 12, 24)
ZONE_COUNTS = (6, 25, 85)
IDLE_S = 6.0
BURST_CHANGES = 50
SUMMARY_INTERVAL_S = 2.0


async def measure_change(fleet, traffic, kind, changes):
    """Write changes and wait until all daemons have them.

    Returns the messages, the bytes, the seconds from the first write until
    the last daemon has every change, and the platform calls besides the
    writes.
    """
    traffic.clear()
    calls = sum(fleet.store.calls.values())
    began = asyncio.get_running_loop().time()
    version_by_key = {}
    for number in range(1, changes + 1):
        if kind == "config":
            text = f"//apply: {number}\n{make_config(CURRENT_SIZE)}"
            key, body = ("config", "main"), text.encode()
        else:
            change = BlockChange(number << 8, (number << 8) + 255, 7)
            key = ("blocks", f"delta-{number:08}")
            body = format_delta(number, [change])
        version_by_key[key] = await fleet.put(*key, body)
    await fleet.wait_for(version_by_key)
    took_s = asyncio.get_running_loop().time() - began
    reads = sum(fleet.store.calls.values()) - calls - changes
    return traffic.messages["State"], traffic.bytes["State"], took_s, reads


async def measure_idle(fleet, traffic, seconds):
    """Return the idle cost of a member and the load on the platform.

    Messages per second, kilobytes per second and percent of a core are per
    member; platform reads per second and waiting watches are totals.
    """
    traffic.clear()
    before = resource.getrusage(resource.RUSAGE_SELF)
    reads = fleet.store.reads
    await asyncio.sleep(seconds)
    after = resource.getrusage(resource.RUSAGE_SELF)
    cpu_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    members = len(fleet.contexts) * seconds
    return [
        sum(traffic.messages.values()) / members,
        sum(traffic.bytes.values()) / members / 1000,
        cpu_s / members * 100,
        (fleet.store.reads - reads) / seconds,
        fleet.store.waiting_watches,
    ]


_IDLE_HEADER = ["messages/s", "KB/s", "core %", "reads/s", "watches"]
_CHANGE_HEADER = ["messages", "KB", "s to last", "calls"]


async def measure_members():
    """Return idle and change rows for one zone by number of members."""
    idle_rows = []
    change_rows = []
    for members in MEMBER_COUNTS:
        with TrafficCounter() as traffic:
            async with Fleet(1, members) as fleet:
                await fleet.put("config", "main", make_config(CURRENT_SIZE).encode())
                await asyncio.sleep(1)
                idle = await measure_idle(fleet, traffic, IDLE_S)
                idle_rows.append([members, "no blocks", *idle])
                for kind, changes in (
                    ("config", 1),
                    ("config", BURST_CHANGES),
                    ("block", BURST_CHANGES),
                ):
                    row = await measure_change(fleet, traffic, kind, changes)
                    change_rows.append([members, kind, changes, *_in_kb(row)])
                if members == max(MEMBER_COUNTS):
                    await _put_blocks(fleet)
                    idle = await measure_idle(fleet, traffic, IDLE_S)
                    idle_rows.append([members, "with blocks", *idle])
    return idle_rows, change_rows


async def _put_blocks(fleet):
    version_by_key = {}
    for name, body in make_block_objects(TARGET_SIZE).items():
        version_by_key["blocks", name] = await fleet.put("blocks", name, body)
    await fleet.wait_for(version_by_key)
    await asyncio.sleep(1)


def _in_kb(row):
    messages, sent, took_s, calls = row
    return messages, sent / 1000, took_s, calls


async def measure_zones():
    """Return idle and change rows by number of zones.

    Each zone has two members, and both watch the platform.
    """
    idle_rows = []
    change_rows = []
    for zones in ZONE_COUNTS:
        with TrafficCounter() as traffic:
            async with Fleet(zones, 2) as fleet:
                await fleet.put("config", "main", make_config(CURRENT_SIZE).encode())
                await asyncio.sleep(2)
                idle = await measure_idle(fleet, traffic, IDLE_S)
                idle_rows.append([zones, "no summaries", *idle])
                for changes in (1, BURST_CHANGES):
                    row = await measure_change(fleet, traffic, "config", changes)
                    change_rows.append([zones, "config", changes, *_in_kb(row)])
                task = asyncio.ensure_future(_write_summaries(fleet, zones))
                await asyncio.sleep(2)
                idle = await measure_idle(fleet, traffic, IDLE_S)
                idle_rows.append([zones, "with summaries", *idle])
                task.cancel()
    return idle_rows, change_rows


async def _write_summaries(fleet, zones):
    sequence = 0
    while True:
        sequence += 1
        body = json.dumps(make_summary(TARGET_SIZE, sequence)).encode()
        for zone in range(zones):
            await fleet.put("summary", f"z{zone:02}", body)
            await asyncio.sleep(SUMMARY_INTERVAL_S / zones)


def measure_frames():
    """Return the sizes of single messages in bytes."""
    from godwitlanding.base.messages import Envelope, Heartbeat, VersionOf, encode

    rows = []
    for count in (0, 5, 55):
        versions = tuple(
            VersionOf("blocks", f"piece-{n:04}", 12345) for n in range(count)
        )
        heartbeat = Heartbeat("r00-z00-v00", "i" * 30, False, versions, "i" * 30)
        frame = encode(Envelope(0, False, heartbeat))
        rows.append([f"heartbeat with {count} versions", len(frame) + 4])
    body = json.dumps(make_summary(TARGET_SIZE)).encode()
    frame = encode(Envelope(0, False, State("summary", "r00-z00", 1, body)))
    rows.append(["summary of a zone, 3 services", len(frame) + 4])
    for upstreams in (45, 1000, 8000):
        text = make_config(TARGET_SIZE._replace(upstreams=upstreams)).encode()
        name = f"configuration, {upstreams:,} upstreams"
        rows.append([name, len(text)])
        rows.append([f"{name}, deflated", len(zlib.compress(text))])
    return rows


async def run():
    """Print all tables and write the plots."""
    print("Single messages\n" + format_table(["message", "bytes"], measure_frames()))
    idle, changes = await measure_members()
    print("\nInside a zone, at rest, for each member")
    print(format_table(["members", "state", *_IDLE_HEADER], idle))
    print("\nInside a zone, a change, all members together")
    print(format_table(["members", "what", "changes", *_CHANGE_HEADER], changes))
    plot(
        "zone_rest",
        "A member at rest",
        "members of the zone",
        "KB/s sent",
        {"heartbeats": [(row[0], row[3]) for row in idle if row[1] == "no blocks"]},
    )
    plot(
        "zone_change",
        "A change inside a zone",
        "members of the zone",
        "seconds to the last",
        _group(changes),
    )
    idle, changes = await measure_zones()
    print("\nBetween zones, two watchers each, at rest, for each watcher")
    print(format_table(["zones", "state", *_IDLE_HEADER], idle))
    print("\nBetween zones, a change, all watchers together")
    print(format_table(["zones", "what", "changes", *_CHANGE_HEADER], changes))
    plot(
        "zones_change",
        "A change between zones",
        "zones",
        "seconds to the last",
        _group(changes),
    )


def _group(rows):
    series = {}
    for count, what, changes, *_, took_s, _ in rows:
        series.setdefault(f"{changes} x {what}", []).append((count, took_s))
    return series


def main(argv=None):
    """Run the benchmark."""
    run_benchmark(run, __doc__, argv)


if __name__ == "__main__":
    sys.exit(main())
