"""Tracks the permits that an entry process holds and rejects stale grants.

An arbiter may crash or be paused and be replaced while one of its grants is
still in transit. Without these checks the process would use that grant as
well, and an upstream would run more requests than its licensed slots, which
shows as load that the upstream sheds or as a licence overrun.

Pure: ``now`` is passed in, in seconds of the process's monotonic clock.

>>> book = HeldPermits(start_s=0.5)
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
    """A permit: its first use is by ``start_until``, it ends at ``until``."""

    permit_id: int
    upstream: str
    upstream_address: str
    arbiter: str
    arbiter_address: str
    start_until: float
    until: float
    waited_s: float


class Spill(NamedTuple):
    """Permission to send the request to another zone, until ``until``."""

    availability_zone: str
    until: float
    arbiter_address: str
    service: str
    ask_id: str


class HeldPermits:
    """Open permits of a process and the current arbiter of each upstream."""

    def __init__(self, start_s):
        self._start_s = start_s
        self._permit_by_key = {}
        self._arbiter_by_upstream = {}

    def __len__(self):
        return len(self._permit_by_key)

    def answer(self, holdings, now):
        """Accept a new arbiter for its upstreams; return the open permits.

        The arbiter counts these permits and grants the remaining slots. A
        grant of another arbiter that is still in transit would exceed
        them, so ``accept`` rejects it from now on.
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
        """Return ``Ok(permit)``, or ``Err`` with why it must be returned.

        Validity counts from the time of the request, which is before the
        grant, so a permit ends at its holder before it ends at the arbiter.
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
        """Check a permit again right before the request is sent.

        The process may have been paused since it accepted the permit, and
        the arbiter may have granted the slot again since.
        """
        current_arbiter = self._arbiter_by_upstream.get(permit.upstream, permit.arbiter)
        is_open = (permit.arbiter, permit.permit_id) in self._permit_by_key
        # An open permit was reported in ``answer`` and is counted by the
        # new arbiter, so it stays valid after a change of arbiter.
        return (is_open or current_arbiter == permit.arbiter) and self._is_current(
            permit, now
        )

    def end(self, permit):
        """Remove a permit that is returned."""
        self._permit_by_key.pop((permit.arbiter, permit.permit_id), None)

    def _is_current(self, permit, now):
        return now < permit.until and now <= permit.start_until
