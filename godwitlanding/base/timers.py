"""Timers by key, for modules that get the current time as an argument.

Scanning all waiting requests and open permits at each decision would take
time proportional to the queue and block the event loop when the queue is
full. Here each operation is logarithmic in the number of keys.

>>> timers = Timers()
>>> timers.set("permit 1", 5.0)
>>> timers.pop_due(6.0)
['permit 1']
"""

from heapq import heapify, heappop, heappush

# Cancelled entries stay in the heap until they reach its top. The heap is
# rebuilt when they outnumber the live entries by this margin, so that its size
# stays within about twice the number of live entries.
_SLACK = 64


class Timers:
    """A heap of due times; each key has at most one."""

    def __init__(self):
        self._time_by_key = {}
        self._heap = []
        self._sequence = 0

    def set(self, key, time):
        """Set the due time of ``key``, replacing an earlier one."""
        if self._time_by_key.get(key) == time:
            return
        self._time_by_key[key] = time
        self._sequence += 1
        heappush(self._heap, (time, self._sequence, key))
        if len(self._heap) > 2 * len(self._time_by_key) + _SLACK:
            self._rebuild()

    def cancel(self, key):
        """Remove the due time of ``key``, if it has one."""
        self._time_by_key.pop(key, None)

    def get_next_time(self):
        """Return the earliest due time, or ``None``."""
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
