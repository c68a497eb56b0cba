"""Reads a request's body and detects that its caller has disconnected."""

import asyncio

# Parts of a body that are queued for the upstream; each is one read of the
# connection, about 64 KB at most.
_MAX_QUEUED_PARTS = 4
_END = None


class RequestReader:
    """Reads a request's body and watches its connection.

    ``receive`` is the ASGI callable. After ``read_beginning``, ``watch``
    cancels the task that serves the request as soon as the caller has
    disconnected (``is_gone``) or sent more than ``limit_bytes``
    (``is_too_large``).
    """

    def __init__(self, receive, limit_bytes):
        self.is_gone = False
        self.is_too_large = False
        self._receive = receive
        self._remaining_bytes = limit_bytes
        self._is_complete = False
        self._parts = None
        self._task = None

    async def read_beginning(self, buffer_bytes):
        """Return the body, or more than ``buffer_bytes`` of a longer one.

        Stops early if the caller disconnects or the body is too large.
        """
        first = await self._read_part()
        if self._is_complete or self.is_gone or self.is_too_large:
            return first
        parts = [first]
        size = len(first)
        while size <= buffer_bytes and not self._has_ended():
            parts.append(await self._read_part())
            size += len(parts[-1])
        return b"".join(parts)

    def watch(self, task):
        """Start to watch; return an async iterator over the rest of the body.

        Returns ``None`` if the whole body has been read.
        """
        rest = None
        if not self._is_complete:
            self._parts = asyncio.Queue(_MAX_QUEUED_PARTS)
            rest = self._iterate()
        self._task = asyncio.ensure_future(self._watch(task))
        return rest

    def end(self):
        """Stop watching."""
        if self._task:
            self._task.cancel()

    def _has_ended(self):
        return self._is_complete or self.is_gone or self.is_too_large

    async def _read_part(self):
        message = await self._receive()
        if message["type"] == "http.disconnect":
            self.is_gone = True
            return b""
        body = message.get("body", b"")
        self._remaining_bytes -= len(body)
        self.is_too_large = self._remaining_bytes < 0
        self._is_complete = not message.get("more_body", False)
        return body

    async def _watch(self, task):
        while not self._is_complete and not self._has_ended():
            part = await self._read_part()
            if not self._has_ended() or self._is_complete:
                await self._parts.put(part)
        if self._is_complete and not self.is_too_large:
            if self._parts:
                await self._parts.put(_END)
            while (await self._receive())["type"] != "http.disconnect":
                pass
            self.is_gone = True
        task.cancel()

    async def _iterate(self):
        while (part := await self._parts.get()) is not _END:
            yield part
