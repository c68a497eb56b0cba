"""Assigns each object to a few home upstreams of a region.

Load pattern: an upstream works three times as fast on an object that it
handled recently, but caches only a few dozen objects. If requests are spread
evenly, every upstream gets every object and evicts it before it is requested
again, and the slots carry a third of the load.

This applies to objects that no upstream has cached yet; cached objects stay
where they are (``decisions.objectmap``).

The upstreams are ranked for each object by rendezvous hashing, the same on
every VM, and the first ones are the object's *homes*: as many as leave each
upstream with ``OBJECTS_PER_UPSTREAM`` objects. A request goes to no other
upstream while a home is healthy, however long it has to wait there. Under
overload, requests that are sent elsewhere take three times as long and evict
objects cached there, which makes the overload worse: the slots fill with
first requests for objects that other upstreams have cached. An upstream that
is slow or failing is skipped, and the next in the order replaces it.
"""

import math
from collections import OrderedDict

from godwitlanding.base.rendezvous import rank

# Number of other objects after which an upstream still has most of its
# objects cached.
CACHED_OBJECTS = 14
# Hashing spreads objects unevenly: some upstreams get nearly twice as many.
OBJECTS_PER_UPSTREAM = 8
MAX_HOMES = 4
# Lower limit of a service's number of objects, about that of the smallest
# services today.
MIN_OBJECTS = 32
# With fewer requests the number of objects is not estimated, and each object
# has one home.
MIN_REQUESTS = 20
# Limit of the objects counted; with more, each has only one home anyway.
_MAX_COUNTED = 10_000
# The estimate is updated when the requests have grown by this factor.
_ESTIMATE_GROWTH = 1.1
_MAX_RANKED = 10_000


def count_homes(upstreams, objects):
    """Return how many homes each object has, at least one.

    ``objects`` is 0 if unknown.
    """
    objects = max(objects or _MAX_COUNTED, MIN_OBJECTS)
    return max(1, min(MAX_HOMES, OBJECTS_PER_UPSTREAM * upstreams // objects))


def estimate_objects(distinct, requests):
    """Return the estimated number of objects, from the distinct ones seen.

    With even popularity, ``requests`` cover ``N * (1 - exp(-requests / N))``
    of ``N`` objects. A VM that counted only distinct objects took a service
    of 258 objects for one of 60 in its first seconds, gave each object four
    homes, and each home had to cache it: a second or two of slot time each.
    """
    if distinct >= requests:
        # No object was repeated: assume the number of objects at which one
        # repeated pair would be expected.
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

    ``is_usable`` returns whether an upstream may be used at all,
    ``is_healthy`` whether it is neither slow nor failing. If no upstream is
    healthy, all usable ones are returned.
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
    """Counts the requests and distinct objects of one service."""

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
    """Ranks upstreams for objects, and caches the ranking."""

    def __init__(self):
        self._order_by_key = OrderedDict()
        self._counter_by_service = {}

    def note_object(self, service, key):
        """Count a request for an object of a service."""
        counter = self._counter_by_service.get(service)
        if counter is None:
            counter = self._counter_by_service[service] = _ObjectCounter()
        counter.note(key)

    def get_objects(self, service):
        """Return the estimated number of a service's objects, 0 if unknown."""
        counter = self._counter_by_service.get(service)
        return counter.objects if counter else 0

    def get_count(self, service, upstreams):
        """Return how many homes an object of the service has."""
        return count_homes(upstreams, self.get_objects(service))

    def get_order(self, service, key, upstreams):
        """Return the ``upstreams`` (a tuple) in the rank order for a key."""
        cached = self._order_by_key.get((service, key))
        # The caller passes the same tuple as long as no upstream changes.
        if cached is not None and cached[0] is upstreams:
            return cached[1]
        order = rank(key, upstreams)
        self._order_by_key[(service, key)] = (upstreams, order)
        if len(self._order_by_key) > _MAX_RANKED:
            self._order_by_key.popitem(last=False)
        return order
