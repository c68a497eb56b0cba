"""A region's token bucket of a workspace, with places for who comes back.

Callers that were refused and told when to come back find a place kept.
"""

from godwitlanding.decisions.tokenbucket import TokenBucket

# Longest time until a VM of the region knows what another has sent.
SEEN_S = 0.05
# Callers that were told when to come back are expected until this much later.
LATE_S = 0.5
# Of those that are refused in the same seconds, more than this many could not
# be served in time anyway.
MAX_RETURNS = 64


class Count:
    """What this VM has had of a workspace since it started."""

    def __init__(self):
        self.sent = 0
        self.asked = 0
        self.changed_at = 0.0


class Bucket(TokenBucket):
    """A region's bucket of one workspace, as this VM sees it."""

    def __init__(self, workspace, count, now):
        super().__init__(now)
        self.workspace = workspace
        self.count = count
        self.born_at = now
        # Requests for it in the region since the last update, and a second.
        self.asked_lately = 0
        self.asked_per_s = 0.0
        # Parts that were worked out lately, with the time of each.
        self.parts = []
        # When those that were refused were told to come back.
        self.returns = []

    def measure(self, elapsed_s, weight, now):
        """Work out what its callers ask for; at first the mean so far."""
        seen_per_s = self.asked_lately / elapsed_s
        self.asked_lately = 0
        weight = max(weight, min(1.0, elapsed_s / (now - self.born_at + elapsed_s)))
        self.asked_per_s += weight * (seen_per_s - self.asked_per_s)

    def get_margin(self):
        """Return what is kept back for requests that are not known yet."""
        return min((self.capacity - 1.0) / 2, self.asked_per_s * SEEN_S)

    def note_return(self, at):
        """A caller was told to come back then."""
        if len(self.returns) < MAX_RETURNS:
            self.returns.append(at)

    def forget_return(self):
        """One of those has come."""
        self.returns.remove(min(self.returns))

    def count_due(self, now):
        """Return how many were told to come back about now."""
        self.returns = [at for at in self.returns if at >= now - LATE_S]
        return sum(1 for at in self.returns if at <= now)
