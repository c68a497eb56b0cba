"""Which upstreams of a region should handle an object.

Load pattern: an upstream works three times as fast on an object it handled
lately, but remembers a few dozen objects only. Requests spread evenly meet
every upstream with every object, each forgets what it learned before it
comes again, and the slots are worth a third.

The upstreams are ranked for each object by rendezvous hashing, the same on
every VM, and the first is the object's home. A request goes there even where
it has to wait a little, since an upstream that does not know the object
takes longer than the wait; where the wait is longer, it goes to the next in
the order, which from then on knows the object too. So an object meets as few
upstreams as can carry it, and a hot one still gets several.
"""

from collections import OrderedDict

from godwitlanding.rendezvous import rank

# Objects remembered for counting; beyond that one home is all there can be.
_MAX_COUNTED = 10_000
_MAX_RANKED = 10_000


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
