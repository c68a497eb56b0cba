"""How many repeats a VM may add to a service's requests.

Load pattern: upstreams shed or fail under load, and each failure is sent
again by a dozen VMs that do not know of each other. The bound is on the sum
over all VMs in a sliding window, so each VM keeps to its own share of it:
the ratio of the requests that it took itself, and an equal part of the
fixed allowance. Shares of a sum hold while VMs are cut off from each other;
a count that they would have to agree on does not.

Part of the bound is left unused. Of the share of the requests a quarter, for
windows that do not begin together; a process that starts again within a
window has no requests to count on, so it cannot take that part twice. Of the
fixed allowance it can, and VMs may be added without this VM's knowing: half.
"""

from collections import deque

USED_RATIO_SHARE = 0.75
USED_SLACK_SHARE = 0.5
# Parts into which the fixed allowance is cut at the least, so that a VM that
# hears of no other does not take all of it.
MIN_SHARES = 8


class _Window:
    def __init__(self):
        self.requests = deque()
        self.retries = deque()

    def trim(self, before):
        for times in (self.requests, self.retries):
            while times and times[0] < before:
                times.popleft()


class RetryBudget:
    """Repeats of one VM by service; ``now`` is seconds of one clock."""

    def __init__(self, ratio, window_s, slack):
        self.set_bounds(ratio, window_s, slack)
        self._window_by_service = {}

    def set_bounds(self, ratio, window_s, slack):
        """Take what all VMs together may repeat in a window."""
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack

    def note_request(self, service, now):
        """Count the first arrival of a caller's request."""
        self._get_window(service, now).requests.append(now)

    def take(self, service, vms, now):
        """Tell whether one more repeat fits, and count it if it does."""
        window = self._get_window(service, now)
        slack = self._slack / max(MIN_SHARES, vms)
        allowed = USED_RATIO_SHARE * self._ratio * len(window.requests)
        allowed += USED_SLACK_SHARE * slack
        if len(window.retries) + 1 > allowed:
            return False
        window.retries.append(now)
        return True

    def _get_window(self, service, now):
        window = self._window_by_service.get(service)
        if window is None:
            window = self._window_by_service[service] = _Window()
        window.trim(now - self._window_s)
        return window
