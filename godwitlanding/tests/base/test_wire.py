"""Tests of remote calls between processes, and of their failures."""

import asyncio
import struct

import pytest

from godwitlanding.base.channel import MAX_FRAME_BYTES
from godwitlanding.base.codes import Code
from godwitlanding.base.messages import (
    PROTOCOL_VERSION,
    Ack,
    Envelope,
    Failure,
    Fetch,
    Hello,
    State,
    Withdraw,
    encode,
)
from godwitlanding.base.metrics import Counters
from godwitlanding.base.wire import Pool, Server

HOST = "127.0.70.1"
HELLO = Hello(PROTOCOL_VERSION, "zone", "a1", "n-a", "i1")
TIMEOUT_S = 5.0


def _frame(data):
    return struct.pack("<I", len(data)) + data


def _hello_frame(hello=HELLO):
    return _frame(encode(Envelope(0, False, hello)))


class Harness:
    """A server with one handler, and a pool to call it."""

    def __init__(self, handler):
        self.counters = Counters()
        self.server = Server(HELLO, {Fetch: handler}, self.counters)
        self.pool = Pool(HELLO, {}, self.counters)
        self.address = ""

    async def __aenter__(self):
        await self.server.start(HOST, 0)
        port = self.server.get_port()
        self.address = f"{HOST}:{port}"
        return self

    async def __aexit__(self, *error):
        await self.pool.stop()
        await self.server.stop()

    async def call(self, message, timeout_s=TIMEOUT_S):
        return await self.pool.call(self.address, message, timeout_s)

    async def dial(self):
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))


async def _echo(channel, message):
    return State(message.kind, message.name, 1, b"")


async def test_out_of_order_responses_match_their_calls():
    """Guards against responses that are delivered to the wrong call.

    A slow call is overtaken by quick ones on the same connection, so the
    responses do not arrive in the order of the calls.
    """
    release = asyncio.Event()

    async def handle(channel, message):
        if message.name == "slow":
            await release.wait()
        return await _echo(channel, message)

    async with Harness(handle) as harness:
        slow = asyncio.ensure_future(harness.call(Fetch("k", "slow")))
        names = [f"quick-{number}" for number in range(20)]
        results = await asyncio.gather(*(harness.call(Fetch("k", n)) for n in names))
        assert [a.unwrap().name for a in results] == names
        release.set()
        assert (await slow).unwrap().name == "slow"


async def test_response_after_its_timeout_is_dropped():
    """Guards against a late response that is taken for that of the next call.

    The peer responds after the call has timed out.
    """
    release = asyncio.Event()

    async def handle(channel, message):
        if message.name == "late":
            await release.wait()
        return await _echo(channel, message)

    async with Harness(handle) as harness:
        late = await harness.call(Fetch("k", "late"), 0.01)
        assert late.unwrap_err().code is Code.CALL_TIMEOUT
        release.set()
        assert (await harness.call(Fetch("k", "next"))).unwrap().name == "next"
        assert harness.counters.get("wire_dropped", reason="late_answer") == 1


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", Code.FRAME_TOO_LARGE),
        (_frame(b"garbage!" * 4), Code.GARBAGE_FRAME),
        (_hello_frame() + _frame(b"\xff" * 64), Code.GARBAGE_FRAME),
        (_hello_frame() + struct.pack("<I", MAX_FRAME_BYTES + 1), Code.FRAME_TOO_LARGE),
        (_hello_frame(HELLO._replace(protocol=99)), Code.PROTOCOL_MISMATCH),
        (_frame(encode(Envelope(1, False, Ack()))), Code.PROTOCOL_MISMATCH),
    ],
)
async def test_invalid_bytes_close_only_their_connection(sent, code):
    """The internal port receives data of another protocol.

    A port scanner or an older version must neither end the process nor
    affect the connections of other peers.
    """
    async with Harness(_echo) as harness:
        reader, writer = await harness.dial()
        writer.write(sent)
        await asyncio.wait_for(reader.read(), TIMEOUT_S)
        writer.close()
        assert harness.counters.get("wire_refused", code=code.name) == 1
        assert (await harness.call(Fetch("k", "x"))).is_ok()


async def test_protocol_mismatch_is_reported_to_the_peer():
    async with Harness(_echo) as harness:
        other = Pool(HELLO._replace(protocol=99), {}, Counters())
        result = await other.call(harness.address, Fetch("k", "x"), TIMEOUT_S)
        assert result.unwrap_err().code is Code.PROTOCOL_MISMATCH


async def test_handler_exception_becomes_a_failure_response():
    async def handle(channel, message):
        if message.name == "bad":
            raise KeyError("bad")
        return await _echo(channel, message)

    async with Harness(handle) as harness:
        failed = await harness.call(Fetch("k", "bad"))
        assert failed.unwrap_err().code is Code.HANDLER_FAILED
        assert (await harness.call(Fetch("k", "good"))).is_ok()


async def test_message_without_a_handler_is_refused():
    async with Harness(_echo) as harness:
        result = await harness.call(Withdraw("s", "r"))
        assert result.unwrap_err().code is Code.UNEXPECTED_MESSAGE


async def test_open_calls_fail_at_once_when_the_connection_breaks():
    """Guards against calls that wait for their whole timeout.

    The peer crashes with calls open; the requests of a zone would be delayed
    by the timeout after each crash.
    """
    reached = asyncio.Event()

    async def handle(channel, message):
        reached.set()
        await asyncio.sleep(3600)

    async with Harness(handle) as harness:
        call = asyncio.ensure_future(harness.call(Fetch("k", "x"), 3600.0))
        await reached.wait()
        await harness.server.stop()
        result = await asyncio.wait_for(call, TIMEOUT_S)
        assert result.unwrap_err().code is Code.PEER_UNREACHABLE


async def test_pool_reconnects_after_a_break():
    async with Harness(_echo) as harness:
        assert (await harness.call(Fetch("k", "x"))).is_ok()
        for channel in list(harness.server.channels):
            channel.close()
        for _ in range(50):
            if (await harness.call(Fetch("k", "x"))).is_ok():
                return
        pytest.fail("the pool did not dial again")


async def test_unknown_failure_code_of_a_newer_peer_is_mapped():
    async def handle(channel, message):
        return Failure(9999, "from the future")

    async with Harness(handle) as harness:
        failed = await harness.call(Fetch("k", "x"))
        assert failed.unwrap_err().code is Code.HANDLER_FAILED
        assert failed.unwrap_err().detail == "from the future"


@pytest.mark.parametrize("sends_hello", [True, False])
async def test_stop_leaves_no_reading_task(sends_hello):
    # Guards against unexpected errors in the log after a planned stop while
    # neighbours are connected: a task that is still reading is cancelled with
    # the event loop, which asyncio prints as an error.
    async with Harness(_echo) as harness:
        before = asyncio.all_tasks()
        reader, writer = await harness.dial()
        if sends_hello:
            writer.write(_hello_frame())
        await reader.read(1)
        assert asyncio.all_tasks() - before
        await harness.server.stop()
        assert not asyncio.all_tasks() - before
        writer.close()
