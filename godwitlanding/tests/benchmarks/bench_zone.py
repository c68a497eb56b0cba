"""Measures how changes and heartbeats spread inside a zone and between zones.

    python -m godwitlanding.tests.benchmarks.bench_zone

Real services of the zone daemon (members, replication, peers, listener)
over loopback, many to one process and so all on one core, with the
platform in memory. Messages and bytes are counted as they are encoded.
Permits, loans and probes are left out: they belong to requests.
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
    LETTER,
    TODAY,
    make_block_objects,
    make_config,
    make_summary,
)
from godwitlanding.tests.benchmarks.zones import Fleet, Traffic

MEMBER_COUNTS = (2, 6, 12, 24)
ZONE_COUNTS = (6, 25, 85)
REST_S = 6.0
BURST = 50
SUMMARY_S = 2.0


async def measure_change(fleet, traffic, kind, changes):
    """Return messages, bytes, seconds from first write to last, and calls."""
    traffic.clear()
    calls = sum(fleet.store.calls.values())
    began = asyncio.get_running_loop().time()
    wanted = {}
    for number in range(1, changes + 1):
        if kind == "config":
            text = f"//apply: {number}\n{make_config(TODAY)}"
            key, body = ("config", "main"), text.encode()
        else:
            change = BlockChange(number << 8, (number << 8) + 255, 7)
            key = ("blocks", f"delta-{number:08}")
            body = format_delta(number, [change])
        wanted[key] = await fleet.put(*key, body)
    await fleet.wait_for(wanted)
    took_s = asyncio.get_running_loop().time() - began
    reads = sum(fleet.store.calls.values()) - calls - changes
    return traffic.messages["State"], traffic.bytes["State"], took_s, reads


async def measure_rest(fleet, traffic, seconds):
    """Return what each member sends, takes and costs a second at rest."""
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


_REST_HEAD = ["messages/s", "KB/s", "core %", "reads/s", "watches"]
_CHANGE_HEAD = ["messages", "KB", "s to last", "calls"]


async def measure_members():
    """Return rows for one zone by its number of members."""
    rest_rows = []
    change_rows = []
    for members in MEMBER_COUNTS:
        with Traffic() as traffic:
            async with Fleet(1, members) as fleet:
                await fleet.put("config", "main", make_config(TODAY).encode())
                await asyncio.sleep(1)
                rest = await measure_rest(fleet, traffic, REST_S)
                rest_rows.append([members, "no blocks", *rest])
                for kind, changes in (
                    ("config", 1),
                    ("config", BURST),
                    ("block", BURST),
                ):
                    row = await measure_change(fleet, traffic, kind, changes)
                    change_rows.append([members, kind, changes, *_in_kb(row)])
                if members == max(MEMBER_COUNTS):
                    await _put_blocks(fleet)
                    rest = await measure_rest(fleet, traffic, REST_S)
                    rest_rows.append([members, "with blocks", *rest])
    return rest_rows, change_rows


async def _put_blocks(fleet):
    wanted = {}
    for name, body in make_block_objects(LETTER).items():
        wanted["blocks", name] = await fleet.put("blocks", name, body)
    await fleet.wait_for(wanted)
    await asyncio.sleep(1)


def _in_kb(row):
    messages, sent, took_s, calls = row
    return messages, sent / 1000, took_s, calls


async def measure_zones():
    """Return rows for two watchers in each zone by the number of zones."""
    rest_rows = []
    change_rows = []
    for zones in ZONE_COUNTS:
        with Traffic() as traffic:
            async with Fleet(zones, 2) as fleet:
                await fleet.put("config", "main", make_config(TODAY).encode())
                await asyncio.sleep(2)
                rest = await measure_rest(fleet, traffic, REST_S)
                rest_rows.append([zones, "no summaries", *rest])
                for changes in (1, BURST):
                    row = await measure_change(fleet, traffic, "config", changes)
                    change_rows.append([zones, "config", changes, *_in_kb(row)])
                task = asyncio.ensure_future(_write_summaries(fleet, zones))
                await asyncio.sleep(2)
                rest = await measure_rest(fleet, traffic, REST_S)
                rest_rows.append([zones, "with summaries", *rest])
                task.cancel()
    return rest_rows, change_rows


async def _write_summaries(fleet, zones):
    sequence = 0
    while True:
        sequence += 1
        body = json.dumps(make_summary(LETTER, sequence)).encode()
        for zone in range(zones):
            await fleet.put("summary", f"z{zone:02}", body)
            await asyncio.sleep(SUMMARY_S / zones)


def measure_frames():
    """Return the bytes of single messages."""
    from godwitlanding.base.messages import Envelope, Heartbeat, VersionOf, encode

    rows = []
    for count in (0, 5, 55):
        versions = tuple(
            VersionOf("blocks", f"piece-{n:04}", 12345) for n in range(count)
        )
        heartbeat = Heartbeat("r00-z00-v00", "i" * 30, False, versions, "i" * 30)
        frame = encode(Envelope(0, False, heartbeat))
        rows.append([f"heartbeat with {count} versions", len(frame) + 4])
    body = json.dumps(make_summary(LETTER)).encode()
    frame = encode(Envelope(0, False, State("summary", "r00-z00", 1, body)))
    rows.append(["summary of a zone, 3 services", len(frame) + 4])
    for upstreams in (45, 1000, 8000):
        text = make_config(LETTER._replace(upstreams=upstreams)).encode()
        name = f"configuration, {upstreams:,} upstreams"
        rows.append([name, len(text)])
        rows.append([f"{name}, deflated", len(zlib.compress(text))])
    return rows


async def run():
    """Print all tables and write the plots."""
    print("Single messages\n" + format_table(["message", "bytes"], measure_frames()))
    rest, changes = await measure_members()
    print("\nInside a zone, at rest, for each member")
    print(format_table(["members", "state", *_REST_HEAD], rest))
    print("\nInside a zone, a change, all members together")
    print(format_table(["members", "what", "changes", *_CHANGE_HEAD], changes))
    plot(
        "zone_rest",
        "A member at rest",
        "members of the zone",
        "KB/s sent",
        {"heartbeats": [(row[0], row[3]) for row in rest if row[1] == "no blocks"]},
    )
    plot(
        "zone_change",
        "A change inside a zone",
        "members of the zone",
        "seconds to the last",
        _group(changes),
    )
    rest, changes = await measure_zones()
    print("\nBetween zones, two watchers each, at rest, for each watcher")
    print(format_table(["zones", "state", *_REST_HEAD], rest))
    print("\nBetween zones, a change, all watchers together")
    print(format_table(["zones", "what", "changes", *_CHANGE_HEAD], changes))
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
