"""Keeps the events of recent requests for diagnosis.

Each entry process keeps the events of its newest requests in memory: where
the request went, why it was refused and how long it waited. ``godwitctl
explain`` reads them. The oldest are dropped, which bounds the memory.

>>> trace = Trace()
>>> trace.add("r1", "refused", code="QUEUE_FULL")
>>> trace.get("r1")[0]["code"]
'QUEUE_FULL'
"""

from collections import OrderedDict
from datetime import UTC, datetime

# At 1 kB each, 4 MB; a few seconds of a VM's full request rate.
MAX_REQUESTS = 4000
MAX_EVENTS_PER_REQUEST = 20


class Trace:
    """The events of the newest requests, by request id."""

    def __init__(self, max_requests=MAX_REQUESTS):
        self._events_by_id = OrderedDict()
        self._max_requests = max_requests

    def add(self, request_id, event, **fields):
        """Add an event with the current wall clock time."""
        events = self._events_by_id.setdefault(request_id, [])
        if len(events) < MAX_EVENTS_PER_REQUEST:
            events.append((datetime.now(UTC), event, fields))
        while len(self._events_by_id) > self._max_requests:
            self._events_by_id.popitem(last=False)

    def get(self, request_id):
        """Return a request's events as dictionaries, oldest first."""
        return [
            {"at": at.isoformat(timespec="milliseconds"), "event": event, **fields}
            for at, event, fields in self._events_by_id.get(request_id, [])
        ]
