"""The way of a request through the entry daemon, from caller to caller."""

import asyncio
import uuid

from result import Err, Ok

from godwitlanding.codes import RUN_UNKNOWN, Code, Refusal, make_refusal
from godwitlanding.headers import DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID
from godwitlanding.kernel import Service
from godwitlanding.messages import OUTCOME_CANCELLED, OUTCOME_UNUSED, PassOn
from godwitlanding.request import Request, compute_fingerprint
from godwitlanding.upload import Upload
from godwitlanding.web import make_problem

# A body up to this size is read whole before a permit is asked for, so a
# slow upload holds no slot and the request can be sent again.
WHOLE_BODY_BYTES = 262_144
MAX_ID_CHARS = 64


class Sink:
    """Where an answer goes: the caller's connection."""

    def __init__(self, send, request_id):
        self.started = False
        self.finished = False
        self._send = send
        self._request_id = request_id

    async def start(self, status, headers):
        """Send the head of the answer."""
        self.started = True
        pairs = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
        pairs.append((REQUEST_ID.lower().encode(), self._request_id.encode()))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": pairs}
        )

    async def write(self, chunk):
        """Send a part of the body; waits while the caller reads slowly."""
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def finish(self, chunk=b""):
        """Send the last part of the body."""
        self.finished = True
        await self._send({"type": "http.response.body", "body": chunk})


class RequestHandler(Service):
    """The ASGI application under ``/s/``."""

    name = "requests"
    needs = ("feed", "permits", "upstreams")

    def __init__(self, context):
        self.in_progress = 0
        self._context = context
        self._counters = context.counters
        self._settings = context.settings

    async def start(self, kernel):
        """Find the services that a request passes through."""
        self._feed = kernel.get("feed")
        self._permits = kernel.get("permits")
        self._upstreams = kernel.get("upstreams")

    def get_status(self):
        """Return the number of requests in progress."""
        return {"in_progress": self.in_progress}

    async def __call__(self, scope, receive, send):
        self.in_progress += 1
        try:
            await self._handle(scope, receive, send)
        finally:
            self.in_progress -= 1

    async def _handle(self, scope, receive, send):
        request_id = uuid.uuid4().hex
        upload = Upload(receive, self._settings["max_body_bytes"])
        read = await self._read(scope, upload, request_id)
        if upload.is_gone:
            return
        if read.is_err():
            await self._refuse(read.unwrap_err(), request_id, scope, receive, send)
            return
        request = read.unwrap()
        sink = Sink(send, request_id)
        try:
            refusal = await self._run(request, sink)
        except asyncio.CancelledError:
            refusal = self._explain_cancel(request, upload)
        finally:
            upload.end()
        if refusal:
            await self._end(refusal, request, sink, scope, receive, send)

    def _explain_cancel(self, request, upload):
        """Return the refusal for a request that its own caller ended."""
        if not (upload.is_gone or upload.is_too_large):
            raise asyncio.CancelledError
        asyncio.current_task().uncancel()
        if upload.is_gone:
            self._counters.add("callers_gone", service=request.service.name)
            return None
        return make_refusal(Code.BODY_TOO_LARGE, run=RUN_UNKNOWN)

    async def _end(self, refusal, request, sink, scope, receive, send):
        if sink.started:
            # Returning without the last part closes the connection, so a
            # body that broke off cannot look complete.
            self._counters.add("answers_cut", code=refusal.code.name)
            return
        await self._refuse(refusal, request.id, scope, receive, send)

    async def _refuse(self, refusal, request_id, scope, receive, send):
        self._counters.add("requests_refused", code=refusal.code.name)
        response = make_problem(refusal, request_id)
        response.headers[REQUEST_ID] = request_id
        await response(scope, receive, send)

    async def _read(self, scope, upload, request_id):
        config = self._feed.view.get_config()
        if config is None:
            return Err(make_refusal(Code.NOT_READY, 1.0))
        service = config.service_by_name.get(scope["path_params"]["service"])
        if service is None:
            return Err(make_refusal(Code.UNKNOWN_SERVICE))
        headers = tuple(
            (n.decode("latin-1"), v.decode("latin-1")) for n, v in scope["headers"]
        )
        value_by_name = dict(headers)
        remaining = _read_deadline(value_by_name, service)
        if remaining.is_err():
            return remaining
        deadline = asyncio.get_running_loop().time() + remaining.unwrap()
        fault = self._check_length(value_by_name)
        body = b"" if fault else await upload.read_head(WHOLE_BODY_BYTES)
        if fault or upload.is_too_large:
            return Err(fault or make_refusal(Code.BODY_TOO_LARGE))
        target = _make_target(scope)
        return Ok(
            Request(
                request_id,
                service,
                scope["method"],
                target,
                headers,
                body,
                upload.watch(asyncio.current_task()),
                self._get_caller(scope, value_by_name),
                deadline,
                compute_fingerprint(service.name, scope["method"], target, body),
                "",
                value_by_name.get(IDEMPOTENCY_KEY.lower(), ""),
            )
        )

    def _check_length(self, value_by_name):
        limit = self._settings["max_body_bytes"]
        length = value_by_name.get("content-length", "0")
        if not length.isdigit():
            return make_refusal(Code.MALFORMED_REQUEST, detail="content-length")
        if int(length) > limit:
            return make_refusal(Code.BODY_TOO_LARGE, detail=f"limit {limit} bytes")
        return None

    def _get_caller(self, scope, value_by_name):
        if self._settings["trust_caller_header"] and "x-caller" in value_by_name:
            return value_by_name["x-caller"][:MAX_ID_CHARS]
        return scope["client"][0] if scope.get("client") else ""

    async def _run(self, request, sink):
        """Carry the request; return the ``Refusal`` to give, if any."""
        loop = asyncio.get_running_loop()
        granted = await self._permits.acquire(request)
        if isinstance(granted, Refusal):
            return granted
        if isinstance(granted, PassOn):
            return make_refusal(Code.NO_UPSTREAM, 1.0)
        started_at = loop.time()
        outcome = OUTCOME_CANCELLED
        try:
            if not self._permits.book.may_dispatch(granted, started_at):
                outcome = OUTCOME_UNUSED
                return make_refusal(Code.DEADLINE_UNREACHABLE, 1.0)
            attempt = await self._upstreams.dispatch(request, granted, sink)
            outcome = attempt.outcome
        finally:
            self._permits.release(
                granted, outcome, loop.time() - started_at, request.fingerprint
            )
        if attempt.code is None:
            return None
        return make_refusal(attempt.code, 1.0, attempt.detail, attempt.run)


def _read_deadline(value_by_name, service):
    text = value_by_name.get(DEADLINE.lower())
    if text is None:
        return Ok(service.deadline_s)
    try:
        remaining_s = float(text)
    except ValueError:
        remaining_s = -1.0
    # Also turns away "nan", which compares false with everything.
    if not 0 < remaining_s < float("inf"):
        return Err(make_refusal(Code.MALFORMED_REQUEST, detail=f"{DEADLINE}: {text}"))
    return Ok(min(remaining_s, service.deadline_s))


def _make_target(scope):
    prefix = len("/s/") + len(scope["path_params"]["service"])
    raw = scope.get("raw_path") or scope["path"].encode()
    target = raw.decode("latin-1")[prefix:] or "/"
    query = scope.get("query_string", b"")
    return f"{target}?{query.decode('latin-1')}" if query else target
