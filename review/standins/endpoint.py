"""A stand-in for an endpoint, as PROTOCOL.md describes it."""

import asyncio
import hashlib
import random

HEAD = b"HTTP/1.1 %d X\r\nGodwitlanding-Request-Id: %b\r\n%bContent-Length: %d\r\n\r\n"


def sign(endpoint_id, request_id, status, body):
    """Return the signature of an answer."""
    text = f"{endpoint_id}/{request_id}/{status}/".encode() + body
    return hashlib.sha256(text).hexdigest()[:24]


class Endpoint:
    """One boot of an endpoint that works on ``slots`` requests at a time.

    A sound endpoint sheds what does not fit its queue. Faults are set as
    attributes: ``shed_share`` is the share of requests that it rejects,
    ``extra_share`` the share of its answers that it sends a second time, late:
    in front of the next answer on that connection (``garble``, ``extra
    late``).
    """

    def __init__(self, endpoint_id, service, zone, work_s, record, slots=3, queue=9):
        self.id = endpoint_id
        self.service = service
        self.zone = zone
        # Seconds of work of a request, or a function that draws them.
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.record = record
        self.rng = random.Random(endpoint_id)
        self.shed_share = 0.0
        self.extra_share = 0.0
        self.state = "ready"
        self.seq = 0
        # Whether the world writes its heartbeats.
        self.beats = True
        # Whether its answers say that it is leaving (``Server-Leaving``).
        self.says_leaving = False
        self.running = 0
        self.waiting = 0
        self.address = ""
        self._writers = set()
        self._slot = asyncio.Semaphore(slots)

    async def start(self, host, port=0):
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=400)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]
        return self.address

    def crash(self):
        """Stop listening and reset every connection."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def make_entry(self):
        """Return the entry that the endpoint writes to the store."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining": "0ms",
            "seq": self.seq,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        extra = []
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.split(b"\r\n")
                method, target, _ = lines[0].split(b" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(b":")
                    headers[name.strip().lower()] = value.strip()
                body = b""
                if b"content-length" in headers:
                    body = await reader.readexactly(int(headers[b"content-length"]))
                if extra:
                    writer.write(extra.pop())
                data = await self._answer(reader, method, target, headers, body)
                writer.write(data)
                await writer.drain()
                if self.extra_share and self.rng.random() < self.extra_share:
                    request_id = headers.get(b"godwitlanding-request-id", b"").decode()
                    self.record("extra", id=request_id, endpoint=self.id)
                    extra = [data]
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, reader, method, target, headers, body):
        raw_id = headers.get(b"godwitlanding-request-id", b"")
        request_id = raw_id.decode("latin-1")
        load = b"Godwitlanding-Load-Report: %d,%d,%d\r\n" % (
            self.running,
            self.waiting,
            self.slots,
        )
        not_run = b"Godwitlanding-Not-Executed: 1\r\n"
        expected = headers.get(b"godwitlanding-expect-instance")
        if expected and expected.decode() != self.id:
            line = b"Godwitlanding-Instance-Id: %b\r\n" % self.id.encode()
            return HEAD % (421, raw_id, line, 0)
        if target == b"/healthz":
            line = b"Godwitlanding-Instance-Id: %b\r\n" % self.id.encode()
            return HEAD % (200, raw_id, line + load, 0)
        if not raw_id:
            return HEAD % (400, raw_id, not_run, 0)
        is_grey = self.shed_share and self.rng.random() < self.shed_share
        if is_grey or self.running + self.waiting >= self.slots + self.queue:
            self.record("shed", id=request_id, endpoint=self.id)
            return HEAD % (503, raw_id, not_run + load, 0)
        left_s = int(headers.get(b"godwitlanding-deadline-ms", b"60000")) / 1000
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + left_s
        self.waiting += 1
        try:
            async with self._slot:
                if loop.time() > deadline_at:
                    self.record("expired", id=request_id, endpoint=self.id)
                    return HEAD % (503, raw_id, not_run + load, 0)
                self.waiting -= 1
                self.running += 1
                try:
                    self.record(
                        "run",
                        id=request_id,
                        endpoint=self.id,
                        service=self.service,
                        method=method.decode(),
                        target=target.decode("latin-1"),
                        body=hashlib.sha256(body).hexdigest()[:16],
                        key=headers.get(b"godwitlanding-affinity-key", b"").decode(),
                    )
                    work_s = self.work_s() if callable(self.work_s) else self.work_s
                    await self._work(reader, min(work_s, deadline_at - loop.time()))
                finally:
                    self.running -= 1
                    self.waiting += 1
        finally:
            self.waiting -= 1
        status = 200 if loop.time() <= deadline_at else 504
        answer = make_body(self.id, request_id)
        self.record("done", id=request_id, endpoint=self.id, status=status)
        proof = sign(self.id, request_id, status, answer).encode()
        lines = b"Godwitlanding-Response-Signature: %b.%b\r\n" % (
            self.id.encode(),
            proof,
        )
        if self.says_leaving and self.state == "draining":
            lines += b"Server-Leaving: 1\r\n"
        return HEAD % (status, raw_id, lines + load, len(answer)) + answer

    async def _work(self, reader, work_s):
        """Work; a connection that is closed meanwhile drops the request."""
        end_at = asyncio.get_running_loop().time() + work_s
        while (left_s := end_at - asyncio.get_running_loop().time()) > 0:
            await asyncio.sleep(min(0.02, left_s))
            if reader.at_eof():
                raise ConnectionError("the sender has left")


def make_body(endpoint_id, request_id):
    """Return the body of a success, which no other request has."""
    return f"{endpoint_id} {request_id} ".encode() * 30
