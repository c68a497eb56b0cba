"""Answers of faulty upstreams: whole, the caller's own, or none at all."""

import asyncio
import socket
import struct

import pytest

from godwitlanding.base.metrics import Counters
from godwitlanding.gateway.upstream import (
    MAX_HELD_BYTES,
    Failure,
    UpstreamError,
    UpstreamPool,
)

HOST = "127.0.0.1"
ID = b"r1"
REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


def make_answer(body=b"hello", request_id=ID, length=None, extra=b""):
    head = b"HTTP/1.1 200 OK\r\nx-id: %b\r\n" % request_id
    if length is not False:
        head += b"content-length: %d\r\n" % (len(body) if length is None else length)
    return head + extra + b"\r\n" + body


class Upstream:
    """Answers each request with the next of its scripts, then ends so."""

    def __init__(self, *scripts, end="keep"):
        self._scripts = list(scripts)
        self._end = end
        self.connections = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = self._server.sockets[0].getsockname()
        self.pool = UpstreamPool(b"x-id", Counters())
        return self

    async def __aexit__(self, *error):
        self.pool.close()
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        while self._scripts:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            writer.write(self._scripts.pop(0))
            await writer.drain()
        if self._end == "reset":
            # With a linger time of zero a close is a reset.
            await asyncio.sleep(0.02)
            option = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
            writer.transport.abort()
        elif self._end == "close":
            writer.close()

    async def ask(self, request_id=ID, sink=None, data=REQUEST):
        connection = self.pool.take("u", True)
        if connection is None:
            connection = await self.pool.connect("u", self.address, 1.0)
        answer = await connection.send(data, request_id, False, sink)
        if not answer.is_stream:
            self.pool.give_back("u", connection)
        return answer


async def test_connection_is_reused():
    async with Upstream(make_answer(), make_answer(b"b")) as upstream:
        assert (await upstream.ask()).body == b"hello"
        assert (await upstream.ask()).body == b"b"
        assert upstream.connections == 1


@pytest.mark.parametrize(
    "script",
    [
        pytest.param(make_answer(), id="with a length"),
        pytest.param(
            make_answer(
                b"5\r\nhello\r\n0\r\n\r\n",
                length=False,
                extra=b"transfer-encoding: chunked\r\n",
            ),
            id="in chunks",
        ),
        pytest.param(
            b"HTTP/1.1 100 Continue\r\n\r\n" + make_answer(), id="after an interim one"
        ),
        pytest.param(
            make_answer(b"wrong", request_id=b"r0") + make_answer(),
            id="behind a late answer to another request",
        ),
    ],
)
async def test_complete_response(script):
    async with Upstream(script) as upstream:
        assert (await upstream.ask()).body == b"hello"


async def test_response_without_a_length_ends_with_its_connection():
    async with Upstream(make_answer(length=False), end="close") as upstream:
        assert (await upstream.ask()).body == b"hello"


@pytest.mark.parametrize(
    ("script", "end", "failure"),
    [
        pytest.param(b"", "close", Failure.RESET, id="closed without a word"),
        pytest.param(b"", "reset", Failure.RESET, id="reset without a word"),
        pytest.param(make_answer(length=9), "close", Failure.BROKEN, id="cut short"),
        pytest.param(
            make_answer(length=False), "reset", Failure.BROKEN, id="reset on the way"
        ),
        pytest.param(b"lorem ipsum\r\n\r\n", "keep", Failure.GARBAGE, id="no answer"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            "keep",
            Failure.GARBAGE,
            id="without the request's id",
        ),
        pytest.param(
            make_answer(request_id=b"r0"), "close", Failure.BROKEN, id="another's only"
        ),
    ],
)
async def test_faulty_response_raises_an_error(script, end, failure):
    # An upstream breaks off, or its bytes are not the answer that was asked
    # for. Passed on, a caller would take half a pass, or another's, for its
    # own.
    async with Upstream(script, end=end) as upstream:
        with pytest.raises(UpstreamError) as caught:
            await upstream.ask()
        assert caught.value.failure is failure


async def test_surplus_response_is_discarded():
    # An upstream answers once more than it was asked. The bytes lie where
    # the next request's answer is expected.
    async with Upstream(make_answer() + make_answer(), make_answer(b"b")) as upstream:
        assert (await upstream.ask()).body == b"hello"
        assert (await upstream.ask()).body == b"b"
        assert upstream.connections == 2


async def test_closing_connection_is_not_reused():
    script = make_answer(extra=b"connection: close\r\n")
    async with Upstream(script, make_answer(b"b")) as upstream:
        await upstream.ask()
        assert upstream.pool.take("u", True) is None


@pytest.mark.parametrize(
    ("keep_alive", "idle_s", "is_idempotent", "usable"),
    [
        pytest.param(b"", 0.0, True, True, id="fresh"),
        pytest.param(b"keep-alive: timeout=1\r\n", 0.7, True, False, id="near its end"),
        pytest.param(b"keep-alive: timeout=5\r\n", 0.7, True, True, id="in time"),
        pytest.param(b"", 2.0, False, False, id="too old for a payment"),
        pytest.param(b"", 2.0, True, True, id="young enough for a look-up"),
    ],
)
async def test_idle_connection_is_reused_within_its_timeout(
    keep_alive, idle_s, is_idempotent, usable
):
    # The upstream closes a connection that is idle. A payment that crosses
    # the close may or may not have run, and cannot be sent again.
    async with Upstream(make_answer(extra=keep_alive)) as upstream:
        await upstream.ask()
        connection = upstream.pool.take("u", True)
        connection.idle_since -= idle_s
        most_idle_s = 40.0 if is_idempotent else 1.5
        now = asyncio.get_running_loop().time()
        assert connection.can_take(now, most_idle_s) is usable


class Sink:
    def __init__(self):
        self.data = b""
        self.ended = asyncio.Event()
        self.failed = False

    def write(self, data):
        self.data += data

    def finish(self):
        self.ended.set()

    def fail(self):
        self.failed = True
        self.ended.set()


@pytest.mark.parametrize("missing", [0, 10])
async def test_long_response_is_streamed(missing):
    # A long answer does not fit in memory. When it breaks off midway its
    # sink hears of it, so that the caller does not take it for whole.
    body = b"x" * (2 * MAX_HELD_BYTES)
    script = make_answer(body, length=len(body) + missing)
    async with Upstream(script, end="close") as upstream:
        sink = Sink()
        answer = await upstream.ask(sink=sink)
        assert answer.is_stream
        await sink.ended.wait()
        assert sink.failed is bool(missing)
        assert len(answer.body) + len(sink.data) == len(body)


async def test_refused_connection_is_a_connect_failure():
    async with Upstream() as upstream:
        host, port = upstream.address
        with pytest.raises(UpstreamError) as caught:
            await upstream.pool.connect("u", (host, 1), 0.5)
        assert caught.value.failure is Failure.CONNECT


async def test_connection_is_not_reused_if_the_body_was_not_read():
    # An upstream answers before it has read a long body, keeps the
    # connection, and reads on later. The next request's bytes would be taken
    # for the rest of that body.
    body = b"x" * (16 << 20)
    head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % len(body)
    async with Upstream(make_answer(), make_answer(b"b")) as upstream:
        assert (await upstream.ask(data=head + body)).body == b"hello"
        assert (await upstream.ask()).body == b"b"
        assert upstream.connections == 2
