"""A token bucket shared by several VMs, each of which computes its level.

Unlike the bucket of a single process its level may be negative, since the
requests that others have sent are learnt a moment later, and its rate and
capacity change while it is in use.
"""


class TokenBucket:
    """Tokens for requests, as known to this VM.

    ``now`` is the time in seconds on one clock in every call.
    """

    def __init__(self, now):
        self.level = 0.0
        self.filled_at = now
        self.refill_per_s = 0.0
        self.capacity = 0.0

    def fill(self, now):
        """Add the tokens accrued since the last call.

        A negative level is bounded, so that a wrong count refuses requests for
        no longer than the bucket takes to fill.
        """
        self.level = max(self.level, -self.capacity)
        self.level += self.refill_per_s * max(0.0, now - self.filled_at)
        self.level = min(self.capacity, self.level)
        self.filled_at = now

    def set_refill_rate(self, refill_per_s, capacity, now):
        """Change the refill rate and the capacity from now on."""
        self.fill(now)
        self.refill_per_s = refill_per_s
        self.capacity = capacity
        self.level = min(self.level, capacity)
