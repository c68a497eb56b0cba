"""An HTTP request of a caller and its response, as they are processed."""

from godwitlanding.base.headers import HOP_BY_HOP

# A deadline of more digits, 30 years in milliseconds, is taken for none.
# Beyond 300 digits it is not a finite number of seconds.
MAX_DEADLINE_DIGITS = 12
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
    """A request, and the bytes of its response that are not written yet.

    A connection writes responses in request order; ``out`` buffers bytes until
    all earlier responses are complete. ``gone`` is set when the caller has
    disconnected, and ``on_gone`` is called then. ``answered`` is set when the
    response has begun, ``done`` when it has ended. ``hold`` counts the body,
    if bytes are counted, and ``on_drained`` is called once when
    ``is_backed_up`` may no longer apply.
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
        "hold",
        "on_drained",
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
        self.hold = None
        self.on_drained = None

    def get_header(self, name):
        """Return the first value of a header, empty if there is none."""
        for header, value in self.headers:
            if header == name:
                return value
        return b""

    def get_host_name(self):
        """Return the host that the request names, in lower case, as text."""
        host = self.get_header(b"host").decode("latin-1")
        return host.lower().partition(":")[0]

    def get_deadline_s(self, name, default_s):
        """Return the caller's deadline in seconds, from the header ``name``.

        A header that is missing or no usable number stands for ``default_s``.
        """
        value = self.get_header(name)
        if value.isdigit() and len(value) <= MAX_DEADLINE_DIGITS:
            return int(value) / 1000
        return default_s

    def get_headers(self, name):
        """Return all values of a header."""
        return [value for header, value in self.headers if header == name]

    def respond(self, status, headers, body):
        """Send a complete response; ``headers`` are pairs of bytes."""
        self.begin_response(status, [*headers, (b"content-length", b"%d" % len(body))])
        self.write(body)
        self.finish()

    def begin_response(self, status, headers):
        """Send status line and headers, which include the body's framing."""
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
        """Append bytes to the response, unless the caller has disconnected."""
        if data and not self.gone:
            self.out.append(data)
            self.connection.flush()

    def is_backed_up(self):
        """Return whether much of the response has not been sent yet."""
        return self.connection.is_backed_up(self)

    def finish(self):
        """Mark the response as complete."""
        self.done = True
        self.connection.flush()

    def abort(self):
        """Reset the connection, so that no partial response looks complete."""
        self.done = True
        self.connection.reset()


def select_headers(headers, dropped=frozenset()):
    """Return the end-to-end headers, without hop-by-hop and dropped ones."""
    connection_tokens = frozenset()
    for name, value in headers:
        if name == b"connection":
            connection_tokens |= {token.strip().lower() for token in value.split(b",")}
    return [
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP
        and name not in connection_tokens
        and name not in dropped
    ]
