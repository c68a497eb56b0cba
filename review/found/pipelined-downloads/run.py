"""Downloads that are pipelined behind a slow look-up: the connection is reset."""

import asyncio
import itertools
import random
import time
from pathlib import Path

from harness_2 import BROKEN, HELD, TROUBLE, main, make_request, read_answer

# The largest download of legitka-lb (``resp_bytes``: max = 540000).
DOWNLOAD_BYTES = 540_000
PIPELINED = 17
# Between the work for objects that a server knows and for new ones: 0.086 to
# 0.288 s for pass-pdf, 0.108 to 0.36 s for status-check (warm_gain = 0.7).
DOWNLOAD_S = 0.2
LOOKUP_S = 0.2
# The largest doses of srv_slow in legitka-lb: x = 12.0 for 9 s, a share of 0.4.
SLOW_X = 12.0
SLOW_FOR_S = 8.0
EPISODES = 3
PAUSE_S = 1.0
# LOST: "more than three times".
MOST_LOST = 3


class Client:
    """Keeps a connection, sends a look-up, then downloads without waiting."""

    def __init__(self, world, vm):
        self._record = world.record
        self._vm = vm
        self.lost = []

    async def run(self, number):
        reader, writer = await asyncio.open_connection(*self._vm.front)
        try:
            await self._ask(reader, writer, f"/status/{number}")
            request_id, data = make_request(f"/status/x{number}", deadline_ms=6000)
            self._record.add("sent", request_id)
            writer.write(data)
            sent = [request_id]
            for k in range(PIPELINED):
                request_id, data = make_request(f"/pdf/{number}-{k}", deadline_ms=6000)
                self._record.add("sent", request_id)
                writer.write(data)
                sent.append(request_id)
            await self._read_all(reader, sent)
        finally:
            writer.close()

    async def _ask(self, reader, writer, path):
        request_id, data = make_request(path)
        self._record.add("sent", request_id)
        writer.write(data)
        status, _, _ = await read_answer(reader)
        self._record.add("answered", request_id, status)

    async def _read_all(self, reader, sent):
        for place, request_id in enumerate(sent):
            try:
                status, _, body = await read_answer(reader)
            except (OSError, asyncio.IncompleteReadError) as error:
                for lost in sent[place:]:
                    self._record.add("closed-without-answer", lost, repr(error)[:60])
                self.lost += sent[place:]
                return
            self._record.add("answered", request_id, status, len(body))


async def run(world):
    await world.put_config(
        1,
        [
            ("status-check", "/status/", "safe", "5s", "status-api"),
            ("pass-pdf", "/pdf/", "download", "5s", "pass-print"),
        ],
        ["status-api", "pass-print"],
    )
    statuses = [
        await world.add_server("status-api", zone=zone, slots=3, work_s=LOOKUP_S)
        for zone in ("a1", "b1", "b2")
    ]
    prints = [
        await world.add_server("pass-print", zone=zone, slots=3, work_s=DOWNLOAD_S)
        for zone in ("a1", "a2", "a1", "a2")
    ]
    for server in prints:
        server.make_body = lambda request: b"%PDF" + bytes(DOWNLOAD_BYTES - 4)
    for server in world.servers:
        server.answer = answer_with_spread
    vm = await world.add_vm("a1")
    await vm.wait_ready()
    renewal = asyncio.create_task(world.renew_entries())
    client = Client(world, vm)
    numbers = itertools.count(1)
    for _ in range(EPISODES):
        slow = statuses[0]
        if TROUBLE:
            slow.work_s = LOOKUP_S * SLOW_X
        world.record.add("slow" if TROUBLE else "sound", slow.id)
        end_at = time.monotonic() + SLOW_FOR_S
        while time.monotonic() < end_at:
            await client.run(next(numbers))
        slow.work_s = LOOKUP_S
        await asyncio.sleep(PAUSE_S)
    renewal.cancel()
    run_ids = {r for server in world.servers for r, _, _ in server.runs}
    lost = [request_id for request_id in client.lost if request_id in run_ids]
    world.record.add("passed on to a sound server and not answered:", len(lost))
    return BROKEN if len(lost) > MOST_LOST else HELD


async def answer_with_spread(server, request, writer):
    # Work varies by 0.15, as in the site file.
    await asyncio.sleep(server.work_s * random.uniform(0.7, 1.3))
    server.write(writer, 200, request, server.make_body(request))
    await writer.drain()


if __name__ == "__main__":
    main(run, Path(__file__).parent)
