"""Token bucket that limits an entry process's retries to a share of requests.

Load pattern: upstreams begin to fail under load, each failure is retried,
and the retries add load. Without a budget three attempts for each request
triple the load when capacity is lowest, and the system stays overloaded
after the cause is gone (a metastable failure).

The budget is a share of first attempts, since a fixed count would be either
negligible at full load or unlimited at night. 10 % bounds the load to 1.1
times while it still covers the loss of one upstream in ten; the minimum of
0.5 a second allows a service with little traffic to retry at all.
"""

RETRY_SHARE = 0.1
FLOOR_PER_S = 0.5
# Bucket size: a burst of failures, such as an upstream that fails with all its
# slots in use, can be retried completely even when traffic is low.
BURST_RETRIES = 10.0
# A process that restarts does not know what it has spent. With a full bucket,
# VMs that restart in series would retry ten requests each time.
INITIAL_RETRIES = 2.0


class RetryTokenBucket:
    """A token bucket filled by first attempts and, slowly, by time.

    >>> budget = RetryTokenBucket()
    >>> budget.note_first_attempt(0.0)
    >>> budget.may_retry(0.0)
    True
    """

    def __init__(self, share=RETRY_SHARE, floor_per_s=FLOOR_PER_S, burst=BURST_RETRIES):
        self._share = share
        self._floor_per_s = floor_per_s
        self._burst = burst
        self._tokens = min(burst, INITIAL_RETRIES)
        self._filled_at = None

    def note_first_attempt(self, now):
        """Count a request that is dispatched for the first time."""
        self._fill(now, self._share)

    def may_retry(self, now):
        """Return whether a retry may be sent; take its token if so."""
        self._fill(now, 0.0)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _fill(self, now, tokens):
        if self._filled_at is not None:
            tokens += max(0.0, now - self._filled_at) * self._floor_per_s
        self._filled_at = now
        self._tokens = min(self._burst, self._tokens + tokens)
