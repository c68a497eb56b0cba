"""Measures caller blocks: memory, lookup, changes and loading methods.

    python -m godwitlanding.tests.benchmarks.bench_blocks

Prints the costs by number of blocks, the cost of a change as a delta and as
rewritten pieces, and four methods by which a new process can load the
table: one list request; a streamed initial state as in KEP-3157 (all objects
in one response, one per line, the closing marker last); one read per piece;
and the push of the zone daemon. Each method runs in its own process, so that
its peak memory can be measured separately.
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
    read_process_usage,
)
from godwitlanding.tests.benchmarks.sizes import (
    TARGET_SIZE,
    make_block_objects,
    make_piece,
)
from godwitlanding.tests.standins.peers import StandinZoneDaemon

ADDRESS = "127.0.50.1"
HTTP_PORT = 17201
ZONE_PORT = 17202
BLOCK_COUNTS = (100_000, 400_000, 1_600_000, 3_200_000)
CHANGE_COUNTS = (1, 100, 10_000)
LOOKUPS = 200_000
LOAD_METHODS = ("list", "streamed", "piece by piece", "zone's push")


def measure_sizes():
    """Return rows of memory, transfer and lookup cost by number of blocks."""
    rows = []
    for blocks in BLOCK_COUNTS:
        pieces = split_piece(make_piece(TARGET_SIZE._replace(blocks=blocks)))
        table = BlockTable(pieces)
        held_bytes = sum(len(p.starts) * 4 + len(p.groups) * 2 for p in pieces)
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
                held_bytes / 1e6,
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
    rng = random.Random(2)
    last = table.pieces[-1].starts[-1]
    addresses = [rng.randrange(1 << 24, last) for _ in range(LOOKUPS)]
    began = time.perf_counter()
    for address in addresses:
        table.find(address)
    return (time.perf_counter() - began) / LOOKUPS


def measure_changes():
    """Return rows of the cost of changing some of 3.2 million blocks."""
    table = BlockTable(split_piece(make_piece(TARGET_SIZE)))
    rng = random.Random(3)
    rows = []
    for count in CHANGE_COUNTS:
        for kind in ("whole blocks", "parts of blocks"):
            changes = _draw_changes(table, count, kind, rng)
            body = format_delta(1, changes)
            frame = encode(Envelope(0, False, State("blocks", "delta-1", 1, body)))
            changed_pieces = _count_changed_pieces(table, changes)
            began = time.perf_counter()
            for change in parse_delta(body)[1]:
                table.apply(change)
            took_s = time.perf_counter() - began
            rewritten = changed_pieces * _get_piece_bytes(table)
            rows.append(
                [count, kind, len(frame), changed_pieces, rewritten / 1e3, took_s * 1e3]
            )
    return rows


def _get_piece_bytes(table):
    return len(format_piece(table.pieces[0], 1))


def _draw_changes(table, count, kind, rng):
    changes = []
    for _ in range(count):
        piece = rng.choice(table.pieces)
        index = rng.randrange(len(piece.starts) - 1)
        first, last = piece.starts[index], piece.starts[index + 1] - 1
        if kind != "whole blocks":
            last = (first + last) // 2
        changes.append(BlockChange(first, last, rng.randrange(1, 700)))
    return changes


def _count_changed_pieces(table, changes):
    firsts = [piece.starts[0] for piece in table.pieces]
    return len({sum(f <= c.first for f in firsts) for c in changes})


async def measure_load_methods():
    """Return a row of load costs for each loading method."""
    from starlette.applications import Starlette
    from starlette.responses import Response, StreamingResponse
    from starlette.routing import Route

    from godwitlanding.base.web import HttpServer

    objects = make_block_objects(TARGET_SIZE)

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
    standin = StandinZoneDaemon(State(BLOCKS_KIND, n, 1, b) for n, b in objects.items())
    await server.start(None)
    await standin.server.start(ADDRESS, ZONE_PORT)
    rows = [await _run_load(method) for method in LOAD_METHODS]
    await server.stop()
    await standin.server.stop()
    return rows


async def _run_load(method):
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "godwitlanding.tests.benchmarks.bench_blocks"),
        *("--load", method),
        stdout=subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return [method, *json.loads(output)]


async def load(method):
    """Load the table in this process.

    Returns the number of reads, the seconds, and the megabytes of memory
    growth, of the peak over the start and of the peak over the end.
    """
    import os

    import aiohttp

    loader = BlockLoader()
    before = read_process_usage(os.getpid())
    began = time.perf_counter()
    if method == "zone's push":
        reads = await _load_from_zone(loader)
    else:
        async with aiohttp.ClientSession(read_bufsize=2**20) as session:
            reads = await _LOADER_BY_METHOD[method](loader, session)
    took_s = time.perf_counter() - began
    after = read_process_usage(os.getpid())
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

    async def handle_state(channel, state):
        loader.offer(state.name, state.body)

    hello = Hello(PROTOCOL_VERSION, "steer", "vm", "zone", "bench")
    pool = Pool(hello, {State: handle_state}, Counters())
    await pool.call(f"{ADDRESS}:{ZONE_PORT}", Subscribe((BLOCKS_KIND,)), 5.0)
    while loader.table is None:
        await asyncio.sleep(0.01)
    await pool.stop()
    return 0


_LOADER_BY_METHOD = {
    "list": _load_list,
    "streamed": _load_streamed,
    "piece by piece": _load_pieces,
}


def run():
    """Print all tables and write the plots."""
    rows = measure_sizes()
    header = ["blocks", "pieces", "held MB", "sent MB", "largest KB", "pack s"]
    print(f"Caller blocks in pieces of {BLOCKS_IN_PIECE:,}")
    print(format_table(header + ["load s", "ms a piece", "find us"], rows))
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
    header = ["changes", "what", "delta bytes", "pieces", "as pieces KB", "apply ms"]
    print(format_table(header, measure_changes()))
    print("\nLoading all blocks into a fresh process")
    header = ["way", "reads", "s", "grown MB", "peak MB", "spike MB"]
    print(format_table(header, asyncio.run(measure_load_methods())))


def main(argv=None):
    """Run the benchmark, or load the table by one method with ``--load``."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--load",
        choices=LOAD_METHODS,
        help="Load by this method only; used by the benchmark itself",
    )
    arguments = parser.parse_args(argv)
    if arguments.load:
        print(json.dumps(asyncio.run(load(arguments.load))))
    else:
        run()


if __name__ == "__main__":
    sys.exit(main())
