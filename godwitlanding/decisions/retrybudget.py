"""Limits how many retries a VM may add to a service's requests.

Load pattern: upstreams shed or fail under load, and each failure is retried
by a dozen VMs that do not know of each other. Without a bound the retries
multiply the load when there is least room for it. The bound applies to the
sum over all VMs in any window: a ratio of the callers' requests, or of those
in the window before it, and a fixed allowance.

The sum has to hold while VMs restart, stop, join, are cut off from each other
or lose their callers to others, so no VM relies on what others count or on
what an earlier process has spent. A process spends only what it has earned:

- Each request earns half of the ratio, where it is counted. What is left of
  it is lost as the request leaves the window. So the retries of any window
  are paid by requests of that window and the one before it, each of which
  counts once, at one process; that is at most the ratio of the larger one.
- Each second earns a part of the fixed allowance, divided by the number of
  VMs, up to that of one window. A process starts with none and a stopping one
  earns no more. So all processes together earn at most their part of two
  windows, however often they restart.

Some of the fixed allowance is left unused for VMs that have joined without
this VM knowing; that covers one more for every four.
"""

from collections import deque
from typing import NamedTuple

# Two windows of requests may pay for the retries of one.
EARNED_RATIO_SHARE = 0.5
EARNED_SLACK_SHARE = 0.4
# Minimum number of shares of the fixed allowance, so that a VM that knows no
# other VM does not use all of it.
MIN_SHARES = 8
# Suspensions of the machine lengthen the windows, as the clock stands still
# meanwhile. Up to this much in all, what was earned is kept.
MAX_SUSPENDED_S = 0.1


class RetryCounts(NamedTuple):
    """What a VM has counted for a service.

    ``requests`` are those of the window that ends now, ``credit`` is how many
    retries they and the fixed allowance still pay for.
    """

    requests: int
    credit: float


class _Account:
    """The requests of one service in the window, and what is earned."""

    def __init__(self, now):
        self.requests = deque()
        self.request_credit = 0.0
        self.slack_credit = 0.0
        self.slack_earned_at = now

    def trim(self, before, credit_per_request):
        while self.requests and self.requests[0] < before:
            self.requests.popleft()
        most = credit_per_request * len(self.requests)
        self.request_credit = min(self.request_credit, most)

    def earn_slack(self, per_s, most, now):
        earned = per_s * max(0.0, now - self.slack_earned_at)
        self.slack_credit = min(most, self.slack_credit + earned)
        self.slack_earned_at = now

    def get_credit(self):
        return self.request_credit + self.slack_credit

    def spend(self, retries):
        from_requests = min(retries, self.request_credit)
        self.request_credit -= from_requests
        self.slack_credit -= retries - from_requests


class RetryBudget:
    """One VM's retries by service; ``now`` is seconds of one clock.

    ``started_at`` is when the process started on that clock.
    ``get_suspended_s`` returns for how long the machine has been suspended,
    which the clock does not count.

    >>> budget = RetryBudget(0.2, window_s=10.0, slack=0.0, started_at=0.0)
    >>> for _ in range(10):
    ...     budget.note_request("catalogue", now=1.0)
    >>> budget.take("catalogue", vms=12, now=2.0)
    True
    >>> budget.take("catalogue", vms=12, now=2.0)
    False
    """

    def __init__(self, ratio, window_s, slack, started_at, get_suspended_s=lambda: 0.0):
        self.set_bounds(ratio, window_s, slack)
        self._earns_slack_since = started_at
        self._get_suspended_s = get_suspended_s
        self._suspended_s = get_suspended_s()
        self._is_stopping = False
        self._account_by_service = {}

    def set_bounds(self, ratio, window_s, slack):
        """Set the bounds on the retries of all VMs together in a window."""
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack

    def begin_stop(self):
        """Earn no more of the fixed allowance, as others will divide it."""
        self._is_stopping = True

    def note_request(self, service, now):
        """Count a caller's request on its first arrival."""
        account = self._get_account(service, now)
        account.requests.append(now)
        account.request_credit += self._get_credit_per_request()

    def take(self, service, vms, now):
        """Return whether one more retry is allowed; count it if so.

        ``vms`` is the number of VMs that are known, with this one.
        """
        self._forget_if_suspended(now)
        account = self._get_account(service, now)
        slack = EARNED_SLACK_SHARE * self._slack / max(MIN_SHARES, vms)
        per_s = 0.0 if self._is_stopping else slack / self._window_s
        account.earn_slack(per_s, slack, now)
        # Sums of fractions may fall short of a whole by a rounding error.
        if account.get_credit() < 1.0 - 1e-9:
            return False
        account.spend(1.0)
        return True

    def get_counts(self, service, now):
        """Return the ``RetryCounts`` of a service."""
        account = self._get_account(service, now)
        return RetryCounts(len(account.requests), round(account.get_credit(), 2))

    def _get_credit_per_request(self):
        return EARNED_RATIO_SHARE * self._ratio

    def _get_account(self, service, now):
        account = self._account_by_service.get(service)
        if account is None:
            account = _Account(self._earns_slack_since)
            self._account_by_service[service] = account
        account.trim(now - self._window_s, self._get_credit_per_request())
        return account

    def _forget_if_suspended(self, now):
        suspended_s = self._get_suspended_s()
        if suspended_s - self._suspended_s > MAX_SUSPENDED_S:
            self._account_by_service.clear()
            self._earns_slack_since = now
            self._suspended_s = suspended_s
