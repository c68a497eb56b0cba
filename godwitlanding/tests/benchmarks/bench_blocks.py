"""Measures caller blocks: memory, look-up, change, and ways of loading.

    python -m godwitlanding.tests.benchmarks.bench_blocks

Slopes over the number of blocks, the cost of a change as a delta and as
rewritten pieces, and four ways in which a fresh process can load the
table, each in a process of its own so that its peak memory is its own:
one list, the paper's streamed initial state (the objects in one answer, a
line each, the closing marker last; KEP-3157), one read for each piece, and
the push of our own zone daemon.
"""

import argparse
import asyncio
import base64
import json
import random
import subprocess
import sys
import time

from godwitlanding.base.messages import Envelope, State, encode
from godwitlanding.daemons.blocks import (
    BLOCKS_IN_PIECE,
    BlockChange,
    BlockTable,
    split_piece,
)
from godwitlanding.daemons.blockstore import (
    BLOCKS_KIND,
    MARKER_NAME,
    BlockLoader,
    format_delta,
    format_piece,
    parse_delta,
)
from godwitlanding.tests.benchmarks.measure import (
    format_table,
    plot,
    read_cost,
)
from godwitlanding.tests.benchmarks.sizes import LETTER, make_block_objects, make_piece
from godwitlanding.tests.standins.peers import StandinZoneDaemon

ADDRESS = "127.0.50.1"
HTTP_PORT = 17201
ZONE_PORT = 17202
SIZES = (100_000, 400_000, 1_600_000, 3_200_000)
CHANGES = (1, 100, 10_000)
LOOK_UPS = 200_000
WAYS = ("list", "streamed", "piece by piece", "zone's push")


def measure_sizes():
    """Return rows of memory, transfer and look-up by number of blocks."""
    rows = []
    for blocks in SIZES:
        pieces = split_piece(make_piece(LETTER._replace(blocks=blocks)))
        table = BlockTable(pieces)
        held = sum(len(p.starts) * 4 + len(p.groups) * 2 for p in pieces)
        began = time.perf_counter()
        bodies = [format_piece(piece, 1) for piece in pieces]
        pack_s = time.perf_counter() - began
        began = time.perf_counter()
        loader = BlockLoader()
        for index, body in enumerate(bodies):
            loader.offer(f"piece-{index:04}", body)
        load_s = time.perf_counter() - began
        rows.append(
            [
                blocks,
                len(pieces),
                held / 1e6,
                sum(map(len, bodies)) / 1e6,
                max(map(len, bodies)) / 1e3,
                pack_s,
                load_s,
                load_s / len(pieces) * 1000,
                _measure_find(table) * 1e6,
            ]
        )
    return rows


def _measure_find(table):
    drawn = random.Random(2)
    last = table.pieces[-1].starts[-1]
    addresses = [drawn.randrange(1 << 24, last) for _ in range(LOOK_UPS)]
    began = time.perf_counter()
    for address in addresses:
        table.find(address)
    return (time.perf_counter() - began) / LOOK_UPS


def measure_changes():
    """Return rows of the cost of changing some of 3.2 million blocks."""
    table = BlockTable(split_piece(make_piece(LETTER)))
    drawn = random.Random(3)
    rows = []
    for count in CHANGES:
        for kind in ("whole blocks", "parts of blocks"):
            changes = _draw_changes(table, count, kind, drawn)
            body = format_delta(1, changes)
            frame = encode(Envelope(0, False, State("blocks", "delta-1", 1, body)))
            touched = _count_touched(table, changes)
            began = time.perf_counter()
            for change in parse_delta(body)[1]:
                table.apply(change)
            took_s = time.perf_counter() - began
            rewritten = touched * _get_piece_bytes(table)
            rows.append(
                [count, kind, len(frame), touched, rewritten / 1e3, took_s * 1e3]
            )
    return rows


def _get_piece_bytes(table):
    return len(format_piece(table.pieces[0], 1))


def _draw_changes(table, count, kind, drawn):
    changes = []
    for _ in range(count):
        piece = drawn.choice(table.pieces)
        index = drawn.randrange(len(piece.starts) - 1)
        first, last = piece.starts[index], piece.starts[index + 1] - 1
        if kind != "whole blocks":
            last = (first + last) // 2
        changes.append(BlockChange(first, last, drawn.randrange(1, 700)))
    return changes


def _count_touched(table, changes):
    firsts = [piece.starts[0] for piece in table.pieces]
    return len({sum(f <= c.first for f in firsts) for c in changes})


async def measure_ways():
    """Return rows of the ways to load the whole table."""
    from starlette.applications import Starlette
    from starlette.responses import Response, StreamingResponse
    from starlette.routing import Route

    from godwitlanding.base.web import HttpServer

    objects = make_block_objects(LETTER)

    def make_row(name):
        value = base64.b64encode(objects[name]).decode()
        return {"name": name, "version": 1, "value": value}

    async def get_list(request):
        rows = [make_row(name) for name in objects]
        return Response(json.dumps({"version": 1, "objects": rows}))

    async def get_stream(request):
        async def make_lines():
            for name in objects:
                yield json.dumps(make_row(name)).encode() + b"\n"

        return StreamingResponse(make_lines())

    async def get_one(request):
        body = objects[request.path_params["name"]]
        return Response(body, headers={"ETag": '"1"'})

    routes = [
        Route("/v1/objects/blocks", get_list),
        Route("/v1/objects/blocks/{name}", get_one),
        Route("/stream", get_stream),
    ]
    server = HttpServer("http", Starlette(routes=routes), ADDRESS, HTTP_PORT)
    stand_in = StandinZoneDaemon(
        State(BLOCKS_KIND, n, 1, b) for n, b in objects.items()
    )
    await server.start(None)
    await stand_in.server.start(ADDRESS, ZONE_PORT)
    rows = [await _run_load(way) for way in WAYS]
    await server.stop()
    await stand_in.server.stop()
    return rows


async def _run_load(way):
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "godwitlanding.tests.benchmarks.bench_blocks"),
        *("--load", way),
        stdout=subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return [way, *json.loads(output)]


async def load(way):
    """Load the table in this process; return what it took."""
    import os

    import aiohttp

    loader = BlockLoader()
    before = read_cost(os.getpid())
    began = time.perf_counter()
    if way == "zone's push":
        reads = await _load_from_zone(loader)
    else:
        async with aiohttp.ClientSession(read_bufsize=2**20) as session:
            reads = await _LOAD_BY_WAY[way](loader, session)
    took_s = time.perf_counter() - began
    after = read_cost(os.getpid())
    assert loader.table is not None
    return [
        reads,
        took_s,
        after.resident_mb - before.resident_mb,
        after.peak_mb - before.resident_mb,
        after.peak_mb - after.resident_mb,
    ]


_URL = f"http://{ADDRESS}:{HTTP_PORT}"


async def _load_list(loader, session):
    async with session.get(f"{_URL}/v1/objects/blocks") as response:
        value = json.loads(await response.read())
    for row in value["objects"]:
        loader.offer(row["name"], base64.b64decode(row["value"]))
    return 1


async def _load_streamed(loader, session):
    async with session.get(f"{_URL}/stream") as response:
        async for line in response.content:
            row = json.loads(line)
            loader.offer(row["name"], base64.b64decode(row["value"]))
    return 1


async def _load_pieces(loader, session):
    async def get(name):
        async with session.get(f"{_URL}/v1/objects/blocks/{name}") as response:
            loader.offer(name, await response.read())

    await get(MARKER_NAME)
    names = sorted(loader._marker.generation_by_piece)
    for name in names:
        await get(name)
    return len(names) + 1


async def _load_from_zone(loader):
    from godwitlanding.base.messages import PROTOCOL_VERSION, Hello, Subscribe
    from godwitlanding.base.metrics import Counters
    from godwitlanding.base.wire import Pool

    async def take(channel, state):
        loader.offer(state.name, state.body)

    hello = Hello(PROTOCOL_VERSION, "steer", "vm", "zone", "bench")
    pool = Pool(hello, {State: take}, Counters())
    await pool.call(f"{ADDRESS}:{ZONE_PORT}", Subscribe((BLOCKS_KIND,)), 5.0)
    while loader.table is None:
        await asyncio.sleep(0.01)
    await pool.stop()
    return 0


_LOAD_BY_WAY = {
    "list": _load_list,
    "streamed": _load_streamed,
    "piece by piece": _load_pieces,
}


def run():
    """Print all tables and write the plots."""
    rows = measure_sizes()
    head = ["blocks", "pieces", "held MB", "sent MB", "largest KB", "pack s"]
    print(f"Caller blocks in pieces of {BLOCKS_IN_PIECE:,}")
    print(format_table(head + ["load s", "ms a piece", "find us"], rows))
    series = {
        "held in a process": [(row[0], row[2]) for row in rows],
        "sent to a process": [(row[0], row[3]) for row in rows],
    }
    plot("blocks_memory", "Caller blocks", "blocks", "MB", series)
    plot(
        "blocks_find",
        "Look-up of a block",
        "blocks",
        "microseconds",
        {"binary search": [(row[0], row[8]) for row in rows]},
    )
    print("\nChanging some of 3.2 million blocks")
    head = ["changes", "what", "delta bytes", "pieces", "as pieces KB", "apply ms"]
    print(format_table(head, measure_changes()))
    print("\nLoading all blocks into a fresh process")
    head = ["way", "reads", "s", "grown MB", "peak MB", "spike MB"]
    print(format_table(head, asyncio.run(measure_ways())))


def main(argv=None):
    """Run the benchmark, or one way of loading for it."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--load", choices=WAYS, help="Only load, for the benchmark")
    arguments = parser.parse_args(argv)
    if arguments.load:
        print(json.dumps(asyncio.run(load(arguments.load))))
    else:
        run()


if __name__ == "__main__":
    sys.exit(main())
