"""Simulated callers with persistent connections that record each request."""

import asyncio
import itertools
import re
from typing import NamedTuple

from godwitlanding.tests.soak.world import MAX_UPLOAD_BYTES

CONNECT_TIMEOUT_S = 1.0
# A caller waits this long beyond its deadline before it records ``silent``.
EXTRA_WAIT_S = 1.5
DEADLINE_S = 2.0
NO_RESPONSE = 0
# Shares of all requests that are uploads and other unsafe ones, of uploads
# that stall halfway, and of responses that are read slowly.
UPLOAD_SHARE = 0.12
UNSAFE_SHARE = 0.36
STALL_SHARE = 0.2
SLOW_SHARE = 0.2
MIN_UPLOAD_BYTES = 60_000
# A slow reader takes about 1 s for a response of 600 KB.
SLOW_READ_BYTES = 32 << 10
SLOW_PAUSE_S = 0.05
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
    upload_bytes: int = 0
    # Whether half of the upload was never sent.
    stalls: bool = False


def make_upload(request_id, size):
    """Return a body that is unique to the request."""
    return (request_id.encode() * (size // len(request_id) + 1))[:size]


def _draw_request(rng):
    draw = rng.random()
    is_upload = draw < UPLOAD_SHARE
    route = "look"
    if draw < UPLOAD_SHARE + UNSAFE_SHARE:
        route = "up" if is_upload else "pay"
    upload_bytes = rng.randint(MIN_UPLOAD_BYTES, MAX_UPLOAD_BYTES)
    return {
        "route": route,
        "number": rng.randrange(40),
        "upload_bytes": upload_bytes if is_upload else 0,
        "stalls": is_upload and rng.random() < STALL_SHARE,
        "is_slow": rng.random() < SLOW_SHARE,
    }


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
                await self.send_request(**_draw_request(rng))
                await asyncio.sleep(pause_s * rng.uniform(0.5, 1.5))
        finally:
            self._close()

    async def send_request(self, route, number, upload_bytes, stalls, is_slow):
        """Send one request; record and return its result."""
        request_id = f"{self._name}-{next(self._numbers)}"
        path = f"/{route}/{number}"
        unsafe = route != "look"
        body = b"amount=1" if unsafe else b""
        if upload_bytes:
            body = make_upload(request_id, upload_bytes)
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        status, detail, answer, retry_after = NO_RESPONSE, "refused", b"", False
        try:
            async with asyncio.timeout(DEADLINE_S + EXTRA_WAIT_S):
                if await self._open():
                    detail = "closed"
                    sent = len(body) // 2 if stalls else None
                    self._send(request_id, path, body, sent)
                    status, detail, answer, retry_after = await self._read(
                        request_id, is_slow
                    )
        except TimeoutError:
            detail = "silent"
        except (OSError, asyncio.IncompleteReadError) as error:
            if self._has_response_head or getattr(error, "partial", b""):
                detail = "broken"
        if not status or stalls:
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
            answer,
            retry_after,
            upload_bytes,
            stalls,
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

    def _send(self, request_id, path, body, sent):
        method = "POST" if body else "GET"
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
        self._streams[1].write(head.encode() + body[:sent])

    async def _read(self, request_id, is_slow):
        reader = self._streams[0]
        head = await reader.readuntil(b"\r\n\r\n")
        self._has_response_head = True
        headers = dict(re.findall(rb"(?m)^([^:\r\n]+): ([^\r\n]*)", head))
        headers = {name.lower(): value for name, value in headers.items()}
        left_bytes = int(headers[b"content-length"])
        pieces = []
        while is_slow and left_bytes > SLOW_READ_BYTES:
            pieces.append(await reader.readexactly(SLOW_READ_BYTES))
            left_bytes -= SLOW_READ_BYTES
            await asyncio.sleep(SLOW_PAUSE_S)
        pieces.append(await reader.readexactly(left_bytes))
        body = b"".join(pieces)
        if headers.get(b"connection", b"").lower() == b"close":
            self._close()
        status = int(_STATUS.match(head).group(1))
        detail = ""
        echoed_id = headers.get(b"godwitlanding-request-id", b"").decode()
        # The refusal of a body that did not arrive in time carries no id.
        if echoed_id != request_id and (echoed_id or status != 408):
            detail = "foreign"
        if status == 200 and b"godwitlanding-response-signature" not in headers:
            detail = "foreign"
        return status, detail, body, b"retry-after" in headers

    def _close(self):
        if self._streams:
            self._streams[1].close()
        self._streams = None
