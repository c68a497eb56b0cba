"""Answers without end hold neither a VM's memory nor its callers."""

import asyncio

import pytest

from godwitlanding.base.metrics import Counters, make_meter
from godwitlanding.gateway.upstream import MAX_HELD_BYTES
from godwitlanding.platform.store import ObjectStore
from godwitlanding.tests.gateway.test_bytesheld_vm import (
    MAX_PROCESS_MB,
    MEMORY_MB,
    get_peak_mb,
)
from godwitlanding.tests.gateway.world import World
from godwitlanding.tests.memory import measure_held
from godwitlanding.tests.standins.endless import ANSWERS, EndlessServer

CALLERS = 8
DEADLINE_S = 2.0
# The caller's way to the VM and back, and its response.
SLACK_S = 0.5
# The largest response of the store that is read, a copy, and what is on its
# way.
MAX_STORE_BYTES = 3 * MAX_HELD_BYTES
# For so long a caller sends a request without end.
SEND_S = 3.0


def limit_memory(vm):
    """State the memory of a VM in its settings."""
    limits = f"\n[self.limits]\nmemory_mb = {MEMORY_MB}\n"
    vm.path.write_text(vm.path.read_text() + limits)


async def ask_until_closed(vm, number):
    """Send a request; return status, bytes and seconds of the answer.

    The caller goes on reading after its deadline. Without an answer the status
    is 0.
    """
    host, port = vm.address.split(":")
    reader, writer = await asyncio.open_connection(host, port)
    begun_at = asyncio.get_running_loop().time()
    writer.write(
        f"GET /look/{number} HTTP/1.1\r\nHost: h\r\n"
        f"Godwitlanding-Request-Id: c{number}\r\n"
        f"Godwitlanding-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n"
        "Connection: close\r\n\r\n".encode()
    )
    head = b""
    size = 0
    try:
        async with asyncio.timeout(3 * DEADLINE_S):
            while data := await reader.read(1 << 16):
                head = head or data
                size += len(data)
    except (OSError, TimeoutError):
        pass
    writer.transport.abort()
    took_s = asyncio.get_running_loop().time() - begun_at
    return int(head.split()[1]) if head else 0, size, took_s


@pytest.mark.parametrize("name", ANSWERS)
async def test_vm_outlasts_upstreams_that_answer_without_end(tmp_path, name):
    # Heads and trailers grew in memory until the caller's deadline, and
    # responses to callers went on after it.
    async with World(tmp_path, zones=("a1",)) as world:
        vm = world.vms[0]
        limit_memory(vm)
        await world.start()
        servers = []
        for worker_id in ("look-1", "look-2"):
            worker = world.get_worker(worker_id)
            worker.stop()
            servers.append(await EndlessServer(name).start(*worker.address))
        results = await asyncio.gather(
            *(ask_until_closed(vm, number) for number in range(CALLERS))
        )
        peak_mb = get_peak_mb(vm)
        for server in servers:
            server.stop()
        print(name, results, f"peak {peak_mb:.0f} MB", servers[0].sent_bytes)
        assert peak_mb < MAX_PROCESS_MB
        assert max(took_s for *_, took_s in results) < DEADLINE_S + SLACK_S
        # The VM serves on.
        response, _ = await world.pay(vm, 1)
        assert response.status == 200


@pytest.mark.parametrize("name", ANSWERS)
async def test_store_that_answers_without_end_is_given_up(name):
    # Everything that the store sent was held as long as it went on sending.
    server = await EndlessServer(name).start()
    store = ObjectStore(server.address, Counters(make_meter("vm", "vm")))
    try:
        async with asyncio.timeout(5.0):
            result, held_bytes = await measure_held(store.get("config", "main"))
    finally:
        await store.close()
        server.stop()
    assert result.is_err()
    assert held_bytes < MAX_STORE_BYTES


_POST = (
    b"POST /pay/1 HTTP/1.1\r\nHost: h\r\nGodwitlanding-Request-Id: r1\r\n"
    b"Godwitlanding-Deadline-Ms: 2000\r\n"
)
_CHUNKED = _POST + b"Transfer-Encoding: chunked\r\n\r\n"
_JUNK = b"x" * (1 << 16)
REQUESTS = {
    "endless target": (b"GET /look/", _JUNK),
    "endless header line": (_POST + b"X-Long: ", _JUNK),
    "endless headers": (_POST, b"X-More: 1\r\n" * 5000),
    "endless chunk extension": (_CHUNKED + b"4;", _JUNK),
    "endless trailer line": (_CHUNKED + b"4\r\ndone\r\n0\r\nX-Long: ", _JUNK),
    "endless trailers": (_CHUNKED + b"4\r\ndone\r\n0\r\n", b"X-More: 1\r\n" * 5000),
    "endless chunks": (_CHUNKED, b"10000\r\n" + _JUNK + b"\r\n"),
}


@pytest.mark.parametrize("name", REQUESTS)
async def test_vm_outlasts_requests_without_end(tmp_path, name):
    # Trailer lines of a request grew in memory as long as its caller sent.
    async with World(tmp_path, zones=("a1",)) as world:
        vm = world.vms[0]
        limit_memory(vm)
        await world.start()
        await asyncio.gather(*(send_without_end(vm, *REQUESTS[name]) for _ in range(4)))
        peak_mb = get_peak_mb(vm)
        print(name, f"peak {peak_mb:.0f} MB")
        assert peak_mb < MAX_PROCESS_MB
        response, _ = await world.pay(vm, 2)
        assert response.status == 200


async def send_without_end(vm, begin, filler):
    """Send ``begin`` and then ``filler`` until the VM closes."""
    host, port = vm.address.split(":")
    _, writer = await asyncio.open_connection(host, port)
    writer.write(begin)
    try:
        async with asyncio.timeout(SEND_S):
            while True:
                writer.write(filler)
                await writer.drain()
                await asyncio.sleep(0)
    except (OSError, TimeoutError):
        pass
    writer.transport.abort()
