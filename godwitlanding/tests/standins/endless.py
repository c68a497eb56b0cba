"""A server in trouble: each of its answers goes on without end."""

import asyncio

from godwitlanding.tests.standins.listener import reset

_FILLER_BYTES = 1 << 16
_HEAD = (
    b"HTTP/1.1 %b\r\nGodwitlanding-Request-Id: %b\r\n"
    b"Godwitlanding-Response-Signature: proof\r\n"
)
_JUNK = b"x" * _FILLER_BYTES

# What an answer begins with and what is sent again and again after it. The
# head's placeholder is the request's id.
ANSWERS = {
    "no answer": (b"", _JUNK),
    "endless status line": (b"HTTP/1.1 200 ", _JUNK),
    "endless header line": (_HEAD % (b"200 OK", b"%b") + b"X-Long: ", _JUNK),
    "endless header name": (_HEAD % (b"200 OK", b"%b"), _JUNK),
    "endless headers": (_HEAD % (b"200 OK", b"%b"), b"X-More: 1\r\n" * 5000),
    "endless interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "endless trailer": (
        _HEAD % (b"200 OK", b"%b")
        + b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Long: ",
        _JUNK,
    ),
    "endless chunk extension": (
        _HEAD % (b"200 OK", b"%b") + b"Transfer-Encoding: chunked\r\n\r\n4;",
        _JUNK,
    ),
    "endless body": (_HEAD % (b"200 OK", b"%b") + b"\r\n", _JUNK),
    "endless chunks": (
        _HEAD % (b"200 OK", b"%b") + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + _JUNK + b"\r\n",
    ),
    "endless failure": (_HEAD % (b"500 Failed", b"%b") + b"\r\n", _JUNK),
    "endless rejection": (
        _HEAD % (b"503 Busy", b"%b") + b"Godwitlanding-Not-Executed: 1\r\n\r\n",
        _JUNK,
    ),
    "endless answer to another": (
        b"HTTP/1.1 200 OK\r\nGodwitlanding-Request-Id: other\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + _JUNK + b"\r\n",
    ),
}


class EndlessServer:
    """Sends the answer ``ANSWERS[name]`` until the client closes.

    ``sent_bytes`` has the bytes of each connection that were accepted.
    """

    def __init__(self, name, id_header=b"godwitlanding-request-id"):
        self._begin, self._filler = ANSWERS[name]
        self._id_header = id_header
        self.sent_bytes = []
        self._writers = set()
        self._server = None

    async def start(self, host="127.0.0.1", port=0):
        """Start listening; return the server."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    def stop(self):
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            reset(writer.transport)

    async def _serve(self, reader, writer):
        number = len(self.sent_bytes)
        self.sent_bytes.append(0)
        self._writers.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            begin = self._begin
            if b"%b" in begin:
                begin %= self._read_id(head)
            writer.write(begin)
            while True:
                writer.write(self._filler)
                await writer.drain()
                self.sent_bytes[number] += len(self._filler)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _read_id(self, head):
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b": ")
            if name.lower() == self._id_header:
                return value
        return b""
