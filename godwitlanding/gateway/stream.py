"""Streams a response that is too long to buffer to its caller."""

import asyncio

# A response that the upstream has not ended at the caller's deadline is
# finished all the same if this much is stated as its length; a longer one, or
# one of unknown length, may be endless.
MAX_LATE_BYTES = 16 << 20


class StreamSink:
    """Writes a response to its caller as it arrives from the upstream.

    Data that arrives before ``begin`` is buffered. If the upstream fails, the
    caller's connection is reset, so that the response does not look complete.
    """

    def __init__(self, exchange, make_headers):
        self._exchange = exchange
        self._make_headers = make_headers
        self._chunked = False
        self._begun = False
        self._pending = []
        self._end = None
        self._source = None
        self._expiry = None
        # Called when the upstream fails after the response has begun.
        self.on_failed = lambda: None
        # Called when the response has not ended in time.
        self.on_expired = lambda: None
        # Resets the upstream's connection.
        self.abort_source = lambda: None

    def set_source(self, source):
        """Set the upstream's connection, which is paused until ``begin``.

        It is paused again whenever much of the response is unsent, and aborted
        when the caller disconnects.
        """
        self._source = source
        source.pause_reading()

    def begin(self, response, end_at=None):
        """Write status line, headers and the body received so far.

        At ``end_at``, if stated, a response that may be endless is aborted
        unless the upstream has ended it. Nobody waits for it any longer.
        """
        headers = self._make_headers(response)
        length = response.get_header(b"content-length")
        self._chunked = not length
        framing = (b"content-length", length)
        if self._chunked:
            framing = (b"transfer-encoding", b"chunked")
        self._exchange.begin_response(response.status, [*headers, framing])
        self._begun = True
        if end_at is not None and not self._end and _may_be_endless(length):
            loop = asyncio.get_running_loop()
            self._expiry = loop.call_at(end_at, self._expire)
        self._write(response.body)
        for data in self._pending:
            self._write(data)
        self._pending.clear()
        if self._end:
            self._end()
        elif self._source:
            self._exchange.on_gone = self._source.abort
            if self._exchange.gone:
                self._source.abort()
            else:
                self._follow_caller()

    def write(self, data):
        """Write bytes of the body, or buffer them before ``begin``."""
        if self._begun:
            self._write(data)
        else:
            self._pending.append(data)

    def finish(self):
        """End the response; its body is complete."""
        if not self._begun:
            self._end = self.finish
            return
        self._cancel_expiry()
        if self._chunked:
            self._exchange.write(b"0\r\n\r\n")
        self._exchange.finish()

    def fail(self):
        """Abort the response after the upstream failed."""
        if not self._begun:
            self._end = self.fail
            return
        self._cancel_expiry()
        self.on_failed()
        self._exchange.abort()

    def _expire(self):
        if not self._exchange.gone:
            self.on_expired()
            self._exchange.abort()
        self.abort_source()

    def _cancel_expiry(self):
        if self._expiry:
            self._expiry.cancel()
            self._expiry = None

    def _write(self, data):
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._exchange.write(data)
        if self._source and self._exchange.is_backed_up():
            self._source.pause_reading()
            self._exchange.on_drained = self._follow_caller

    def _follow_caller(self):
        """Read on, unless much of what was read is still unsent."""
        if self._exchange.is_backed_up():
            self._exchange.on_drained = self._follow_caller
        else:
            self._source.resume_reading()


def _may_be_endless(length):
    return not length.isdigit() or int(length) > MAX_LATE_BYTES
