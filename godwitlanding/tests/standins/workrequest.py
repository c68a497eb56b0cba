"""Parses requests to a simulated upstream and detects disconnects."""

import asyncio
from urllib.parse import parse_qs


class Interrupted(Exception):
    """The peer has disconnected or the upstream has crashed."""


class DeadlineExceeded(Exception):
    """The deadline of the request has passed."""


class WorkRequest:
    """The work that the query and the headers of a request describe."""

    def __init__(self, scope):
        self.slot_freed = False
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
        """Return the start of an open-ended range, ``None`` if not used."""
        range_header = self._header_by_name.get("range", "")
        if_range = self._header_by_name.get("if-range", etag)
        number = range_header.removeprefix("bytes=").removesuffix("-")
        return int(number) if number.isdecimal() and if_range == etag else None


async def read_body(receive):
    """Read the whole body; raises ``Interrupted`` if the peer disconnects."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise Interrupted
        if not message.get("more_body"):
            return


async def wait_for_disconnect(receive):
    """Wait until the peer closes the connection."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def sleep_unless_disconnected(disconnected, seconds):
    """Sleep; raises ``Interrupted`` once the task ``disconnected`` ends."""
    if seconds > 0:
        await asyncio.wait([disconnected], timeout=seconds)
    if disconnected.done():
        raise Interrupted
