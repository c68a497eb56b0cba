"""The arbiter's side of loans: what it may use, and until when.

Answers the pattern of an arbiter that takes over with its service in full
use: it may grant only what owners have lent to it, for as long as it counts
from its question, and only to holders that the owners could name to the
arbiter after it. See ``loan`` for the owner's side and the grounds of the
figures. Pure: ``now`` is seconds of one monotonic clock.
"""

from typing import NamedTuple

from godwitlanding.base.messages import FORMER_NONE, GiveBack, Holder, Loan
from godwitlanding.daemons.loan import CLOCK_RATE_MARGIN


class BorrowedUpstream(NamedTuple):
    """An upstream that the arbiter may use until ``until``.

    ``blocked_s`` is how long to grant nothing on it unless every one of
    ``ask_holders`` has told its open permits before; 0 is no block.
    """

    upstream: str
    until: float
    is_new: bool
    blocked_s: float = 0.0
    ask_holders: tuple[Holder, ...] | None = None


class Borrower:
    """What the arbiter of one service has on loan."""

    def __init__(self, arbiter, service):
        self._arbiter = arbiter
        self._service = service
        self._until_by_upstream_by_owner = {}
        self._holders = set()
        self._known_holders_by_owner = {}
        self._last_request_by_owner = {}
        self._number = 0

    def add_holder(self, holder):
        """Note an entry process that asks for permits."""
        self._holders.add(holder)

    def remove_holder(self, holder):
        """Forget an entry process whose permits have all ended."""
        self._holders.discard(holder)

    def may_grant_to(self, holder, now):
        """Tell whether every lender knows that ``holder`` may have permits.

        A lender that does not know it could not name it to the next
        arbiter, which would then not ask it and grant its slots twice.
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
        """Return the question to ``owner``."""
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
        """Return the word to an owner that nothing of its is in use."""
        self._number += 1
        return GiveBack(self._arbiter, self._service, self._number)

    def accept_lent(self, owner, loan, lent, asked_at, longest_permit_s, now):
        """Take an owner's answer; return the gains and the upstreams lost.

        Only the answer to the last question counts: an earlier one may list
        what the owner has taken as given back since.
        """
        if self._last_request_by_owner.get(owner) != loan.number:
            return [], []
        # A holder that came while the question was under way: this lender
        # does not know it, and could not name it to the next arbiter.
        if self._holders - set(loan.holders):
            return [], []
        before = self._until_by_upstream_by_owner.get(owner, {})
        until = asked_at + lent.valid_s
        gains = []
        for upstream, former in zip(lent.upstreams, lent.former_arbiters):
            is_new = before.get(upstream, 0.0) <= now or former != self._arbiter
            gain = BorrowedUpstream(upstream, until, is_new)
            if former not in (self._arbiter, FORMER_NONE):
                asks = lent.holders if former else None
                blocked_s = longest_permit_s * CLOCK_RATE_MARGIN
                gain = BorrowedUpstream(upstream, until, True, blocked_s, asks)
            gains.append(gain)
        now_held = dict.fromkeys(lent.upstreams, until)
        self._until_by_upstream_by_owner[owner] = now_held
        self._known_holders_by_owner[owner] = frozenset(loan.holders)
        return gains, sorted(set(before) - set(now_held))

    def drop_owner(self, owner):
        """Use nothing more of an owner; return its upstreams."""
        self._known_holders_by_owner.pop(owner, None)
        self._last_request_by_owner.pop(owner, None)
        return sorted(self._until_by_upstream_by_owner.pop(owner, {}))

    def get_owners(self):
        """Return the owners that lend something or did."""
        return sorted(self._until_by_upstream_by_owner)

    def get_upstreams(self, now):
        """Return the upstreams on loan now."""
        return sorted(
            upstream
            for until_by_upstream in self._until_by_upstream_by_owner.values()
            for upstream, until in until_by_upstream.items()
            if until > now
        )
