"""Lease stored in the platform that grants one candidate a task for a while.

Guards against a holder that crashes, is paused or is partitioned while
others wait to take over. Clocks are never compared: an observer that has
seen no renewal for ``lease_s`` on its own monotonic clock may take the lease,
by conditional update, so that of two that try at once one fails. A former
holder may still assume that it holds the lease for as long as it was paused;
so a lease only avoids duplicate work, and what the work writes needs its own
fencing (the plan is changed by conditional update on its version).

A platform restored from an older copy shows an older lease, while the holder
of the lost one still assumes that it holds it; so nobody but the holder
takes the lease for ``lease_s`` after its version went back.

Pure: ``now`` is seconds of one monotonic clock.
"""

import json
from typing import NamedTuple

# Two renewals may be lost before the lease expires.
RENEWALS_PER_LEASE = 3


class Lease(NamedTuple):
    """The lease as the platform stores it; ``renewal`` counts the writes."""

    holder: str
    renewal: int


def parse_lease(body):
    """Return the lease in an object's value; ``ValueError`` if invalid."""
    try:
        value = json.loads(body)
        return Lease(str(value["holder"]), int(value["renewal"]))
    except (TypeError, KeyError) as error:
        raise ValueError(f"not a lease: {error}") from error


def format_lease(lease):
    """Return the bytes of a lease as the platform stores it."""
    return json.dumps(lease._asdict(), sort_keys=True).encode()


class LeaseCandidate:
    """One candidate's view of a lease."""

    def __init__(self, candidate, lease_s):
        self.lease = Lease("", 0)
        self.version = 0
        self._candidate = candidate
        self._lease_s = lease_s
        self._seen_at = None
        # When the lease's version was last seen to go back.
        self._rolled_back_at = None
        self._valid_until = 0.0
        self._sent_at_by_renewal = {}

    def observe(self, lease, version, now):
        """Record the lease as read from the platform, ``None`` if absent.

        If it is a write of this candidate whose response was lost, the lease
        is valid from when the write was sent.
        """
        if self._seen_at is None or version != self.version:
            self._seen_at = now
        if version < self.version:
            self._rolled_back_at = now
        self.version = version
        self.lease = lease or Lease("", 0)
        if self.lease.holder != self._candidate:
            self._valid_until = 0.0
            return
        sent_at = self._sent_at_by_renewal.get(self.lease.renewal)
        if sent_at is not None:
            self._valid_until = max(self._valid_until, sent_at + self._lease_s)

    def holds(self, now):
        """Return whether this candidate holds the lease at ``now``."""
        return self.lease.holder == self._candidate and now < self._valid_until

    def get_attempt(self, now):
        """Return the lease to write now, or ``None``.

        The caller writes it conditionally on ``version`` and reports success
        with ``note_written``.
        """
        if self._seen_at is None:
            return None
        if not self.holds(now) and self._has_recent_rollback(now):
            return None
        if self.lease.holder == self._candidate:
            interval_s = self._lease_s / RENEWALS_PER_LEASE
            renewed_at = self._valid_until - self._lease_s
            if self.holds(now) and now - renewed_at < interval_s:
                return None
        elif self.lease.holder and now - self._seen_at < self._lease_s:
            return None
        attempt = Lease(self._candidate, self.lease.renewal + 1)
        self._sent_at_by_renewal = {attempt.renewal: now}
        return attempt

    def _has_recent_rollback(self, now):
        return (
            self._rolled_back_at is not None
            and now - self._rolled_back_at < self._lease_s
        )

    def note_written(self, lease, version, now):
        """Record that the platform stored ``lease`` as ``version``."""
        self.observe(lease, version, now)

    def release(self):
        """Return the lease to write when this candidate stops."""
        return Lease("", self.lease.renewal + 1)
