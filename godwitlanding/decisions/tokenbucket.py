"""A token bucket that several VMs draw from, each following its level.

Unlike a bucket of one process it may be in debt, since what others have sent
is heard a moment later, and its pace and size change while it is in use.
"""


class TokenBucket:
    """Requests that may be sent, as this VM knows; ``now`` is one clock's."""

    def __init__(self, now):
        self.level = 0.0
        self.filled_at = now
        self.per_s = 0.0
        self.capacity = 0.0

    def fill(self, now):
        """Add what has accrued.

        The debt is bounded, so that a count that is wrong keeps nobody out
        for longer than the bucket takes to fill.
        """
        self.level = max(self.level, -self.capacity)
        self.level += self.per_s * max(0.0, now - self.filled_at)
        self.level = min(self.capacity, self.level)
        self.filled_at = now

    def set_pace(self, per_s, capacity, now):
        """Let it fill at another pace from now on."""
        self.fill(now)
        self.per_s = per_s
        self.capacity = capacity
        self.level = min(self.level, capacity)
