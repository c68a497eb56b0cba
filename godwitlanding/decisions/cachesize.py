"""How many objects an upstream of a service remembers, learnt from answers.

Load pattern: upstreams leave until the rest have more objects each than they
remember. Each run of one that was pushed out pushes out the next, and nearly
half of the slots work on objects that were known a moment ago. Nothing tells
how many an upstream remembers; it differs by service, and a figure that is
too high calls what is forgotten known, one that is too low spreads objects
that are still known.

So each answer about an object that this VM had answered there before says
something: with ``depth`` other objects handled there since, it ran fast, and
more than ``depth`` are remembered, or slowly, and fewer are. The estimate
settles where both are equally likely.
"""

# Before any answer has told.
INITIAL_OBJECTS = 16.0
MIN_OBJECTS = 3.0
MAX_OBJECTS = 64.0
_WEIGHT = 0.1


class CacheSizeEstimate:
    """Objects that an upstream remembers, by service."""

    def __init__(self):
        self._objects_by_service = {}

    def get(self, service):
        """Return how many objects an upstream of the service remembers."""
        return self._objects_by_service.get(service, INITIAL_OBJECTS)

    def note(self, service, depth, was_known):
        """Take an answer, ``depth`` other objects after the last one."""
        held = self.get(service)
        if was_known == (depth < held):
            return
        bound = depth + 1 if was_known else depth
        moved = held + _WEIGHT * (bound - held)
        moved = min(MAX_OBJECTS, max(MIN_OBJECTS, moved))
        self._objects_by_service[service] = moved
