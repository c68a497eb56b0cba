"""The connections of callers: HTTP/1.1, several requests at a time.

uvicorn serves one request of a connection after the other and stops reading
meanwhile. Callers send further requests before the first is answered: one
after the other each would wait for all before it, and while nothing is read
a caller that leaves is not noticed and its work goes on. So this protocol
parses with the same library (httptools), hands each request on as soon as
it is whole, and writes the answers in order.
"""

import asyncio
import socket

import httptools

from godwitlanding.gateway.exchange import Exchange

# Requests of one connection that may be in progress at once; callers here
# send a handful. More are left unread.
MAX_PIPELINED = 32
# A caller that takes no bytes of its answers is cut at this many unread.
MAX_UNREAD_BYTES = 8 << 20
# After the last answer the caller gets this long to end its side: closing
# with bytes unread would reset the connection and destroy the answer on its
# way.
LINGER_S = 1.0
# A caller whose machine is gone is noticed after KEEPALIVE_IDLE_S plus
# KEEPALIVE_COUNT times the interval, where nothing else is sent to it.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# Callers hear of a shorter idle time later than this VM does and reuse
# connections by the older one for as long as a change may take, and a bit.
IDLE_GRACE_S = 5.0


def set_keepalive(transport, user_timeout_ms=0):
    """Let the kernel notice a peer that is silent without a reset."""
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
    if user_timeout_ms:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


# The colon, the blank and the end of a header's line.
_HEADER_LINE_EXTRA_BYTES = 4


class CallerConnection(asyncio.Protocol):
    """Reads requests and writes answers in their order.

    ``front`` starts the work of an ``Exchange`` and tells limits and
    whether the process is stopping.
    """

    def __init__(self, front):
        self._front = front
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport = None
        self._exchanges = []
        self._reading = None
        self._in_header = False
        self._header_bytes = 0
        self._unread_header_bytes = 0
        self._closing = False
        self._paused = False
        self._requests = 0
        self._timer = None
        self._quiet_since = self._loop.time()

    def connection_made(self, transport):
        self._transport = transport
        set_keepalive(transport)
        self._front.add(self)
        self._set_timer()

    def data_received(self, data):
        if self._closing:
            return
        if self._reading is None:
            self._quiet_since = self._loop.time()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._closing:
                self._refuse_rest(400, repr(error))
            return
        if self._in_header:
            # A single line may go on for ever without being handed on.
            self._unread_header_bytes += len(data)
            self._check_header(self._unread_header_bytes)

    def eof_received(self):
        return False

    def connection_lost(self, error):
        self._closing = True
        if self._timer:
            self._timer.cancel()
        self._front.remove(self)
        for exchange in self._exchanges:
            self._leave(exchange)
        self._exchanges.clear()
        if self._reading:
            self._leave(self._reading)

    # What httptools calls while it reads.

    def on_message_begin(self):
        if self._closing:
            return
        self._reading = Exchange(self, self._loop.time())
        self._in_header = True
        self._header_bytes = 0
        self._unread_header_bytes = 0

    def on_url(self, url):
        if self._closing:
            return
        self._reading.target += url
        self._check_header(len(self._reading.target))

    def on_header(self, name, value):
        # What stands behind a body is no header: as one, it could bring a
        # second key or request id past those that were looked at.
        if self._closing or not self._in_header:
            return
        self._reading.headers.append((name.lower(), value))
        self._header_bytes += len(name) + len(value) + _HEADER_LINE_EXTRA_BYTES
        self._check_header(self._header_bytes)

    def on_headers_complete(self):
        exchange = self._reading
        self._in_header = False
        if self._closing:
            return
        exchange.method = self._parser.get_method()
        exchange.keep_alive = self._parser.should_keep_alive()
        length = exchange.get_header(b"content-length")
        if length.isdigit() and int(length) > self._front.limits.max_body_bytes:
            self._refuse_rest(413, "the body is too large")
        elif exchange.get_header(b"expect").lower() == b"100-continue":
            if not self._exchanges:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data):
        if self._closing:
            return
        body = self._reading.body
        body += data
        if len(body) > self._front.limits.max_body_bytes:
            self._refuse_rest(413, "the body is too large")

    def on_message_complete(self):
        exchange = self._reading
        self._reading = None
        if self._closing or exchange is None:
            return
        self._requests += 1
        self._exchanges.append(exchange)
        if len(self._exchanges) >= MAX_PIPELINED and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._front.take(exchange)

    # What exchanges call while they are answered.

    def must_close_after(self, exchange):
        """Tell whether the connection ends with this answer."""
        return self._closing or not exchange.keep_alive or self._front.closes

    def flush(self):
        """Write what may be written, in the order of the requests."""
        while self._exchanges:
            first = self._exchanges[0]
            if first.out:
                self._transport.writelines(first.out)
                first.out.clear()
            if not first.done:
                break
            self._exchanges.pop(0)
            self._quiet_since = self._loop.time()
            if not first.keep_alive:
                self._end()
                break
        if self._transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.reset()
        if self._paused and len(self._exchanges) < MAX_PIPELINED // 2:
            self._paused = False
            self._transport.resume_reading()

    def reset(self):
        """Cut the connection so that no answer on it can look complete."""
        self._transport.abort()

    def end_if_idle(self):
        """Close a connection on which nothing is in progress."""
        if not self._exchanges and self._reading is None and not self._closing:
            self._end()

    def _end(self):
        self._closing = True
        for exchange in self._exchanges:
            self._leave(exchange)
        self._exchanges.clear()
        if self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._transport.close)

    def _check_header(self, size):
        if size > self._front.limits.max_header_bytes and not self._closing:
            self._refuse_rest(431, "the header is too large")

    def _refuse_rest(self, status, reason):
        # The bytes that follow cannot be told apart from this request's, so
        # the connection ends with this answer.
        exchange = self._reading or Exchange(self, self._loop.time())
        self._reading = None
        exchange.keep_alive = False
        self._exchanges.append(exchange)
        self._front.note_unreadable(exchange, status, reason)
        exchange.answer(status, [(b"cache-control", b"no-store")], b"")
        self._closing = True

    def _leave(self, exchange):
        if exchange.gone or exchange.done:
            return
        exchange.gone = True
        if exchange.on_gone:
            exchange.on_gone()

    def _set_timer(self):
        self._timer = self._loop.call_later(self._get_check_s(), self._check)

    def _get_check_s(self):
        return min(1.0, self._front.limits.header_timeout_s / 2)

    def _check(self):
        if self._closing:
            return
        self._set_timer()
        quiet_s = self._loop.time() - self._quiet_since
        if self._reading is not None:
            begun_s = self._loop.time() - self._reading.begun_at
            if self._in_header and begun_s > self._front.limits.header_timeout_s:
                self._refuse_rest(408, "the header did not arrive in time")
        elif not self._exchanges and quiet_s > self._front.get_idle_s():
            self._end()
