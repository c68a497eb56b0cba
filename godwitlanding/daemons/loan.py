"""Lends an owner's upstreams to the arbiters that grant their slots.

For the pooled queue of a service to work, one arbiter has to grant the slots
of all upstreams, and its right to do so must expire when it crashes, is
paused or is partitioned. Without loans, either each member would keep a
share (slots would be idle while requests are queued) or two arbiters would
grant the same slot (upstreams would be overloaded). ``loan_s`` is five
heartbeats, which tolerates two lost renewals. It is also the time for which
slots are idle after an arbiter crashes.

The owner counts a loan from its response and the arbiter from its request,
so a loan ends later at the owner. Pure: ``now`` is seconds of one monotonic
clock, which the two sides do not share.
"""

from typing import NamedTuple

from godwitlanding.base.messages import FORMER_NONE, Holder, Lent

# The clocks of two machines run at slightly different rates.
CLOCK_RATE_MARGIN = 1.01


class Handover(NamedTuple):
    """What the former owner of an upstream passes to the new one.

    ``turn`` increases with each change of the owner. A previous owner that
    gets the upstream back thereby notices a change that it missed.
    """

    to_incarnation: str
    former_arbiter: str
    holders: tuple[Holder, ...] = ()
    turn: int = 0


class _Owned:
    """The loan state of an upstream of this owner."""

    def __init__(self, handover, former, may_lend_at):
        self.handover = handover
        self.former = former
        self.borrower = ""
        self.is_confirmed = False
        self.may_lend_at = may_lend_at
        self.lent_until = 0.0
        self.releasing = False


class Lender:
    """Lends the upstreams of an owner, each to one arbiter at a time."""

    def __init__(self, incarnation, loan_s, started_at):
        self._incarnation = incarnation
        self._loan_s = loan_s
        self._started_at = started_at
        self._owned_by_upstream = {}
        self._reported_by_holder = {}
        self._number_by_arbiter = {}

    def set_owned(self, handover_by_upstream, now):
        """Set the upstreams that this owner has in the roster.

        A handover is valid only for the incarnation that it names. A
        restarted process does not know what its predecessor has lent, so
        it lends nothing until the longest of those loans has ended.
        """
        for upstream in set(self._owned_by_upstream) - set(handover_by_upstream):
            del self._owned_by_upstream[upstream]
        for upstream, handover in handover_by_upstream.items():
            owned = self._owned_by_upstream.get(upstream)
            if owned is None or owned.handover != handover:
                self._owned_by_upstream[upstream] = self._make_owned(handover, now)

    def get_owned(self):
        """Return the upstreams of this owner."""
        return frozenset(self._owned_by_upstream)

    def lend(self, loan, upstreams, longest_permit_s, now):
        """Return the ``Lent`` response to a ``Loan`` request.

        ``upstreams`` are those of the request's service.
        """
        known = self._list_holders(now, longest_permit_s)
        if self._is_outdated(loan):
            return Lent((), 0.0)
        for holder in loan.holders:
            self._reported_by_holder[holder] = now
        lent = []
        former = []
        for upstream in upstreams:
            owned = self._owned_by_upstream.get(upstream)
            if owned is None:
                continue
            self._update_confirmation(owned, upstream, loan)
            if not self._may_lend(owned, loan.arbiter, now):
                continue
            if owned.borrower != loan.arbiter:
                owned.former = self._get_last_borrower(owned, longest_permit_s, now)
                owned.borrower = loan.arbiter
                owned.is_confirmed = False
            lent.append(upstream)
            former.append(self._get_former(owned))
            owned.lent_until = now + self._loan_s * CLOCK_RATE_MARGIN
        return Lent(tuple(lent), self._loan_s, tuple(former), known)

    def give_back(self, message, upstreams):
        """End the loans of ``upstreams`` to the arbiter of the message."""
        if self._is_outdated(message):
            return
        for upstream in upstreams:
            owned = self._owned_by_upstream.get(upstream)
            if owned and owned.borrower == message.arbiter:
                owned.lent_until = 0.0

    def set_releasing(self, upstream, releasing):
        """Set whether an upstream is being released and no longer lent."""
        if upstream in self._owned_by_upstream:
            self._owned_by_upstream[upstream].releasing = releasing

    def is_free(self, upstream, now):
        """Tell whether no arbiter can have the upstream on loan."""
        owned = self._owned_by_upstream.get(upstream)
        if owned is None:
            return True
        return max(owned.lent_until, owned.may_lend_at) <= now

    def make_handover(self, upstream, to_incarnation, longest_permit_s, now):
        """Return the ``Handover`` of an upstream for the next owner."""
        owned = self._owned_by_upstream[upstream]
        former = self._get_last_borrower(owned, longest_permit_s, now)
        # A borrower that may not have received the loan has not collected
        # the open permits of the former one, so they are unknown.
        if owned.borrower and not owned.is_confirmed:
            former = ""
        holders = self._list_holders(now, longest_permit_s)
        return Handover(to_incarnation, former, holders)

    def get_status(self, now):
        """Return the loan of each upstream for operators."""
        return {
            upstream: {
                "arbiter": owned.borrower if owned.lent_until > now else "",
                "lent_s": round(max(0.0, owned.lent_until - now), 2),
                "releasing": owned.releasing,
            }
            for upstream, owned in sorted(self._owned_by_upstream.items())
        }

    def _make_owned(self, handover, now):
        if handover is None or handover.to_incarnation != self._incarnation:
            wait_s = self._loan_s * CLOCK_RATE_MARGIN
            return _Owned(handover, "", self._started_at + wait_s)
        for holder in handover.holders:
            self._reported_by_holder[holder] = now
        return _Owned(handover, handover.former_arbiter, now)

    def _is_outdated(self, message):
        # A message of a broken connection may be read after messages of the
        # next one. Upstreams that it lists as unused may be in use by now.
        key = (message.arbiter, message.service)
        if message.number <= self._number_by_arbiter.get(key, 0):
            return True
        self._number_by_arbiter[key] = message.number
        return False

    def _update_confirmation(self, owned, upstream, loan):
        if owned.borrower != loan.arbiter:
            return
        if upstream in loan.holding:
            owned.is_confirmed = True
        else:
            # The arbiter has one open request at a time and drops late
            # responses, so it can't start to use what it does not list.
            owned.lent_until = 0.0

    def _may_lend(self, owned, arbiter, now):
        if owned.releasing or owned.may_lend_at > now:
            return False
        return owned.borrower == arbiter or owned.lent_until <= now

    def _get_former(self, owned):
        """Return the arbiter whose permits may be open, for the borrower.

        It is the borrower itself once it has confirmed the loan.
        """
        return owned.borrower if owned.is_confirmed else owned.former

    def _get_last_borrower(self, owned, longest_permit_s, now):
        if owned.borrower or owned.former:
            return owned.borrower or owned.former
        all_ended_at = owned.may_lend_at + longest_permit_s * CLOCK_RATE_MARGIN
        return FORMER_NONE if now >= all_ended_at else ""

    def _list_holders(self, now, longest_permit_s):
        keep_s = (self._loan_s + longest_permit_s) * CLOCK_RATE_MARGIN
        for holder, at in list(self._reported_by_holder.items()):
            if now - at > keep_s:
                del self._reported_by_holder[holder]
        return tuple(sorted(self._reported_by_holder))
