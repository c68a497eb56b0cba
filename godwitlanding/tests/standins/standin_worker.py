"""Simulates one of the users' upstreams with slots, a queue and load reports.

Its responses carry the request id and a signature. It rejects requests that
name another instance, and records the ids of the requests that it has run.
"""

import asyncio
import re

from godwitlanding.tests.standins.listener import reset

_SLOTS = 3
_QUEUE_LENGTH = 9
_FILLER = b"x" * (16 << 10)
_FILLER_PAUSE_S = 0.005
# About 4 KB with ids of ten letters, which is more than one packet.
ECHO_REPEATS = 400
# About 600 KB, which is more than the buffers on its way hold.
LONG_ECHO_REPEATS = 80_000


def make_echo(request_id, path="", long_prefix=""):
    """Return a response body that is unique to the request.

    It is long for paths that begin with ``long_prefix``, unless that is empty.
    """
    is_long = long_prefix and path.startswith(long_prefix)
    return request_id * (LONG_ECHO_REPEATS if is_long else ECHO_REPEATS)


class StandinWorker:
    """A simulated upstream at ``address``.

    ``fault`` applies to all following requests. It is empty or one of
    ``crash`` (stops listening and resets all connections instead of
    responding), ``reset`` (resets the connection of the request), ``shed``
    (rejects without running), ``fail`` (responds with 500), ``cut`` (closes
    the connection within the response body) and ``endless`` (sends a header
    line that does not end).
    """

    def __init__(self, worker_id, service, host, port, zone, work_s=0.02):
        self.id = worker_id
        self.service = service
        self.address = (host, port)
        self.zone = zone
        self.work_s = work_s
        self.fault = ""
        # Requests per second that its responses report as its limit, as text.
        self.limit = ""
        # Whether its responses report that it is leaving.
        self.leaving = False
        # Retry-After in seconds of rejected requests, as text; empty: none.
        self.retry_after = ""
        # Id and arrival time (loop clock) of each request, and of those that
        # were rejected with a Retry-After.
        self.arrivals = []
        self.paused = []
        self.ran = []
        # When each request began to run (loop clock).
        self.ran_at = []
        # The remaining deadline of each request in milliseconds.
        self.deadlines_ms = []
        # Requests for paths that begin so crash it when they begin to run.
        self.crash_path = ""
        # Whether it rejects the first send of each request, and sends a copy
        # of each rejection in front of the connection's next response.
        self.rejects_first = False
        self.copies_rejections = False
        self._rejected_ids = set()
        self._copy_by_writer = {}
        # The paths of the requests that crashed it.
        self.crashed_by = []
        # Whether it listens again after a crash, and how many seconds later.
        self.restart_after_s = None
        # Whether response bodies repeat the request id (``make_echo``).
        self.echoes = False
        self.long_prefix = ""
        # Fourth figures of successive load reports, repeated; may be empty.
        self.paces = ()
        self._reports = 0
        # Length of successful response bodies; 0: a short text.
        self.response_bytes = 0
        self.bodies = {}
        # The headers of each request by its id.
        self.headers_by_request = {}
        self.dropped = 0
        self.connections = set()
        self._slots = asyncio.Semaphore(_SLOTS)
        self._in_progress = 0
        self._server = None

    @property
    def arrived_at(self):
        """Return the arrival time of each request."""
        return [at for _, at in self.arrivals]

    def make_entry(self, state="ready", seq=1):
        """Return the upstream's entry for the store, its ``seq``-th one."""
        host, port = self.address
        return {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": _SLOTS,
            "state": state,
            "cold_remaining": "0ms",
            "seq": seq,
        }

    async def start(self):
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        return self

    def stop(self):
        """Stop listening and reset all connections."""
        if self._server:
            self._server.close()
        for writer in list(self.connections):
            reset(writer.transport)

    def _crash(self):
        self.stop()
        if self.restart_after_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.restart_after_s, lambda: loop.create_task(self.start())
            )

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = dict(re.findall(rb"(?m)^([^:\r\n]+): ([^\r\n]*)", head))
                headers = {name.lower(): value for name, value in headers.items()}
                length = int(headers.get(b"content-length", 0))
                body = await reader.readexactly(length)
                path = head.split(b" ", 2)[1].decode()
                await self._handle_request(reader, writer, headers, body, path)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            self._copy_by_writer.pop(writer, None)
            writer.close()

    async def _handle_request(self, reader, writer, headers, body, path):
        request_id = headers[b"godwitlanding-request-id"]
        expected = headers.get(b"godwitlanding-expect-instance", b"").decode()
        if expected != self.id:
            self._write(writer, b"421 Misdirected Request", request_id, b"")
            return
        arrival = (request_id.decode(), asyncio.get_running_loop().time())
        self.arrivals.append(arrival)
        is_first = self.rejects_first and request_id not in self._rejected_ids
        self._rejected_ids.add(request_id)
        is_full = self._in_progress >= _SLOTS + _QUEUE_LENGTH
        if self.fault == "shed" or is_first or is_full:
            extra = b"Godwitlanding-Not-Executed: 1\r\n"
            if self.retry_after:
                extra += b"Retry-After: %b\r\n" % self.retry_after.encode()
                self.paused.append(arrival)
            self._write(writer, b"503 Service Unavailable", request_id, b"", extra)
            return
        self._in_progress += 1
        try:
            async with self._slots:
                self.ran.append(request_id.decode())
                self.ran_at.append(asyncio.get_running_loop().time())
                self.bodies[request_id.decode()] = body
                self.headers_by_request[request_id.decode()] = headers
                deadline_ms = headers.get(b"godwitlanding-deadline-ms", b"0")
                self.deadlines_ms.append(int(deadline_ms))
                if self.crash_path and path.startswith(self.crash_path):
                    self.crashed_by.append(path)
                    self._crash()
                    raise ConnectionError("the request crashed the upstream")
                await self._do_work(reader)
        finally:
            self._in_progress -= 1
        if self.fault == "endless":
            await self._send_without_end(writer)
        self._respond(writer, request_id, path)

    async def _send_without_end(self, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nX-Long: ")
        while True:
            writer.write(_FILLER)
            await writer.drain()
            await asyncio.sleep(_FILLER_PAUSE_S)

    async def _do_work(self, reader):
        # Data or an end of file during the work means that the sender has
        # disconnected.
        try:
            async with asyncio.timeout(self.work_s):
                await reader.read(1)
            self.dropped += 1
            raise ConnectionError("the sender has disconnected")
        except TimeoutError:
            pass

    def _respond(self, writer, request_id, path):
        signature_header = b"Godwitlanding-Response-Signature: proof\r\n"
        if self.fault == "crash":
            self.stop()
        elif self.fault == "reset":
            reset(writer.transport)
        elif self.fault == "fail":
            status = b"500 Internal Server Error"
            self._write(writer, status, request_id, b"failed", signature_header)
        elif self.fault == "cut":
            head = b"HTTP/1.1 200 OK\r\nGodwitlanding-Request-Id: %b\r\n%b"
            writer.write(head % (request_id, signature_header))
            writer.write(b"Content-Length: 100\r\n\r\nhalf")
            writer.close()
        else:
            body = f"done by {self.id}".encode()
            if self.echoes:
                body = make_echo(request_id, path, self.long_prefix)
            if self.response_bytes:
                body = bytes(self.response_bytes)
            self._write(writer, b"200 OK", request_id, body, signature_header)

    def _write(self, writer, status, request_id, body, extra=b""):
        if self.limit:
            extra += b"Server-Limit: %b\r\n" % self.limit.encode()
        if self.leaving:
            extra += b"Server-Leaving: 1\r\n"
        pace = b""
        if self.paces:
            pace = b"," + self.paces[self._reports % len(self.paces)]
            self._reports += 1
        response = (
            b"HTTP/1.1 %b\r\nGodwitlanding-Request-Id: %b\r\n"
            b"Godwitlanding-Load-Report: %d,0,3%b\r\n%bContent-Length: %d\r\n\r\n%b"
            % (status, request_id, self._in_progress, pace, extra, len(body), body)
        )
        writer.write(self._copy_by_writer.pop(writer, b"") + response)
        if self.copies_rejections and status.startswith(b"503"):
            self._copy_by_writer[writer] = response
