"""Connections to upstreams: one request at a time, answers judged whole.

Those to the users' store are the same, but for the request ids.

A faulty upstream may break off an answer, send bytes that are no answer, or
send one more answer than it was asked for, which then lies where the next
one is expected. The request id in an answer tells whose it is: an answer
with another id is passed over. Without this a caller would get another
caller's pass.
"""

import asyncio
from collections import deque
from enum import Enum
from typing import NamedTuple

import httptools

from godwitlanding.gateway.caller import set_keepalive

# Data that the upstream's machine does not acknowledge for this long ends
# the connection; the longest way there and back is 110 ms.
USER_TIMEOUT_MS = 900
# An idle connection is used again only in this share of the time after which
# the upstream closes it: a request that crosses the close is lost.
IDLE_SHARE = 0.6
# Where the upstream tells no time.
DEFAULT_IDLE_S = 4.0
# Work that must not be repeated trusts an idle connection for less time, as
# upstreams may forget one early and a lost payment cannot be sent again.
UNSAFE_IDLE_S = 1.5
MAX_IDLE = 6
# An answer is held until it is whole up to this size, so that one which
# breaks off can be fetched again; longer ones are passed on as they come.
# Nearly all answers are shorter.
MAX_HELD_BYTES = 1 << 20


class Failure(Enum):
    """Why there is no answer, by what the upstream may have done."""

    CONNECT = "connect"
    RESET = "reset"
    BROKEN = "broken"
    GARBAGE = "garbage"
    TIMEOUT = "timeout"


class UpstreamError(Exception):
    """No usable answer; ``failure`` says why."""

    def __init__(self, failure, detail=""):
        super().__init__(f"{failure.value} {detail}".strip())
        self.failure = failure


class Response(NamedTuple):
    """An upstream's answer; ``body`` is whole unless ``is_stream``."""

    status: int
    headers: list
    body: bytes
    is_stream: bool

    def get_header(self, name):
        """Return the first value of a header, empty where there is none."""
        for held, value in self.headers:
            if held == name:
                return value
        return b""


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request after the other.

    ``id_header`` names the header that tells whose an answer is, empty where
    answers have none.
    """

    def __init__(self, id_header):
        self._id_header = id_header
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._transport = None
        self._reset_answer()
        self._waiter = None
        self._sink = None
        self._wanted_id = b""
        self._without_body = False
        self.is_open = False
        self.reusable = True
        self.idle_since = 0.0
        self.idle_s = DEFAULT_IDLE_S

    def connection_made(self, transport):
        self._transport = transport
        self.is_open = True
        set_keepalive(transport, USER_TIMEOUT_MS)

    def send(self, data, request_id, without_body, sink=None):
        """Send a request; return a future of its ``Answer``.

        ``sink`` takes the rest of an answer that is too long to hold.
        """
        self._wanted_id = request_id
        self._without_body = without_body
        self._sink = sink
        self._waiter = self._loop.create_future()
        self._transport.write(data)
        return self._waiter

    def abort(self):
        """Cut the connection; the upstream drops what it was doing."""
        self.reusable = False
        self._waiter = None
        self._sink = None
        if self._transport:
            self._transport.abort()

    def close(self):
        """End an idle connection."""
        self.reusable = False
        if self._transport:
            self._transport.close()

    def can_take(self, now, most_idle_s):
        """Tell whether a request may be sent on this idle connection."""
        if not self.is_open or not self.reusable or self._transport.is_closing():
            return False
        return now - self.idle_since < min(most_idle_s, self.idle_s * IDLE_SHARE)

    def data_received(self, data):
        if self._waiter is None and self._sink is None:
            # Nothing was asked: whatever this is belongs to no request.
            self.reusable = False
            self._transport.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(Failure.GARBAGE, repr(error))
            self.abort()

    def eof_received(self):
        # The end of the connection is the end of an answer without a length.
        if self._has_head and self._until_end and not self._whole:
            self.reusable = False
            self._complete()
        return False

    def connection_lost(self, error):
        self.is_open = False
        self.reusable = False
        failure = Failure.BROKEN if self._has_head else Failure.RESET
        self._fail(failure, repr(error) if error else "closed")

    # What httptools calls while it reads.

    def on_message_begin(self):
        if self._waiter is None and self._sink is None:
            # One more answer than was asked for: more may follow.
            self.reusable = False
        self._reset_answer()

    def on_header(self, name, value):
        self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        self._has_head = True
        names = {name for name, _ in self._headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        bodiless = self._without_body or self._status in (204, 304)
        self._until_end = not framed and not bodiless
        if not self._parser.should_keep_alive():
            self.reusable = False
        for name, value in self._headers:
            if name == b"keep-alive":
                self.idle_s = _read_idle_s(value)
            elif name == self._id_header and value != self._wanted_id:
                self._foreign = True
            elif name == self._id_header:
                self._named = True
        if self._without_body:
            self.reusable = False
            self._complete()

    def on_body(self, data):
        if self._foreign or self._whole:
            return
        if self._streaming:
            self._sink.write(data)
            return
        self._chunks.append(data)
        self._size += len(data)
        if self._size > MAX_HELD_BYTES and self._sink and self._waiter:
            self._begin_stream()

    def on_message_complete(self):
        if self._status < 200 or self._whole:
            return
        if self._foreign:
            # Another request's late or second answer; ours comes after it.
            return
        self._complete()

    def _reset_answer(self):
        self._status = 0
        self._headers = []
        self._chunks = []
        self._size = 0
        self._has_head = False
        self._until_end = False
        self._whole = False
        self._foreign = False
        self._named = False
        self._streaming = False

    def _begin_stream(self):
        self._streaming = True
        waiter, self._waiter = self._waiter, None
        body = b"".join(self._chunks)
        self._chunks = []
        if not waiter.done():
            waiter.set_result(Response(self._status, self._headers, body, True))

    def _complete(self):
        self._whole = True
        if self._transport.get_write_buffer_size():
            # Answered before it read the whole request: what is still to be
            # sent would be followed by the next request.
            self.reusable = False
        if self._streaming:
            sink, self._sink = self._sink, None
            sink.finish()
            return
        waiter, self._waiter = self._waiter, None
        self._sink = None
        if waiter is None or waiter.done():
            return
        if self._id_header and not self._named:
            self.reusable = False
            waiter.set_exception(UpstreamError(Failure.GARBAGE, "no request id"))
            return
        body = b"".join(self._chunks)
        waiter.set_result(Response(self._status, self._headers, body, False))

    def _fail(self, failure, detail):
        if self._sink and self._streaming:
            sink, self._sink = self._sink, None
            sink.fail()
        waiter, self._waiter = self._waiter, None
        if waiter and not waiter.done():
            waiter.set_exception(UpstreamError(failure, detail))


def _read_idle_s(value):
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return DEFAULT_IDLE_S


class UpstreamPool:
    """Open connections by upstream; the one used last is used first.

    New ones are counted in ``counters``, if there are any.
    """

    def __init__(self, id_header, counters=None):
        self._id_header = id_header
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._idle_by_upstream = {}

    def take(self, upstream, is_idempotent):
        """Return an idle connection that may be used, or ``None``."""
        idle = self._idle_by_upstream.get(upstream)
        most_idle_s = DEFAULT_IDLE_S * 10 if is_idempotent else UNSAFE_IDLE_S
        while idle:
            connection = idle.pop()
            if connection.can_take(self._loop.time(), most_idle_s):
                return connection
            connection.close()
        return None

    async def connect(self, upstream, address, timeout_s):
        """Open a connection; raises ``UpstreamError`` with ``CONNECT``."""
        if self._counters:
            self._counters.add("upstream_connections")
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await self._loop.create_connection(
                    lambda: UpstreamConnection(self._id_header), *address
                )
        except (OSError, TimeoutError) as error:
            raise UpstreamError(Failure.CONNECT, repr(error)) from None
        return connection

    def give_back(self, upstream, connection):
        """Keep a connection whose answer was whole for the next request."""
        if not connection.reusable or not connection.is_open:
            connection.close()
            return
        connection.idle_since = self._loop.time()
        idle = self._idle_by_upstream.setdefault(upstream, deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE:
            idle.popleft().close()

    def forget(self, upstream):
        """Close the idle connections to an upstream that is leaving."""
        for connection in self._idle_by_upstream.pop(upstream, ()):
            connection.close()

    def trim(self):
        """Close connections that have been idle for too long."""
        now = self._loop.time()
        for idle in self._idle_by_upstream.values():
            while idle and not idle[0].can_take(now, DEFAULT_IDLE_S * 10):
                idle.popleft().close()

    def close(self):
        """Close every idle connection."""
        for upstream in list(self._idle_by_upstream):
            self.forget(upstream)
