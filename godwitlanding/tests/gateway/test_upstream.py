"""Tests of upstream connections, mainly with faulty upstreams."""

import asyncio
import math
import socket
import struct
from types import SimpleNamespace

import pytest

from godwitlanding.base.metrics import Counters
from godwitlanding.gateway.upstream import (
    MAX_BUFFERED_BYTES,
    USER_TIMEOUT_FOR_S,
    USER_TIMEOUT_MS,
    UpstreamConnection,
    UpstreamError,
    UpstreamFailure,
    UpstreamPool,
)

HOST = "127.0.0.1"
ID = b"r1"
REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


def make_response(body=b"hello", request_id=ID, length=None, extra=b""):
    head = b"HTTP/1.1 200 OK\r\nx-id: %b\r\n" % request_id
    if length is not False:
        head += b"content-length: %d\r\n" % (len(body) if length is None else length)
    return head + extra + b"\r\n" + body


class ScriptedUpstream:
    """Sends one of ``scripts`` per request, then does what ``end`` says."""

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
            # With a linger time of zero, closing sends a reset.
            await asyncio.sleep(0.02)
            option = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
            writer.transport.abort()
        elif self._end == "close":
            writer.close()

    async def request(
        self, request_id=ID, sink=None, data=REQUEST, respond_by=math.inf
    ):
        connection = self.pool.take("u", True, request_id)
        if connection is None:
            connection = await self.pool.connect("u", self.address, 1.0)
        response = await connection.send(data, request_id, False, sink, respond_by)
        if not response.is_stream:
            self.pool.give_back("u", connection)
        return response


async def test_connection_is_reused():
    scripts = (make_response(), make_response(b"b", request_id=b"r2"))
    async with ScriptedUpstream(*scripts) as upstream:
        assert (await upstream.request()).body == b"hello"
        assert (await upstream.request(b"r2")).body == b"b"
        assert upstream.connections == 1


@pytest.mark.parametrize(
    ("second_id", "respond_in_s", "connections"),
    [
        pytest.param(ID, 1.0, 2, id="sent again"),
        pytest.param(b"r2", 1.0, 1, id="another request"),
        pytest.param(ID, 0.0, 1, id="no longer sent again"),
    ],
)
async def test_request_is_sent_again_on_another_connection(
    second_id, respond_in_s, connections
):
    # Guards against a late copy of the first response that passes for the
    # second one.
    scripts = [make_response(request_id=i) for i in (ID, b"r0", second_id)]
    async with ScriptedUpstream(*scripts) as upstream:
        loop = asyncio.get_running_loop()
        await upstream.request(ID, respond_by=loop.time() + respond_in_s)
        await asyncio.sleep(0.01)
        await upstream.request(b"r0")
        await upstream.request(second_id)
        assert upstream.connections == connections


@pytest.mark.parametrize(
    "script",
    [
        pytest.param(make_response(), id="with a length"),
        pytest.param(
            make_response(
                b"5\r\nhello\r\n0\r\n\r\n",
                length=False,
                extra=b"transfer-encoding: chunked\r\n",
            ),
            id="chunked",
        ),
        pytest.param(
            b"HTTP/1.1 100 Continue\r\n\r\n" + make_response(),
            id="after an interim response",
        ),
        pytest.param(
            make_response(b"wrong", request_id=b"r0") + make_response(),
            id="after a late response to another request",
        ),
    ],
)
async def test_complete_response(script):
    async with ScriptedUpstream(script) as upstream:
        assert (await upstream.request()).body == b"hello"


async def test_response_without_a_length_ends_with_its_connection():
    async with ScriptedUpstream(make_response(length=False), end="close") as upstream:
        assert (await upstream.request()).body == b"hello"


@pytest.mark.parametrize(
    ("script", "end", "failure"),
    [
        pytest.param(
            b"", "close", UpstreamFailure.RESET, id="closed without a response"
        ),
        pytest.param(
            b"", "reset", UpstreamFailure.RESET, id="reset without a response"
        ),
        pytest.param(
            make_response(length=9), "close", UpstreamFailure.BROKEN, id="truncated"
        ),
        pytest.param(
            make_response(length=False),
            "reset",
            UpstreamFailure.BROKEN,
            id="reset during the body",
        ),
        pytest.param(
            b"lorem ipsum\r\n\r\n", "keep", UpstreamFailure.GARBAGE, id="not HTTP"
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            "keep",
            UpstreamFailure.GARBAGE,
            id="without a request id",
        ),
        pytest.param(
            make_response(request_id=b"r0"),
            "close",
            UpstreamFailure.BROKEN,
            id="only for another request",
        ),
    ],
)
async def test_faulty_response_raises_an_error(script, end, failure):
    # An upstream truncates a response, or sends bytes that do not answer the
    # request. Forwarded, a caller would get half a pass or the pass of another
    # caller.
    async with ScriptedUpstream(script, end=end) as upstream:
        with pytest.raises(UpstreamError) as caught:
            await upstream.request()
        assert caught.value.failure is failure


@pytest.mark.parametrize("end", ["close", "reset"])
async def test_loss_of_a_reused_connection_is_a_reset(end):
    # Guards against crashes that go unnoticed since an earlier response on the
    # connection is taken for the beginning of the one that is awaited.
    async with ScriptedUpstream(make_response(), b"", end=end) as upstream:
        await upstream.request()
        with pytest.raises(UpstreamError) as caught:
            await upstream.request()
        assert caught.value.failure is UpstreamFailure.RESET


async def test_surplus_response_is_discarded():
    # An upstream responds to one request twice. The next request must not read
    # the surplus response as its own.
    async with ScriptedUpstream(
        make_response() + make_response(), make_response(b"b", request_id=b"r2")
    ) as upstream:
        assert (await upstream.request()).body == b"hello"
        assert (await upstream.request(b"r2")).body == b"b"
        assert upstream.connections == 2


async def test_closing_connection_is_not_reused():
    script = make_response(extra=b"connection: close\r\n")
    async with ScriptedUpstream(script, make_response(b"b")) as upstream:
        await upstream.request()
        assert upstream.pool.take("u", True) is None


@pytest.mark.parametrize(
    ("keep_alive", "idle_s", "is_idempotent", "usable"),
    [
        pytest.param(b"", 0.0, True, True, id="fresh"),
        pytest.param(
            b"keep-alive: timeout=1\r\n", 0.7, True, False, id="close to the timeout"
        ),
        pytest.param(
            b"keep-alive: timeout=5\r\n", 0.7, True, True, id="before the timeout"
        ),
        pytest.param(b"", 2.0, False, False, id="too long for a payment"),
        pytest.param(b"", 2.0, True, True, id="short enough for a look-up"),
    ],
)
async def test_idle_connection_is_reused_within_its_timeout(
    keep_alive, idle_s, is_idempotent, usable
):
    # The upstream closes an idle connection. A payment that is sent at the
    # same moment may or may not have run, and cannot be sent again.
    async with ScriptedUpstream(make_response(extra=keep_alive)) as upstream:
        await upstream.request()
        connection = upstream.pool.take("u", True)
        connection.idle_since -= idle_s
        max_idle_s = 40.0 if is_idempotent else 1.5
        now = asyncio.get_running_loop().time()
        assert connection.can_reuse(now, max_idle_s) is usable


class Sink:
    """Collects the rest of a streamed response."""

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
    # A long response is not buffered. If it is truncated, its sink is
    # notified, so that the caller does not take it as complete.
    body = b"x" * (2 * MAX_BUFFERED_BYTES)
    script = make_response(body, length=len(body) + missing)
    async with ScriptedUpstream(script, end="close") as upstream:
        sink = Sink()
        response = await upstream.request(sink=sink)
        assert response.is_stream
        await sink.ended.wait()
        assert sink.failed is bool(missing)
        assert len(response.body) + len(sink.data) == len(body)


async def test_refused_connection_is_a_connect_failure():
    async with ScriptedUpstream() as upstream:
        host, port = upstream.address
        with pytest.raises(UpstreamError) as caught:
            await upstream.pool.connect("u", (host, 1), 0.5)
        assert caught.value.failure is UpstreamFailure.CONNECT


async def test_connection_is_not_reused_if_the_body_was_not_read():
    # An upstream responds before it has read a long body, keeps the connection
    # open, and reads on later. It would read the next request as the rest of
    # that body.
    body = b"x" * (16 << 20)
    head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % len(body)
    async with ScriptedUpstream(make_response(), make_response(b"b")) as upstream:
        assert (await upstream.request(data=head + body)).body == b"hello"
        assert (await upstream.request()).body == b"b"
        assert upstream.connections == 2


async def test_connection_that_timed_out_is_not_a_reset():
    # Guards against taking a link that is cut for an upstream that crashed.
    connection = UpstreamConnection(b"x-id")
    transport = SimpleNamespace(
        get_extra_info=lambda name: None, write=lambda data: None
    )
    connection.connection_made(transport)
    answered = connection.send(REQUEST, ID, False)
    connection.connection_lost(TimeoutError())
    with pytest.raises(UpstreamError) as caught:
        await answered
    assert caught.value.failure is UpstreamFailure.TIMEOUT


async def test_user_timeout_does_not_end_a_response_at_one_lost_probe():
    # Guards against a user timeout that applies to keep-alive probes: a slow
    # response would be lost with the first of them.
    async with ScriptedUpstream(make_response(b"", length=5)) as upstream:
        connection = await upstream.pool.connect("u", upstream.address, 1.0)

        def get_user_timeout_ms():
            sock = connection._transport.get_extra_info("socket")
            return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)

        for _ in range(2):
            connection.send(REQUEST, ID, False)
            assert get_user_timeout_ms() == USER_TIMEOUT_MS
            await asyncio.sleep(USER_TIMEOUT_FOR_S / 2)
            assert get_user_timeout_ms() == USER_TIMEOUT_MS
        await asyncio.sleep(USER_TIMEOUT_FOR_S)
        assert get_user_timeout_ms() == 0
        connection.abort()
