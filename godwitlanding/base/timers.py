"""Times at which something becomes due, by key, for modules without a clock.

Answers the cost of many waiting requests and open permits: a scan over all
of them at each decision grows with the queue and stops the loop just when
it is full. Here each operation is logarithmic in the number of keys.

>>> timers = Timers()
>>> timers.set("permit 1", 5.0)
>>> timers.pop_due(6.0)
['permit 1']
"""

from heapq import heapify, heappop, heappush

# Cancelled entries stay in the heap until they surface; rebuilt when they
# outnumber the live ones, so that the heap stays within twice its need.
_SLACK = 64


class Timers:
    """A heap of times; a key has at most one time."""

    def __init__(self):
        self._time_by_key = {}
        self._heap = []
        self._sequence = 0

    def set(self, key, time):
        """Make ``key`` due at ``time`` in place of its former time."""
        if self._time_by_key.get(key) == time:
            return
        self._time_by_key[key] = time
        self._sequence += 1
        heappush(self._heap, (time, self._sequence, key))
        if len(self._heap) > 2 * len(self._time_by_key) + _SLACK:
            self._rebuild()

    def cancel(self, key):
        """Forget the time of ``key``, if it has one."""
        self._time_by_key.pop(key, None)

    def get_next_time(self):
        """Return the earliest time, or ``None``."""
        self._drop_stale()
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now):
        """Remove and return the keys due at ``now``, earliest first."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            time, _, key = heappop(self._heap)
            if self._time_by_key.get(key) == time:
                del self._time_by_key[key]
                due.append(key)
        return due

    def _drop_stale(self):
        while self._heap:
            time, _, key = self._heap[0]
            if self._time_by_key.get(key) == time:
                return
            heappop(self._heap)

    def _rebuild(self):
        self._heap = [
            (time, index, key)
            for index, (key, time) in enumerate(self._time_by_key.items())
        ]
        self._sequence = len(self._heap)
        heapify(self._heap)
