"""Where an answer goes: the caller's connection."""

from godwitlanding.headers import REQUEST_ID

_BODILESS_STATUSES = (204, 304)


class Sink:
    """Sends an answer by ASGI and knows how much of it has gone.

    ``resume`` is what a download that breaks off is continued by. An
    answer that is begun and never finished closes the connection, so that
    it cannot look complete.
    """

    def __init__(self, send, request_id):
        self.started = False
        self.finished = False
        self.sent_bytes = 0
        self.resume = None
        self._send = send
        self._request_id = request_id

    async def start(self, status, headers):
        """Send the head of the answer; ``headers`` are pairs of text."""
        self.started = True
        pairs = [
            (name.encode("latin-1"), value.encode("utf-8", "surrogateescape"))
            for name, value in headers
            # The server counts the body against the length and a status
            # without a body has none.
            if status not in _BODILESS_STATUSES or name != "content-length"
        ]
        pairs.append((REQUEST_ID.lower().encode(), self._request_id.encode()))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": pairs}
        )

    async def write(self, chunk):
        """Send a part of the body; waits while the caller reads slowly."""
        self.sent_bytes += len(chunk)
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def finish(self, chunk=b""):
        """Send the last part of the body."""
        self.finished = True
        self.sent_bytes += len(chunk)
        await self._send({"type": "http.response.body", "body": chunk})
