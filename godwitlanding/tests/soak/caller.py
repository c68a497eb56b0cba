"""Simulated callers with persistent connections that record each request."""

import asyncio
import itertools
import re
from typing import NamedTuple

CONNECT_TIMEOUT_S = 1.0
# A caller waits this long beyond its deadline before it records ``silent``.
EXTRA_WAIT_S = 1.5
DEADLINE_S = 2.0
NO_RESPONSE = 0
_STATUS = re.compile(rb"HTTP/1\.1 (\d{3})")


class RequestRecord(NamedTuple):
    """A request and its result as the caller saw it.

    ``status`` is 0 if there was no complete response. ``detail`` is then
    ``refused`` (no connection), ``closed`` (closed before the first byte of
    the response), ``broken`` (closed within the response) or ``silent`` (no
    response in time). It is ``foreign`` if the response belongs to another
    request or is a 200 without the upstream's signature. Times are on the
    loop's clock.
    """

    request_id: str
    workspace: str
    vm: str
    path: str
    unsafe: bool
    sent_at: float
    ended_at: float
    status: int
    detail: str
    body: bytes
    retry_after: bool


class Caller:
    """Sends requests one after the other to VMs from the directory.

    It keeps its connection even if the directory no longer lists the VM. It
    opens another one if a request gets no response, or after a response with
    ``Connection: close``.
    """

    _numbers = itertools.count(1)

    def __init__(self, name, workspace, key, resolve, connect, on_complete):
        self._name = name
        self._workspace = workspace
        self._key = key
        self._resolve = resolve
        self._connect = connect
        self._on_complete = on_complete
        self._streams = None
        self._vm = ""
        self._has_response_head = False

    async def run(self, rng, pause_s):
        """Send requests until cancelled."""
        try:
            while True:
                await self.send_request(rng.random() < 0.4, rng.randrange(40))
                await asyncio.sleep(pause_s * rng.uniform(0.5, 1.5))
        finally:
            self._close()

    async def send_request(self, unsafe, number):
        """Send one request; record and return its result."""
        request_id = f"{self._name}-{next(self._numbers)}"
        path = f"/{'pay' if unsafe else 'look'}/{number}"
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        status, detail, body, retry_after = NO_RESPONSE, "refused", b"", False
        try:
            async with asyncio.timeout(DEADLINE_S + EXTRA_WAIT_S):
                if await self._open():
                    detail = "closed"
                    self._send(request_id, path, unsafe)
                    status, detail, body, retry_after = await self._read(request_id)
        except TimeoutError:
            detail = "silent"
        except (OSError, asyncio.IncompleteReadError) as error:
            if self._has_response_head or getattr(error, "partial", b""):
                detail = "broken"
        if not status:
            self._close()
        record = RequestRecord(
            request_id,
            self._workspace,
            self._vm,
            path,
            unsafe,
            sent_at,
            loop.time(),
            status,
            detail,
            body,
            retry_after,
        )
        self._on_complete(record)
        return record

    async def _open(self):
        if self._streams:
            return True
        self._vm = await self._resolve()
        if not self._vm:
            return False
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self._streams = await self._connect(self._vm)
        return True

    def _send(self, request_id, path, unsafe):
        body = b"amount=1" if unsafe else b""
        method = "POST" if unsafe else "GET"
        self._has_response_head = False
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: h\r\n"
            f"Godwitlanding-Request-Id: {request_id}\r\n"
            f"Godwitlanding-Affinity-Key: {path}\r\n"
            f"Authorization: Bearer {self._key}\r\n"
            f"Godwitlanding-Tenant: forged\r\n"
            f"Godwitlanding-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._streams[1].write(head.encode() + body)

    async def _read(self, request_id):
        reader = self._streams[0]
        head = await reader.readuntil(b"\r\n\r\n")
        self._has_response_head = True
        headers = dict(re.findall(rb"(?m)^([^:\r\n]+): ([^\r\n]*)", head))
        headers = {name.lower(): value for name, value in headers.items()}
        body = await reader.readexactly(int(headers[b"content-length"]))
        if headers.get(b"connection", b"").lower() == b"close":
            self._close()
        status = int(_STATUS.match(head).group(1))
        detail = ""
        echoed_id = headers.get(b"godwitlanding-request-id", b"").decode()
        if echoed_id != request_id:
            detail = "foreign"
        if status == 200 and b"godwitlanding-response-signature" not in headers:
            detail = "foreign"
        return status, detail, body, b"retry-after" in headers

    def _close(self):
        if self._streams:
            self._streams[1].close()
        self._streams = None
