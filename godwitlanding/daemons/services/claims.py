"""Runs non-idempotent requests at most once, in the home of their ticket.

The home is the entry process that a ticket is bound to. If it is gone, the
process that closes its journal becomes the home.
"""

from godwitlanding.base.codes import RUN_UNKNOWN, Code, make_refusal
from godwitlanding.base.kernel import Service
from godwitlanding.base.messages import OUTCOME_UNUSED
from godwitlanding.daemons.entrytargets import VmRow
from godwitlanding.daemons.forward import HOME
from godwitlanding.daemons.journal import Claim
from godwitlanding.daemons.journalformat import Closer
from godwitlanding.daemons.request import compute_body_fingerprint
from godwitlanding.daemons.services.claimrunner import replay_response
from godwitlanding.daemons.services.requestexecutor import Finished
from godwitlanding.daemons.services.upstreamclient import CONNECTION_REFUSED
from godwitlanding.daemons.ticket import JOURNALED, is_ticket, read_ticket

# Maximum number of successive replacements of a home that are followed.
MAX_REPLACED_HOMES = 8
# Maximum number of forwards: from the VM that received the request to the
# home, and from there to its replacement.
MAX_FORWARD_DEPTH = 3
RETRY_S = 1.0


class ClaimService(Service):
    """Runs a request with a ticket or another key at most once."""

    name = "claims"
    needs = ("feed", "passer", "journal", "once", "keys")

    def __init__(self, context):
        self._context = context
        self._counters = context.counters

    async def start(self, kernel):
        """Look up the services that are used."""
        self._view = kernel.get("feed").view
        self._passer = kernel.get("passer")
        self._journal = kernel.get("journal")
        self._once = kernel.get("once")
        self._keys = kernel.get("keys")

    async def run(self, request, sink):
        """Run a request or replay its response; return any ``Refusal``."""
        if not request.key:
            return make_refusal(Code.MISSING_TICKET)
        if not request.is_repeatable:
            detail = "non-idempotent work has to fit into memory"
            return make_refusal(Code.BODY_TOO_LARGE, detail=detail)
        if not is_ticket(request.key):
            return await self._keys.run(request, sink)
        key = self._view.get_ticket_key()
        if key is None:
            return make_refusal(Code.NOT_READY, RETRY_S, run=RUN_UNKNOWN)
        parsed = read_ticket(key, request.key)
        if parsed.is_err():
            return parsed.unwrap_err()
        ticket = parsed.unwrap()
        if ticket.service != request.service.name:
            return make_refusal(Code.BAD_TICKET, detail=f"it is for {ticket.service}")
        return await self._find_home(request, sink, ticket)

    async def _find_home(self, request, sink, ticket):
        """Run a ticket in its current home, following replaced homes."""
        home = Closer(ticket.home_vm, ticket.home_incarnation)
        closed_journals = []
        for _ in range(MAX_REPLACED_HOMES):
            if self._is_open_locally(home, ticket):
                return await self._run_locally(request, sink, ticket, closed_journals)
            closed = self._journal.get_closed(home.incarnation)
            if closed is None:
                finished = await self._forward_to_home(request, sink, home)
                if finished:
                    return finished.refusal
                if ticket.kind != JOURNALED:
                    # Only the memory of the ended home held the outcome.
                    return make_refusal(Code.OUTCOME_UNKNOWN)
                closing = await self._journal.close(home.incarnation)
                if closing.is_err():
                    return make_refusal(Code.HOME_UNREACHABLE, RETRY_S)
                closed = closing.unwrap()
            closed_journals.append(closed)
            home = closed.closed_by
        return make_refusal(Code.HOME_UNREACHABLE, RETRY_S)

    def _is_open_locally(self, home, ticket):
        if home.incarnation != self._context.incarnation:
            return False
        journal = self._journal.journal
        return (
            not journal.closed_by or ticket.kind != JOURNALED or journal.holds(ticket)
        )

    async def _run_locally(self, request, sink, ticket, closed_journals):
        fingerprint = compute_body_fingerprint(request)
        submitted = self._journal.submit(ticket, fingerprint, closed_journals)
        if submitted.is_err():
            return submitted.unwrap_err()
        claim = submitted.unwrap()
        if not isinstance(claim, Claim):
            self._counters.add("answers_replayed", service=ticket.service)
            return await replay_response(claim, sink)
        return await self._once.run(request, sink, _JournalRecord(self._journal, claim))

    async def _forward_to_home(self, request, sink, home):
        """Forward the request to ``home``; ``None`` if it is certainly gone.

        Replacing a home that only seems gone is safe, since closing its
        journal fences it. But it would have to reject its tickets from then
        on, so a home that is merely slow is not replaced.
        """
        if home.vm == self._context.vm:
            return None
        if request.forward.depth >= MAX_FORWARD_DEPTH:
            return Finished(make_refusal(Code.HOME_UNREACHABLE, RETRY_S))
        row = self._find_row(home.vm)
        if row is None:
            return None
        attempt = await self._passer.forward(request, row, HOME, request.deadline, sink)
        if attempt.code is None:
            return Finished(None)
        if attempt.outcome == OUTCOME_UNUSED:
            return Finished(
                make_refusal(
                    attempt.code, attempt.retry_after_s, attempt.detail, attempt.run
                )
            )
        is_unreached = attempt.code is Code.PEER_UNREACHABLE
        if is_unreached and self._is_gone(home, attempt.detail):
            return None
        # An earlier submission may have run there, even if this one did not.
        return Finished(make_refusal(Code.HOME_UNREACHABLE, RETRY_S, attempt.detail))

    def _find_row(self, vm):
        for row in self._view.get_vms():
            if row.vm == vm:
                return row
        member = self._view.find_member(vm)
        zone = self._context.availability_zone
        return VmRow(vm, member.address, zone) if member else None

    def _is_gone(self, home, detail):
        member = self._view.find_member(home.vm)
        if member:
            return not member.alive or member.entry_incarnation != home.incarnation
        return detail == CONNECTION_REFUSED


class _JournalRecord:
    """Adapts a claim in the journal to the ``Record`` of ``once``."""

    def __init__(self, writer, claim):
        self._writer = writer
        self._claim = claim

    async def confirm(self):
        return await self._writer.wait_recorded(self._claim)

    def withdraw(self):
        self._writer.withdraw(self._claim)

    def finish(self, outcome):
        self._writer.finish(self._claim, outcome)
