"""The HTTP side of ``steer``: where to go, and tickets."""

import asyncio
import json
import time
import uuid

from starlette.applications import Starlette
from starlette.responses import JSONResponse, RedirectResponse
from starlette.routing import Route

from godwitlanding.codes import Code, make_refusal
from godwitlanding.kernel import Service
from godwitlanding.ticket import JOURNALED, MEMORY_ONLY, Ticket, issue_ticket
from godwitlanding.web import make_problem, make_status_routes

_STEER_PATH = "/v1/steer/"
# Callers that find the process without a configuration come back soon: it
# has one as soon as a peer answers, which takes well under a second.
NOT_READY_RETRY_S = 1.0


class Answers(Service):
    """Answers look-ups and issues tickets from the view."""

    name = "answers"
    needs = ("view",)

    def __init__(self, context):
        self._context = context
        self._counters = context.counters
        self._view = None
        self._kernel = None
        self._trusts_header = context.settings["trust_caller_header"]
        self._max_age_s = context.settings["steer_max_age_s"]
        routes = make_status_routes(
            lambda: self._kernel, self._counters, lambda: self._view.is_ready()
        )
        routes += [
            Route("/v1/steer/{service}", self.get_choices, methods=["GET"]),
            Route("/v1/tickets/{service}", self.post_ticket, methods=["POST"]),
        ]
        self.app = Starlette(routes=routes)

    async def start(self, kernel):
        """Find the view."""
        self._kernel = kernel
        self._view = kernel.get("view")

    async def get_choices(self, request):
        """Answer a look-up with the ordered choices of its caller."""
        service = request.path_params["service"]
        refusal = self._find_refusal(service)
        if refusal:
            return self._refuse(refusal)
        caller = self._find_caller(request)
        origin = self._view.find_origin(caller)
        targets = self._view.choose(caller, service, origin)
        if not targets:
            return self._refuse(make_refusal(Code.NOT_READY, NOT_READY_RETRY_S))
        self._counters.add("steer_answers", service=service)
        headers = {"Cache-Control": f"private, max-age={self._max_age_s:g}"}
        return JSONResponse(self._describe(service, origin, targets), headers=headers)

    async def post_ticket(self, request):
        """Issue a ticket whose home is an entry process of this zone."""
        service = request.path_params["service"]
        refusal = self._find_refusal(service)
        if refusal:
            return self._refuse(refusal)
        caller = self._find_caller(request)
        origin = self._view.find_origin(caller)
        ranked = self._view.rank_zones(caller, service, origin)
        elsewhere = self._find_other_steer(request, ranked, caller)
        if elsewhere:
            self._counters.add("tickets_redirected", service=service)
            return RedirectResponse(elsewhere, 307, {"Cache-Control": "no-store"})
        return self._issue(service, caller)

    def _issue(self, service, caller):
        secret = self._context.replica.get("secret", "ticket")
        home = self._find_home(caller)
        if home is None or secret is None:
            return self._refuse(make_refusal(Code.NOT_READY, NOT_READY_RETRY_S))
        kind = JOURNALED if home.platform_reachable else MEMORY_ONLY
        ticket = Ticket(
            service,
            kind,
            home.vm,
            home.entry_incarnation,
            int(time.time()),
            uuid.uuid4().hex,
        )
        key = bytes.fromhex(json.loads(secret.body)["key"])
        self._counters.add("tickets_issued", service=service, kind=kind)
        body = {
            "ticket": issue_ticket(key, ticket),
            "url": self._make_entry_url(home.address, service),
            "service": service,
            "expires_in_s": self._context.settings["ticket_keep_s"],
        }
        return JSONResponse(body, 201, {"Cache-Control": "no-store"})

    def _find_home(self, caller):
        zone = self._context.availability_zone
        targets = self._view.rank_targets(caller, zone)
        members = (self._view.member_by_vm.get(target.vm) for target in targets)
        return next((m for m in members if m and m.entry_incarnation), None)

    def _find_other_steer(self, request, ranked, caller):
        """Return the URL of the planned zone's steer, if it should issue."""
        # Two zones with different versions of the plan could send a caller
        # back and forth; the one that a caller was sent to issues.
        if "from" in request.query_params or not ranked:
            return None
        own = self._context.availability_zone
        zone = next((z for z in ranked if self._view.targets_by_zone.get(z)), own)
        if zone == own or not self._view.is_fresh(zone):
            return None
        target = self._view.rank_targets(caller, zone)[0]
        port = self._context.settings["steer_port"]
        return f"http://{target.address}:{port}{request.url.path}?from={own}"

    def _describe(self, service, origin, targets):
        return {
            "service": service,
            "choices": [
                {
                    "vm": target.vm,
                    "availability_zone": target.availability_zone,
                    "url": self._make_entry_url(target.address, service),
                }
                for target in targets
            ],
            "max_age_s": self._max_age_s,
            "plan_version": self._view.plan_version,
            "config_version": self._view.config_version,
            "origin_zone": origin,
        }

    def _make_entry_url(self, address, service):
        port = self._context.settings["entry_port"]
        return f"http://{address}:{port}/s/{service}"

    def _find_caller(self, request):
        if self._trusts_header and "x-caller" in request.headers:
            return request.headers["x-caller"]
        return request.client.host if request.client else ""

    def _find_refusal(self, service):
        if self._view.config is None:
            return make_refusal(Code.NOT_READY, NOT_READY_RETRY_S)
        if service not in self._view.config.service_by_name:
            return make_refusal(Code.UNKNOWN_SERVICE)
        return None

    def _refuse(self, refusal):
        self._counters.add("steer_refused", code=refusal.code.name)
        return make_problem(refusal)


class Leave(Service):
    """Keeps answering for one max-age after a stop was asked for.

    The first answer after the signal names this VM no more, and a caller
    that still asks here is told where to go instead of being cut off.
    """

    name = "leave"
    needs = ("steer_http", "view")

    def __init__(self, context):
        self._max_age_s = context.settings["steer_max_age_s"]
        self._limit_s = context.settings["stop_limit_s"]
        self._view = None

    async def start(self, kernel):
        """Find the view."""
        self._view = kernel.get("view")

    async def stop(self):
        """Leave the answers, then go on answering for one max-age."""
        self._view.leave()
        await asyncio.sleep(min(self._max_age_s, self._limit_s))
