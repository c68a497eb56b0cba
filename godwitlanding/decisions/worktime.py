"""How long the work of a service takes, and which upstreams are slow or fail.

An upstream that handled an object lately does the work in about a third of
the time, so running means are kept for a service: *warm* for objects that an
upstream knows, *cold* for those it does not. Requests about no object may be
of quite another size and have a mean of their own: taken for first runs they
would be refused for a time that they do not need, and hide how long first
runs take.

Load pattern: one upstream takes five times as long as its peers or fails
half of its requests while its health endpoint says that all is well. Failing
quickly it looks idle and draws the most work. An upstream's factor is its
own time over the mean that was to be expected; the share of failures is kept
beside it. The newest answer weighs a tenth for a service, where dozens come
each second, and a quarter for an upstream, which one VM hears from a few
times a second, so that a slow one is known after about four answers.
"""

from enum import Enum

_SERVICE_WEIGHT = 0.1
_UPSTREAM_WEIGHT = 0.25
_FAILURE_WEIGHT = 0.2
# The shares of a service are those of the last fifty answers.
_SERVICE_FAILURE_WEIGHT = 0.02
_SHARE_WEIGHT = 0.02
# An upstream that fails half of its requests is worse than one that does
# not know the object (three times as long for each), but only where others
# fail less: when all upstreams of a service shed half of their requests,
# passing over each that just did so sends every object everywhere, and first
# runs fill the slots.
FAILING_SHARE = 0.5
OUTLIER_MARGIN = 0.25
# Before the first answer: the usual work of both users lies near these.
INITIAL_WARM_S = 0.15
INITIAL_COLD_S = 0.4
# An upstream this many times slower than usual takes longer for an object
# that it knows than others for one that they do not.
SLOW_FACTOR = 2.5
_MIN_FACTOR = 0.7
_MAX_FACTOR = 20.0
# One answer counts at most this many times the mean, so that a slow upstream
# does not make its whole service look slow.
_MAX_SAMPLE_TIMES = 2.0


class Warmth(Enum):
    """Whether an upstream knows the object of a request."""

    WARM = "warm"
    COLD = "cold"
    # The first request for the object that this VM sends there.
    UNSURE = "unsure"
    # The request is about no object.
    NO_OBJECT = "no object"


class WorkTimes:
    """Running means by service and upstream, all in seconds."""

    def __init__(self):
        self._mean_by_service = {}
        self._factor_by_upstream = {}
        self._failures_by_upstream = {}
        self._failures_by_service = {}
        # Shares of the answers of a service: of first runs among those about
        # objects, and of those about none.
        self._cold_share_by_service = {}
        self._objectless_share_by_service = {}

    def note_answer(self, service, upstream, work_s, warmth, waited):
        """Take the time of an answer; ``waited``: it queued for a slot."""
        self._update_failures(service, upstream, 0.0)
        if warmth is Warmth.UNSURE:
            middle = (self.get_warm_s(service) + self.get_cold_s(service)) / 2
            warmth = Warmth.COLD if work_s > middle else Warmth.WARM
        elif not waited and self._measures_speed(service, warmth):
            self._update_factor(service, upstream, work_s, warmth)
        self._update_shares(service, warmth)
        key = (service, warmth)
        held = self._mean_by_service.get(key)
        if held is None:
            self._mean_by_service[key] = work_s
        elif not waited or work_s < held:
            sample = min(work_s, _MAX_SAMPLE_TIMES * held)
            self._mean_by_service[key] = held + _SERVICE_WEIGHT * (sample - held)

    def note_failure(self, service, upstream):
        """The upstream failed a request, shed it or did not answer."""
        self._update_failures(service, upstream, 1.0)

    def get_warm_s(self, service):
        """Return the work time of a service on objects that are known."""
        return self._mean_by_service.get((service, Warmth.WARM), INITIAL_WARM_S)

    def get_cold_s(self, service):
        """Return the work time on objects that are not, never below warm."""
        held = self._mean_by_service.get((service, Warmth.COLD), INITIAL_COLD_S)
        return max(held, self.get_warm_s(service))

    def get_objectless_s(self, service):
        """Return the work time of requests about no object."""
        return self._mean_by_service.get((service, Warmth.NO_OBJECT), INITIAL_COLD_S)

    def get_mean_s(self, service):
        """Return the mean work time of what is answered now.

        A region whose upstreams learn objects carries less than one where
        all are known: at one first run in ten a quarter less.
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
        """Tell whether others should be preferred for its slowness."""
        return self.get_factor(upstream) >= SLOW_FACTOR

    def get_failure_share(self, upstream):
        """Return the share of an upstream's recent requests that failed."""
        return self._failures_by_upstream.get(upstream, 0.0)

    def is_failure_outlier(self, service, upstream):
        """Tell whether an upstream fails more often than its service does."""
        usual = self._failures_by_service.get(service, 0.0)
        return self.get_failure_share(upstream) > usual + OUTLIER_MARGIN

    def is_failing(self, service, upstream):
        """Tell whether others should be preferred to the upstream."""
        if self.get_failure_share(upstream) < FAILING_SHARE:
            return False
        return self.is_failure_outlier(service, upstream)

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

    def _measures_speed(self, service, warmth):
        # Where requests about objects come as well, those about none are
        # light: their time tells more of the network than of the upstream.
        if warmth is not Warmth.NO_OBJECT:
            return True
        return service not in self._cold_share_by_service

    def _update_factor(self, service, upstream, work_s, warmth):
        usual = self.get_warm_s(service)
        if warmth is Warmth.COLD:
            usual = self.get_cold_s(service)
        elif warmth is Warmth.NO_OBJECT:
            usual = self.get_objectless_s(service)
        observed = min(_MAX_FACTOR, max(_MIN_FACTOR, work_s / max(usual, 0.001)))
        held = self.get_factor(upstream)
        self._factor_by_upstream[upstream] = held + _UPSTREAM_WEIGHT * (observed - held)

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
    held = share_by_service.get(service, 0.0)
    share_by_service[service] = held + _SHARE_WEIGHT * (observed - held)
