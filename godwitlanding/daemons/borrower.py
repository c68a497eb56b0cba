"""Tracks the upstreams that an arbiter has on loan, and until when.

An arbiter may take over while its service is fully loaded. It grants only
slots of upstreams that their owners lend to it, for a time that counts from
its loan request, and only to holders that the owners could name to the next
arbiter. ``loan`` has the owner's side and the reasons for the durations.
Pure: ``now`` is seconds of one monotonic clock.
"""

from typing import NamedTuple

from godwitlanding.base.messages import FORMER_NONE, GiveBack, Holder, Loan
from godwitlanding.daemons.loan import CLOCK_RATE_MARGIN


class BorrowedUpstream(NamedTuple):
    """An upstream that the arbiter may use until ``until``.

    The arbiter grants nothing on it for ``blocked_s`` (0 for no block) or
    until every one of ``ask_holders`` has reported its open permits.
    ``ask_holders`` is ``None`` where the holders are unknown.
    """

    upstream: str
    until: float
    is_new: bool
    blocked_s: float = 0.0
    ask_holders: tuple[Holder, ...] | None = None


class Borrower:
    """The upstreams that the arbiter of one service has on loan."""

    def __init__(self, arbiter, service):
        self._arbiter = arbiter
        self._service = service
        self._until_by_upstream_by_owner = {}
        self._holders = set()
        self._known_holders_by_owner = {}
        self._last_request_by_owner = {}
        self._number = 0

    def add_holder(self, holder):
        """Add an entry process that requests permits."""
        self._holders.add(holder)

    def remove_holder(self, holder):
        """Remove an entry process that has no open permits."""
        self._holders.discard(holder)

    def may_grant_to(self, holder, now):
        """Tell whether every lender knows ``holder``.

        A lender that does not know it can't name it to the next arbiter,
        which would not ask for its permits and grant their slots twice.
        """
        return holder in self._holders and not self.get_uninformed_lenders(holder, now)

    def get_uninformed_lenders(self, holder, now):
        """Return the lenders that do not know ``holder`` yet."""
        return [
            owner
            for owner, until_by_upstream in self._until_by_upstream_by_owner.items()
            if any(until > now for until in until_by_upstream.values())
            and holder not in self._known_holders_by_owner.get(owner, ())
        ]

    def make_loan(self, owner, now):
        """Return the loan request for ``owner``."""
        until_by_upstream = self._until_by_upstream_by_owner.get(owner, {})
        holding = [u for u, until in until_by_upstream.items() if until > now]
        self._number += 1
        self._last_request_by_owner[owner] = self._number
        return Loan(
            self._arbiter,
            self._service,
            tuple(sorted(self._holders)),
            tuple(sorted(holding)),
            self._number,
        )

    def make_give_back(self):
        """Return the message that ends all loans of an owner."""
        self._number += 1
        return GiveBack(self._arbiter, self._service, self._number)

    def accept_lent(self, owner, loan, lent, asked_at, longest_permit_s, now):
        """Apply an owner's response; return upstreams gained and lost.

        The gained ones are a list of ``BorrowedUpstream``, the lost ones
        are names. Only the response to the last request is applied: an
        earlier one may list upstreams that the owner regards as returned.
        """
        if self._last_request_by_owner.get(owner) != loan.number:
            return [], []
        # A holder was added after the request was sent. This lender does
        # not know it and could not name it to the next arbiter.
        if self._holders - set(loan.holders):
            return [], []
        before = self._until_by_upstream_by_owner.get(owner, {})
        until = asked_at + lent.valid_s
        gained = []
        for upstream, former in zip(lent.upstreams, lent.former_arbiters):
            is_new = before.get(upstream, 0.0) <= now or former != self._arbiter
            borrowed = BorrowedUpstream(upstream, until, is_new)
            if former not in (self._arbiter, FORMER_NONE):
                asks = lent.holders if former else None
                blocked_s = longest_permit_s * CLOCK_RATE_MARGIN
                borrowed = BorrowedUpstream(upstream, until, True, blocked_s, asks)
            gained.append(borrowed)
        now_held = dict.fromkeys(lent.upstreams, until)
        self._until_by_upstream_by_owner[owner] = now_held
        self._known_holders_by_owner[owner] = frozenset(loan.holders)
        return gained, sorted(set(before) - set(now_held))

    def drop_owner(self, owner):
        """End the loans of an owner; return its upstreams."""
        self._known_holders_by_owner.pop(owner, None)
        self._last_request_by_owner.pop(owner, None)
        return sorted(self._until_by_upstream_by_owner.pop(owner, {}))

    def get_owners(self):
        """Return the owners that have lent upstreams, in order."""
        return sorted(self._until_by_upstream_by_owner)

    def get_upstreams(self, now):
        """Return the upstreams on loan at ``now``, in order."""
        return sorted(
            upstream
            for until_by_upstream in self._until_by_upstream_by_owner.values()
            for upstream, until in until_by_upstream.items()
            if until > now
        )
