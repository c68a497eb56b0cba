"""Which upstreams of a region should handle an object.

Load pattern: an upstream works three times as fast on an object it handled
lately, but remembers a few dozen objects only. Requests spread evenly meet
every upstream with every object, each forgets what it learned before it
comes again, and the slots are worth a third.

This is for objects that nobody knows yet; those that are known stay where
they are (``decisions.objectmap``).

The upstreams are ranked for each object by rendezvous hashing, the same on
every VM, and the first are the object's *homes*: as many as leave each
upstream with ``OBJECTS_EACH`` objects. A request goes to no other upstream
while one of them is sound, however long it has to wait there: past full,
requests that overflow elsewhere take three times as long and push out what
was known there, so that the overload feeds itself: one sees slots full of
first runs of objects that others know. An upstream that is slow or fails is
passed over, and the next in the order is a home in its place.
"""

import math
from collections import OrderedDict

from godwitlanding.base.rendezvous import rank

# After this many other objects an upstream still knows most that it met.
CACHED_OBJECTS = 14
# Hashing deals unevenly: some upstreams get nearly twice as many.
OBJECTS_PER_UPSTREAM = 8
MAX_HOMES = 4
# A service is taken to have this many at the least, about the number of the
# smallest services today.
MIN_OBJECTS = 32
# With fewer requests than this nothing is said of how many there are, and
# each has one home.
MIN_REQUESTS = 20
# Objects remembered for counting; beyond that one home is all there can be.
_MAX_COUNTED = 10_000
# The estimate is made anew when the requests have grown by this factor.
_ESTIMATE_GROWTH = 1.1
_MAX_RANKED = 10_000


def count_homes(upstreams, objects):
    """Return how many homes each object has, one at the least.

    ``objects`` is 0 where it is not known.
    """
    objects = max(objects or _MAX_COUNTED, MIN_OBJECTS)
    return max(1, min(MAX_HOMES, OBJECTS_PER_UPSTREAM * upstreams // objects))


def estimate_objects(distinct, requests):
    """Return how many objects there are, given how many were met.

    Met evenly, ``requests`` meet ``N * (1 - exp(-requests / N))`` of ``N``
    objects. A VM that counted only what it met took a service of 258 objects
    for one of 60 in its first seconds, gave each object four homes, and made
    each of them learn it: a second or two of slots each.
    """
    if distinct >= requests:
        # No object came twice yet; half of the pairs would be expected to.
        return min(_MAX_COUNTED, requests * requests / 2)
    low, high = float(distinct), float(_MAX_COUNTED)
    for _ in range(30):
        middle = (low + high) / 2
        if middle * -math.expm1(-requests / middle) < distinct:
            low = middle
        else:
            high = middle
    return high


def pick_homes(order, count, is_usable, is_healthy):
    """Return the homes among upstreams in their ``order``.

    ``is_usable`` and ``is_sound`` tell of an upstream whether it may be used
    at all and whether it is none of the bad ones. Where no upstream is
    sound, every one that is usable is as good as the others.
    """
    usable = []
    homes = []
    for upstream in order:
        if not is_usable(upstream):
            continue
        usable.append(upstream)
        if is_healthy(upstream):
            homes.append(upstream)
            if len(homes) == count:
                break
    return homes or usable


class _ObjectCounter:
    """The objects of one service that were met."""

    def __init__(self):
        self.keys = set()
        self.requests = 0
        self.objects = 0.0
        self.next_estimate_at = MIN_REQUESTS

    def note(self, key):
        self.requests += 1
        if len(self.keys) < _MAX_COUNTED:
            self.keys.add(key)
        if self.requests >= self.next_estimate_at:
            self.next_estimate_at = math.ceil(self.requests * _ESTIMATE_GROWTH)
            self.objects = estimate_objects(len(self.keys), self.requests)


class Homes:
    """Ranks upstreams for objects, and remembers the ranking."""

    def __init__(self):
        self._order_by_key = OrderedDict()
        self._counter_by_service = {}

    def note_object(self, service, key):
        """Count an object of a service."""
        met = self._counter_by_service.get(service)
        if met is None:
            met = self._counter_by_service[service] = _ObjectCounter()
        met.note(key)

    def get_objects(self, service):
        """Return how many objects a service seems to have, 0 if unknown."""
        met = self._counter_by_service.get(service)
        return met.objects if met else 0

    def get_count(self, service, upstreams):
        """Return how many homes an object of the service has."""
        return count_homes(upstreams, self.get_objects(service))

    def get_order(self, service, key, upstreams):
        """Return the ``upstreams`` (a tuple) in the order for a key."""
        held = self._order_by_key.get((service, key))
        # The same tuple stands for the same upstreams while none changes.
        if held is not None and held[0] is upstreams:
            return held[1]
        order = rank(key, upstreams)
        self._order_by_key[(service, key)] = (upstreams, order)
        if len(self._order_by_key) > _MAX_RANKED:
            self._order_by_key.popitem(last=False)
        return order
