"""Every byte that is taken is given back however a connection ends.

Random histories of callers and upstreams on simulated transports: bodies in
pieces of any size, pauses, callers that do not read, resets at any moment,
upstreams that answer early, break off or send garbage.
"""

import asyncio

import looptime
from hypothesis import example, given, settings, strategies as st

from godwitlanding.base.metrics import Counters
from godwitlanding.decisions.routes import Limits
from godwitlanding.gateway.caller import CallerConnection
from godwitlanding.gateway.heldbytes import HeldBytes
from godwitlanding.gateway.stream import StreamSink
from godwitlanding.gateway.upstream import UpstreamConnection, UpstreamError

LIMIT_BYTES = 1_000_000
# Longer than any deadline, pause or time-out below.
SETTLE_S = 30.0


class Transport:
    """A transport whose peer reads only when ``drain`` is called."""

    def __init__(self, protocol):
        self.protocol = protocol
        self.buffered = 0
        self.is_paused = False
        self.is_closed = False
        self._is_closing = False
        protocol.connection_made(self)

    def get_extra_info(self, name):
        return None

    def set_write_buffer_limits(self, high, low):
        assert (high, low) == (0, 0)

    def get_write_buffer_size(self):
        return self.buffered

    def write(self, data):
        if not self.is_closed:
            self.buffered += len(data)

    def writelines(self, parts):
        self.write(b"".join(parts))

    def can_write_eof(self):
        return True

    def write_eof(self):
        pass

    def is_closing(self):
        return self._is_closing or self.is_closed

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def drain(self, share):
        if self.buffered and not self.is_closed:
            self.buffered -= max(1, int(self.buffered * share))
            if not self.buffered:
                if self._is_closing:
                    self.abort()
                else:
                    self.protocol.resume_writing()

    def receive(self, data):
        if not self.is_paused and not self.is_closing():
            self.protocol.data_received(data)

    def close(self):
        self._is_closing = True
        if not self.buffered:
            self.abort()

    def abort(self):
        if not self.is_closed:
            self.is_closed = True
            self.buffered = 0
            loop = asyncio.get_running_loop()
            loop.call_soon(self.protocol.connection_lost, None)


class History:
    """Callers and upstreams of one VM that share a budget."""

    def __init__(self):
        self.held_bytes = HeldBytes(Counters(), 200)
        self.budget = self.held_bytes.budget
        self.budget.limit_bytes = LIMIT_BYTES
        self.limits = Limits(max_body_bytes=400_000)
        self.close_after_response = False
        self.callers = []
        self.upstreams = []
        self.tasks = set()

    # The interface that ``CallerConnection`` expects of its ``front``.

    def add(self, connection):
        pass

    def remove(self, connection):
        pass

    def get_idle_s(self):
        return 5.0

    def get_body_s(self, exchange):
        return 2.0

    def get_request_id(self, exchange):
        return "r"

    def note_unreadable(self, exchange, status, reason):
        pass

    def may_read_body(self, respond_by):
        return True

    def refuse_unread(self, exchange, code, retry_after_s):
        exchange.respond(503, [], b"%d" % code)

    def take(self, exchange):
        task = asyncio.ensure_future(self._handle(exchange))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(lambda _: exchange.hold.release())

    async def _handle(self, exchange):
        if exchange.target == b"/safe":
            exchange.on_gone = asyncio.current_task().cancel
        sink = StreamSink(exchange, lambda response: [])
        connection = UpstreamConnection(b"", self.budget)
        self.upstreams.append(Transport(connection))
        data = b"POST / HTTP/1.1\r\n\r\n" + exchange.body
        self.held_bytes.note_sent("u", len(data))
        try:
            async with asyncio.timeout(3.0):
                response = await connection.send(data, b"", False, sink)
        except (UpstreamError, TimeoutError):
            connection.abort()
            exchange.respond(502, [], b"")
            return
        except asyncio.CancelledError:
            connection.abort()
            raise
        finally:
            self.held_bytes.note_ended("u", len(data))
        if response.is_stream:
            sink.begin(response)
        else:
            exchange.respond(200, [], response.body)
            connection.close()

    # The steps of a history; ``number`` selects whom they affect.

    def call(self, number, size):
        """Open a connection, or use one on, and send a header."""
        if number % 3 == 0 or not self.callers:
            self.callers.append(Transport(CallerConnection(self)))
        path = b"/safe" if number % 2 else b"/unsafe"
        framing = b"content-length: %d" % size
        if number % 5 == 4:
            framing = b"transfer-encoding: chunked"
        elif number % 5 == 3:
            framing += b"\r\nexpect: 100-continue"
        head = b"POST %b HTTP/1.1\r\nhost: h\r\n%b\r\n\r\n" % (path, framing)
        self._pick(self.callers, number).receive(head)

    def send(self, number, size):
        """Send bytes of a body, or what is not one any more."""
        if self.callers:
            self._pick(self.callers, number).receive(bytes(size))

    def read(self, number, size):
        """Take a part of what is written to a caller or an upstream."""
        transports = self.callers + self.upstreams
        if transports:
            self._pick(transports, number).drain(min(1.0, size / 360_000))

    def reset(self, number, size):
        """End a connection of a caller or an upstream."""
        transports = self.callers + self.upstreams
        if transports:
            self._pick(transports, number).abort()

    def answer(self, number, size):
        """Send a part of an upstream's response, which may be long."""
        if self.upstreams:
            framing = b"content-length: %d" % (size * (1 + number % 8))
            if number % 7 == 6:
                framing = b"x: y"
            head = b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % framing
            self._pick(self.upstreams, number).receive(head + bytes(size))

    def answer_on(self, number, size):
        """Send more of an upstream's response, or garbage after it."""
        if self.upstreams:
            self._pick(self.upstreams, number).receive(bytes(size))

    def _pick(self, transports, number):
        return transports[number % len(transports)]


STEPS = ("call", "send", "read", "reset", "answer", "answer_on", "wait")
step = st.tuples(
    st.sampled_from(STEPS),
    st.integers(0, 209),
    st.sampled_from((0, 1, 1000, 60_000, 130_000, 360_000, 1_200_000)),
)


async def run_history(steps, ends):
    """Run the steps, end the connections, and return the history."""
    history = History()
    for name, number, size in steps:
        if name == "wait":
            await asyncio.sleep(size / 100_000)
        else:
            getattr(history, name)(number, size)
            await asyncio.sleep(0)
        assert history.budget.held_bytes >= 0
        assert history.budget.reserved_bytes >= 0
    for transport in history.callers:
        if ends == "reset":
            transport.abort()
        elif ends == "close":
            transport.close()
    if ends == "reset":
        # Given back at once, and not only when the time for the body is over.
        await asyncio.sleep(0.01)
        if not history.tasks and not any(t.buffered for t in history.upstreams):
            assert history.budget.reserved_bytes == 0
    # Those left to themselves end by their time-outs.
    await asyncio.sleep(SETTLE_S)
    if ends != "left":
        # A paused connection to an upstream would never notice its end.
        for transport in history.upstreams:
            assert transport.is_closing() or not transport.is_paused
    for transport in history.upstreams:
        transport.abort()
    await asyncio.sleep(SETTLE_S)
    return history


@settings(max_examples=300, deadline=None)
@example([("call", 0, 0), ("wait", 0, 1), ("answer", 1, 1_200_000)], "reset")
@given(st.lists(step, max_size=40), st.sampled_from(("reset", "close", "left")))
def test_every_byte_taken_is_given_back(steps, ends):
    # Guards against a budget that shrinks with each connection that ends in
    # an unusual way, until the VM refuses everything.
    loop = looptime.new_event_loop(start=0.0)
    try:
        history = loop.run_until_complete(run_history(steps, ends))
    finally:
        loop.close()
    assert history.budget.held_bytes == 0
    assert history.budget.reserved_bytes == 0
    assert not history.held_bytes._waiting
    assert not history.held_bytes._bytes_by_upstream
    assert not history.tasks
