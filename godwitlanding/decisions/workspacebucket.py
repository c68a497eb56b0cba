"""A region's token bucket of a workspace, with reservations for retries.

Tokens are reserved for callers that were refused and told when to retry.
"""

from godwitlanding.decisions.tokenbucket import TokenBucket

# Maximum delay until a VM of the region knows what another has sent.
PROPAGATION_S = 0.05
# A reservation is held until this much after the announced retry time.
RETRY_GRACE_S = 0.5
# Of the callers that are refused in the same seconds, more than this many
# could not be served before their deadline anyway.
MAX_EXPECTED_RETRIES = 64


class WorkspaceCounts:
    """Requests of a workspace that this VM has sent and received.

    Both are counted since the VM's start, modulo ``tally.COUNT_MODULUS``.
    """

    def __init__(self):
        self.sent = 0
        self.asked = 0
        self.changed_at = 0.0


class WorkspaceBucket(TokenBucket):
    """A region's bucket of one workspace, as computed by this VM."""

    def __init__(self, workspace, counts, now):
        super().__init__(now)
        self.workspace = workspace
        self.counts = counts
        self.created_at = now
        # Requests in the region since the last update, and their mean rate.
        self.asked_since_update = 0
        self.asked_per_s = 0.0
        # Recently computed parts, each with its time.
        self.recent_parts = []
        # Announced retry times of refused callers.
        self.expected_retries = []

    def update_asked_rate(self, elapsed_s, weight, now):
        """Update the mean demand; shortly after the start, the mean so far."""
        observed_per_s = self.asked_since_update / elapsed_s
        self.asked_since_update = 0
        weight = max(weight, min(1.0, elapsed_s / (now - self.created_at + elapsed_s)))
        self.asked_per_s += weight * (observed_per_s - self.asked_per_s)

    def get_margin(self):
        """Return the tokens kept back for requests not yet known here."""
        return min((self.capacity - 1.0) / 2, self.asked_per_s * PROPAGATION_S)

    def expect_retry(self, at):
        """Reserve a token for a caller that was told to retry at ``at``."""
        if len(self.expected_retries) < MAX_EXPECTED_RETRIES:
            self.expected_retries.append(at)

    def drop_expected_retry(self):
        """Drop the earliest reservation, as its caller has retried."""
        self.expected_retries.remove(min(self.expected_retries))

    def count_due_retries(self, now):
        """Return the number of reservations that are due now."""
        self.expected_retries = [
            at for at in self.expected_retries if at >= now - RETRY_GRACE_S
        ]
        return sum(1 for at in self.expected_retries if at <= now)
