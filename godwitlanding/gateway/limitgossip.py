"""Exchanges the rate limits that upstreams have set between VMs.

Messages of VMs that carry requests hold the limits received from upstreams
and the number of requests sent to those. Digests list the limited upstreams
for other regions. A limit received from an upstream of another region is sent
to that region at once, since the VMs there may have had no response from it.
"""

import asyncio
import math

from eliot import log_message

from godwitlanding.decisions.ratelimit import RateLimits

# A change is repeated in messages for this long, in case datagrams are lost.
REPEAT_S = 0.5
# The VMs of an upstream's region may have missed a limit, or have started
# since; they are told again this often while responses confirm it.
REMOTE_REPEAT_S = 1.0


class LimitGossip:
    """Updates upstream rate limits from responses and from peers' messages.

    ``on_remote_limit`` is called with the region of an upstream in another
    region whose limit has changed, and again while responses confirm it.
    """

    def __init__(self, registry, region, regions, counters):
        self._registry = registry
        self._region = region
        self._limits = RateLimits(region, regions)
        self._counters = counters
        self._told_at_by_number = {}
        self.on_remote_limit = lambda region: None

    def set_regions(self, regions):
        """Set the list of regions."""
        self._limits.set_regions(regions)

    def note_response(self, upstream, limit_per_s):
        """Record a response's rate limit; ``None`` if it has none."""
        number = self._registry.number_by_id.get(upstream.id)
        if number is None:
            return
        region = self._registry.get_region(upstream.availability_zone)
        former = self._limits.get(number)
        now = _now()
        has_changed = self._limits.note_response(number, region, limit_per_s, now)
        if has_changed:
            self._log(upstream.id, limit_per_s, former, "")
        told_at = self._told_at_by_number.get(number, -math.inf)
        is_due = limit_per_s is not None and now - told_at >= REMOTE_REPEAT_S
        if region != self._region and (has_changed or is_due):
            self._told_at_by_number[number] = now
            self.on_remote_limit(region)

    def get(self, upstream_id):
        """Return an upstream's limit in requests per second, or ``None``."""
        return self._limits.get(self._registry.number_by_id.get(upstream_id))

    def is_limited(self, upstream_id):
        """Return whether an upstream has set a rate limit."""
        return self.get(upstream_id) is not None

    def is_scarce(self, upstream_id, now):
        """Return whether demand for an upstream reaches its rate limit."""
        return self._limits.is_scarce(self._registry.number_by_id[upstream_id], now)

    def may_send(self, upstream_id, now):
        """Return whether the rate limit allows a request at once."""
        return self._limits.may_send(self._registry.number_by_id[upstream_id], now)

    def note_sent(self, upstream_id, now):
        """Record a request to an upstream."""
        self._limits.note_sent(self._registry.number_by_id[upstream_id], now)

    def forget(self, upstream_id):
        """Discard the limit of an upstream that was removed or restarted."""
        number = self._registry.number_by_id.get(upstream_id)
        self._limits.forget(number)
        self._told_at_by_number.pop(number, None)

    def get_recent(self):
        """Return the recently changed rows, for frequent messages."""
        now = _now()
        return self._limits.get_rows(now, now - REPEAT_S)

    def get_all(self):
        """Return all rows, for the periodic state messages."""
        return self._limits.get_rows(_now())

    def get_limited(self):
        """Return the limited upstreams of this region, for its digest."""
        return self._limits.get_limited()

    def receive_message(self, message):
        """Handle the limits in a message from any VM."""
        now = _now()
        for row in message.limits:
            upstream_id = self._registry.id_by_number.get(row.upstream)
            if upstream_id is None:
                continue
            upstream = self._registry.upstream_by_id[upstream_id]
            region = self._registry.get_region(upstream.availability_zone)
            former = self._limits.get(row.upstream)
            if self._limits.receive(message.vm, message.incarnation, row, region, now):
                self._log(upstream_id, row.per_s, former, message.vm)

    def receive_digest(self, digest):
        """Handle the limits in a digest; that of this region is ignored."""
        if digest.region != self._region:
            self._limits.receive_region_limits(digest.region, digest.limited, _now())

    def update(self, share, carries_requests):
        """Set the share of the region's VMs that is reachable.

        ``carries_requests`` is whether this VM carries requests itself.
        """
        self._limits.update(share, carries_requests, _now())

    def _log(self, upstream_id, limit_per_s, former_per_s, told_by):
        self._counters.add("upstream_limits")
        log_message(
            "limits:named",
            level="warning",
            upstream=upstream_id,
            limit_per_s=limit_per_s,
            former_per_s=former_per_s,
            told_by=told_by,
        )


def _now():
    return asyncio.get_running_loop().time()
