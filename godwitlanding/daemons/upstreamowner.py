"""Lends, claims and releases the upstreams that one member owns.

Combines ``RosterPlanner``, which plans changes of owners, with the member's
``Lender``. The service ``lending`` passes the roster to it and writes the
changed roster that it returns.

Pure: ``now`` is seconds of one monotonic clock.
"""

from typing import NamedTuple

from godwitlanding.daemons.loan import Lender
from godwitlanding.daemons.roster import EMPTY_ROSTER, RosterPlanner


class RosterInputs(NamedTuple):
    """What a member knows when it checks the roster.

    ``candidates`` may own upstreams, including this member unless it is
    leaving. ``gone_vms`` are silent and missing from the platform's list.
    ``is_writer`` is true for the one member of a zone that writes claims.
    Without ``may_release`` no further upstream is released, since the
    result of a write without a response could not be determined.
    """

    candidates: tuple
    gone_vms: tuple[str, ...]
    is_writer: bool
    may_release: bool
    leaving: bool


class UpstreamOwner:
    """Manages the upstreams that one member owns."""

    def __init__(self, vm, incarnation, loan_s, started_at):
        self.roster = EMPTY_ROSTER
        self.lender = Lender(incarnation, loan_s, started_at)
        self.version = 0
        self.next_owner_by_upstream = {}
        self._released = set()
        self._vm = vm
        self._planner = RosterPlanner(vm, loan_s)

    def update_roster(self, roster, version, now):
        """Apply a roster if it is newer."""
        if version <= self.version:
            return
        self.roster = roster
        self.version = version
        # A write that expects an older version can't take effect any more.
        self._released.clear()
        owned = roster.get_owned(self._vm)
        self.lender.set_owned(owned, now)
        for upstream in set(self.next_owner_by_upstream) - set(owned):
            del self.next_owner_by_upstream[upstream]

    def plan_change(self, inputs, permit_s_by_upstream, now):
        """Return the changed roster to write, or ``None``."""
        self._planner.update_gone_vms(inputs.gone_vms, now)
        self._choose_next_owners(inputs, now)
        owners, handovers = self._release(inputs, permit_s_by_upstream, now)
        # The write may take effect even if its response is lost. These
        # upstreams are not lent until a newer roster names their owner, or
        # the new owner and this member could both lend them.
        self._released.update(owners)
        if inputs.is_writer:
            claims = self._planner.find_claims(
                self.roster, permit_s_by_upstream, inputs.candidates, now
            )
            owners.update(claims[0])
            handovers.update(claims[1])
        return self.roster.assign(handovers, owners) if owners else None

    def get_status(self, now):
        """Return owners, loans and pending releases for operators."""
        return {
            "loan_by_upstream": self.lender.get_status(now),
            "owner_by_upstream": self.roster.owner_by_upstream,
            "gone_s_by_vm": self._planner.get_status(now),
            "giving_up": self.next_owner_by_upstream,
        }

    def _choose_next_owners(self, inputs, now):
        owned = self.lender.get_owned()
        if inputs.may_release or inputs.leaving:
            self.next_owner_by_upstream = self._planner.find_releases(
                owned, inputs.candidates, inputs.leaving, now
            )
        for upstream in self._released & owned:
            self.next_owner_by_upstream.setdefault(upstream, self._vm)
        for upstream in owned:
            releasing = upstream in self.next_owner_by_upstream
            self.lender.set_releasing(upstream, releasing)

    def _release(self, inputs, permit_s_by_upstream, now):
        incarnation_by_vm = {c.vm: c.incarnation for c in inputs.candidates}
        longest_s = max(permit_s_by_upstream.values(), default=0.0)
        owners = {}
        handovers = {}
        for upstream, next_owner in self.next_owner_by_upstream.items():
            if self.lender.is_free(upstream, now):
                permit_s = permit_s_by_upstream.get(upstream, longest_s)
                incarnation = incarnation_by_vm.get(next_owner, "")
                owners[upstream] = next_owner
                handovers[upstream] = self.lender.make_handover(
                    upstream, incarnation, permit_s, now
                )
        return owners, handovers
