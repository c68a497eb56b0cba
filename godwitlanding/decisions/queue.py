"""The pooled request queue of a service in one zone.

Load pattern: requests arrive in bursts, and several upstreams serve them.
With a queue per upstream or per VM, requests wait in one while a slot is
free at another; one pooled queue gives the shortest wait that the slots
allow. Order is by priority of the kind of work, then by fair share of
callers. Requests expected to take long are kept in a lane of their own, so
that they can be skipped while long jobs hold their share of the slots.

Every operation is logarithmic in the number of waiting requests.
"""

from typing import NamedTuple

from sortedcontainers import SortedDict, SortedList

from godwitlanding.decisions.fairness import Tag, VirtualClock


class QueuedRequest(NamedTuple):
    """A request in the queue; times are on the arbiter's clock.

    ``start_by`` is the latest time at which a grant is still useful.
    """

    ask: tuple
    asked_at: float
    start_by: float
    is_long: bool
    cost: float
    tag: Tag


class _Priority:
    def __init__(self):
        self.clock = VirtualClock()
        self.short = SortedList()
        self.long = SortedList()

    def __len__(self):
        return len(self.short) + len(self.long)

    def get_lane(self, is_long):
        return self.long if is_long else self.short

    def get_first(self, may_take_long):
        heads = [self.short[0]] if self.short else []
        if self.long and may_take_long:
            heads.append(self.long[0])
        return min(heads, default=None)

    def get_last(self):
        return max(lane[-1] for lane in (self.short, self.long) if lane)


class RequestQueue:
    """Requests that wait for a slot, in service order."""

    def __init__(self):
        self._waiting_by_id = {}
        self._by_priority = SortedDict()
        self._count_by_caller = {}

    def __len__(self):
        return len(self._waiting_by_id)

    def __contains__(self, request_id):
        return request_id in self._waiting_by_id

    def add(self, ask, now, start_by, is_long=False, cost=1.0):
        """Queue a request and return its ``QueuedRequest``."""
        priority = self._by_priority.setdefault(ask.priority, _Priority())
        tag = priority.clock.make_tag(ask.caller, ask.request_id, cost)
        queued_request = QueuedRequest(ask, now, start_by, is_long, cost, tag)
        self._insert(priority, queued_request)
        return queued_request

    def put_back(self, queued_request):
        """Queue a removed request again at its old position."""
        self._insert(self._by_priority[queued_request.ask.priority], queued_request)

    def get(self, request_id):
        """Return the ``QueuedRequest``, or ``None`` if not queued."""
        return self._waiting_by_id.get(request_id)

    def remove(self, request_id):
        """Remove and return the ``QueuedRequest``, or ``None``."""
        queued_request = self._waiting_by_id.pop(request_id, None)
        if queued_request:
            priority = self._by_priority[queued_request.ask.priority]
            priority.get_lane(queued_request.is_long).remove(queued_request.tag)
            self._count(queued_request.ask.caller, -1)
        return queued_request

    def get_first(self, may_take_long=True):
        """Return the next request, or ``None``; long ones only if allowed."""
        for priority in self._by_priority.values():
            tag = priority.get_first(may_take_long)
            if tag:
                return self._waiting_by_id[tag.request_id]
        return None

    def get_last(self):
        """Return the request that would be served last, or ``None``."""
        for priority in reversed(self._by_priority.values()):
            if len(priority):
                return self._waiting_by_id[priority.get_last().request_id]
        return None

    def note_served(self, queued_request):
        """Record that a removed request got a slot."""
        self._by_priority[queued_request.ask.priority].clock.note_served(
            queued_request.tag
        )

    def note_refused(self, queued_request):
        """Refund the fair-share cost of a removed request without a slot."""
        clock = self._by_priority[queued_request.ask.priority].clock
        clock.refund(queued_request.ask.caller, queued_request.cost)

    def count_ahead(self, queued_request):
        """Return how many requests will be served before this one."""
        ahead = 0
        for level, priority in self._by_priority.items():
            if level >= queued_request.ask.priority:
                break
            ahead += len(priority)
        own = self._by_priority[queued_request.ask.priority]
        return ahead + sum(
            lane.bisect_left(queued_request.tag) for lane in (own.short, own.long)
        )

    def count_long_ahead(self, queued_request):
        """Return how many long requests will be served before this one."""
        ahead = 0
        for level, priority in self._by_priority.items():
            if level >= queued_request.ask.priority:
                break
            ahead += len(priority.long)
        own = self._by_priority[queued_request.ask.priority]
        return ahead + own.long.bisect_left(queued_request.tag)

    def is_over_share(self, caller):
        """Return whether the caller has over twice its share queued."""
        share = len(self) / max(1, len(self._count_by_caller))
        return self._count_by_caller.get(caller, 0) > max(1.0, 2 * share)

    def _insert(self, priority, queued_request):
        priority.get_lane(queued_request.is_long).add(queued_request.tag)
        self._waiting_by_id[queued_request.ask.request_id] = queued_request
        self._count(queued_request.ask.caller, 1)

    def _count(self, caller, change):
        count = self._count_by_caller.get(caller, 0) + change
        if count:
            self._count_by_caller[caller] = count
        else:
            del self._count_by_caller[caller]
