"""How long the work of a service takes, and which upstreams are slow or fail.

Load pattern: one upstream takes five times as long as its peers or fails
half of its requests while its health endpoint says that all is well. Failing
quickly it looks idle and draws the most work.

The time of a service is a running mean over the answers that did not wait
for a slot; an upstream's factor is its own mean over the service's. The
newest answer weighs a tenth for a service, where dozens come each second,
and a quarter for an upstream, which one VM hears from a few times a second,
so that a slow one is known after about four answers. The share of failures
moves the same way.
"""

_SERVICE_WEIGHT = 0.1
_UPSTREAM_WEIGHT = 0.25
_FAILURE_WEIGHT = 0.2
# Before the first answer: the usual work of both users lies near this.
FIRST_WORK_S = 0.3
_MIN_FACTOR = 0.7
_MAX_FACTOR = 20.0


class WorkTimes:
    """Running means by service and upstream, all in seconds."""

    def __init__(self):
        self._work_by_service = {}
        self._factor_by_upstream = {}
        self._failures_by_upstream = {}

    def note_answer(self, service, upstream, work_s, waited):
        """Take the time of an answer; ``waited``: it queued for a slot."""
        held = self._work_by_service.get(service, work_s)
        factor = self._factor_by_upstream.get(upstream, 1.0)
        if not waited or work_s < held:
            seen = min(_MAX_FACTOR, max(_MIN_FACTOR, work_s / max(held, 0.001)))
            factor += _UPSTREAM_WEIGHT * (seen - factor)
            self._factor_by_upstream[upstream] = factor
            # One slow upstream must not make the whole service look slow.
            if factor < 2.0:
                held += _SERVICE_WEIGHT * (min(work_s, 3 * held) - held)
                self._work_by_service[service] = held
        self._move_failures(upstream, 0.0)

    def note_failure(self, upstream):
        """The upstream failed a request, shed it or did not answer."""
        self._move_failures(upstream, 1.0)

    def get_service_s(self, service):
        """Return the usual work time of a service."""
        return self._work_by_service.get(service, FIRST_WORK_S)

    def get_upstream_s(self, service, upstream):
        """Return the work time to expect of an upstream."""
        factor = self._factor_by_upstream.get(upstream, 1.0)
        return self.get_service_s(service) * factor

    def get_failure_share(self, upstream):
        """Return the share of an upstream's recent requests that failed."""
        return self._failures_by_upstream.get(upstream, 0.0)

    def recover(self):
        """Let factors and failure shares fade, so that each is tried again.

        Called once a second: a slow upstream that is passed over would keep
        its bad name for ever, since nothing new is heard of it. Losing a
        tenth a second, a factor of 5 is below 2 after 14 s.
        """
        for upstream, factor in self._factor_by_upstream.items():
            self._factor_by_upstream[upstream] = factor + 0.1 * (1.0 - factor)
        for upstream in self._failures_by_upstream:
            self._failures_by_upstream[upstream] *= 0.9

    def forget(self, upstream):
        """Drop an upstream that is gone."""
        self._factor_by_upstream.pop(upstream, None)
        self._failures_by_upstream.pop(upstream, None)

    def _move_failures(self, upstream, seen):
        share = self._failures_by_upstream.get(upstream, 0.0)
        share += _FAILURE_WEIGHT * (seen - share)
        self._failures_by_upstream[upstream] = share
