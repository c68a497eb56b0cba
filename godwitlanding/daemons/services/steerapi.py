"""Serves the HTTP API of ``steer``: VM look-ups and tickets.

Look-ups are most of the load, 900 requests per second on each node, and are
served directly on ASGI; all other requests go through starlette.
"""

import json
from typing import NamedTuple

from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from godwitlanding.base.codes import Code, Refusal, make_refusal
from godwitlanding.base.kernel import Service
from godwitlanding.base.web import make_problem, make_status_routes
from godwitlanding.daemons.services.tickets import NOT_READY_RETRY_S

STEER_PATH = "/v1/steer/"
_CALLER_HEADER = b"x-caller"
# Maximum number of encoded response parts in each cache. Only parts are
# cached, because the order of the 24 VMs differs for nearly every caller;
# encoding the parts for each response took a fifth of the time of a look-up.
MAX_CACHED_PARTS = 8192


class EncodedResponse(NamedTuple):
    """A response as the two messages that ASGI expects."""

    start: dict
    body: dict


class SteerApi(Service):
    """An ASGI app that assembles look-up responses from cached parts."""

    name = "answers"
    needs = ("routing", "tickets")

    def __init__(self, context):
        self._context = context
        self._counters = context.counters
        self._kernel = None
        self._routing = None
        self._tickets = None
        self._trusts_header = context.settings["trust_caller_header"]
        self._max_age_s = context.settings["steer_max_age_s"]
        self._extra_headers = []
        # Private: callers behind a shared cache get different responses.
        self._cache_control = f"private, max-age={self._max_age_s:g}".encode()
        self._choice_by_key = {}
        self._tail_by_key = {}
        routes = make_status_routes(
            lambda: self._kernel,
            self._counters,
            lambda: self._routing.is_ready(),
            context.replica,
        )
        routes.append(
            Route("/v1/tickets/{service}", self._post_ticket, methods=["POST"])
        )
        self._app = Starlette(routes=routes)

    async def start(self, kernel):
        """Look up the routing and ticket services."""
        self._kernel = kernel
        self._routing = kernel.get("routing")
        self._tickets = kernel.get("tickets")

    async def __call__(self, scope, receive, send):
        """Handle an ASGI request."""
        is_http = scope["type"] == "http"
        if is_http and scope["path"].startswith(STEER_PATH):
            if scope["method"] in ("GET", "HEAD"):
                await self._handle_lookup(scope, receive, send)
                return
        await self._app(scope, receive, send)

    def close_connections(self):
        """Add ``Connection: close`` to all further look-up responses."""
        self._extra_headers = [(b"connection", b"close")]

    async def _handle_lookup(self, scope, receive, send):
        service = scope["path"][len(STEER_PATH) :]
        result = self._make_lookup_response(service, self._get_caller(scope))
        if isinstance(result, Refusal):
            await self._refuse(result)(scope, receive, send)
            return
        self._counters.add("steer_answers", service=service)
        await send(result.start)
        await send(result.body)

    def _make_lookup_response(self, service, caller):
        """Return the ``EncodedResponse`` for a caller, or a ``Refusal``."""
        refusal = self._check_service(service)
        if refusal:
            return refusal
        routing = self._routing
        origin = routing.find_origin(caller)
        targets = routing.choose(caller, service, origin)
        if not targets:
            return make_refusal(Code.NOT_READY, NOT_READY_RETRY_S)
        return self._encode(service, origin, targets)

    def _encode(self, service, origin, targets):
        choices = b", ".join([self._get_choice(service, t) for t in targets])
        tail = self._get_tail(service, origin, self._routing.versions)
        body = b'{"choices": [' + choices + tail
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
            (b"cache-control", self._cache_control),
            *self._extra_headers,
        ]
        return EncodedResponse(
            {"type": "http.response.start", "status": 200, "headers": headers},
            {"type": "http.response.body", "body": body},
        )

    def _get_choice(self, service, target):
        key = (service, target)
        choice = self._choice_by_key.get(key)
        if choice is None:
            port = self._context.settings["entry_port"]
            value = {
                "vm": target.vm,
                "availability_zone": target.availability_zone,
                "url": f"http://{target.address}:{port}/s/{service}",
            }
            choice = self._cache(self._choice_by_key, key, json.dumps(value))
        return choice

    def _get_tail(self, service, origin, versions):
        key = (service, origin, versions)
        tail = self._tail_by_key.get(key)
        if tail is None:
            value = {
                "service": service,
                "max_age_s": self._max_age_s,
                "plan_version": versions[1],
                "config_version": versions[0],
                "origin_zone": origin,
            }
            text = "], " + json.dumps(value).removeprefix("{")
            tail = self._cache(self._tail_by_key, key, text)
        return tail

    @staticmethod
    def _cache(cache, key, text):
        if len(cache) >= MAX_CACHED_PARTS:
            cache.clear()
        cache[key] = text.encode()
        return cache[key]

    def _get_caller(self, scope):
        if self._trusts_header:
            for name, value in scope["headers"]:
                if name == _CALLER_HEADER:
                    return value.decode("latin-1")
        client = scope["client"]
        return client[0] if client else ""

    async def _post_ticket(self, request):
        service = request.path_params["service"]
        refusal = self._check_service(service)
        if refusal:
            return self._refuse(refusal)
        caller = self._get_caller(request.scope)
        was_redirected = "from" in request.query_params
        outcome = self._tickets.answer(
            caller, service, request.url.path, was_redirected
        )
        return outcome if isinstance(outcome, Response) else self._refuse(outcome)

    def _check_service(self, service):
        if not self._routing.is_ready():
            return make_refusal(Code.NOT_READY, NOT_READY_RETRY_S)
        if service not in self._routing.config.service_by_name:
            return make_refusal(Code.UNKNOWN_SERVICE)
        return None

    def _refuse(self, refusal):
        self._counters.add("steer_refused", code=refusal.code.name)
        return make_problem(refusal)
