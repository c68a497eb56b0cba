"""Parses callers' requests, executes them and sends the responses."""

import asyncio
import math
import re
import uuid

from result import Err, Ok

from godwitlanding.base.codes import RUN_UNKNOWN, Code, make_refusal
from godwitlanding.base.headers import (
    DEADLINE,
    IDEMPOTENCY_KEY,
    REFUSED,
    REQUEST_ID,
    RUN,
)
from godwitlanding.base.kernel import Service
from godwitlanding.base.web import make_problem
from godwitlanding.daemons.forward import read_forward
from godwitlanding.daemons.request import Request, compute_fingerprint
from godwitlanding.daemons.requestreader import RequestReader
from godwitlanding.daemons.responsewriter import ResponseWriter
from godwitlanding.decisions.stopschedule import STOPPING_RETRY_S

# A body up to this size is buffered before a permit is acquired, so that a
# slow upload occupies no slot and the request can be retried.
BUFFERED_BODY_BYTES = 262_144
MAX_ID_CHARS = 64
BUSY_RETRY_S = 1.0
_SERVICE_PREFIX = re.compile(r"/s/[^/?]*")


class RequestHandler(Service):
    """Serves the ASGI application under ``/s/``."""

    name = "requests"
    needs = ("feed", "carrier", "claims")

    def __init__(self, context):
        self.is_leaving = False
        self._end_at = math.inf
        self._started_at_by_id = {}
        self._context = context
        self._counters = context.counters
        self._settings = context.settings

    async def start(self, kernel):
        """Look up the services that handle a request."""
        self._feed = kernel.get("feed")
        self._executor = kernel.get("carrier")
        self._claims = kernel.get("claims")

    def begin_leaving(self, end_at):
        """Close each caller's connection after its next response.

        Requests that may not end by ``end_at`` are refused from now on.
        """
        self.is_leaving = True
        self._end_at = end_at

    def get_status(self):
        """Return the number of open requests and the age of the oldest."""
        now = asyncio.get_running_loop().time()
        started_at = min(self._started_at_by_id.values(), default=now)
        return {
            "in_progress": len(self._started_at_by_id),
            "oldest_s": round(now - started_at, 3),
            "leaving": self.is_leaving,
        }

    async def __call__(self, scope, receive, send):
        if len(self._started_at_by_id) >= self._settings["max_connections"]:
            detail = "this process has too many requests"
            refusal = make_refusal(Code.QUEUE_FULL, BUSY_RETRY_S, detail)
            refusal = _adjust_refusal(refusal, scope)
            await self._refuse(refusal, uuid.uuid4().hex, scope, receive, send)
            return
        key = id(scope)
        self._started_at_by_id[key] = asyncio.get_running_loop().time()
        try:
            await self._handle(scope, receive, send)
        finally:
            del self._started_at_by_id[key]

    async def _handle(self, scope, receive, send):
        request_id = uuid.uuid4().hex
        request_reader = RequestReader(receive, self._settings["max_body_bytes"])
        read = await self._parse_request(scope, request_reader, request_id)
        if request_reader.is_gone:
            return
        if read.is_err():
            refusal = _adjust_refusal(read.unwrap_err(), scope)
            await self._refuse(refusal, request_id, scope, receive, send)
            return
        request = read.unwrap()
        self._executor.trace.add(
            request.id,
            "arrived",
            service=request.service.name,
            caller=request.caller,
            from_zone=request.from_zone,
        )
        response_writer = ResponseWriter(send, request_id, lambda: self.is_leaving)
        try:
            refusal = await self._execute(request, response_writer)
        except asyncio.CancelledError:
            refusal = self._make_cancel_refusal(request, request_reader)
        finally:
            request_reader.end()
        if refusal:
            await self._refuse_or_cut(
                refusal, request, response_writer, scope, receive, send
            )

    def _make_cancel_refusal(self, request, request_reader):
        """Return the refusal for a request cancelled by ``RequestReader``.

        Returns ``None`` if the caller has disconnected. Any other
        cancellation is raised again.
        """
        if not (request_reader.is_gone or request_reader.is_too_large):
            raise asyncio.CancelledError
        asyncio.current_task().uncancel()
        if request_reader.is_gone:
            self._counters.add("callers_gone", service=request.service.name)
            self._executor.trace.add(request.id, "caller gone")
            return None
        return make_refusal(Code.BODY_TOO_LARGE, run=RUN_UNKNOWN)

    async def _refuse_or_cut(
        self, refusal, request, response_writer, scope, receive, send
    ):
        if response_writer.started:
            # Returning without the last part closes the connection, so that
            # an interrupted body does not look complete.
            self._counters.add("answers_cut", code=refusal.code.name)
            self._executor.trace.add(request.id, "cut", code=refusal.code.name)
            return
        await self._refuse(refusal, request.id, scope, receive, send)

    async def _refuse(self, refusal, request_id, scope, receive, send):
        self._counters.add("requests_refused", code=refusal.code.name)
        self._executor.trace.add(
            request_id,
            "refused",
            code=refusal.code.name,
            run=refusal.run,
            retry_after_s=round(refusal.retry_after_s, 3),
            detail=refusal.detail,
        )
        response = make_problem(refusal, request_id)
        response.headers[REQUEST_ID] = request_id
        response.headers[REFUSED] = str(refusal.code.value)
        response.headers[RUN] = refusal.run
        if self.is_leaving:
            response.headers["Connection"] = "close"
        await response(scope, receive, send)

    async def _parse_request(self, scope, request_reader, request_id):
        config = self._feed.view.get_config()
        if config is None:
            return Err(make_refusal(Code.NOT_READY, 1.0))
        service = config.service_by_name.get(scope["path"].split("/", 3)[2])
        if service is None:
            return Err(make_refusal(Code.UNKNOWN_SERVICE))
        headers = _decode_headers(scope["headers"])
        target = _make_target(scope)
        if headers is None or target is None:
            return Err(make_refusal(Code.MALFORMED_REQUEST, detail="not in UTF-8"))
        value_by_name = dict(headers)
        forward = read_forward(
            self._feed.view.get_ticket_key(), value_by_name, scope["method"], target
        )
        if forward is None:
            return Err(make_refusal(Code.MALFORMED_REQUEST, detail="forged forward"))
        remaining = _read_deadline(value_by_name, service)
        if remaining.is_err():
            return remaining
        deadline = asyncio.get_running_loop().time() + remaining.unwrap()
        if deadline > self._end_at:
            return Err(make_refusal(Code.STOPPING, STOPPING_RETRY_S))
        length_refusal = self._check_length(value_by_name)
        body = (
            b""
            if length_refusal
            else await request_reader.read_beginning(BUFFERED_BODY_BYTES)
        )
        if length_refusal or request_reader.is_too_large:
            return Err(length_refusal or make_refusal(Code.BODY_TOO_LARGE))
        target = _strip_service_prefix(target)
        return Ok(
            Request(
                forward.request_id or request_id,
                service,
                scope["method"],
                target,
                headers,
                body,
                request_reader.watch(asyncio.current_task()),
                forward.caller or self._get_caller(scope, value_by_name),
                deadline,
                compute_fingerprint(service.name, scope["method"], target, body),
                value_by_name.get(IDEMPOTENCY_KEY.lower(), ""),
                forward,
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

    async def _execute(self, request, response_writer):
        if request.needs_ticket:
            return await self._claims.run(request, response_writer)
        return await self._executor.execute(request, response_writer)


def _adjust_refusal(refusal, scope):
    """Return a refusal whose ``run`` is unknown if the request has a key.

    Such a refusal is made before any record has been read, and an earlier
    request with the same key may have run here or elsewhere. A process that
    replaces the one that ran it would otherwise report "not run", and the
    payment would be made twice.
    """
    name = IDEMPOTENCY_KEY.lower().encode()
    if any(key.lower() == name for key, _ in scope["headers"]):
        return refusal._replace(run=RUN_UNKNOWN)
    return refusal


def _read_deadline(value_by_name, service):
    text = value_by_name.get(DEADLINE.lower())
    if text is None:
        return Ok(service.deadline_s)
    try:
        remaining_s = float(text)
    except ValueError:
        remaining_s = -1.0
    # Also rejects "nan", whose comparisons are all false.
    if not 0 < remaining_s < float("inf"):
        return Err(make_refusal(Code.MALFORMED_REQUEST, detail=f"{DEADLINE}: {text}"))
    return Ok(min(remaining_s, service.deadline_s))


def _decode_headers(pairs):
    try:
        return tuple((name.decode("ascii"), value.decode()) for name, value in pairs)
    except UnicodeDecodeError:
        return None


def _make_target(scope):
    """Return path and query as sent, ``None`` if they are not ASCII."""
    raw = scope.get("raw_path") or scope["path"].encode()
    if query := scope.get("query_string", b""):
        raw += b"?" + query
    return raw.decode("ascii") if raw.isascii() and b"#" not in raw else None


def _strip_service_prefix(target):
    """Return the target without ``/s/`` and the service name.

    The service name may be percent-encoded.
    """
    match = _SERVICE_PREFIX.match(target)
    rest = target[match.end() :]
    return rest if rest.startswith("/") else "/" + rest
