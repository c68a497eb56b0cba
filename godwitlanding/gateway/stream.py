"""Passes an answer on that is too long to be held until it is whole."""


class StreamSink:
    """Writes an answer to its caller as it comes from the upstream.

    What came before ``begin`` is kept; an answer that fails on the way is
    broken off, so that it cannot look complete.
    """

    def __init__(self, exchange, make_headers):
        self._exchange = exchange
        self._make_headers = make_headers
        self._chunked = False
        self._begun = False
        self._pending = []
        self._end = None

    def begin(self, answer):
        """Write the head and what there is of the body."""
        headers = self._make_headers(answer)
        length = answer.get_header(b"content-length")
        self._chunked = not length
        framing = (b"content-length", length)
        if self._chunked:
            framing = (b"transfer-encoding", b"chunked")
        self._exchange.begin_answer(answer.status, [*headers, framing])
        self._begun = True
        self._write(answer.body)
        for data in self._pending:
            self._write(data)
        self._pending.clear()
        if self._end:
            self._end()

    def write(self, data):
        """Take bytes of the body."""
        if self._begun:
            self._write(data)
        else:
            self._pending.append(data)

    def finish(self):
        """The body is whole."""
        if not self._begun:
            self._end = self.finish
            return
        if self._chunked:
            self._exchange.write(b"0\r\n\r\n")
        self._exchange.finish()

    def fail(self):
        """The upstream broke off."""
        if not self._begun:
            self._end = self.fail
            return
        self._exchange.break_off()

    def _write(self, data):
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._exchange.write(data)
