"""HTTP/1.1 server connections of callers, with concurrent pipelined requests.

uvicorn processes the requests of a connection one by one and does not read
meanwhile. Callers here pipeline requests: each would wait for all before it,
and a caller that disconnects would not be noticed while nothing is read, so
its requests would keep running. This protocol uses the same parser
(httptools), starts each request as soon as it has been read completely, and
writes the responses in request order.
"""

import asyncio
import socket

import httptools

from godwitlanding.gateway.bodyintake import MAX_DROP_S, BodyIntake
from godwitlanding.gateway.exchange import Exchange
from godwitlanding.gateway.unread import (
    SOCKET_BUFFER_BYTES,
    STREAM_BUFFER_BYTES,
    UNREAD_S,
    UnreadOutput,
)

# Requests of one connection that may be in progress at once; callers here
# send a few. Reading pauses at this number.
MAX_PIPELINED = 32
# A connection is reset when its write buffer exceeds this size because the
# caller does not read its responses.
MAX_WRITE_BUFFER_BYTES = 8 << 20
# Time for the caller to close its side after the last response. Closing a
# socket with unread bytes resets the connection, which can discard the
# response while it is in transit.
LINGER_S = 1.0
# A caller whose host has vanished is detected after KEEPALIVE_IDLE_S plus
# KEEPALIVE_COUNT intervals if nothing else is sent to it.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# Time for a caller's next request to arrive on a connection. Callers allow a
# new connection one second to be established.
REQUEST_ARRIVAL_S = 1.0
# Callers learn of a shorter idle timeout later than this VM does. The longer
# one stays in force for the maximum propagation delay plus a margin.
IDLE_GRACE_S = 5.0


def set_keepalive(transport):
    """Enable TCP keep-alive to detect a peer that vanishes without a reset."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
    )
    for level, name, value in options:
        sock.setsockopt(level, name, value)


def set_user_timeout(transport, timeout_ms):
    """End the connection when sent data stays unacknowledged; 0: never."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def set_buffer_sizes(transport):
    """Bound the socket's buffers, and report when all output is sent."""
    transport.set_write_buffer_limits(high=0, low=0)
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)


# The colon, the space and the line end of a header line.
_HEADER_LINE_OVERHEAD_BYTES = 4


def get_framing(exchange):
    """Return the header that frames the body, ``None`` without a body."""
    for name in (b"transfer-encoding", b"content-length"):
        value = exchange.get_header(name)
        if value:
            return name, value
    return None


class CallerConnection(asyncio.Protocol):
    """Reads requests and writes their responses in request order.

    ``front`` processes each ``Exchange``, holds the limits, and tells
    whether connections are to be closed after the next response. Its
    ``held_bytes`` may be ``None``; otherwise, and if it has a budget, the
    connection counts and bounds the bytes that it holds.
    """

    def __init__(self, front):
        self._front = front
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport = None
        self._exchanges = []
        self._reading = None
        # Whether the parser is given the framing of a body once more.
        self._resumes_body = False
        self._in_header = False
        self._header_bytes = 0
        # Whether the data being parsed has no part of a body.
        self._is_framing = True
        # Received since the last part of a body, or since the request began.
        self._framing_bytes = 0
        self._closing = False
        self._is_new = True
        self._pauses = set()
        self._timer = None
        self._idle_since = self._loop.time()
        self._intake = None
        self._output = None
        self._written = 0

    def connection_made(self, transport):
        self._transport = transport
        set_keepalive(transport)
        held = self._front.held_bytes
        if held and held.budget:
            set_buffer_sizes(transport)
            self._intake = BodyIntake(self, held, self._front)
            self._output = UnreadOutput(held.budget, self._loop.time())
        self._front.add(self)
        self._set_timer()

    def data_received(self, data):
        if self._closing:
            return
        if self._reading is None:
            self._idle_since = self._loop.time()
        try:
            self._parse(data)
        except httptools.HttpParserError as error:
            if not self._closing:
                self.refuse_and_close(400, repr(error))
            return
        if self._reading and self._is_framing:
            # The parser reports a line of the header, or of the trailer, only
            # when it is complete, so an endless line is limited here.
            self._framing_bytes += len(data)
            self._check_header(self._framing_bytes)
        self._is_framing = True

    def _parse(self, data):
        while data:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                (parsed_bytes,) = upgrade.args
                data = data[parsed_bytes:]
                self._replace_parser()

    def _replace_parser(self):
        """Go on after a request that asks for another protocol.

        The parser takes what follows its header for that protocol. None is
        offered, so it is the body of the request, or the next request.
        """
        self._parser = httptools.HttpRequestParser(self)
        if self._reading:
            framing = get_framing(self._reading)
            self._resumes_body = True
            self._parser.feed_data(b"POST / HTTP/1.1\r\n%b: %b\r\n\r\n" % framing)
            self._resumes_body = False

    def eof_received(self):
        return False

    def connection_lost(self, error):
        self._closing = True
        if self._timer:
            self._timer.cancel()
        self._front.remove(self)
        for exchange in self._exchanges:
            self._abandon(exchange)
        self._exchanges.clear()
        if self._reading:
            self._abandon(self._reading)
        if self._intake:
            self._intake.end()
            self._output.release()

    def resume_writing(self):
        # Called when everything is sent if bytes are counted. A response
        # may be streamed while no further requests are taken.
        if self._output:
            self.flush()

    # Callbacks of the httptools parser.

    def on_message_begin(self):
        if self._closing or self._resumes_body:
            return
        self._reading = Exchange(self, self._loop.time())
        self._is_new = False
        self._in_header = True
        self._is_framing = True
        self._header_bytes = 0
        self._framing_bytes = 0

    def on_url(self, url):
        if self._closing or self._resumes_body:
            return
        self._reading.target += url
        self._check_header(len(self._reading.target))

    def on_header(self, name, value):
        # Trailer fields after the body are ignored. Treated as headers, they
        # could add a second API key or request id after the check.
        if self._closing or not self._in_header:
            return
        self._reading.headers.append((name.lower(), value))
        self._header_bytes += len(name) + len(value) + _HEADER_LINE_OVERHEAD_BYTES
        self._check_header(self._header_bytes)

    def on_headers_complete(self):
        if self._resumes_body:
            return
        exchange = self._reading
        self._in_header = False
        self._is_framing = False
        self._framing_bytes = 0
        if self._closing:
            return
        exchange.method = self._parser.get_method()
        exchange.keep_alive = self._parser.should_keep_alive()
        length = exchange.get_header(b"content-length")
        if length.isdigit() and int(length) > self._front.limits.max_body_bytes:
            self.refuse_and_close(413, "the body is too large")
        elif self._intake:
            self._intake.begin(exchange)
        else:
            self.send_continue(exchange)

    def on_body(self, data):
        self._is_framing = False
        self._framing_bytes = 0
        if self._closing:
            return
        if self._intake:
            self._intake.receive(data)
        else:
            self._reading.body += data
        if len(self._reading.body) > self._front.limits.max_body_bytes:
            self.refuse_and_close(413, "the body is too large")

    def on_message_complete(self):
        exchange = self._reading
        if exchange and self._parser.should_upgrade() and get_framing(exchange):
            # Its body follows.
            return
        self._reading = None
        if self._closing or exchange is None:
            return
        if self._intake and not self._intake.complete():
            return
        self._exchanges.append(exchange)
        if len(self._exchanges) >= MAX_PIPELINED:
            self.pause_reading(self)
        self._front.take(exchange)

    # Called by exchanges while they are answered.

    def must_close_after(self, exchange):
        """Return whether the connection closes after this response."""
        if self._exchanges and (self._closing or self._front.close_after_response):
            # Later requests may have been handed on and get their responses.
            self.close_after_responses()
        return not exchange.keep_alive

    def flush(self):
        """Write the responses that are due, in request order."""
        while self._exchanges:
            first = self._exchanges[0]
            if first.out:
                if self._output:
                    self._written += sum(map(len, first.out))
                self._transport.writelines(first.out)
                first.out.clear()
            if not first.done:
                break
            self._exchanges.pop(0)
            self._idle_since = self._loop.time()
            if not first.keep_alive:
                self.close_gracefully()
                break
        if self._transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            self.reset()
        if len(self._exchanges) < MAX_PIPELINED // 2:
            self.resume_reading(self)
        if self._output:
            self._count_output()
            self._resume_stream()

    def is_backed_up(self, exchange):
        """Return whether much of the exchange's response is not sent yet."""
        unsent_bytes = self._transport.get_write_buffer_size()
        return unsent_bytes + sum(map(len, exchange.out)) > STREAM_BUFFER_BYTES

    def pause_reading(self, reason):
        """Stop to read until each reason to pause is gone."""
        if not self._pauses:
            self._transport.pause_reading()
        self._pauses.add(reason)

    def resume_reading(self, reason):
        """Remove a reason to pause, if it was one."""
        if reason in self._pauses:
            self._pauses.discard(reason)
            if not self._pauses:
                self._transport.resume_reading()

    def send_continue(self, exchange):
        """Tell a caller that waits for it to send the body."""
        if exchange.get_header(b"expect").lower() == b"100-continue":
            if not self._exchanges:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def refuse_unread(self, exchange, code, retry_after_s):
        """Refuse a request of which the body has not been read."""
        self._exchanges.append(exchange)
        if not exchange.keep_alive:
            self._closing = True
        self._front.refuse_unread(exchange, code, retry_after_s)

    def reset(self):
        """Reset the connection, so that no partial response looks complete."""
        self._transport.abort()

    def awaits_first_request(self):
        """Return whether a first request may be in transit."""
        is_open = self._is_new and not self._closing
        return is_open and self._get_idle_s() < REQUEST_ARRIVAL_S

    def close_if_idle(self):
        """Close the connection if no request is in progress or in transit.

        A caller whose request crosses the close of its connection does not
        know whether it ran.
        """
        if self._get_idle_s() >= REQUEST_ARRIVAL_S:
            self.close_if_unused()

    def close_if_unused(self):
        """Close the connection if no request is in progress."""
        if self._is_unused():
            self.close_gracefully()

    def _get_idle_s(self):
        return self._loop.time() - self._idle_since

    def _is_unused(self):
        return not self._exchanges and self._reading is None and not self._closing

    def is_busy(self):
        """Return whether a response, or a counted body, is under way."""
        if self._exchanges or self._transport.get_write_buffer_size():
            return True
        return bool(self._intake and self._intake.is_reading())

    def get_unanswered(self):
        """Return the requests that were read and have no complete response."""
        return [exchange for exchange in self._exchanges if not exchange.done]

    def close_after_responses(self):
        """Take no further requests; close when those taken are answered."""
        self._closing = True
        if self._exchanges:
            self._exchanges[-1].keep_alive = False
        else:
            self.close_gracefully()

    def close_gracefully(self):
        """Close after what is written; data that still arrives is dropped."""
        self._closing = True
        linger_s = LINGER_S
        if self._intake:
            if self._intake.is_dropping:
                linger_s = MAX_DROP_S
            self._intake.end()
        for exchange in self._exchanges:
            self._abandon(exchange)
        self._exchanges.clear()
        if self._transport.is_closing():
            return
        if self._pauses:
            # Closing a socket with unread bytes would reset the connection.
            self._pauses.clear()
            self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(linger_s, self._transport.close)

    def _check_header(self, size):
        if size > self._front.limits.max_header_bytes and not self._closing:
            self.refuse_and_close(431, "the header is too large")

    def refuse_and_close(self, status, reason):
        if self._intake and self._intake.is_dropping:
            # This request has been refused already.
            self.close_after_responses()
            return
        # The start of the next request cannot be found in the remaining bytes,
        # so the connection closes after this response.
        exchange = self._reading or Exchange(self, self._loop.time())
        self._reading = None
        if self._intake:
            self._intake.end()
        exchange.keep_alive = False
        self._exchanges.append(exchange)
        self._front.note_unreadable(exchange, status, reason)
        exchange.respond(status, [(b"cache-control", b"no-store")], b"")
        self._closing = True

    def _abandon(self, exchange):
        if exchange.gone or exchange.done:
            return
        exchange.gone = True
        if exchange.on_gone:
            exchange.on_gone()

    def _set_timer(self):
        self._timer = self._loop.call_later(
            self._get_check_interval_s(), self._check_timeouts
        )

    def _get_check_interval_s(self):
        return min(1.0, self._front.limits.header_timeout_s / 2)

    def _count_output(self):
        unwritten = sum(len(data) for other in self._exchanges for data in other.out)
        self._output.update(unwritten + self._transport.get_write_buffer_size())

    def _resume_stream(self):
        if not self._exchanges:
            return
        first = self._exchanges[0]
        if first.on_drained and not self._transport.get_write_buffer_size():
            on_drained, first.on_drained = first.on_drained, None
            on_drained()

    def _check_unread(self):
        """Reset the connection if its caller does not read its responses."""
        self._count_output()
        unsent_bytes = self._transport.get_write_buffer_size()
        unread_s = self._output.get_unread_s(
            self._written - unsent_bytes, unsent_bytes, self._loop.time()
        )
        if unread_s > UNREAD_S:
            self._front.held_bytes.note_unread(self._output.held_bytes, unread_s)
            self.reset()

    def _check_timeouts(self):
        if self._output:
            self._check_unread()
            self._intake.check_stalled(self._loop.time())
        if self._closing:
            if self._output:
                # What is written is kept until the caller has read it.
                self._set_timer()
            return
        self._set_timer()
        if self._reading is not None:
            reading_s = self._loop.time() - self._reading.begun_at
            if self._in_header and reading_s > self._front.limits.header_timeout_s:
                self.refuse_and_close(408, "the header did not arrive in time")
        elif not self._exchanges and self._get_idle_s() > self._front.get_idle_s():
            self.close_gracefully()
