"""One service's arbiter as its zone daemon runs it, without the network.

Joins the pure ``Arbiter`` with the loans that it works on, the requests
that wait for an answer and the holders that may have permits. The service
``arbitration`` gives it messages and time.
"""

from typing import NamedTuple

from godwitlanding.base.messages import OUTCOME_UNUSED, Granted, PassOn, Refused
from godwitlanding.daemons.arbiter import Ask, Grant, Spill
from godwitlanding.daemons.borrower import Borrower

# Each incarnation of an arbiter numbers its permits in a range of its own,
# so that one which it is told of cannot be taken for one that it granted.
PERMIT_ID_BITS = 32


class _Open(NamedTuple):
    holder: tuple
    until: float


class PendingHolders(NamedTuple):
    """Holders that have still to tell their permits on an upstream."""

    waiting: set
    until: float


class PermitServer:
    """Answers requests for the permits of one service."""

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
        """Take the ``ip:port`` of each upstream of the service."""
        self._address_by_upstream = address_by_upstream

    def acquire(self, key, holder, message, deadline_s, answer, now):
        """Queue a request; ``answer(message)`` is called once."""
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
            # A request is passed on once: a second zone that passed it on
            # again would send it round without end.
            may_pass_on=message.may_pass_on and not message.arrived_from_zone,
        )
        self.answer_decisions(self.arbiter.acquire(ask, now), now)

    def withdraw(self, key, now):
        """Forget a request, or end its spill."""
        if key in self._spilled:
            self._spilled.discard(key)
            self.answer_decisions(self.arbiter.end_spill(key, now), now)
            return
        self._forget(key)
        self.answer_decisions(self.arbiter.withdraw(key, now), now)

    def release(self, message, now):
        """Take a permit back."""
        self._open_by_permit.pop(message.permit_id, None)
        if message.outcome not in (OUTCOME_UNUSED,):
            self.counts["served"] += 1
        self.answer_decisions(
            self.arbiter.release(
                message.permit_id, message.outcome, message.took_s, now
            ),
            now,
        )

    def answer_decisions(self, decisions, now):
        """Answer the requests that were decided."""
        for decision in decisions:
            key = decision.request_id
            answer = self._answer_by_request.get(key)
            outcome = decision.outcome
            if isinstance(outcome, Grant) and answer is None:
                # Its caller left in the same moment: the slot stays free.
                more = self.arbiter.release(outcome.permit_id, OUTCOME_UNUSED, 0.0, now)
                self.answer_decisions(more, now)
            elif answer:
                message = self._make_answer(key, outcome, now)
                self._forget(key)
                answer(message)

    def tick(self, now):
        """Let time pass."""
        self._end_blocks(now)
        self.answer_decisions(self.arbiter.tick(now), now)

    def add_borrowed(self, gain, slots, now):
        """Take an upstream on loan; return the holders to ask about it."""
        ask = ()
        if gain.blocked_s:
            until = now + gain.blocked_s
            # A shorter block must not end one that still runs.
            former = self.pending_by_upstream.get(gain.upstream)
            until = max(until, former.until if former else 0.0)
            self.arbiter.block(gain.upstream, until)
            known = gain.ask_holders is not None and former is None
            ask = gain.ask_holders if known else ()
            waiting = set(ask) if known else {None}
            self.pending_by_upstream[gain.upstream] = PendingHolders(waiting, until)
        self.answer_decisions(
            self.arbiter.set_loan(gain.upstream, slots, gain.until, now), now
        )
        if gain.blocked_s and known and not ask:
            self._unblock(gain.upstream, now)
        return ask

    def stop_granting(self, upstreams):
        """Grant nothing more on upstreams that are no longer lent."""
        for upstream in upstreams:
            self.arbiter.end_loan(upstream)

    def add_held_permits(self, holder, upstreams, held, now):
        """Take a holder's open permits; unblock what all have answered."""
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
        """Return the upstreams to ask about, by holder."""
        upstreams_by_holder = {}
        for upstream, pending in self.pending_by_upstream.items():
            for holder in pending.waiting - {None}:
                upstreams_by_holder.setdefault(holder, []).append(upstream)
        return upstreams_by_holder

    def list_holders(self, now):
        """Return the holders whose permits are open."""
        for permit_id, open_permit in list(self._open_by_permit.items()):
            if open_permit.until <= now:
                del self._open_by_permit[permit_id]
        return {open_permit.holder for open_permit in self._open_by_permit.values()}

    def close(self, refusal):
        """Be the arbiter no more: answer everyone that waits."""
        self.active = False
        for key, answer in list(self._answer_by_request.items()):
            self._forget(key)
            answer(refusal)

    def get_warm_share(self, now):
        """Return how warm the upstreams on loan are, from 0 to 1."""
        upstreams = self.borrower.get_upstreams(now)
        if not upstreams:
            return 0.0
        shares = [self.arbiter.warmup.get_share(u, now) for u in upstreams]
        return round(sum(shares) / len(shares), 3)

    def get_status(self, now):
        """Return queue, permits and loans for operators."""
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
