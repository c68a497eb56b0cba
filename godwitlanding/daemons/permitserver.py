"""Serves the permits of one service in a zone daemon, without the network.

Combines the ``Arbiter`` with its loans, the requests that wait for a
response and the holders of open permits. The service ``arbitration`` passes
messages and the time to it.
"""

from typing import NamedTuple

from godwitlanding.base.messages import OUTCOME_UNUSED, Granted, PassOn, Refused
from godwitlanding.daemons.arbiter import Ask, Grant, Spill
from godwitlanding.daemons.borrower import Borrower

# Each incarnation of an arbiter uses a permit id range of its own, so that
# it can tell reported permits of former arbiters from those it granted.
PERMIT_ID_BITS = 32


class _Open(NamedTuple):
    holder: tuple
    until: float


class PendingHolders(NamedTuple):
    """Holders that have not yet reported their permits on an upstream.

    ``waiting`` is ``{None}`` where the holders are unknown; the block then
    lasts until ``until``.
    """

    waiting: set
    until: float


class PermitServer:
    """Responds to requests for permits of one service."""

    def __init__(self, incarnation, arbiter, first_permit_id):
        self.service = arbiter.service
        self.active = False
        self.borrower = Borrower(incarnation, arbiter.service)
        self.arbiter = arbiter
        self.pending_by_upstream = {}
        self.counts = {"arrivals": 0, "served": 0, "refused": 0, "passed_on": 0}
        self._incarnation = incarnation
        self._first_permit_id = first_permit_id
        self._answer_by_request = {}
        self._arrived_by_request = {}
        self._valid_s_by_request = {}
        self._holder_by_request = {}
        self._open_by_permit = {}
        self._spilled = set()
        self._address_by_upstream = {}

    def set_addresses(self, address_by_upstream):
        """Set the ``ip:port`` of each upstream of the service."""
        self._address_by_upstream = address_by_upstream

    def acquire(self, key, holder, message, deadline_s, answer, now):
        """Queue a request; calls ``answer(message)`` once with the response.

        ``deadline_s`` and ``message.remaining_s`` both limit its time.
        """
        remaining_s = min(message.remaining_s, deadline_s)
        self._answer_by_request[key] = answer
        self._arrived_by_request[key] = now
        self._valid_s_by_request[key] = remaining_s
        self._holder_by_request[key] = holder
        self.counts["arrivals"] += 1
        ask = Ask(
            request_id=key,
            caller=message.caller,
            priority=message.priority,
            deadline=now + remaining_s,
            fingerprint=message.fingerprint,
            excluded_upstreams=frozenset(message.excluded_upstreams),
            attempt=message.attempt,
            # A request changes zone only once, or zones could forward it
            # to each other in an endless loop.
            may_pass_on=message.may_pass_on and not message.arrived_from_zone,
        )
        self.answer_decisions(self.arbiter.acquire(ask, now), now)

    def withdraw(self, key, now):
        """Remove a request, or end its spill."""
        if key in self._spilled:
            self._spilled.discard(key)
            self.answer_decisions(self.arbiter.end_spill(key, now), now)
            return
        self._forget(key)
        self.answer_decisions(self.arbiter.withdraw(key, now), now)

    def release(self, message, now, tells_of_upstream=True):
        """Free the slot of a returned permit, as ``Arbiter.release``."""
        self._open_by_permit.pop(message.permit_id, None)
        if message.outcome not in (OUTCOME_UNUSED,):
            self.counts["served"] += 1
        self.answer_decisions(
            self.arbiter.release(
                message.permit_id,
                message.outcome,
                message.took_s,
                now,
                tells_of_upstream,
            ),
            now,
        )

    def answer_decisions(self, decisions, now):
        """Send the responses to decided requests."""
        for decision in decisions:
            key = decision.request_id
            answer = self._answer_by_request.get(key)
            outcome = decision.outcome
            if isinstance(outcome, Grant) and answer is None:
                # Withdrawn before the grant: the slot is freed at once.
                more = self.arbiter.release(outcome.permit_id, OUTCOME_UNUSED, 0.0, now)
                self.answer_decisions(more, now)
            elif answer:
                message = self._make_answer(key, outcome, now)
                self._forget(key)
                answer(message)

    def tick(self, now):
        """Run what is due at ``now``."""
        self._end_blocks(now)
        self.answer_decisions(self.arbiter.tick(now), now)

    def add_borrowed(self, borrowed, slots, now):
        """Add a lent upstream; return the holders to ask for open permits."""
        ask = ()
        if borrowed.blocked_s:
            until = now + borrowed.blocked_s
            # A shorter block must not end a current one early.
            former = self.pending_by_upstream.get(borrowed.upstream)
            until = max(until, former.until if former else 0.0)
            self.arbiter.block(borrowed.upstream, until)
            known = borrowed.ask_holders is not None and former is None
            ask = borrowed.ask_holders if known else ()
            waiting = set(ask) if known else {None}
            self.pending_by_upstream[borrowed.upstream] = PendingHolders(waiting, until)
        self.answer_decisions(
            self.arbiter.set_loan(borrowed.upstream, slots, borrowed.until, now), now
        )
        if borrowed.blocked_s and known and not ask:
            self._unblock(borrowed.upstream, now)
        return ask

    def stop_granting(self, upstreams):
        """Stop granting on upstreams that are no longer lent."""
        for upstream in upstreams:
            self.arbiter.end_loan(upstream)

    def add_held_permits(self, holder, upstreams, held, now):
        """Add a holder's open permits.

        Unblocks the upstreams on which all holders have reported.
        """
        for permit in held.permits:
            if not self._is_own(permit.permit_id):
                until = now + permit.valid_s
                self._open_by_permit[permit.permit_id] = _Open(holder, until)
                self.arbiter.add_open_permit(permit.permit_id, permit.upstream, until)
        for upstream in upstreams:
            pending = self.pending_by_upstream.get(upstream)
            if pending:
                pending.waiting.discard(holder)
                if not pending.waiting:
                    self._unblock(upstream, now)

    def get_pending_upstreams(self):
        """Return the upstreams with pending reports, by holder."""
        upstreams_by_holder = {}
        for upstream, pending in self.pending_by_upstream.items():
            for holder in pending.waiting - {None}:
                upstreams_by_holder.setdefault(holder, []).append(upstream)
        return upstreams_by_holder

    def list_holders(self, now):
        """Return the holders that have open permits."""
        for permit_id, open_permit in list(self._open_by_permit.items()):
            if open_permit.until <= now:
                del self._open_by_permit[permit_id]
        return {open_permit.holder for open_permit in self._open_by_permit.values()}

    def close(self, refusal):
        """Stop being the arbiter; send ``refusal`` to all waiting requests."""
        self.active = False
        for key, answer in list(self._answer_by_request.items()):
            self._forget(key)
            answer(refusal)

    def get_warm_share(self, now):
        """Return the mean warmth of the upstreams on loan, from 0 to 1."""
        upstreams = self.borrower.get_upstreams(now)
        if not upstreams:
            return 0.0
        shares = [self.arbiter.warmup.get_share(u, now) for u in upstreams]
        return round(sum(shares) / len(shares), 3)

    def get_status(self, now):
        """Return the state of queue, permits and loans for operators."""
        return {
            **self.arbiter.get_status(now),
            "active": self.active,
            "on_loan": self.borrower.get_upstreams(now),
            "collecting": sorted(self.pending_by_upstream),
            **self.counts,
        }

    def _make_answer(self, key, outcome, now):
        arrived = self._arrived_by_request[key]
        if isinstance(outcome, Grant):
            holder = self._holder_by_request[key]
            self._open_by_permit[outcome.permit_id] = _Open(holder, outcome.until)
            return Granted(
                permit_id=outcome.permit_id,
                upstream=outcome.upstream,
                address=self._address_by_upstream.get(outcome.upstream, ""),
                valid_s=outcome.until - arrived,
                arbiter=self._incarnation,
                waited_s=outcome.waited_s,
            )
        if isinstance(outcome, Spill):
            self._spilled.add(key)
            self.counts["passed_on"] += 1
            valid_s = self._valid_s_by_request[key]
            return PassOn(outcome.availability_zone, valid_s, outcome.waited_s)
        self.counts["refused"] += 1
        return Refused(
            outcome.code.value, outcome.retry_after_s, now - arrived, outcome.detail
        )

    def _is_own(self, permit_id):
        return 0 <= permit_id - self._first_permit_id < 1 << PERMIT_ID_BITS

    def _forget(self, key):
        self._answer_by_request.pop(key, None)
        self._arrived_by_request.pop(key, None)
        self._valid_s_by_request.pop(key, None)
        self._holder_by_request.pop(key, None)

    def _unblock(self, upstream, now):
        self.pending_by_upstream.pop(upstream, None)
        self.answer_decisions(self.arbiter.unblock(upstream, now), now)

    def _end_blocks(self, now):
        for upstream, pending in list(self.pending_by_upstream.items()):
            if pending.until <= now:
                self._unblock(upstream, now)
