"""The way of a request through the entry daemon, from caller to caller."""

import asyncio
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

# A body up to this size is read whole before a permit is asked for, so a
# slow upload holds no slot and the request can be sent again.
BUFFERED_BODY_BYTES = 262_144
MAX_ID_CHARS = 64
BUSY_RETRY_S = 1.0
_SERVICE_PREFIX = re.compile(r"/s/[^/?]*")


class RequestHandler(Service):
    """The ASGI application under ``/s/``."""

    name = "requests"
    needs = ("feed", "carrier", "claims")

    def __init__(self, context):
        self.is_leaving = False
        self._started_at_by_id = {}
        self._context = context
        self._counters = context.counters
        self._settings = context.settings

    async def start(self, kernel):
        """Find the services that a request passes through."""
        self._feed = kernel.get("feed")
        self._carrier = kernel.get("carrier")
        self._claims = kernel.get("claims")

    def begin_leaving(self):
        """Close each caller's connection with its next answer."""
        self.is_leaving = True

    def get_status(self):
        """Return how many requests are in progress and for how long."""
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
        upload = RequestReader(receive, self._settings["max_body_bytes"])
        read = await self._parse_request(scope, upload, request_id)
        if upload.is_gone:
            return
        if read.is_err():
            refusal = _adjust_refusal(read.unwrap_err(), scope)
            await self._refuse(refusal, request_id, scope, receive, send)
            return
        request = read.unwrap()
        self._carrier.trace.add(
            request.id,
            "arrived",
            service=request.service.name,
            caller=request.caller,
            from_zone=request.from_zone,
        )
        sink = ResponseWriter(send, request_id, lambda: self.is_leaving)
        try:
            refusal = await self._execute(request, sink)
        except asyncio.CancelledError:
            refusal = self._make_cancel_refusal(request, upload)
        finally:
            upload.end()
        if refusal:
            await self._refuse_or_cut(refusal, request, sink, scope, receive, send)

    def _make_cancel_refusal(self, request, upload):
        """Return the refusal for a request that its own caller ended."""
        if not (upload.is_gone or upload.is_too_large):
            raise asyncio.CancelledError
        asyncio.current_task().uncancel()
        if upload.is_gone:
            self._counters.add("callers_gone", service=request.service.name)
            self._carrier.trace.add(request.id, "caller gone")
            return None
        return make_refusal(Code.BODY_TOO_LARGE, run=RUN_UNKNOWN)

    async def _refuse_or_cut(self, refusal, request, sink, scope, receive, send):
        if sink.started:
            # Returning without the last part closes the connection, so a
            # body that broke off cannot look complete.
            self._counters.add("answers_cut", code=refusal.code.name)
            self._carrier.trace.add(request.id, "cut", code=refusal.code.name)
            return
        await self._refuse(refusal, request.id, scope, receive, send)

    async def _refuse(self, refusal, request_id, scope, receive, send):
        self._counters.add("requests_refused", code=refusal.code.name)
        self._carrier.trace.add(
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

    async def _parse_request(self, scope, upload, request_id):
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
        length_refusal = self._check_length(value_by_name)
        body = (
            b"" if length_refusal else await upload.read_beginning(BUFFERED_BODY_BYTES)
        )
        if length_refusal or upload.is_too_large:
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
                upload.watch(asyncio.current_task()),
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

    async def _execute(self, request, sink):
        if request.needs_ticket:
            return await self._claims.run(request, sink)
        return await self._carrier.execute(request, sink)


def _adjust_refusal(refusal, scope):
    """Return what a refusal before any record was looked at may say.

    An earlier press of the same key may have run, here or elsewhere. A
    process that has just started in place of the one that ran it would
    else tell its caller "not run", and the work would be paid for twice.
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
    # Also turns away "nan", which compares false with everything.
    if not 0 < remaining_s < float("inf"):
        return Err(make_refusal(Code.MALFORMED_REQUEST, detail=f"{DEADLINE}: {text}"))
    return Ok(min(remaining_s, service.deadline_s))


def _decode_headers(pairs):
    try:
        return tuple((name.decode("ascii"), value.decode()) for name, value in pairs)
    except UnicodeDecodeError:
        return None


def _make_target(scope):
    """Return path and query as sent, ``None`` where they are not ASCII."""
    raw = scope.get("raw_path") or scope["path"].encode()
    if query := scope.get("query_string", b""):
        raw += b"?" + query
    return raw.decode("ascii") if raw.isascii() and b"#" not in raw else None


def _strip_service_prefix(target):
    """Return what follows the service's name, which may be escaped."""
    match = _SERVICE_PREFIX.match(target)
    rest = target[match.end() :]
    return rest if rest.startswith("/") else "/" + rest
