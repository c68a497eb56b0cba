"""Who gets the next free slot: one pooled queue for a service in a zone.

Pure: no network and no clock of its own. Every method takes ``now`` in
seconds of one monotonic clock and returns the decisions that became due.
"""

from collections import OrderedDict
from typing import NamedTuple

from godwitlanding.codes import Code, Refusal


class Ask(NamedTuple):
    """A request that wants a slot; ``deadline`` is on the arbiter's clock."""

    request_id: str
    caller: str
    priority: int
    deadline: float
    fingerprint: int = 0
    excluded_upstreams: frozenset[str] = frozenset()
    attempt: int = 0
    may_pass_on: bool = True


class Grant(NamedTuple):
    """A permit for one slot of an upstream until ``until``."""

    permit_id: int
    upstream: str
    until: float
    waited_s: float


class Spill(NamedTuple):
    """Leave to hand the request to another zone, once."""

    availability_zone: str
    waited_s: float


class Decision(NamedTuple):
    """What becomes of a request: ``Grant``, ``Spill`` or ``Refusal``."""

    request_id: str
    outcome: Grant | Spill | Refusal


class Arbiter:
    """Grants the slots that owners have lent to it."""

    def __init__(self, service, first_permit_id=1):
        """Serve ``service``; permit ids count up from ``first_permit_id``."""
        self.service = service
        self._next_permit_id = first_permit_id
        self._slots_by_upstream = {}
        self._loan_end_by_upstream = {}
        self._blocked_until_by_upstream = {}
        self._usable_by_upstream = {}
        self._permit_by_id = {}
        self._ask_by_id = OrderedDict()

    def set_loan(self, upstream_id, slots, until, now):
        """Take or renew a loan of an upstream until ``until``."""
        self._slots_by_upstream[upstream_id] = slots
        self._loan_end_by_upstream[upstream_id] = until
        return self.tick(now)

    def end_loan(self, upstream_id):
        """Grant nothing more on an upstream; its open permits stay known."""
        self._loan_end_by_upstream.pop(upstream_id, None)

    def has_loan(self, upstream_id, now):
        """Tell whether the upstream is on loan at ``now``."""
        return self._loan_end_by_upstream.get(upstream_id, 0) > now

    def block(self, upstream_id, until):
        """Grant nothing on an upstream before ``until``: permits unknown."""
        self._blocked_until_by_upstream[upstream_id] = until

    def unblock(self, upstream_id, now):
        """Every holder has answered: the open permits are known."""
        self._blocked_until_by_upstream.pop(upstream_id, None)
        return self.tick(now)

    def add_open_permit(self, permit_id, upstream_id, until):
        """Count a permit that a former arbiter granted."""
        self._permit_by_id[permit_id] = Grant(permit_id, upstream_id, until, 0.0)

    def set_usable(self, upstream_id, usable, now):
        """Take the word of drains, probes and the platform on an upstream."""
        self._usable_by_upstream[upstream_id] = usable
        return self.tick(now)

    def set_allowances(self, allowance_by_zone, now):
        """Take the plan's spill allowances: requests in flight by zone."""
        return self.tick(now)

    def acquire(self, ask, now):
        """Queue a request; the decisions may hold its own."""
        self._ask_by_id[ask.request_id] = (ask, now)
        return self.tick(now)

    def withdraw(self, request_id, now):
        """Forget a request whose caller has gone."""
        self._ask_by_id.pop(request_id, None)
        return self.tick(now)

    def release(self, permit_id, outcome, took_s, now):
        """Free the slot of a permit; ``outcome`` as in ``messages``."""
        self._permit_by_id.pop(permit_id, None)
        return self.tick(now)

    def end_spill(self, request_id, now):
        """The request that was passed on has ended."""
        return self.tick(now)

    def get_next_time(self):
        """Return when ``tick`` has to be called next, or ``None``."""
        times = [ask.deadline for ask, _ in self._ask_by_id.values()]
        times += [permit.until for permit in self._permit_by_id.values()]
        times += self._blocked_until_by_upstream.values()
        return min(times, default=None)

    def tick(self, now):
        """Return the decisions due at ``now``, grants first."""
        self._forget_ended_permits(now)
        decisions = []
        for request_id, (ask, asked_at) in list(self._ask_by_id.items()):
            if ask.deadline <= now:
                outcome = Refusal(Code.DEADLINE_UNREACHABLE, 1.0)
            else:
                outcome = self._grant(ask, asked_at, now)
            if outcome:
                del self._ask_by_id[request_id]
                decisions.append(Decision(request_id, outcome))
        return decisions

    def get_status(self, now):
        """Return slots, busy, queued and usable upstreams for operators."""
        return {
            "queued": len(self._ask_by_id),
            "busy": len(self._permit_by_id),
            "slots": sum(self._slots_by_upstream.values()),
        }

    def _forget_ended_permits(self, now):
        for permit_id, permit in list(self._permit_by_id.items()):
            if permit.until <= now:
                del self._permit_by_id[permit_id]

    def _grant(self, ask, asked_at, now):
        for upstream_id, slots in self._slots_by_upstream.items():
            if not self._may_use(upstream_id, ask, now):
                continue
            busy = [p for p in self._permit_by_id.values() if p.upstream == upstream_id]
            if len(busy) < slots:
                return self._make_grant(ask, upstream_id, asked_at, now)
        return None

    def _may_use(self, upstream_id, ask, now):
        return (
            self.has_loan(upstream_id, now)
            and self._blocked_until_by_upstream.get(upstream_id, 0) <= now
            and self._usable_by_upstream.get(upstream_id, True)
            and upstream_id not in ask.excluded_upstreams
        )

    def _make_grant(self, ask, upstream_id, asked_at, now):
        grant = Grant(self._next_permit_id, upstream_id, ask.deadline, now - asked_at)
        self._next_permit_id += 1
        self._permit_by_id[grant.permit_id] = grant
        return grant
