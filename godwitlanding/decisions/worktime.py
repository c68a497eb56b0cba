"""Measures services' work times, and detects slow or failing upstreams.

An upstream that handled an object recently needs about a third of the time,
so moving means are kept by service: *warm* for objects that an upstream has
cached, *cold* for others. Requests without an object may have quite another
size and have their own mean: counted as cold requests, they would be refused
for a time that they do not need, and hide how long cold requests take.

Load pattern: one upstream takes five times as long as its peers or fails
half of its requests while its health endpoint reports that it is healthy. If
it fails quickly it looks idle and gets most of the work. An upstream's
factor is its own time over the expected mean; its failure share is kept
beside it. The newest response weighs a tenth for a service, which has dozens
each second, and a quarter for an upstream, of which one VM gets a few each
second, so that a slow one is detected after about four responses.
"""

from enum import Enum

_SERVICE_WEIGHT = 0.1
_UPSTREAM_WEIGHT = 0.25
_FAILURE_WEIGHT = 0.2
# The shares of a service cover about the last fifty responses.
_SERVICE_FAILURE_WEIGHT = 0.02
_SHARE_WEIGHT = 0.02
# An upstream that fails half of its requests is worse than one that has not
# cached the object (three times as long for each), but only if others fail
# less: when all upstreams of a service shed half of their requests, skipping
# each that just did so sends every object to every upstream, and cold
# requests fill the slots.
FAILING_SHARE = 0.5
OUTLIER_MARGIN = 0.25
# Before the first response; the usual work times of both users are near these.
INITIAL_WARM_S = 0.15
INITIAL_COLD_S = 0.4
# An upstream this many times slower than usual takes longer for a cached
# object than others for one that they have not cached.
SLOW_FACTOR = 2.5
# A response that took no measurable time must not make every later one an
# outlier.
_MIN_WORK_S = 0.001
_MIN_FACTOR = 0.7
_MAX_FACTOR = 20.0
# Limit of one sample as a multiple of the mean, so that a slow upstream does
# not make its whole service look slow.
_MAX_SAMPLE_TIMES = 2.0


class Warmth(Enum):
    """Whether an upstream has the object of a request cached."""

    WARM = "warm"
    COLD = "cold"
    # The first request for the object that this VM sends to the upstream.
    UNSURE = "unsure"
    # The request has no object.
    NO_OBJECT = "no object"


class WorkTimes:
    """Moving means by service and upstream; times are in seconds."""

    def __init__(self):
        self._mean_by_service = {}
        self._factor_by_upstream = {}
        self._failures_by_upstream = {}
        self._failures_by_service = {}
        # Shares of a service's responses: of cold ones among those with an
        # object, and of those without an object.
        self._cold_share_by_service = {}
        self._objectless_share_by_service = {}

    def note_response(self, service, upstream, work_s, warmth, waited):
        """Record a response's time; ``waited``: it queued for a slot."""
        work_s = max(_MIN_WORK_S, work_s)
        self._update_failures(service, upstream, 0.0)
        if warmth is Warmth.UNSURE:
            middle = (self.get_warm_s(service) + self.get_cold_s(service)) / 2
            warmth = Warmth.COLD if work_s > middle else Warmth.WARM
        elif not waited and self._measures_speed(service, warmth):
            self._update_factor(service, upstream, work_s, warmth)
        self._update_shares(service, warmth)
        key = (service, warmth)
        mean_s = self._mean_by_service.get(key)
        if mean_s is None:
            self._mean_by_service[key] = work_s
        elif not waited or work_s < mean_s:
            sample = min(work_s, _MAX_SAMPLE_TIMES * mean_s)
            self._mean_by_service[key] = mean_s + _SERVICE_WEIGHT * (sample - mean_s)

    def note_success(self, service, upstream):
        """Record a response whose time does not show the upstream's speed."""
        self._update_failures(service, upstream, 0.0)

    def note_failure(self, service, upstream):
        """Record that the upstream failed, shed or did not respond."""
        self._update_failures(service, upstream, 1.0)

    def is_measured(self, service):
        """Return whether a response of the service has been measured."""
        return any((service, warmth) in self._mean_by_service for warmth in Warmth)

    def get_warm_s(self, service):
        """Return a service's mean work time for cached objects."""
        return self._mean_by_service.get((service, Warmth.WARM), INITIAL_WARM_S)

    def get_cold_s(self, service):
        """Return the mean for objects not cached, at least the warm one."""
        cold_s = self._mean_by_service.get((service, Warmth.COLD), INITIAL_COLD_S)
        return max(cold_s, self.get_warm_s(service))

    def get_objectless_s(self, service):
        """Return the mean work time of requests without an object."""
        return self._mean_by_service.get((service, Warmth.NO_OBJECT), INITIAL_COLD_S)

    def get_usual_s(self, service, warmth):
        """Return the mean work time of the requests of one warmth."""
        if warmth is Warmth.COLD:
            return self.get_cold_s(service)
        if warmth is Warmth.NO_OBJECT:
            return self.get_objectless_s(service)
        return self.get_warm_s(service)

    def get_mean_s(self, service):
        """Return the mean work time of the current mix of requests.

        A region with cold requests has less capacity than one in which all
        objects are cached: a quarter less with one cold request in ten.
        """
        warm_s = self.get_warm_s(service)
        cold_share = self._cold_share_by_service.get(service, 0.0)
        mean_s = warm_s + cold_share * (self.get_cold_s(service) - warm_s)
        objectless_share = self._objectless_share_by_service.get(service, 0.0)
        return mean_s + objectless_share * (self.get_objectless_s(service) - mean_s)

    def get_factor(self, upstream):
        """Return how many times the usual time an upstream takes."""
        return self._factor_by_upstream.get(upstream, 1.0)

    def is_slow(self, upstream):
        """Return whether others are preferred because it is slow."""
        return self.get_factor(upstream) >= SLOW_FACTOR

    def get_failure_share(self, upstream):
        """Return the share of an upstream's recent requests that failed."""
        return self._failures_by_upstream.get(upstream, 0.0)

    def is_failure_outlier(self, service, upstream):
        """Return whether it fails clearly more often than its service."""
        usual = self._failures_by_service.get(service, 0.0)
        return self.get_failure_share(upstream) > usual + OUTLIER_MARGIN

    def is_failing(self, service, upstream):
        """Return whether others are preferred because it fails."""
        if self.get_failure_share(upstream) < FAILING_SHARE:
            return False
        return self.is_failure_outlier(service, upstream)

    def recover(self):
        """Decay factors and failure shares, so that upstreams are retried.

        Called once a second: a slow upstream that is skipped would otherwise
        count as slow for ever, since it gets no requests that could show its
        recovery. At a tenth per second, a factor of 5 is below 2 after 14 s.
        """
        for upstream, factor in self._factor_by_upstream.items():
            self._factor_by_upstream[upstream] = factor + 0.1 * (1.0 - factor)
        for upstream in self._failures_by_upstream:
            self._failures_by_upstream[upstream] *= 0.9

    def forget_failures(self, upstream):
        """Discard an upstream's failures, which were not its own."""
        self._failures_by_upstream.pop(upstream, None)

    def forget(self, upstream):
        """Discard the values of an upstream that was removed."""
        self._factor_by_upstream.pop(upstream, None)
        self._failures_by_upstream.pop(upstream, None)

    def _measures_speed(self, service, warmth):
        # If a service also has requests with objects, those without are
        # light: their time depends more on the network than on the upstream.
        if warmth is not Warmth.NO_OBJECT:
            return True
        return service not in self._cold_share_by_service

    def _update_factor(self, service, upstream, work_s, warmth):
        usual = self.get_usual_s(service, warmth)
        observed = min(_MAX_FACTOR, max(_MIN_FACTOR, work_s / usual))
        mean = self.get_factor(upstream)
        self._factor_by_upstream[upstream] = mean + _UPSTREAM_WEIGHT * (observed - mean)

    def _update_shares(self, service, warmth):
        is_objectless = warmth is Warmth.NO_OBJECT
        _update_share(self._objectless_share_by_service, service, is_objectless)
        if not is_objectless:
            is_cold = warmth is Warmth.COLD
            _update_share(self._cold_share_by_service, service, is_cold)

    def _update_failures(self, service, upstream, observed):
        share = self._failures_by_upstream.get(upstream, 0.0)
        share += _FAILURE_WEIGHT * (observed - share)
        self._failures_by_upstream[upstream] = share
        usual = self._failures_by_service.get(service, 0.0)
        usual += _SERVICE_FAILURE_WEIGHT * (observed - usual)
        self._failures_by_service[service] = usual


def _update_share(share_by_service, service, observed):
    share = share_by_service.get(service, 0.0)
    share_by_service[service] = share + _SHARE_WEIGHT * (observed - share)
