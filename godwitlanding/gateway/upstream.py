"""HTTP/1.1 client connections to upstreams, and a pool of them.

A connection carries one request at a time and checks each response. The
connections to the users' store are the same, but without request ids.

A faulty upstream may truncate a response, send bytes that are not HTTP, or
send a surplus response, which the next request would read as its own. The
request id in a response identifies the request: a response with another id is
skipped. Without this check a caller would get the pass of another caller.

An id identifies one send only if it is sent once on a connection. A request
that is sent again, after the upstream has rejected it, uses another
connection: a late copy of the rejection would pass for the second response,
and the request would run twice or be reported as not run.
"""

import asyncio
import math
from collections import deque
from enum import Enum
from typing import NamedTuple

import httptools

from godwitlanding.decisions.bytebudget import Hold
from godwitlanding.gateway.caller import set_keepalive, set_user_timeout

# A connection ends when sent data is not acknowledged within this time; the
# longest round trip is 110 ms.
USER_TIMEOUT_MS = 900
# A user timeout also ends a connection at the first keep-alive probe that is
# lost, whatever their count. So it is lifted when a request has been
# acknowledged, before the first probe.
USER_TIMEOUT_FOR_S = 1.5
# An idle connection is reused only within this share of the upstream's idle
# timeout. A request that is sent while the upstream closes it is lost.
IDLE_REUSE_SHARE = 0.6
# Idle timeout of an upstream that sends none.
DEFAULT_IDLE_S = 4.0
# Non-idempotent requests reuse a connection for a shorter time, as upstreams
# may close one early and a lost payment cannot be sent again.
UNSAFE_IDLE_S = 1.5
MAX_IDLE_CONNECTIONS = 6
# Responses up to this size are buffered until they are complete, so that a
# truncated one can be requested again. Longer ones, which are rare, are
# streamed.
MAX_BUFFERED_BYTES = 1 << 20
# Limit for successful responses while many bytes are held.
TIGHT_BUFFERED_BYTES = 64 << 10
# A faulty upstream may send without end. A connection fails after this many
# bytes in a row that are no part of a body: head, interim responses, framing.
MAX_FRAMING_BYTES = 64 << 10
# A response that is not streamed is held as a whole. The store's largest are
# pages of 1 MB.
MAX_HELD_BYTES = 16 << 20


class UpstreamFailure(Enum):
    """Why there is no usable response, by what the upstream may have done."""

    CONNECT = "connect"
    RESET = "reset"
    BROKEN = "broken"
    GARBAGE = "garbage"
    TIMEOUT = "timeout"


class UpstreamError(Exception):
    """There is no usable response; ``failure`` is the reason."""

    def __init__(self, failure, detail=""):
        super().__init__(f"{failure.value} {detail}".strip())
        self.failure = failure


class Response(NamedTuple):
    """An upstream's response; ``body`` is complete unless ``is_stream``."""

    status: int
    headers: list
    body: bytes
    is_stream: bool

    def get_header(self, name):
        """Return the first value of a header, empty if there is none."""
        for header, value in self.headers:
            if header == name:
                return value
        return b""


class UpstreamConnection(asyncio.Protocol):
    """A client connection that carries one request at a time.

    ``id_header`` is the name of the header with the request id of a response,
    empty if responses have none. With a ``ByteBudget``, the connection counts
    what it has not sent yet and what it buffers. ``on_data``, if set, is
    called whenever data has arrived.
    """

    def __init__(self, id_header, budget=None, user_timeout_ms=USER_TIMEOUT_MS):
        self._id_header = id_header
        self._user_timeout_ms = user_timeout_ms
        self.on_data = None
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._transport = None
        self._budget = budget
        self._hold = Hold(budget) if budget else None
        self._reset_response()
        self._waiter = None
        self._sink = None
        self._expected_id = b""
        # Ids sent on this connection, and until when each may be sent again.
        self._resent_until_by_id = {}
        self._without_body = False
        self._sent_at = 0.0
        self._timeout_timer = None
        # Received since the last part of a body.
        self._framing_bytes = 0
        self.is_open = False
        self.reusable = True
        self.idle_since = 0.0
        self.idle_s = DEFAULT_IDLE_S

    def connection_made(self, transport):
        self._transport = transport
        self.is_open = True
        set_keepalive(transport)
        if self._hold:
            # ``resume_writing`` is called when everything is sent.
            transport.set_write_buffer_limits(high=0, low=0)

    def send(self, data, request_id, without_body, sink=None, respond_by=math.inf):
        """Send a request; return a future of its ``Response``.

        ``sink`` gets the rest of a response that is too long to buffer.
        ``respond_by`` is the time from which the request is not sent again.
        """
        self._expected_id = request_id
        self._note_sent(request_id, respond_by)
        self._without_body = without_body
        self._sink = sink
        self._framing_bytes = 0
        # Otherwise the response to an earlier request would pass for the
        # beginning of this one's when the connection is lost.
        self._reset_response()
        self._waiter = self._loop.create_future()
        self._begin_user_timeout()
        self._transport.write(data)
        self._count()
        return self._waiter

    def has_sent(self, request_id):
        """Return whether a request of this id was sent, and may be again."""
        return request_id in self._resent_until_by_id

    def _note_sent(self, request_id, respond_by):
        if not request_id:
            return
        now = self._loop.time()
        ended = [
            known_id
            for known_id, until in self._resent_until_by_id.items()
            if until < now
        ]
        for known_id in ended:
            del self._resent_until_by_id[known_id]
        self._resent_until_by_id[request_id] = respond_by

    def pause_reading(self):
        """Stop to read, so that the upstream stops to send."""
        self._transport.pause_reading()

    def resume_reading(self):
        """Continue to read."""
        self._transport.resume_reading()

    def resume_writing(self):
        self._count()

    def abort(self):
        """Reset the connection, so that the upstream cancels the request."""
        self.reusable = False
        self._waiter = None
        self._sink = None
        if self._transport:
            self._transport.abort()

    def close(self):
        """Close an idle connection."""
        self.reusable = False
        if self._transport:
            self._transport.close()

    def can_reuse(self, now, max_idle_s):
        """Return whether a request may be sent on this idle connection."""
        if not self.is_open or not self.reusable or self._transport.is_closing():
            return False
        return now - self.idle_since < min(max_idle_s, self.idle_s * IDLE_REUSE_SHARE)

    def data_received(self, data):
        if self._waiter is None and self._sink is None:
            # No request is in progress, so this data belongs to none.
            self.reusable = False
            self._transport.abort()
            return
        if self.on_data:
            self.on_data()
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail_as_garbage(repr(error))
            return
        if self._framing_bytes > MAX_FRAMING_BYTES:
            # The parser reports a line only when it is complete.
            self._fail_as_garbage(f"{self._framing_bytes} bytes without a body")

    def eof_received(self):
        # A response without a length ends with the connection.
        if self._has_head and self._body_until_close and not self._is_complete:
            self.reusable = False
            self._complete()
        return False

    def connection_lost(self, error):
        self.is_open = False
        self.reusable = False
        failure = UpstreamFailure.BROKEN if self._has_head else UpstreamFailure.RESET
        if isinstance(error, TimeoutError):
            failure = UpstreamFailure.TIMEOUT
        self._fail(failure, repr(error) if error else "closed")
        self._chunks = []
        if self._timeout_timer:
            self._timeout_timer.cancel()
        if self._hold:
            self._hold.release()

    # Callbacks of the httptools parser.

    def on_message_begin(self):
        if self._waiter is None and self._sink is None:
            # A surplus response; more may follow.
            self.reusable = False
        self._reset_response()

    def on_header(self, name, value):
        self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        self._has_head = True
        self._framing_bytes = 0
        names = {name for name, _ in self._headers}
        has_framing = b"content-length" in names or b"transfer-encoding" in names
        has_no_body = self._without_body or self._status in (204, 304)
        self._body_until_close = not has_framing and not has_no_body
        if not self._parser.should_keep_alive():
            self.reusable = False
        for name, value in self._headers:
            if name == b"keep-alive":
                self.idle_s = _read_idle_s(value)
            elif name == self._id_header and value != self._expected_id:
                self._is_foreign = True
            elif name == self._id_header:
                self._has_request_id = True
        if self._without_body:
            self.reusable = False
            self._complete()

    def on_body(self, data):
        self._framing_bytes = 0
        if self._is_complete or (self._waiter is None and self._sink is None):
            return
        if self._streaming:
            self._sink.write(data)
            return
        self._size += len(data)
        if self._is_foreign:
            if self._size > MAX_BUFFERED_BYTES:
                self._fail_as_garbage("an endless response to another request")
            return
        self._chunks.append(data)
        if self._sink:
            if self._size > self._get_max_buffered():
                self._begin_stream()
        elif self._size > MAX_HELD_BYTES:
            self._fail_as_garbage(f"a body of over {MAX_HELD_BYTES} bytes")
        self._count()

    def on_message_complete(self):
        if self._status < 200 or self._is_complete:
            return
        if self._is_foreign:
            # A late or duplicate response to another request; the expected one
            # follows.
            return
        self._complete()

    def _begin_user_timeout(self):
        self._sent_at = self._loop.time()
        if self._timeout_timer is None:
            set_user_timeout(self._transport, self._user_timeout_ms)
            self._timeout_timer = self._loop.call_later(
                USER_TIMEOUT_FOR_S, self._end_user_timeout
            )

    def _end_user_timeout(self):
        left_s = self._sent_at + USER_TIMEOUT_FOR_S - self._loop.time()
        if self._transport.get_write_buffer_size():
            left_s = USER_TIMEOUT_FOR_S
        if left_s > 0:
            self._timeout_timer = self._loop.call_later(left_s, self._end_user_timeout)
            return
        self._timeout_timer = None
        if self.is_open and not self._transport.is_closing():
            set_user_timeout(self._transport, 0)

    def _reset_response(self):
        self._status = 0
        self._headers = []
        self._chunks = []
        self._size = 0
        self._has_head = False
        self._body_until_close = False
        self._is_complete = False
        self._is_foreign = False
        self._has_request_id = False
        self._streaming = False

    def _get_max_buffered(self):
        if self._budget and self._budget.is_tight and self._status < 300:
            return TIGHT_BUFFERED_BYTES
        return MAX_BUFFERED_BYTES

    def _count(self):
        if self._hold:
            buffered = self._size if self._chunks else 0
            self._hold.set(buffered + self._transport.get_write_buffer_size())

    def _begin_stream(self):
        self._streaming = True
        self._sink.abort_source = self.abort
        if self._hold:
            self._sink.set_source(self)
        waiter, self._waiter = self._waiter, None
        body = b"".join(self._chunks)
        self._chunks = []
        if not waiter.done():
            waiter.set_result(Response(self._status, self._headers, body, True))

    def _complete(self):
        self._is_complete = True
        if self._transport.get_write_buffer_size():
            # The upstream answered before it read the whole request. The rest
            # is still being sent, and it would read the next request as part
            # of this one.
            self.reusable = False
        if self._streaming:
            sink, self._sink = self._sink, None
            sink.finish()
            if self._hold:
                # It may be paused, and then would not notice a close.
                self.close()
            return
        waiter, self._waiter = self._waiter, None
        self._sink = None
        if waiter is None or waiter.done():
            return
        if self._id_header and not self._has_request_id:
            self.reusable = False
            waiter.set_exception(
                UpstreamError(UpstreamFailure.GARBAGE, "no request id")
            )
            return
        body = b"".join(self._chunks)
        self._chunks = []
        self._count()
        waiter.set_result(Response(self._status, self._headers, body, False))

    def _fail_as_garbage(self, detail):
        self._fail(UpstreamFailure.GARBAGE, detail)
        self._chunks = []
        self.abort()

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
    """Idle connections by upstream; the most recently used is reused first.

    New connections are counted in ``counters``, if given, and the bytes that
    they hold in ``held_bytes``.
    """

    def __init__(
        self,
        id_header,
        counters=None,
        held_bytes=None,
        user_timeout_ms=USER_TIMEOUT_MS,
    ):
        self._id_header = id_header
        self._user_timeout_ms = user_timeout_ms
        self._counters = counters
        self._held_bytes = held_bytes
        self._loop = asyncio.get_running_loop()
        self._idle_by_upstream = {}

    def take(self, upstream, is_idempotent, request_id=b""):
        """Return a reusable idle connection, or ``None``.

        It has not sent the request of this id before.
        """
        idle = self._idle_by_upstream.get(upstream)
        max_idle_s = DEFAULT_IDLE_S * 10 if is_idempotent else UNSAFE_IDLE_S
        skipped = []
        taken = None
        while idle and taken is None:
            connection = idle.pop()
            if not connection.can_reuse(self._loop.time(), max_idle_s):
                connection.close()
            elif connection.has_sent(request_id):
                skipped.append(connection)
            else:
                taken = connection
        if skipped:
            idle.extend(reversed(skipped))
        return taken

    async def connect(self, upstream, address, timeout_s):
        """Open a connection.

        Raises ``UpstreamError`` with ``UpstreamFailure.CONNECT``.
        """
        if self._counters:
            self._counters.add("upstream_connections")
        budget = self._held_bytes.budget if self._held_bytes else None
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await self._loop.create_connection(
                    lambda: UpstreamConnection(
                        self._id_header, budget, self._user_timeout_ms
                    ),
                    *address,
                )
        except (OSError, TimeoutError) as error:
            raise UpstreamError(UpstreamFailure.CONNECT, repr(error)) from None
        return connection

    def give_back(self, upstream, connection):
        """Return a connection to the pool after a complete response."""
        if not connection.reusable or not connection.is_open:
            connection.close()
            return
        connection.idle_since = self._loop.time()
        idle = self._idle_by_upstream.setdefault(upstream, deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.popleft().close()

    def forget(self, upstream):
        """Close all idle connections to an upstream."""
        for connection in self._idle_by_upstream.pop(upstream, ()):
            connection.close()

    def trim(self):
        """Close connections that have been idle for too long."""
        now = self._loop.time()
        for idle in self._idle_by_upstream.values():
            while idle and not idle[0].can_reuse(now, DEFAULT_IDLE_S * 10):
                idle.popleft().close()

    def close(self):
        """Close every idle connection."""
        for upstream in list(self._idle_by_upstream):
            self.forget(upstream)
