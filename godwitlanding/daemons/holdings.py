"""The permits that an entry process holds, and whose grants it may use.

Load pattern: an arbiter dies or is paused, another takes its place, and a
grant of the former one arrives late. Without the checks here both grants
would be used and an upstream would run more than its licensed slots, which
shows as work that the upstream sheds or as a licence overrun.

Pure: ``now`` is passed in, in seconds of the process's monotonic clock.

>>> book = PermitBook(start_s=0.5)
>>> permit = book.accept(granted, 1.0, "127.0.1.1:7101", now=1.1).unwrap()
>>> book.may_dispatch(permit, now=1.2)
True
"""

from typing import NamedTuple

from result import Err, Ok

from godwitlanding.base.messages import Held, HeldPermit

STALE = "stale_arbiter"
EXPIRED = "expired"


class Permit(NamedTuple):
    """A permit in use; ``until`` ends it, ``start_until`` its first use."""

    permit_id: int
    upstream: str
    upstream_address: str
    arbiter: str
    arbiter_address: str
    start_until: float
    until: float
    waited_s: float


class Spill(NamedTuple):
    """Leave to hand the request to another zone, until ``until``."""

    availability_zone: str
    until: float
    arbiter_address: str
    service: str
    ask_id: str


class HeldPermits:
    """Open permits of one process, and the arbiter heeded by upstream."""

    def __init__(self, start_s):
        self._start_s = start_s
        self._permit_by_key = {}
        self._arbiter_by_upstream = {}

    def __len__(self):
        return len(self._permit_by_key)

    def answer(self, holdings, now):
        """Heed only this arbiter on its upstreams; return what is open.

        The arbiter counts these permits and grants the rest of the slots.
        A grant of another arbiter that is still under way would come on
        top, so from this answer on ``accept`` turns it away.
        """
        for upstream in holdings.upstreams:
            self._arbiter_by_upstream[upstream] = holdings.arbiter
        asked = frozenset(holdings.upstreams)
        return Held(
            tuple(
                HeldPermit(permit.permit_id, permit.upstream, permit.until - now)
                for permit in self._permit_by_key.values()
                if permit.upstream in asked and permit.until > now
            )
        )

    def accept(self, granted, asked_at, address, now):
        """Return ``Ok(permit)``, or ``Err`` with why it must go back.

        Validity counts from when this process asked, which is before the
        arbiter granted, so the holder's view always ends first.
        """
        current_arbiter = self._arbiter_by_upstream.get(
            granted.upstream, granted.arbiter
        )
        if current_arbiter != granted.arbiter:
            return Err(STALE)
        permit = Permit(
            granted.permit_id,
            granted.upstream,
            granted.address,
            granted.arbiter,
            address,
            asked_at + granted.waited_s + self._start_s,
            asked_at + granted.valid_s,
            granted.waited_s,
        )
        if not self._is_current(permit, now):
            return Err(EXPIRED)
        self._permit_by_key[(permit.arbiter, permit.permit_id)] = permit
        return Ok(permit)

    def may_dispatch(self, permit, now):
        """Check again right before the first byte goes to the upstream.

        The process may have been paused since it accepted the permit; the
        arbiter may meanwhile have given the slot to another.
        """
        current_arbiter = self._arbiter_by_upstream.get(permit.upstream, permit.arbiter)
        is_open = (permit.arbiter, permit.permit_id) in self._permit_by_key
        # One that is still open was reported in ``answer``, so the new
        # arbiter counts it: whom the process heeds by now does not matter.
        return (is_open or current_arbiter == permit.arbiter) and self._is_current(
            permit, now
        )

    def end(self, permit):
        """Forget a permit that is given back."""
        self._permit_by_key.pop((permit.arbiter, permit.permit_id), None)

    def _is_current(self, permit, now):
        return now < permit.until and now <= permit.start_until
