"""How many requests this VM may send to an upstream that has named a limit.

An upstream in need says in its answers how many requests a second it takes
from all VMs together, for as long as it says so.

Load pattern: objects keep to the upstream that knows them, so without this
it is asked as often as before whatever it says, by VMs each of which sees
only its own part of that. Each keeping to the limit by itself, they would
send as many times too much as there are VMs; each keeping to an equal part,
most of what the upstream can still do would be left unused, since a VM that
has a token often has no request for it.

So the VMs that carry the requests of the upstream's region draw from one
bucket, whose level each follows by what all tell each other many times a
second. VMs of other regions leave such an upstream to them: what they send
would be heard too late. Where its region is not heard, its upstreams may
still be reached; then each other region has an even part.

A VM that hears a part of its region only has that part of the limit, as the
rest may be sending too.
"""

import math
from typing import NamedTuple

from godwitlanding.decisions.tokenbucket import TokenBucket

# What accrues in this time may be sent at once.
BURST_S = 1.0
# Less than this counts as this, so that a request now and then can learn that
# the limit is gone.
LEAST_PER_S = 0.1
# An upstream whose bucket stays fuller than this is asked for less than it
# takes: a limit that is far above what is asked changes nothing.
SCARCE_SHARE = 0.9
# A limit that no answer has named for this long is forgotten: nobody sends
# there, and it may be long gone. It is more than the pause between two
# requests at ``LEAST_PER_S``.
LAPSE_S = 15.0
# Neighbours are told for this long that a limit is gone.
TELL_GONE_S = 3.0
# A VM that hears of a limit does not know since when others have counted.
LEARN_S = 1.0
# Another region's limits are told in its digests, some moments after its
# upstream's answer.
FAR_SETTLE_S = 2.0
FAR_SILENT_S = 3.0
# Between VMs limits are told in fewer digits than upstreams name them in.
SAME_SHARE = 1e-4
# Rows in one datagram, so that it stays within a few packets.
MAX_ROWS = 128


class LimitRow(NamedTuple):
    """What a VM tells of an upstream that has named a limit.

    ``per_s`` is what the upstream said to the VM itself ``age_s`` ago, where
    ``None`` stands for no limit; ``age_s`` is ``None`` where it said nothing.
    """

    upstream: int
    per_s: float | None
    age_s: float | None
    # Requests that the VM has sent there since it knows of the limit.
    sent: int


class LimitedUpstream(NamedTuple):
    """An upstream of a region and the limit that it has named."""

    upstream: int
    per_s: float


class _Limit(TokenBucket):
    def __init__(self, region, now):
        super().__init__(now)
        self.region = region
        self.known_at = now
        # What was named last, and what the upstream said to this VM last.
        self.per_s_named = None
        self.said_at = -math.inf
        self.own_per_s = None
        self.own_said_at = None
        self.sent = 0
        # When something last changed that neighbours are to be told.
        self.changed_at = now
        # Incarnation and count of each VM.
        self.sent_by_vm = {}

    def make_row(self, upstream, now):
        age_s = None if self.own_said_at is None else now - self.own_said_at
        return LimitRow(upstream, self.own_per_s, age_s, self.sent)

    def count(self, vm, incarnation, sent, now):
        """Take a VM's count; what is new was drawn from this bucket."""
        held = self.sent_by_vm.get(vm)
        self.sent_by_vm[vm] = (incarnation, sent)
        if held is None and now - self.known_at < LEARN_S:
            return
        former = held[1] if held and held[0] == incarnation else 0
        # It counts from nothing again if it had forgotten the limit.
        new = sent - former if sent >= former else sent
        if new:
            self.fill(now)
            self.level -= new


class RateLimits:
    """The limits that upstreams have named; ``now`` is one clock's.

    Upstreams are the numbers by which VMs name them to each other.
    """

    def __init__(self, region, regions):
        self._region = region
        self._limit_by_upstream = {}
        self._heard_at_by_region = {}
        self._regions = frozenset(regions) | {region}
        self._share = 1.0
        self._carries = True

    def set_regions(self, regions):
        """Take the regions that there are."""
        self._regions = frozenset(regions) | {self._region}

    def get(self, upstream):
        """Return the requests a second that an upstream takes, or ``None``."""
        limit = self._limit_by_upstream.get(upstream)
        return limit.per_s_named if limit else None

    def may_send(self, upstream, now):
        """Tell whether a request may be sent there at once."""
        limit = self._limit_by_upstream.get(upstream)
        if limit is None or limit.per_s_named is None:
            return True
        if self._is_left_to_others(limit, now):
            return False
        limit.fill(now)
        return limit.level >= 1.0

    def is_scarce(self, upstream, now):
        """Tell whether a limit leaves hardly more than is asked for."""
        limit = self._limit_by_upstream.get(upstream)
        if limit is None or limit.per_s_named is None:
            return False
        if self._is_left_to_others(limit, now):
            return True
        limit.fill(now)
        return limit.level < SCARCE_SHARE * limit.capacity

    def note_sent(self, upstream, now):
        """A request is sent to an upstream."""
        limit = self._limit_by_upstream.get(upstream)
        if limit is not None:
            limit.fill(now)
            limit.level -= 1.0
            limit.sent += 1
            limit.changed_at = now

    def note_answer(self, upstream, region, per_s, now):
        """An upstream of ``region`` names a limit, or none with ``None``.

        Returns whether that is news.
        """
        limit = self._limit_by_upstream.get(upstream)
        if limit is None:
            if per_s is None:
                return False
            limit = self._add(upstream, region, now)
        limit.own_per_s = per_s
        limit.own_said_at = now
        limit.changed_at = now
        return self._believe(limit, per_s, now, now)

    def hear(self, vm, incarnation, row, region, now):
        """Another VM tells of an upstream of ``region``.

        Returns whether it tells another limit than was known.
        """
        limit = self._limit_by_upstream.get(row.upstream)
        if limit is None:
            if row.age_s is None or row.per_s is None:
                return False
            limit = self._add(row.upstream, region, now)
        limit.count(vm, incarnation, row.sent, now)
        if row.age_s is None:
            return False
        return self._believe(limit, row.per_s, now - row.age_s, now)

    def receive_region_limits(self, region, limited, now):
        """Another region tells which of its upstreams are limited."""
        self._heard_at_by_region[region] = now
        for upstream, per_s in limited:
            limit = self._limit_by_upstream.get(upstream)
            if limit is None:
                limit = self._add(upstream, region, now)
            self._believe(limit, per_s, now, now)
        named = {row.upstream for row in limited}
        for upstream, limit in list(self._limit_by_upstream.items()):
            if limit.region != region or upstream in named:
                continue
            if now - limit.said_at > FAR_SETTLE_S:
                del self._limit_by_upstream[upstream]

    def get_rows(self, now, since=0.0):
        """Return what neighbours are told: what has changed since then."""
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
            LimitedUpstream(upstream, limit.per_s_named)
            for upstream, limit in self._limit_by_upstream.items()
            if limit.region == self._region and limit.per_s_named is not None
        ]
        return tuple(limited[:MAX_ROWS])

    def update(self, share, carries, now):
        """Take what is known of the VMs; called several times a second.

        ``share`` is the part of the region's VMs that is heard, ``carries``
        tells whether this VM carries requests of callers.
        """
        self._share = share
        self._carries = carries
        for upstream, limit in list(self._limit_by_upstream.items()):
            age_s = now - limit.said_at
            gone = limit.per_s_named is None and age_s > TELL_GONE_S
            if gone or age_s > LAPSE_S:
                del self._limit_by_upstream[upstream]
            else:
                self._set_pace(limit, now)

    def forget(self, upstream):
        """Drop an upstream that is gone."""
        self._limit_by_upstream.pop(upstream, None)

    def _add(self, upstream, region, now):
        limit = self._limit_by_upstream[upstream] = _Limit(region, now)
        return limit

    def _believe(self, limit, per_s, said_at, now):
        if said_at <= limit.said_at:
            return False
        limit.said_at = said_at
        if _is_same(per_s, limit.per_s_named):
            return False
        limit.per_s_named = per_s
        self._set_pace(limit, now)
        return True

    def _set_pace(self, limit, now):
        if limit.per_s_named is None:
            return
        per_s = max(LEAST_PER_S, limit.per_s_named) * self._get_part(limit)
        limit.set_pace(per_s, max(1.0, BURST_S * per_s), now)

    def _get_part(self, limit):
        if limit.region == self._region:
            return self._share
        return self._share / max(1, len(self._regions) - 1)

    def _is_left_to_others(self, limit, now):
        if not self._carries:
            return True
        heard_at = self._heard_at_by_region.get(limit.region, -math.inf)
        return now - heard_at <= FAR_SILENT_S


def _is_same(per_s, other_per_s):
    if per_s is None or other_per_s is None:
        return per_s is other_per_s
    return math.isclose(per_s, other_per_s, rel_tol=SAME_SHARE)
