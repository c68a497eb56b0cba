"""Tests of callers' connections within a byte budget, over real sockets."""

import asyncio
import socket
from types import SimpleNamespace

import pytest

from godwitlanding.base.metrics import Counters
from godwitlanding.gateway import bodyintake, unread
from godwitlanding.gateway.front import Front
from godwitlanding.gateway.heldbytes import HeldBytes
from godwitlanding.gateway.stream import StreamSink
from godwitlanding.gateway.upstream import MAX_BUFFERED_BYTES, UpstreamPool
from godwitlanding.platform.headers import HEADER_NAMES

HOST = "127.0.0.1"
BODY = bytes(100_000)
# Room for seven uploads of 100 KB below the tight share.
LIMIT_BYTES = 1_000_000
STREAM_BYTES = 4 * MAX_BUFFERED_BYTES


class Handler:
    """Answers requests when ``answers`` is set; streams those for /long."""

    def __init__(self, held):
        self.handled = []
        self.tasks = set()
        self.answers = asyncio.Event()
        self.pool = UpstreamPool(b"", held_bytes=held)
        self.upstream_address = None

    def take(self, exchange):
        self.handled.append(exchange.target)
        task = asyncio.ensure_future(self._handle(exchange))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def refuse_unread(self, exchange, code, retry_after_s):
        extra = [(b"retry-after", b"%.3f" % retry_after_s)]
        exchange.respond(503, extra, b"%d" % code)

    def note_unreadable(self, exchange, status, reason):
        pass

    def get_in_progress(self):
        return len(self.tasks)

    async def _handle(self, exchange):
        if exchange.target == b"/long":
            sink = StreamSink(exchange, lambda response: [])
            connection = await self.pool.connect("u", self.upstream_address, 1.0)
            response = await connection.send(
                b"GET / HTTP/1.1\r\n\r\n", b"", False, sink
            )
            sink.begin(response)
            return
        await self.answers.wait()
        body = bytes(800_000) if exchange.target == b"/big" else b"ok"
        exchange.respond(200, [], body)


class Setting:
    """A front with a byte budget, and an upstream with a long response."""

    async def __aenter__(self):
        self.counters = Counters()
        self.held = HeldBytes(self.counters, 200)
        self.budget = self.held.budget
        self.budget.limit_bytes = LIMIT_BYTES
        self.handler = Handler(self.held)
        self.streamed = 0
        self.upstream = await asyncio.start_server(self._serve_upstream, HOST, 0)
        self.handler.upstream_address = self.upstream.sockets[0].getsockname()
        services = {
            "carrier": self.handler,
            "peers": SimpleNamespace(leave=lambda: None),
            "registry": SimpleNamespace(on_config=[], config=None),
        }
        with socket.socket() as free:
            free.bind((HOST, 0))
            address = free.getsockname()
        self.address = address
        self.front = Front(address, 0.1, HEADER_NAMES, self.held)
        await self.front.start(SimpleNamespace(get=services.get))
        self.writers = []
        return self

    async def __aexit__(self, *error):
        for writer in self.writers:
            writer.transport.abort()
        self.handler.answers.set()
        self.upstream.close()
        async with asyncio.timeout(3.0):
            await self.front.stop()
            while self.budget.held_bytes or self.budget.reserved_bytes:
                await asyncio.sleep(0.01)
        assert not self.held._waiting

    async def _serve_upstream(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % STREAM_BYTES)
        try:
            while self.streamed < STREAM_BYTES:
                writer.write(bytes(1 << 16))
                self.streamed += 1 << 16
                await writer.drain()
        except ConnectionError:
            pass

    async def call(self, path="/", body=b"", sent=None, extra=b"", length=True):
        """Send a request with ``sent`` bytes of ``body``, or the whole."""
        connection = await asyncio.open_connection(*self.address)
        self.writers.append(connection[1])
        await self.send(connection, path, body, sent, extra, length)
        return connection

    async def send(self, connection, path, body=b"", sent=None, extra=b"", length=True):
        head = b"POST %b HTTP/1.1\r\nhost: h\r\n" % path.encode()
        head += b"godwitlanding-deadline-ms: 1500\r\n"
        if length:
            head += b"content-length: %d\r\n" % len(body)
        connection[1].write(head + extra + b"\r\n" + body[:sent])
        await asyncio.sleep(0)


async def read_response(connection, seconds=3.0):
    """Return status, headers as text, and body of the next response."""
    async with asyncio.timeout(seconds):
        head = (await connection[0].readuntil(b"\r\n\r\n")).decode().lower()
        status = int(head.split()[1])
        if status == 100:
            return status, head, b""
        length = int(head.partition("content-length: ")[2].split()[0])
        return status, head, await connection[0].readexactly(length)


async def test_upload_beyond_the_budget_is_refused_before_its_body_is_read():
    # Guards against a VM that runs out of memory because of many uploads, and
    # against a refusal that leaves the connection out of step.
    async with Setting() as setting:
        served = [await setting.call("/1", BODY) for _ in range(7)]
        await asyncio.sleep(0.1)
        refused = await setting.call("/2", BODY, 1000)
        status, head, body = await read_response(refused)
        refused[1].write(BODY[1000:])
        assert (status, body) == (503, b"2015")
        assert "retry-after: " in head
        assert setting.budget.held_bytes <= LIMIT_BYTES
        setting.handler.answers.set()
        for connection in served:
            assert (await read_response(connection))[0] == 200
        # The same connection is used on.
        await setting.send(refused, "/3", BODY)
        assert (await read_response(refused))[0] == 200
        assert setting.handler.handled == [b"/1"] * 7 + [b"/3"]


async def test_upload_waits_unread_for_room():
    async with Setting() as setting:
        served = [await setting.call("/1", BODY) for _ in range(7)]
        await asyncio.sleep(0.1)
        waiting = await setting.call("/2", BODY, 1000)
        await asyncio.sleep(bodyintake.MAX_PAUSE_S / 2)
        waiting[1].write(BODY[1000:])
        setting.handler.answers.set()
        assert (await read_response(waiting))[0] == 200
        assert setting.counters.get("uploads_paused") == 1
        assert len(served) == 7


@pytest.mark.parametrize(
    ("extra", "length", "closes"),
    [
        pytest.param(b"", True, False, id="known length"),
        pytest.param(b"expect: 100-continue\r\n", True, True, id="expects continue"),
        pytest.param(b"transfer-encoding: chunked\r\n", False, True, id="chunked"),
    ],
)
async def test_refusal_is_read_whole_whatever_is_still_sent(extra, length, closes):
    # Guards against a reset that discards the refusal on its way: a caller
    # that does not know whether its request has run must not repeat it.
    async with Setting() as setting:
        setting.budget.add(LIMIT_BYTES)
        body = BODY if length else b"186a0\r\n" + BODY
        connection = await setting.call("/1", body, 10, extra, length)
        status, head, _ = await read_response(connection)
        assert status == 503
        assert ("connection: close" in head) is closes
        for start in range(10, len(BODY), 10_000):
            connection[1].write(body[start : start + 10_000])
            await asyncio.sleep(0.15 if closes else 0)
        setting.budget.give_back(LIMIT_BYTES)
        setting.handler.answers.set()
        if closes:
            assert await connection[0].read() == b""
        else:
            await setting.send(connection, "/2")
            assert (await read_response(connection))[0] == 200


async def test_continue_is_sent_only_when_there_is_room():
    async with Setting() as setting:
        setting.budget.add(LIMIT_BYTES)
        connection = await setting.call(
            "/1", BODY, 0, extra=b"expect: 100-continue\r\n"
        )
        await asyncio.sleep(bodyintake.MAX_PAUSE_S / 2)
        setting.budget.give_back(LIMIT_BYTES)
        assert (await read_response(connection))[0] == 100
        connection[1].write(BODY)
        setting.handler.answers.set()
        assert (await read_response(connection))[0] == 200


async def test_stalled_upload_holds_what_arrived_and_ends_at_its_deadline():
    async with Setting() as setting:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        connection = await setting.call("/1", BODY, 30_000)
        await asyncio.sleep(1.3)
        assert setting.budget.held_bytes == 30_000
        # Guards against callers that keep others out without sending anything.
        assert setting.budget.reserved_bytes == 0
        assert (await read_response(connection))[0] == 408
        assert 1.4 < loop.time() - began_at < 1.8
        assert setting.handler.handled == []
        assert setting.counters.get("uploads_stalled") == 1


async def test_stream_pauses_while_its_caller_does_not_read(monkeypatch):
    # Guards against a VM that buffers a long response for a slow reader.
    async with Setting() as setting:
        connection = await setting.call("/long")
        await asyncio.sleep(0.5)
        assert setting.budget.held_bytes < 2 * MAX_BUFFERED_BYTES
        status, _, body = await read_response(connection, 5.0)
        assert (status, len(body)) == (200, STREAM_BYTES)


@pytest.mark.parametrize("path", ["/long", "/big"])
async def test_caller_that_does_not_read_is_cut_off(monkeypatch, path):
    monkeypatch.setattr("godwitlanding.gateway.caller.UNREAD_S", 0.5)
    async with Setting() as setting:
        setting.handler.answers.set()
        connection = await setting.call(path)
        connection[1].transport.pause_reading()
        await asyncio.sleep(0.4)
        assert setting.budget.held_bytes > unread.STREAM_BUFFER_BYTES
        await asyncio.sleep(2.2)
        assert setting.counters.get("callers_cut_off") == 1
        assert setting.budget.held_bytes == 0


async def test_bytes_that_an_upstream_does_not_read_are_counted():
    async with Setting() as setting:
        deaf = await asyncio.start_server(lambda reader, writer: None, HOST, 0, limit=1)
        address = deaf.sockets[0].getsockname()
        connection = await setting.handler.pool.connect("u", address, 1.0)
        size = 20_000_000
        connection.send(bytes(size), b"", False).cancel()
        await asyncio.sleep(0.2)
        assert 0.5 * size < setting.budget.held_bytes < size
        connection.abort()
        await asyncio.sleep(0.1)
        assert setting.budget.held_bytes == 0
        deaf.close()


async def test_caller_that_leaves_ends_its_stream():
    # Guards against a paused connection to an upstream that is never closed.
    async with Setting() as setting:
        connection = await setting.call("/long")
        await asyncio.sleep(0.3)
        connection[1].transport.abort()
        await asyncio.sleep(0.3)
        assert setting.budget.held_bytes == 0


async def test_refused_body_that_is_malformed_closes_the_connection():
    # Guards against a second response to the same request.
    async with Setting() as setting:
        setting.budget.add(LIMIT_BYTES)
        connection = await setting.call("/1", BODY, 10)
        assert (await read_response(connection))[0] == 503
        connection[1].write(BODY[10:] + b"\0 garbage")
        setting.budget.give_back(LIMIT_BYTES)
        assert (await read_response(connection))[0] == 400
        assert await connection[0].read() == b""


async def test_body_that_never_fits_is_too_large():
    async with Setting() as setting:
        connection = await setting.call("/1", bytes(1_000_000), 100)
        assert (await read_response(connection))[0] == 413


async def test_bytes_at_one_upstream_are_bounded():
    held = HeldBytes(Counters(), 200)
    for _ in range(4):
        assert held.has_room("u0")
        held.note_sent("u0", 360_000)
    assert not held.has_room("u0")
    assert held.has_room("u1")
    held.note_ended("u0", 360_000)
    assert held.has_room("u0")
    # Without a stated memory nothing is bounded.
    held.set_memory(None)
    held.note_sent("u0", 10_000_000)
    assert held.has_room("u0")
