"""Writes responses to the caller's connection."""

from godwitlanding.base.headers import REPLAYED, REQUEST_ID
from godwitlanding.daemons.journalformat import RECORDED_BODY_BYTES, Outcome

_RECORDED_HEADERS = frozenset(("content-type", "content-language", "location", "etag"))
_BODILESS_STATUSES = (204, 304)


CLOSE = (b"connection", b"close")


class ResponseWriter:
    """Sends a response by ASGI and counts the bytes sent.

    ``is_closing`` tells whether the process is leaving; the response then
    closes the connection, which otherwise could be closed during a later
    request. ``resume`` is the ``ResumePoint`` of a download. A response that
    is started but not finished closes the connection, so that it can't look
    complete.
    """

    def __init__(self, send, request_id, is_closing=lambda: False):
        self._is_closing = is_closing
        self.started = False
        self.finished = False
        self.sent_bytes = 0
        self.resume = None
        self._send = send
        self._request_id = request_id

    async def start(self, status, headers):
        """Send status and headers; ``headers`` are pairs of strings."""
        self.started = True
        pairs = [
            (name.encode("latin-1"), value.encode("utf-8", "surrogateescape"))
            for name, value in headers
            # The server compares the body with the length, and responses
            # with these statuses have no body.
            if status not in _BODILESS_STATUSES or name != "content-length"
        ]
        pairs.append((REQUEST_ID.lower().encode(), self._request_id.encode()))
        if self._is_closing():
            pairs.append(CLOSE)
        await self._send(
            {"type": "http.response.start", "status": status, "headers": pairs}
        )

    async def write(self, chunk):
        """Send a part of the body; waits if the caller reads slowly."""
        self.sent_bytes += len(chunk)
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def finish(self, chunk=b""):
        """Send the last part of the body."""
        self.finished = True
        self.sent_bytes += len(chunk)
        await self._send({"type": "http.response.body", "body": chunk})


class ResponseRecorder:
    """Buffers the response to non-idempotent work.

    The work continues after its caller has disconnected, and a slow caller
    must not occupy the slot. The response is therefore buffered and sent at
    the end. Only one over ``MAX_BUFFERED_BYTES`` is streamed.
    """

    MAX_BUFFERED_BYTES = 1_000_000

    def __init__(self, sink):
        self.started = False
        self.finished = False
        self.sent_bytes = 0
        self.resume = None
        self._sink = sink
        self._status = 0
        self._headers = []
        self._parts = []
        self._is_streaming = False

    async def start(self, status, headers):
        """Buffer status and headers."""
        self.started = True
        self._status = status
        self._headers = headers

    async def write(self, chunk):
        """Buffer a part of the body, or stream it if too much is buffered."""
        self.sent_bytes += len(chunk)
        self._parts.append(chunk)
        if self._is_streaming or self.sent_bytes > self.MAX_BUFFERED_BYTES:
            await self._stream()

    async def finish(self, chunk=b""):
        """Buffer the last part of the body."""
        self.sent_bytes += len(chunk)
        self._parts.append(chunk)
        self.finished = True

    def make_outcome(self):
        """Return the ``Outcome`` to record."""
        headers = tuple(
            (name, value) for name, value in self._headers if name in _RECORDED_HEADERS
        )
        is_small = self.sent_bytes <= RECORDED_BODY_BYTES
        body = b"".join(self._parts) if is_small else None
        return Outcome(self._status, headers, body)

    async def deliver(self):
        """Send the caller the rest of a complete response."""
        if self.finished and not self._is_streaming:
            await self._sink.start(self._status, self._headers)
        if self.finished:
            await self._sink.finish(b"".join(self._parts))

    async def _stream(self):
        if not self._is_streaming:
            self._is_streaming = True
            await self._sink.start(self._status, self._headers)
        await self._sink.write(b"".join(self._parts))
        self._parts.clear()


async def replay(outcome, sink):
    """Send a caller the recorded response to its ticket."""
    headers = [*outcome.headers, ("content-length", str(len(outcome.body)))]
    await sink.start(outcome.status, [*headers, (REPLAYED.lower(), "1")])
    await sink.finish(outcome.body)
