"""What a request asks an upstream stand-in to do, and how it is cut."""

import asyncio
from urllib.parse import parse_qs


class Cut(Exception):
    """The peer has gone or the upstream has crashed."""


class Expired(Exception):
    """The request's deadline has passed."""


class Work:
    """One request, as its path's query and headers describe it."""

    def __init__(self, scope):
        self.ended = False
        self.method = scope["method"]
        self.transport = scope["state"]["transport"]
        self._header_by_name = {k.decode(): v.decode() for k, v in scope["headers"]}
        query = parse_qs(scope["query_string"].decode())
        self._query = {name: values[0] for name, values in query.items()}
        self.id = self._query.get("id", "")
        self.key = self._header_by_name.get("idempotency-key", "")
        self.request_id = self._header_by_name.get("request-id", "")
        self.is_poison = "poison" in self._query
        self.bundle = self._query.get("bundle", "")
        self.size_bytes = int(self._query.get("bytes", 200_000))
        self.chunk_s = float(self._query.get("chunk_ms", 0)) / 1000
        work_ms = self._query.get("ms")
        self.work_s = float(work_ms) / 1000 if work_ms is not None else None
        deadline = self._header_by_name.get("request-deadline")
        self.deadline_s = float(deadline) if deadline else None

    def read_range_start(self, etag):
        """Return where an open range starts, ``None`` for the whole."""
        wanted = self._header_by_name.get("range", "")
        if_range = self._header_by_name.get("if-range", etag)
        number = wanted.removeprefix("bytes=").removesuffix("-")
        return int(number) if number.isdecimal() and if_range == etag else None


async def read_body(receive):
    """Read the request to its end; ``Cut`` where it breaks off."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise Cut
        if not message.get("more_body"):
            return


async def wait_until_gone(receive):
    """Return when the peer has closed the connection."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def sleep_unless(gone, seconds):
    """Sleep; ``Cut`` as soon as the task ``gone`` has ended."""
    if seconds > 0:
        await asyncio.wait([gone], timeout=seconds)
    if gone.done():
        raise Cut
