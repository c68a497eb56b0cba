"""Sends some requests that are refused for their estimated length.

Load pattern: work that takes most of the time that callers have. A few slow
responses raise the estimate of the work time until, with its margin, it
exceeds that time. Then every request is refused while slots are free, no
response arrives that would lower the estimate, and it stays so for ever.

So one of ``REFUSED_PER_TRY`` refused requests is sent, or one after
``TRY_INTERVAL_S`` where requests are few. A service that is really too slow
must not use up its callers' time: each try without a response doubles both.

>>> exploration = Exploration()
>>> [exploration.may_try("pay", now=0.1 * n) for n in range(11)].count(True)
1
"""

REFUSED_PER_TRY = 10
TRY_INTERVAL_S = 2.0
# Upstreams that were slow for a minute are tried again within it.
MAX_FACTOR = 16


class _State:
    """The refused requests of a service since the last one that was sent."""

    def __init__(self, now):
        self.refused = 0
        self.tried_at = now
        self.factor = 1


class Exploration:
    """Counts the requests refused for their estimated length, by service."""

    def __init__(self):
        self._state_by_service = {}

    def may_try(self, service, now):
        """Return whether to send a request that would be refused."""
        state = self._state_by_service.get(service)
        if state is None:
            state = self._state_by_service[service] = _State(now)
        state.refused += 1
        is_due = (
            state.refused >= REFUSED_PER_TRY * state.factor
            or now - state.tried_at >= TRY_INTERVAL_S * state.factor
        )
        if is_due:
            state.refused = 0
            state.tried_at = now
            state.factor = min(MAX_FACTOR, 2 * state.factor)
        return is_due

    def note_response(self, service):
        """Record that the estimate of a service has been updated."""
        state = self._state_by_service.get(service)
        if state:
            state.factor = 1
