"""Chooses retry times at which there is room for the callers that return.

Load pattern: for seconds, more requests arrive than the slots can serve. Each
refused caller returns once or twice at the time that it was told. Drawn from
the whole time that callers wait, most return too late to be in time, and
compete with first attempts that arrive at the same moment: in the model, 0.55
to 0.85 of the returns are refused again.

So returns are booked. Time is divided into intervals of ``SLOT_S``, and an
interval has room for ``BOOKED_SHARE`` of the requests that the VM expects to
complete in it. A caller is told the first interval with room, at a random
moment of it, so that it returns as early as this is useful: the response to an
early return may still be in time. The rate is that of the responses that this
VM received, which is its share of the slots that become free. No VM needs to
know the bookings of the others, because callers return to any VM and each VM
books for no more than it completes.

Urgent callers may use the whole room whatever less urgent ones have booked;
these see the bookings of all. The caller outranked in this way is refused
again, which is what its priority means.

Slots are not reserved for booked callers. In the model, any precedence beyond
the longer wait of ``decisions.placing`` made more responses late: first
attempts were refused in place of the returns, returned late, and were served
late in turn (``docs/design/returns.rst``).
"""

import math
from collections import Counter
from typing import NamedTuple

# Shorter than the time between two responses of one slot, longer than the
# random delays of caller and network (some milliseconds).
SLOT_S = 0.05
# Share of the expected completions that may be booked: first attempts keep
# at least as many slots.
BOOKED_SHARE = 0.5
# Time constant of the completion rate: about 20 responses at the usual rate
# of a VM, and a third of the shortest bursts (3 s).
RATE_WINDOW_S = 1.0
# Intervals searched for room, 10 s of them: callers with deadlines of 3 s wait
# for one second at most. The caller sets the deadline, and without a bound the
# search for one of some hours would hold up the event loop.
MAX_SEARCHED = 200


class Booking(NamedTuple):
    """When a refused caller should return, and the values that led to it.

    ``has_room`` is false if every searched interval was full. ``rate_per_s``
    is the rate of completions, measured ``rate_age_s`` seconds ago.
    """

    wait_s: float
    has_room: bool
    rate_per_s: float
    rate_age_s: float


class _Completions:
    """Decaying count of the completed requests of one service."""

    def __init__(self):
        self._count = 0.0
        self._updated_at = 0.0

    def note(self, now):
        self._count = self._decay(now) + 1.0
        self._updated_at = now

    def get_age_s(self, now):
        return now - self._updated_at

    def get_rate(self, now):
        return self._decay(now) / RATE_WINDOW_S

    def _decay(self, now):
        return self._count * math.exp((self._updated_at - now) / RATE_WINDOW_S)


class _Calendar:
    """Bookings of one service: counts by interval and priority."""

    def __init__(self):
        self.completions = _Completions()
        self.count_by_priority_by_slot = {}

    def drop_past(self, slot):
        past = [old for old in self.count_by_priority_by_slot if old < slot]
        for old in past:
            del self.count_by_priority_by_slot[old]

    def count(self, slot, priority):
        """Count the bookings that a caller of this priority must respect."""
        count_by_priority = self.count_by_priority_by_slot.get(slot, {})
        return sum(
            count for level, count in count_by_priority.items() if level <= priority
        )

    def add(self, slot, priority):
        self.count_by_priority_by_slot.setdefault(slot, Counter())[priority] += 1


class Returns:
    """Books the returns of refused callers; ``now`` is one clock's seconds.

    ``rng`` is the source of random numbers, a ``random.Random``.
    """

    def __init__(self, rng):
        self._rng = rng
        self._calendar_by_service = {}

    def note_completed(self, service, now):
        """Count a request whose slot has become free."""
        self._get(service).completions.note(now)

    def book(self, service, priority, now, earliest_s, latest_s):
        """Book a return and return its ``Booking``.

        Its time is between ``earliest_s`` and ``latest_s``, in seconds from
        now. If no interval that is searched has room, it is drawn uniformly.
        """
        earliest_s = min(earliest_s, latest_s)
        calendar = self._get(service)
        calendar.drop_past(_get_slot(now))
        rate = calendar.completions.get_rate(now)
        age_s = calendar.completions.get_age_s(now)
        room = BOOKED_SHARE * SLOT_S * rate
        first = _get_slot(now + earliest_s)
        last = _get_slot(now + latest_s)
        for slot in range(first, min(last + 1, first + MAX_SEARCHED)):
            if calendar.count(slot, priority) < _get_room(slot, room):
                calendar.add(slot, priority)
                wait_s = self._draw(slot, now, earliest_s, latest_s)
                return Booking(wait_s, True, rate, age_s)
        wait_s = self._rng.uniform(earliest_s, latest_s)
        return Booking(wait_s, False, rate, age_s)

    def keep_services(self, services):
        """Drop the bookings of all other services."""
        for service in self._calendar_by_service.keys() - services:
            del self._calendar_by_service[service]

    def _draw(self, slot, now, earliest_s, latest_s):
        begin_s = max(earliest_s, slot * SLOT_S - now)
        end_s = min(latest_s, (slot + 1) * SLOT_S - now)
        return self._rng.uniform(begin_s, max(begin_s, end_s))

    def _get(self, service):
        calendar = self._calendar_by_service.get(service)
        if calendar is None:
            calendar = self._calendar_by_service[service] = _Calendar()
        return calendar


def _get_slot(at):
    return int(at / SLOT_S)


def _get_room(slot, room):
    """Return the whole requests that fit into an interval.

    Fractions add up: with room for 0.4 requests, two of five intervals have
    room for one.
    """
    return math.floor((slot + 1) * room) - math.floor(slot * room)
