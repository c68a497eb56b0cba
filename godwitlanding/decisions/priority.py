"""Decides whether a less urgent request gives way at a full service.

Load pattern: routes of different priority share the slots of a service, and
their bursts overlap. A request with a loose latency target may wait longer for
a slot, so a full service serves the least urgent requests best: at 1.5 times
the slots, 0.22 of the urgent requests were in time and 0.97 of the others.

So headroom is kept for urgent requests: while they are under pressure and the
service is full, only a share of the less urgent ones is admitted. Pressure is
a share of the more urgent requests of the region that were refused for lack of
slots or late. Denials in favour of others do not count: with three priorities,
they would otherwise be passed on downwards and grow.

The admitted share, the level, falls until the urgent requests are served more
often by ``LEAD``, and rises slowly without pressure. A priority is served at
least ``MIN_SERVED_RATIO`` as often as all requests.

Headroom alone (level 0 at a full service) denied half of the less urgent
requests to serve a tenth more of the urgent ones. A level alone denies
requests while slots are free. ``docs/design/priority.rst`` has the figures.
"""

from typing import NamedTuple

from godwitlanding.decisions.requestcounts import Counts

# A service is full when its upstreams have this many requests in progress for
# each slot. At 1.0, up to 16 in 100 denials happened while fewer requests than
# slots were in progress, since counts are a gossip interval old; at 1.2, up to
# 2 in 100. Above it, urgent requests find queues too long for their target.
FULL_AT = 1.2
# Callers tolerate that an urgent route is served less often by 5 in 100. A
# quiet service has 3 in 100 late responses, of requests that take long.
TOLERATED_SHARE = 0.05
# Urgent requests are to be served more often than less urgent ones by this.
LEAD = 0.3
# A route is to be served a quarter as often as all requests of its service;
# the rest is a margin for counts of 0.4 s.
MIN_SERVED_RATIO = 0.35
# Change of the level per update for a deviation of 1. A burst lasts for seven
# updates or more, so the level falls within two of them; a rise as fast would
# swing, since counts of peers arrive an update later.
FALL_GAIN = 2.0
RISE_GAIN = 0.5
# VMs with other levels, such as those that have just started, approach each
# other: half of a difference is gone after 7 s.
LEAK = 0.04
# Rise of the level per second without pressure: from 0 to 1 in 5 s, the time
# that bursts last. A faster rise lets each burst press again.
RISE_PER_S = 0.2


# Requests denied for each urgent one under pressure: a denial frees a slot for
# about one request, and some callers return. Without the bound, one late
# urgent request made a region deny a third of a far busier route.
MAX_DENIED_PER_PRESSED = 3.0


class PriorityState(NamedTuple):
    """What a decision about a priority is based on, for log lines.

    ``urgent`` are the latest counts of all more urgent requests. ``served``
    and ``urgent_served`` are shares of callers that were served in time.
    """

    urgent: Counts = Counts()
    urgent_served: float = 1.0
    served: float = 1.0
    level: float = 1.0


class _Priority:
    def __init__(self):
        self.state = PriorityState()
        self.credit = 0.0


class Ranks:
    """Denies less urgent requests on one VM; ``counts`` are ``RequestCounts``.

    A VM without counts admits everything.
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

    def update(self, elapsed_s):
        """Take the region's latest counts, ``elapsed_s`` after the former."""
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
                entry.state = _update_state(
                    entry.state, urgent, own, min_served, elapsed_s
                )
                urgent = urgent.add(own)

    def is_limited(self, service, priority):
        """Return whether some requests are denied if the service is full.

        A request may have the priority of a former configuration.
        """
        entry = self._priorities_by_service[service].get(priority)
        return entry is not None and entry.state.level < 1.0

    def admits_at_full(self, service, priority):
        """Return whether the level admits this request of a full service.

        The level's share is exact, not random: it is accumulated.
        """
        entry = self._priorities_by_service[service][priority]
        entry.credit += entry.state.level
        if entry.credit < 1.0:
            return False
        entry.credit -= 1.0
        return True

    def get_state(self, service, priority):
        """Return the ``PriorityState`` of a priority."""
        entry = self._priorities_by_service[service].get(priority)
        return entry.state if entry else PriorityState()


def _update_state(state, urgent, own, min_served, elapsed_s):
    level = state.level
    urgent_served = get_served_share(urgent)
    served = get_served_share(own)
    if get_pressed_share(urgent) > TOLERATED_SHARE:
        error = max(urgent_served - served - LEAD, min_served - served)
        level += (FALL_GAIN if error < 0 else RISE_GAIN) * error
        level += LEAK * (0.5 - level)
    else:
        level += RISE_PER_S * elapsed_s
    min_level = 1.0 - MAX_DENIED_PER_PRESSED * urgent.pressed / max(1, own.asked)
    level = min(1.0, max(0.0, min_level, level))
    return PriorityState(urgent, urgent_served, served, level)


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
    """Return the share of callers that were served in time.

    An answer is counted up to a second after the caller's first attempt.
    """
    return min(1.0, counts.in_time / counts.first) if counts.first else 1.0
