"""Issues tickets for non-idempotent work."""

import time
import uuid

from starlette.responses import JSONResponse, RedirectResponse

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.kernel import Service
from godwitlanding.daemons.ticket import JOURNALED, MEMORY_ONLY, Ticket, issue_ticket

NO_STORE = {"Cache-Control": "no-store"}
NOT_READY_RETRY_S = 1.0


class Tickets(Service):
    """Issues a ticket with a home in this zone or redirects the caller."""

    name = "tickets"
    needs = ("feed", "routing")

    def __init__(self, context):
        self._context = context
        self._view = None
        self._routing = None

    async def start(self, kernel):
        """Look up the view and the routing."""
        self._view = kernel.get("feed").view
        self._routing = kernel.get("routing")

    def answer(self, caller, service, path, was_redirected):
        """Return the response, or a refusal if no ticket can be issued.

        ``was_redirected`` is true if another zone redirected the caller here.
        """
        origin = self._routing.find_origin(caller)
        ranked = self._routing.rank_zones(caller, service, origin)
        # Two zones with different versions of the plan would redirect a caller
        # back and forth; the second zone issues the ticket.
        other = "" if was_redirected else self._find_redirect_url(caller, ranked)
        if other:
            self._context.counters.add("tickets_redirected", service=service)
            own = self._context.availability_zone
            return RedirectResponse(f"{other}{path}?from={own}", 307, NO_STORE)
        home = self._find_home(caller)
        key = self._view.get_ticket_key()
        if home is None or key is None:
            return make_refusal(Code.NOT_READY, NOT_READY_RETRY_S)
        return self._issue(service, home, key)

    def _issue(self, service, home, key):
        kind = JOURNALED if home.platform_reachable else MEMORY_ONLY
        ticket = Ticket(
            service,
            kind,
            home.vm,
            home.entry_incarnation,
            int(time.time()),
            uuid.uuid4().hex,
        )
        self._context.counters.add("tickets_issued", service=service, kind=kind)
        port = self._context.settings["entry_port"]
        body = {
            "ticket": issue_ticket(key, ticket),
            "url": f"http://{home.address}:{port}/s/{service}",
            "service": service,
            "expires_in_s": self._context.settings["ticket_keep_s"],
        }
        return JSONResponse(body, 201, NO_STORE)

    def _find_home(self, caller):
        zone = self._context.availability_zone
        for target in self._routing.rank_targets(caller, zone):
            member = self._view.find_member(target.vm)
            if member and member.entry_incarnation:
                return member
        return None

    def _find_redirect_url(self, caller, ranked_zones):
        """Return the URL of a steer daemon of the planned zone.

        Returns ``""`` if this zone issues the ticket.
        """
        own = self._context.availability_zone
        serving = (z for z in ranked_zones if self._routing.targets_by_zone.get(z))
        zone = next(serving, own)
        # A zone without a recent summary may be unreachable for callers too.
        if zone == own or not self._routing.is_fresh(zone):
            return ""
        target = self._routing.rank_targets(caller, zone)[0]
        return f"http://{target.address}:{self._context.settings['steer_port']}"
