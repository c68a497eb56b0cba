"""Large messages in pieces: order, replacement, limits and time-outs."""

import asyncio
import random
import zlib

import pytest

from godwitlanding.base.codes import Code
from godwitlanding.base.messages import Fetch, Piece, State, Withdraw, decode
from godwitlanding.base.metrics import Counters
from godwitlanding.base.pieces import (
    MAX_OPEN_STREAMS,
    PIECE_BYTES,
    PieceReader,
    PieceSender,
    encode_push,
)
from godwitlanding.base.wire import Pool, Server
from godwitlanding.tests.base.test_wire import HELLO, HOST
from godwitlanding.tests.gateway.narrow_links import LinkEnd, NarrowLink

LIMIT_BYTES = 1_000_000
# Deflates to about the same size.
LARGE_BODY = random.Random(1).randbytes(4 * PIECE_BYTES)


def make_state(version, body=LARGE_BODY, name="main"):
    return State("config", name, version, body)


class Sent:
    """The frames that a ``PieceSender`` has written, and its messages."""

    def __init__(self):
        self.frames = []
        self.sender = PieceSender(self.frames.append, self._drain)
        self.sender.in_pieces = True
        self.after_frames = {}

    async def _drain(self):
        action = self.after_frames.pop(len(self.frames), None)
        if action:
            action()

    def put(self, key, message):
        self.sender.put(key, lambda: [encode_push(message)])

    def read_messages(self):
        reader = PieceReader(LIMIT_BYTES)
        messages = []
        for frame in self.frames:
            message = decode(frame).message
            if isinstance(message, Piece):
                data = reader.add(message)
                message = decode(data).message if data else None
            if message:
                messages.append(message)
        return messages


async def test_message_is_joined_from_its_pieces():
    sent = Sent()
    sent.put("a", make_state(1))
    await sent.sender.run()
    assert sent.read_messages() == [make_state(1)]
    assert max(map(len, sent.frames)) < PIECE_BYTES + 200


async def test_peer_that_reads_no_pieces_is_sent_one_frame():
    sent = Sent()
    sent.sender.in_pieces = False
    sent.put("a", make_state(1))
    await sent.sender.run()
    assert [decode(frame).message for frame in sent.frames] == [make_state(1)]


async def test_small_message_does_not_wait_for_a_large_one():
    # Guards against news of upstreams that arrive seconds late behind a
    # configuration.
    sent = Sent()
    sent.put("a", make_state(1))
    sent.after_frames[1] = lambda: sent.put("b", Withdraw("s", "r"))
    await sent.sender.run()
    assert sent.read_messages() == [Withdraw("s", "r"), make_state(1)]


async def test_newer_version_replaces_an_unsent_older_one():
    # Guards against versions that pile up in front of a slow receiver.
    sent = Sent()
    for version in range(5):
        sent.put("a", make_state(version))
    await sent.sender.run()
    assert sent.read_messages() == [make_state(4)]


async def test_begun_message_is_completed_before_a_newer_version():
    # Guards against a receiver that never gets anything while versions follow
    # each other faster than one of them is sent.
    sent = Sent()
    sent.put("a", make_state(1))
    sent.after_frames[1] = lambda: sent.put("a", make_state(2))
    sent.after_frames[2] = lambda: sent.put("a", make_state(3))
    await sent.sender.run()
    assert sent.read_messages() == [make_state(1), make_state(3)]


async def test_many_large_messages_are_sent_a_few_at_a_time():
    # Guards against a peer that refuses the connection for too many messages
    # that have begun.
    sent = Sent()
    states = [make_state(n, LARGE_BODY, f"n{n}") for n in range(MAX_OPEN_STREAMS + 9)]
    for state in states:
        sent.put(state.name, state)
    await sent.sender.run()
    assert sent.read_messages() == states


BAD_PIECES = [
    pytest.param([Piece(1, 0, True, b"garbage")], id="not-deflated"),
    pytest.param([Piece(1, 0, False, bytes(LIMIT_BYTES + 1))], id="long"),
    pytest.param(
        [Piece(1, 0, True, zlib.compress(bytes(2 * LIMIT_BYTES)))], id="long-inflated"
    ),
    pytest.param([Piece(1, 0, True, zlib.compress(b"x" * 100)[:-5])], id="cut-off"),
    pytest.param(
        [Piece(n, 0, False, b"x") for n in range(MAX_OPEN_STREAMS + 1)], id="many"
    ),
]


@pytest.mark.parametrize("pieces", BAD_PIECES)
def test_invalid_pieces_are_refused(pieces):
    # Guards against a peer that exhausts the memory.
    reader = PieceReader(LIMIT_BYTES)
    with pytest.raises(ValueError, match="in pieces"):
        for piece in pieces:
            reader.add(piece)


class NarrowHarness:
    """A server with a handler, and a pool that reaches it by a narrow link."""

    def __init__(self, handler, mbps):
        self.counters = Counters()
        self.received = []
        self._mbps = mbps
        self._server = Server(HELLO, {Fetch: handler}, self.counters)
        self.pool = Pool(HELLO, {State: self._receive}, self.counters)
        self.address = ""
        self.channels = self._server.channels

    async def __aenter__(self):
        await self._server.start(HOST, 0)
        target = (HOST, self._server.get_port())
        port = target[1] + 1 if target[1] < 65000 else target[1] - 1
        link = NarrowLink((HOST, port), target, LinkEnd(self._mbps), {})
        self._link = await link.start()
        self.address = f"{HOST}:{port}"
        return self

    async def __aexit__(self, *error):
        await self.pool.stop()
        await self._server.stop()
        self._link.stop()

    async def _receive(self, channel, state):
        self.received.append(state)


async def test_answer_that_goes_on_arriving_is_not_timed_out():
    # Guards against a large object that is fetched again and again as it takes
    # longer than a small one.
    async def handle(channel, message):
        return make_state(1, LARGE_BODY * 4)

    async with NarrowHarness(handle, mbps=2.0) as harness:
        fetched = await harness.pool.call(harness.address, Fetch("k", "n"), 0.4)
        assert fetched.unwrap() == make_state(1, LARGE_BODY * 4)


async def test_answer_that_stops_arriving_is_timed_out():
    async def handle(channel, message):
        if message.name == "never":
            await asyncio.Event().wait()
        return make_state(1)

    async with NarrowHarness(handle, mbps=2.0) as harness:
        call = harness.pool.call(harness.address, Fetch("k", "never"), 0.2)
        assert (await call).unwrap_err().code is Code.CALL_TIMEOUT


async def test_small_answer_does_not_wait_for_large_data():
    # Guards against a connection that is taken for dead as its answers queue
    # behind data.
    async def handle(channel, message):
        for number in range(5):
            channel.send(make_state(1, LARGE_BODY * 4, f"n{number}"))
        return make_state(1, b"")

    async with NarrowHarness(handle, mbps=2.0) as harness:
        answer = await harness.pool.call(harness.address, Fetch("k", "n"), 0.4)
        assert answer.is_ok()


async def test_only_the_newest_of_unsent_states_is_sent():
    async def handle(channel, message):
        for version in range(1, 30):
            channel.send(make_state(version))
        return make_state(0, b"")

    async with NarrowHarness(handle, mbps=2.0) as harness:
        await harness.pool.call(harness.address, Fetch("k", "n"), 1.0)
        async with asyncio.timeout(5.0):
            while make_state(29) not in harness.received:
                await asyncio.sleep(0.01)
        assert len(harness.received) <= 2


async def test_each_call_is_answered_when_the_answers_are_alike():
    # Guards against a call without an answer: the next answer replaced it.
    async def handle(channel, message):
        return make_state(1)

    async with NarrowHarness(handle, mbps=5.0) as harness:
        calls = [
            harness.pool.call(harness.address, Fetch("k", "n"), 1.0) for _ in range(5)
        ]
        answers = await asyncio.gather(*calls)
        assert all(answer.is_ok() for answer in answers)
