"""Decides whether a less urgent request gives way at a full service.

Load pattern: routes of different priority share the slots of a service, and
their bursts overlap. A request with a loose latency target may wait longer for
a slot, so a full service serves the least urgent requests best: at 1.5 times
the slots, 0.22 of the urgent requests were in time and 0.97 of the others.

So headroom is kept for urgent requests: while they are under pressure and the
service is full, less urgent ones are denied. Pressure is a share of the more
urgent requests of the region that were refused for lack of slots or late.
Denials in favour of others do not count: with three priorities, they would
otherwise be passed on downwards and grow.

Each priority keeps a floor, so that no route starves during a long overload.
Headroom by the shared counts of requests in progress acts within one gossip
interval. An admission level that falls with the pressure alone acts after two
state messages and denies requests while slots are free; ``docs/design`` has
the figures.
"""

import math
from typing import NamedTuple

from godwitlanding.decisions.requestcounts import Counts

# A service is full when its upstreams have this many requests in progress for
# each slot. At 1.0, up to 16 in 100 denials happened while a slot was free,
# since counts are a gossip interval old and requests are not placed evenly; at
# 1.1 it was less than one in 100.
FULL_AT = 1.1
# Callers tolerate that an urgent route is served less often by 5 in 100. A
# quiet service has 3 in 100 late responses, of requests that take long.
TOLERATED_SHARE = 0.05
# Bursts last for 3 to 7 s and their pressure ends while others give way. With
# a shorter time each burst would press on the urgent requests repeatedly.
HOLD_S = 4.0
# A route is to be served a quarter as often as all requests of its service;
# the rest is a margin for counts of 0.4 s.
MIN_SERVED_RATIO = 0.35
# How fast the floor follows a deficit, per update. With 1, it overshoots,
# since the counts of peers arrive one update later.
FLOOR_GAIN = 0.5


class PriorityState(NamedTuple):
    """What a decision about a priority is based on, for log lines.

    ``urgent`` are the latest counts of all more urgent requests, ``served``
    the share of this priority's own ones that were served in time.
    """

    urgent: Counts = Counts()
    served: float = 1.0
    min_served: float = 0.0
    floor: float = 0.0
    pressed_at: float = -math.inf


class _Priority:
    def __init__(self):
        self.state = PriorityState()
        self.credit = 0.0


class Ranks:
    """Denies less urgent requests on one VM; ``counts`` are ``RequestCounts``.

    ``now`` is in seconds of one clock. A VM without counts admits everything.
    """

    def __init__(self, counts):
        self._counts = counts
        self._priorities_by_service = {}

    def set_priorities(self, priorities_by_service):
        """Set the priorities of each service, by the service's number."""
        former = self._priorities_by_service
        self._priorities_by_service = {
            service: {
                priority: former.get(service, {}).get(priority) or _Priority()
                for priority in sorted(priorities)
            }
            for service, priorities in priorities_by_service.items()
        }

    def update(self, now):
        """Take the region's latest counts."""
        for service, priorities in self._priorities_by_service.items():
            recent_by_priority = {
                priority: self._counts.get_recent((service, priority))
                for priority in priorities
            }
            total = sum_counts(recent_by_priority.values())
            min_served = MIN_SERVED_RATIO * get_served_share(total)
            urgent = Counts()
            for priority, entry in priorities.items():
                own = recent_by_priority[priority]
                entry.state = _update_state(entry.state, urgent, own, min_served, now)
                urgent = urgent.add(own)

    def is_pressed(self, service, priority, now):
        """Return whether more urgent requests have recently been pressed."""
        state = self._priorities_by_service[service][priority].state
        return now - state.pressed_at <= HOLD_S

    def admits_at_full(self, service, priority):
        """Return whether the floor admits this request of a full service.

        The floor's share is exact, not random: it is accumulated.
        """
        entry = self._priorities_by_service[service][priority]
        entry.credit += entry.state.floor
        if entry.credit < 1.0:
            return False
        entry.credit -= 1.0
        return True

    def get_state(self, service, priority):
        """Return the ``PriorityState`` of a priority."""
        return self._priorities_by_service[service][priority].state


def _update_state(state, urgent, own, min_served, now):
    is_pressed = get_pressed_share(urgent) > TOLERATED_SHARE
    served = get_served_share(own)
    floor = state.floor
    if own.asked:
        # The upper bound serves the minimum even if the chooser refuses as
        # many of the admitted requests as now.
        highest = min(1.0, min_served + get_pressed_share(own))
        floor = min(highest, max(0.0, floor + FLOOR_GAIN * (min_served - served)))
    return PriorityState(
        urgent, served, min_served, floor, now if is_pressed else state.pressed_at
    )


def sum_counts(rows):
    """Return the sum of ``Counts``."""
    total = Counts()
    for counts in rows:
        total = total.add(counts)
    return total


def get_pressed_share(counts):
    """Return the share that was refused for lack of slots or late."""
    return counts.pressed / counts.asked if counts.asked else 0.0


def get_served_share(counts):
    """Return the share that was neither denied, nor refused, nor late."""
    if not counts.asked:
        return 1.0
    return max(0.0, 1.0 - (counts.pressed + counts.denied) / counts.asked)
