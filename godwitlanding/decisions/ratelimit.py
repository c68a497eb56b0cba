"""Limits the request rate to upstreams that have announced a limit.

An overloaded upstream states in its responses how many requests a second it
accepts from all VMs together, for as long as it says so.

Load pattern: requests about an object keep going to the upstream that has it
cached, so without this module the upstream would receive as many as before
whatever it announces, from VMs each of which sees only its own part of that.
If each VM kept to the limit by itself, they would send too much by a factor of
their number; if each kept to an equal part, most of what the upstream can
still serve would be unused, since a VM that has a token often has no request
for it.

So the VMs that carry requests in the upstream's region draw from one token
bucket. Each computes its level from the counts that the VMs send each other
many times a second. VMs of other regions leave such an upstream to them, as
their counts would arrive too late. If no messages arrive from its region, its
upstreams may still be reachable; then each other region uses an equal part.

A VM that can reach only a part of its region uses only that part of the limit,
as the rest may be sending too.
"""

import math
from typing import NamedTuple

from godwitlanding.decisions.tokenbucket import TokenBucket

# Tokens of this time may be used at once.
BURST_S = 1.0
# A lower limit is raised to this, so that an occasional request can find out
# that the limit was removed.
MIN_PER_S = 0.1
# If the bucket stays fuller than this, the demand is below the limit: a limit
# far above the demand changes nothing.
SCARCE_LEVEL_SHARE = 0.9
# A limit that no response has confirmed for this long is dropped: nobody sends
# there, and it may have been removed long ago. It is more than the interval
# between two requests at ``MIN_PER_S``.
LIMIT_TTL_S = 15.0
# For this long the removal of a limit is reported to other VMs.
REPORT_REMOVED_S = 3.0
# A VM that receives a limit for the first time does not know since when the
# others have been counting.
COUNT_SETTLE_S = 1.0
# Another region's limits arrive in its digests, some moments after its
# upstream's response.
REMOTE_SETTLE_S = 2.0
REMOTE_TIMEOUT_S = 3.0
# Messages between VMs round limits to fewer digits than upstreams use.
LIMIT_REL_TOLERANCE = 1e-4
# Limits the rows in one datagram, so that it fits in a few packets.
MAX_ROWS = 128


class LimitRow(NamedTuple):
    """A VM's report on an upstream that has announced a limit.

    ``per_s`` is what the upstream answered to the VM itself ``age_s`` seconds
    ago, where ``None`` stands for no limit; ``age_s`` is ``None`` if the VM
    has had no response.
    """

    upstream: int
    per_s: float | None
    age_s: float | None
    # Requests that the VM has sent there since it knows the limit.
    sent: int


class LimitedUpstream(NamedTuple):
    """An upstream of a region and the limit that it has announced."""

    upstream: int
    per_s: float


class _Limit(TokenBucket):
    def __init__(self, region, now):
        super().__init__(now)
        self.region = region
        self.created_at = now
        # The latest limit, and the latest one that the upstream announced to
        # this VM itself.
        self.announced_per_s = None
        self.announced_at = -math.inf
        self.own_announced_per_s = None
        self.own_announced_at = None
        self.sent = 0
        # Time of the last change that has to be reported to other VMs.
        self.changed_at = now
        # Incarnation and count of each VM.
        self.sent_by_vm = {}

    def make_row(self, upstream, now):
        age_s = None if self.own_announced_at is None else now - self.own_announced_at
        return LimitRow(upstream, self.own_announced_per_s, age_s, self.sent)

    def apply_count(self, vm, incarnation, sent, now):
        """Subtract what another VM has newly sent from this bucket."""
        previous = self.sent_by_vm.get(vm)
        self.sent_by_vm[vm] = (incarnation, sent)
        if previous is None and now - self.created_at < COUNT_SETTLE_S:
            return
        previous_sent = previous[1] if previous and previous[0] == incarnation else 0
        # Its count restarts at zero if it had dropped the limit.
        new_requests = sent - previous_sent if sent >= previous_sent else sent
        if new_requests:
            self.fill(now)
            self.level -= new_requests


class RateLimits:
    """The limits that upstreams have announced.

    ``now`` is the time in seconds on one clock in every call. Upstreams are
    identified by the numbers that VMs use in their messages.
    """

    def __init__(self, region, regions):
        self._region = region
        self._limit_by_upstream = {}
        self._received_at_by_region = {}
        self._regions = frozenset(regions) | {region}
        self._reachable_share = 1.0
        self._carries = True

    def set_regions(self, regions):
        """Set the existing regions."""
        self._regions = frozenset(regions) | {self._region}

    def get(self, upstream):
        """Return an upstream's limit in requests a second, or ``None``."""
        limit = self._limit_by_upstream.get(upstream)
        return limit.announced_per_s if limit else None

    def may_send(self, upstream, now):
        """Return whether a request may be sent to an upstream now."""
        limit = self._limit_by_upstream.get(upstream)
        if limit is None or limit.announced_per_s is None:
            return True
        if self._is_left_to_others(limit, now):
            return False
        limit.fill(now)
        return limit.level >= 1.0

    def is_scarce(self, upstream, now):
        """Return whether a limit leaves hardly more than the demand."""
        limit = self._limit_by_upstream.get(upstream)
        if limit is None or limit.announced_per_s is None:
            return False
        if self._is_left_to_others(limit, now):
            return True
        limit.fill(now)
        return limit.level < SCARCE_LEVEL_SHARE * limit.capacity

    def note_sent(self, upstream, now):
        """Count a request that is sent to an upstream."""
        limit = self._limit_by_upstream.get(upstream)
        if limit is not None:
            limit.fill(now)
            limit.level -= 1.0
            limit.sent += 1
            limit.changed_at = now

    def note_response(self, upstream, region, per_s, now):
        """Record the limit in an upstream's response, ``None`` for none.

        ``region`` is the upstream's. Returns whether the limit has changed.
        """
        limit = self._limit_by_upstream.get(upstream)
        if limit is None:
            if per_s is None:
                return False
            limit = self._add(upstream, region, now)
        limit.own_announced_per_s = per_s
        limit.own_announced_at = now
        limit.changed_at = now
        return self._apply_limit(limit, per_s, now, now)

    def receive(self, vm, incarnation, row, region, now):
        """Take another VM's report on an upstream of ``region``.

        Returns whether the limit has changed.
        """
        limit = self._limit_by_upstream.get(row.upstream)
        if limit is None:
            if row.age_s is None or row.per_s is None:
                return False
            limit = self._add(row.upstream, region, now)
        limit.apply_count(vm, incarnation, row.sent, now)
        if row.age_s is None:
            return False
        return self._apply_limit(limit, row.per_s, now - row.age_s, now)

    def receive_region_limits(self, region, limited, now):
        """Take the limited upstreams of another region."""
        self._received_at_by_region[region] = now
        for upstream, per_s in limited:
            limit = self._limit_by_upstream.get(upstream)
            if limit is None:
                limit = self._add(upstream, region, now)
            self._apply_limit(limit, per_s, now, now)
        announced = {row.upstream for row in limited}
        for upstream, limit in list(self._limit_by_upstream.items()):
            if limit.region != region or upstream in announced:
                continue
            if now - limit.announced_at > REMOTE_SETTLE_S:
                del self._limit_by_upstream[upstream]

    def get_rows(self, now, since=0.0):
        """Return the reports that changed at or after ``since``."""
        rows = [
            (limit.changed_at, limit.make_row(upstream, now))
            for upstream, limit in self._limit_by_upstream.items()
            if limit.changed_at >= since
        ]
        rows.sort(key=lambda row: row[0], reverse=True)
        return tuple(row for _, row in rows[:MAX_ROWS])

    def get_limited(self):
        """Return the limited upstreams of this region."""
        limited = [
            LimitedUpstream(upstream, limit.announced_per_s)
            for upstream, limit in self._limit_by_upstream.items()
            if limit.region == self._region and limit.announced_per_s is not None
        ]
        return tuple(limited[:MAX_ROWS])

    def update(self, reachable_share, carries, now):
        """Update all limits; called several times a second.

        ``reachable_share`` is the share of the region's VMs that is reachable,
        ``carries`` is whether this VM carries requests of callers.
        """
        self._reachable_share = reachable_share
        self._carries = carries
        for upstream, limit in list(self._limit_by_upstream.items()):
            age_s = now - limit.announced_at
            is_removed = limit.announced_per_s is None and age_s > REPORT_REMOVED_S
            if is_removed or age_s > LIMIT_TTL_S:
                del self._limit_by_upstream[upstream]
            else:
                self._set_refill_rate(limit, now)

    def forget(self, upstream):
        """Discard the limit of an upstream that was removed."""
        self._limit_by_upstream.pop(upstream, None)

    def _add(self, upstream, region, now):
        limit = self._limit_by_upstream[upstream] = _Limit(region, now)
        return limit

    def _apply_limit(self, limit, per_s, announced_at, now):
        if announced_at <= limit.announced_at:
            return False
        limit.announced_at = announced_at
        if _is_same(per_s, limit.announced_per_s):
            return False
        limit.announced_per_s = per_s
        self._set_refill_rate(limit, now)
        return True

    def _set_refill_rate(self, limit, now):
        if limit.announced_per_s is None:
            return
        per_s = max(MIN_PER_S, limit.announced_per_s) * self._get_part(limit)
        limit.set_refill_rate(per_s, max(1.0, BURST_S * per_s), now)

    def _get_part(self, limit):
        if limit.region == self._region:
            return self._reachable_share
        return self._reachable_share / max(1, len(self._regions) - 1)

    def _is_left_to_others(self, limit, now):
        if not self._carries:
            return True
        received_at = self._received_at_by_region.get(limit.region, -math.inf)
        return now - received_at <= REMOTE_TIMEOUT_S


def _is_same(per_s, other_per_s):
    if per_s is None or other_per_s is None:
        return per_s is other_per_s
    return math.isclose(per_s, other_per_s, rel_tol=LIMIT_REL_TOLERANCE)
