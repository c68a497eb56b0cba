"""Estimates how many objects an upstream of a service keeps in its cache.

Load pattern: upstreams leave until the remaining ones have more objects each
than their caches hold. Each first request evicts an object that is requested
next, and nearly half of the slots work on objects that were cached a moment
ago. No upstream reports its cache size; it differs by service. If the
estimate is too high, evicted objects count as cached; if it is too low,
objects that are still cached are sent to other upstreams.

So each response about an object that the same upstream had answered this VM
about before is a measurement: with ``depth`` other objects handled there
since, a fast response means that the cache holds more than ``depth`` objects,
a slow one that it holds fewer. The estimate settles where both are equally
likely.
"""

# Estimate before the first measurement.
INITIAL_OBJECTS = 16.0
MIN_OBJECTS = 3.0
MAX_OBJECTS = 64.0
_WEIGHT = 0.1


class CacheSizeEstimate:
    """Estimated cache size of a service's upstreams, in objects."""

    def __init__(self):
        self._objects_by_service = {}

    def get(self, service):
        """Return how many objects an upstream of the service caches."""
        return self._objects_by_service.get(service, INITIAL_OBJECTS)

    def note(self, service, depth, was_known):
        """Update the estimate by a response at LRU depth ``depth``."""
        estimate = self.get(service)
        if was_known == (depth < estimate):
            return
        bound = depth + 1 if was_known else depth
        updated = estimate + _WEIGHT * (bound - estimate)
        updated = min(MAX_OBJECTS, max(MIN_OBJECTS, updated))
        self._objects_by_service[service] = updated
