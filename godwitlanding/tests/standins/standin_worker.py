"""A small stand-in of the users' upstreams: slots, a queue, and its own word.

It answers with the request's id and a proof, refuses what names another
upstream, and counts which request ids it has run.
"""

import asyncio
import re

from godwitlanding.tests.standins.listener import reset

_SLOTS = 3
_QUEUE = 9
# Some 4 KB with ids of ten letters: more than one packet.
ECHO_TIMES = 400


def make_echo(request_id):
    """Return the body of an answer that can be told from any other."""
    return request_id * ECHO_TIMES


class StandinWorker:
    """One upstream at ``address``; ``faults`` apply to the next requests.

    ``fault`` is empty or one of ``crash`` (resets without an answer),
    ``shed`` (refuses, not run), ``fail`` (answers 500), ``cut`` (ends amid
    its answer).
    """

    def __init__(self, worker_id, service, host, port, zone, work_s=0.02):
        self.id = worker_id
        self.service = service
        self.address = (host, port)
        self.zone = zone
        self.work_s = work_s
        self.fault = ""
        # Requests a second that it says it takes, as its answers spell it.
        self.limit = ""
        # Whether its answers say that it leaves.
        self.leaving = False
        # Seconds that it wants nothing after it has turned a request away.
        self.retry_after = ""
        # When each request reached it, on the loop's clock, by its id, and of
        # those that it turned away with a pause.
        self.arrivals = []
        self.paused = []
        self.ran = []
        # When each request began to run, on the loop's clock.
        self.ran_at = []
        # Milliseconds that each request's sender would wait, as it said.
        self.deadlines_ms = []
        # A path that ends this upstream as soon as it begins to run it.
        self.crash_path = ""
        # Whether answers hold the request's id, many times.
        self.echoes = False
        self.bodies = {}
        # The headers that each request came with, by its id.
        self.headers_by_request = {}
        self.dropped = 0
        self.connections = set()
        self._slots = asyncio.Semaphore(_SLOTS)
        self._inside = 0
        self._path = ""
        self._server = None

    @property
    def arrived_at(self):
        """Return when each request reached it."""
        return [at for _, at in self.arrivals]

    def make_entry(self, state="ready"):
        """Return its entry in the store."""
        host, port = self.address
        return {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": _SLOTS,
            "state": state,
            "cold_remaining": "0ms",
            "seq": 1,
        }

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        return self

    def stop(self):
        """Listen no longer and reset what is open."""
        if self._server:
            self._server.close()
        for writer in list(self.connections):
            reset(writer.transport)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = dict(re.findall(rb"(?m)^([^:\r\n]+): ([^\r\n]*)", head))
                headers = {name.lower(): value for name, value in headers.items()}
                length = int(headers.get(b"content-length", 0))
                body = await reader.readexactly(length)
                self._path = head.split(b" ", 2)[1].decode()
                await self._answer(reader, writer, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, reader, writer, headers, body):
        request_id = headers[b"godwitlanding-request-id"]
        expected = headers.get(b"godwitlanding-expect-instance", b"").decode()
        if expected != self.id:
            self._write(writer, b"421 Misdirected Request", request_id, b"")
            return
        arrival = (request_id.decode(), asyncio.get_running_loop().time())
        self.arrivals.append(arrival)
        if self.fault == "shed" or self._inside >= _SLOTS + _QUEUE:
            extra = b"Godwitlanding-Not-Executed: 1\r\n"
            if self.retry_after:
                extra += b"Retry-After: %b\r\n" % self.retry_after.encode()
                self.paused.append(arrival)
            self._write(writer, b"503 Service Unavailable", request_id, b"", extra)
            return
        self._inside += 1
        try:
            async with self._slots:
                self.ran.append(request_id.decode())
                self.ran_at.append(asyncio.get_running_loop().time())
                self.bodies[request_id.decode()] = body
                self.headers_by_request[request_id.decode()] = headers
                left = headers.get(b"godwitlanding-deadline-ms", b"0")
                self.deadlines_ms.append(int(left))
                if self.crash_path and self._path == self.crash_path:
                    self.stop()
                    raise ConnectionError("crashed by the request")
                await self._work(reader)
        finally:
            self._inside -= 1
        self._finish(writer, request_id)

    async def _work(self, reader):
        # Bytes or an end while it works mean that the sender has gone.
        try:
            async with asyncio.timeout(self.work_s):
                await reader.read(1)
            self.dropped += 1
            raise ConnectionError("the sender has gone")
        except TimeoutError:
            pass

    def _finish(self, writer, request_id):
        proof = b"Godwitlanding-Response-Signature: proof\r\n"
        if self.fault == "crash":
            self.stop()
        elif self.fault == "reset":
            reset(writer.transport)
        elif self.fault == "fail":
            status = b"500 Internal Server Error"
            self._write(writer, status, request_id, b"failed", proof)
        elif self.fault == "cut":
            head = b"HTTP/1.1 200 OK\r\nGodwitlanding-Request-Id: %b\r\n%b"
            writer.write(head % (request_id, proof))
            writer.write(b"Content-Length: 100\r\n\r\nhalf")
            writer.close()
        else:
            body = f"done by {self.id}".encode()
            if self.echoes:
                body = make_echo(request_id)
            self._write(writer, b"200 OK", request_id, body, proof)

    def _write(self, writer, status, request_id, body, extra=b""):
        if self.limit:
            extra += b"Server-Limit: %b\r\n" % self.limit.encode()
        if self.leaving:
            extra += b"Server-Leaving: 1\r\n"
        writer.write(
            b"HTTP/1.1 %b\r\nGodwitlanding-Request-Id: %b\r\n"
            b"Godwitlanding-Load-Report: %d,0,3\r\n%bContent-Length: %d\r\n\r\n%b"
            % (status, request_id, self._inside, extra, len(body), body)
        )
