"""How many retries an entry process may add to the first tries.

Load pattern: upstreams begin to fail under load, each failure is tried
again, and the retries are load of their own. Without a budget three tries a
request triple the load at the moment when capacity is least, and the system
stays down after the cause has gone (a metastable failure).

The budget is a share of first tries, since a fixed count would either be
nothing at full load or everything at night. 10 % bounds the added load to
1.1 times while it still covers the loss of one upstream in ten; the floor
of 0.5 a second lets a quiet service retry at all.
"""

RETRY_SHARE = 0.1
FLOOR_PER_S = 0.5
# What may be saved up: a burst of failures, such as an upstream that dies
# with all its slots taken, is retried whole even when traffic is low.
BURST_RETRIES = 10.0


class RetryTokenBucket:
    """A token bucket filled by first tries and, slowly, by time.

    >>> budget = RetryBudget()
    >>> budget.note_first_try(0.0)
    >>> budget.may_retry(0.0)
    True
    """

    def __init__(self, share=RETRY_SHARE, floor_per_s=FLOOR_PER_S, burst=BURST_RETRIES):
        self._share = share
        self._floor_per_s = floor_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at = None

    def note_first_attempt(self, now):
        """Count a request that is dispatched for the first time."""
        self._fill(now, self._share)

    def may_retry(self, now):
        """Tell whether a retry may be sent, and spend it if so."""
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
