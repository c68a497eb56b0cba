"""Limits how many retries a VM may add to a service's requests.

Load pattern: upstreams shed or fail under load, and each failure is retried
by a dozen VMs that do not know of each other. The bound applies to the sum
over all VMs in a sliding window, so each VM keeps to its own share of it:
the ratio of the requests that it received itself, and an equal part of the
fixed allowance. Such shares hold even while VMs are partitioned from each
other; a count that they have to agree on does not.

Part of the bound is left unused. Of the ratio's part a quarter, because the
VMs' windows do not begin together; a process that restarts within a window
has no requests to count on, so it cannot use that part twice. It can use the
fixed allowance twice, and VMs may be added without this VM knowing: of that
part a half is left unused.
"""

from collections import deque
from typing import NamedTuple

USED_RATIO_SHARE = 0.75
USED_SLACK_SHARE = 0.5
# Minimum number of shares of the fixed allowance, so that a VM that knows no
# other VM does not use all of it.
MIN_SHARES = 8


class RetryCounts(NamedTuple):
    """What a VM counted for a service in the window that ends now."""

    requests: int
    retries: int


class _Window:
    def __init__(self):
        self.requests = deque()
        self.retries = deque()

    def trim(self, before):
        for times in (self.requests, self.retries):
            while times and times[0] < before:
                times.popleft()


class RetryBudget:
    """One VM's retries by service; ``now`` is seconds of one clock."""

    def __init__(self, ratio, window_s, slack):
        self.set_bounds(ratio, window_s, slack)
        self._window_by_service = {}

    def set_bounds(self, ratio, window_s, slack):
        """Set the bounds on the retries of all VMs together in a window."""
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack

    def note_request(self, service, now):
        """Count a caller's request on its first arrival."""
        self._get_window(service, now).requests.append(now)

    def take(self, service, vms, now):
        """Return whether one more retry is allowed; count it if so."""
        window = self._get_window(service, now)
        slack = self._slack / max(MIN_SHARES, vms)
        allowed = USED_RATIO_SHARE * self._ratio * len(window.requests)
        allowed += USED_SLACK_SHARE * slack
        if len(window.retries) + 1 > allowed:
            return False
        window.retries.append(now)
        return True

    def get_counts(self, service, now):
        """Return the ``RetryCounts`` of a service."""
        window = self._get_window(service, now)
        return RetryCounts(len(window.requests), len(window.retries))

    def _get_window(self, service, now):
        window = self._window_by_service.get(service)
        if window is None:
            window = self._window_by_service[service] = _Window()
        window.trim(now - self._window_s)
        return window
