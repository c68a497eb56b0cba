"""One request of a caller and its answer, between connection and carrier."""

from godwitlanding.base.headers import HOP_BY_HOP

_HOP_BY_HOP = frozenset(name.encode() for name in HOP_BY_HOP)
_REASON_BY_STATUS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class Exchange:
    """A request as it was read, and the bytes of its answer so far.

    Answers are written in the order of the requests: ``out`` holds what may
    not be written yet. ``gone`` is set when the caller has left.
    """

    __slots__ = (
        "connection",
        "method",
        "target",
        "headers",
        "body",
        "begun_at",
        "keep_alive",
        "out",
        "answered",
        "done",
        "gone",
        "on_gone",
    )

    def __init__(self, connection, begun_at):
        self.connection = connection
        self.method = b""
        self.target = b""
        self.headers = []
        self.body = bytearray()
        self.begun_at = begun_at
        self.keep_alive = True
        self.out = []
        self.answered = False
        self.done = False
        self.gone = False
        self.on_gone = None

    def get_header(self, name):
        """Return the first value of a header, empty where there is none."""
        for held, value in self.headers:
            if held == name:
                return value
        return b""

    def get_headers(self, name):
        """Return every value of a header."""
        return [value for held, value in self.headers if held == name]

    def answer(self, status, headers, body):
        """Answer in full; ``headers`` are pairs of bytes."""
        self.begin_answer(status, [*headers, (b"content-length", b"%d" % len(body))])
        self.write(body)
        self.finish()

    def begin_answer(self, status, headers):
        """Write the head; the pairs tell how the body is framed."""
        self.answered = True
        reason = _REASON_BY_STATUS.get(status, b"Status")
        lines = [b"HTTP/1.1 %d %b" % (status, reason)]
        lines.extend(b"%b: %b" % pair for pair in headers)
        if self.connection.must_close_after(self):
            self.keep_alive = False
            lines.append(b"connection: close")
        lines.append(b"\r\n")
        self.write(b"\r\n".join(lines))

    def write(self, data):
        """Add bytes of the answer."""
        if data and not self.gone:
            self.out.append(data)
            self.connection.flush()

    def finish(self):
        """The answer is whole."""
        self.done = True
        self.connection.flush()

    def break_off(self):
        """End an answer that was begun so that it cannot look complete."""
        self.done = True
        self.connection.reset()


def select_headers(headers, dropped=frozenset()):
    """Return the pairs that travel on, without those of one connection."""
    named = frozenset()
    for name, value in headers:
        if name == b"connection":
            named |= {token.strip().lower() for token in value.split(b",")}
    return [
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP and name not in named and name not in dropped
    ]
