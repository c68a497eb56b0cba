"""What one member does about the roster: lend, take up, give up.

Joins ``RosterKeeper``, which decides what may change hands, with the
member's own ``Lender``. The service ``lending`` gives it the roster and
makes the writes that it asks for.

Pure: ``now`` is seconds of one monotonic clock.
"""

from typing import NamedTuple

from godwitlanding.daemons.loan import Lender
from godwitlanding.daemons.roster import EMPTY_ROSTER, RosterPlanner


class RosterInputs(NamedTuple):
    """What a member sees when it looks at the roster.

    ``candidates`` may own upstreams, this member too unless it leaves;
    ``gone_vms`` are silent and not in the platform's list. One member of a
    zone ``is_writer`` for claims. Without ``may_release`` nothing more is
    taken out of use, since a write whose answer is lost could not be
    settled.
    """

    candidates: tuple
    gone_vms: tuple[str, ...]
    is_writer: bool
    may_release: bool
    leaving: bool


class UpstreamOwner:
    """Looks after the upstreams that one member owns."""

    def __init__(self, vm, incarnation, loan_s, started_at):
        self.roster = EMPTY_ROSTER
        self.lender = Lender(incarnation, loan_s, started_at)
        self.version = 0
        self.next_owner_by_upstream = {}
        self._released = set()
        self._vm = vm
        self._planner = RosterPlanner(vm, loan_s)

    def update_roster(self, roster, version, now):
        """Take a newer roster."""
        if version <= self.version:
            return
        self.roster = roster
        self.version = version
        # A write on an older version can no longer take effect.
        self._released.clear()
        owned = roster.get_owned(self._vm)
        self.lender.set_owned(owned, now)
        for upstream in set(self.next_owner_by_upstream) - set(owned):
            del self.next_owner_by_upstream[upstream]

    def plan_change(self, surroundings, permit_s_by_upstream, now):
        """Return the roster to write now, or ``None``."""
        self._planner.update_gone_vms(surroundings.gone_vms, now)
        self._choose_next_owners(surroundings, now)
        owners, handovers = self._release(surroundings, permit_s_by_upstream, now)
        # The answer to the write may be lost: whatever becomes of it, these
        # are lent no more until a newer roster says whose they are.
        # Otherwise both the new owner and this member would lend them.
        self._released.update(owners)
        if surroundings.is_writer:
            claims = self._planner.find_claims(
                self.roster, permit_s_by_upstream, surroundings.candidates, now
            )
            owners.update(claims[0])
            handovers.update(claims[1])
        return self.roster.assign(handovers, owners) if owners else None

    def get_status(self, now):
        """Return owners, loans and what is under way, for operators."""
        return {
            "loan_by_upstream": self.lender.get_status(now),
            "owner_by_upstream": self.roster.owner_by_upstream,
            "gone_s_by_vm": self._planner.get_status(now),
            "giving_up": self.next_owner_by_upstream,
        }

    def _choose_next_owners(self, surroundings, now):
        owned = self.lender.get_owned()
        if surroundings.may_release or surroundings.leaving:
            self.next_owner_by_upstream = self._planner.find_releases(
                owned, surroundings.candidates, surroundings.leaving, now
            )
        for upstream in self._released & owned:
            self.next_owner_by_upstream.setdefault(upstream, self._vm)
        for upstream in owned:
            releasing = upstream in self.next_owner_by_upstream
            self.lender.set_releasing(upstream, releasing)

    def _release(self, surroundings, permit_s_by_upstream, now):
        incarnation_by_vm = {c.vm: c.incarnation for c in surroundings.candidates}
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
