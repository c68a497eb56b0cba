"""Decides which member of a zone owns which upstream.

When VMs are restarted or replaced under load, the slots of a lost member
have to be used again, but not while they may still be in use. An upstream
passes to another member only if its owner has released it, or if the
owner's VM is missing from the platform's list and the longest loan and the
longest permit have ended since. Without the waits, two members would lend
the same slots and upstreams would be overloaded. Without the second rule,
the slots of a lost VM would be idle forever. A member that is silent but
listed keeps its upstreams.

Pure: ``now`` is seconds of one monotonic clock.
"""

import json
from typing import NamedTuple

from godwitlanding.base.messages import FORMER_NONE, Holder
from godwitlanding.base.rendezvous import choose
from godwitlanding.daemons.loan import CLOCK_RATE_MARGIN, Handover

ROSTER_KIND = "roster"
# A new member gets upstreams after this time, so that a member in a crash
# loop does not cause slots to be moved.
REBALANCE_AFTER_S = 3.0


class Roster(NamedTuple):
    """The owners of a zone's upstreams and their handovers."""

    owner_by_upstream: dict[str, str]
    handover_by_upstream: dict[str, Handover]

    def get_owned(self, vm):
        """Return each upstream of ``vm`` with its handover or ``None``."""
        return {
            upstream: self.handover_by_upstream.get(upstream)
            for upstream, owner in self.owner_by_upstream.items()
            if owner == vm
        }

    def assign(self, handover_by_upstream, owner_by_upstream):
        """Return a copy of the roster with changed owners."""
        handovers = dict(self.handover_by_upstream)
        for upstream, handover in handover_by_upstream.items():
            turn = handovers[upstream].turn + 1 if upstream in handovers else 1
            handovers[upstream] = handover._replace(turn=turn)
        return Roster({**self.owner_by_upstream, **owner_by_upstream}, handovers)


EMPTY_ROSTER = Roster({}, {})


def parse_roster(body):
    """Return the decoded roster; raises ``ValueError``."""
    try:
        value = json.loads(body)
        handover_by_upstream = {
            upstream: Handover(to, former, tuple(Holder(*h) for h in holders), turn)
            for upstream, (to, former, holders, turn) in value.get(
                "handover_by_upstream", {}
            ).items()
        }
        return Roster(dict(value["owner_by_upstream"]), handover_by_upstream)
    except (TypeError, KeyError, AttributeError) as error:
        raise ValueError(f"invalid roster: {error}") from error


def format_roster(roster):
    """Return the encoded roster as stored in the platform."""
    return json.dumps(roster._asdict(), sort_keys=True).encode()


class Candidate(NamedTuple):
    """A member that may own upstreams."""

    vm: str
    incarnation: str
    alive_since: float


class RosterPlanner:
    """Plans changes of owners; the caller writes them."""

    def __init__(self, vm, loan_s):
        self._vm = vm
        self._loan_s = loan_s
        self._gone_since_by_vm = {}

    def update_gone_vms(self, gone_vms, now):
        """Set the VMs that are missing from the platform's list."""
        for vm in set(self._gone_since_by_vm) - set(gone_vms):
            del self._gone_since_by_vm[vm]
        for vm in gone_vms:
            self._gone_since_by_vm.setdefault(vm, now)

    def find_claims(self, roster, longest_permit_s_by_upstream, candidates, now):
        """Return new ``(owners, handovers)`` for upstreams not in use.

        These have no owner, or one whose loans and permits have ended.
        """
        incarnation_by_vm = {c.vm: c.incarnation for c in candidates}
        owner_by_upstream = {}
        handover_by_upstream = {}
        for upstream, permit_s in longest_permit_s_by_upstream.items():
            owner = roster.owner_by_upstream.get(upstream)
            if owner and not self._may_reassign(owner, permit_s, now):
                continue
            next_owner = choose(f"owner/{upstream}", incarnation_by_vm)
            if next_owner:
                owner_by_upstream[upstream] = next_owner
                handover_by_upstream[upstream] = Handover(
                    incarnation_by_vm[next_owner], FORMER_NONE
                )
        return owner_by_upstream, handover_by_upstream

    def find_releases(self, owned, candidates, leaving, now):
        """Return the next owner of each upstream to be released."""
        stable = [
            candidate.vm
            for candidate in candidates
            if leaving or now - candidate.alive_since >= REBALANCE_AFTER_S
        ]
        others = [vm for vm in stable if vm != self._vm]
        next_owners = others if leaving else sorted({*others, self._vm})
        next_owner_by_upstream = {}
        for upstream in owned:
            next_owner = choose(f"owner/{upstream}", next_owners)
            if next_owner and next_owner != self._vm:
                next_owner_by_upstream[upstream] = next_owner
        return next_owner_by_upstream

    def get_status(self, now):
        """Return how long each missing owner has been gone, in seconds."""
        return {vm: round(now - at, 1) for vm, at in self._gone_since_by_vm.items()}

    def _may_reassign(self, owner, permit_s, now):
        gone_since = self._gone_since_by_vm.get(owner)
        if gone_since is None:
            return False
        wait_s = (self._loan_s + permit_s) * CLOCK_RATE_MARGIN
        return now - gone_since >= wait_s
