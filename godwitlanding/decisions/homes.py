"""Which upstreams of a region should handle an object.

Load pattern: an upstream works three times as fast on an object it handled
lately, but remembers a few dozen objects only. Requests spread evenly meet
every upstream with every object, each forgets what it learned before it
comes again, and the slots are worth a third.

The upstreams are ranked for each object by rendezvous hashing, the same on
every VM. A request goes to the first that has a free slot: an object keeps
to one upstream while that can carry it, and to the next ones in a fixed
order while it cannot, so that even a hot object meets few upstreams. The
first ones are its *homes*, as many as leave each upstream with
``OBJECTS_EACH`` objects.
"""

from collections import OrderedDict

from godwitlanding.rendezvous import rank

# Upstreams remember 24 to 32 objects; a third is left for objects that
# overflow from their homes.
OBJECTS_EACH = 16
MAX_HOMES = 4
# Objects remembered for counting; beyond that one home is all there can be.
_MAX_COUNTED = 10_000
_MAX_RANKED = 10_000


def count_homes(upstreams, objects):
    """Return how many homes each object has, one at the least."""
    if objects == 0:
        return MAX_HOMES
    return max(1, min(MAX_HOMES, OBJECTS_EACH * upstreams // objects))


class Homes:
    """Ranks upstreams for objects, and remembers the ranking."""

    def __init__(self):
        self._rank_by_key = OrderedDict()
        self._objects_by_service = {}

    def note_object(self, service, key):
        """Count an object of a service."""
        objects = self._objects_by_service.setdefault(service, set())
        if len(objects) < _MAX_COUNTED:
            objects.add(key)

    def get_objects(self, service):
        """Return how many objects of a service were seen."""
        return len(self._objects_by_service.get(service, ()))

    def get_count(self, service, upstreams):
        """Return how many homes an object of the service has."""
        return count_homes(upstreams, self.get_objects(service))

    def get_ranking(self, service, key, upstreams):
        """Return the place in the order for each of the ``upstreams``."""
        held = self._rank_by_key.get((service, key, upstreams))
        if held is None:
            ranked = rank(key, upstreams)
            held = {upstream: place for place, upstream in enumerate(ranked)}
            self._rank_by_key[(service, key, upstreams)] = held
            if len(self._rank_by_key) > _MAX_RANKED:
                self._rank_by_key.popitem(last=False)
        return held
