"""Limits that upstreams have named: what VMs tell each other of them.

What an upstream says, and how many requests a VM has sent there, goes with
the bulletins of VMs that carry requests; other regions are told with the
digests which upstreams are limited. What a VM hears from an upstream of
another region it tells that region at once, since the VMs there may have had
no answer of it.
"""

import asyncio

from eliot import log_message

from godwitlanding.decisions.ratelimit import RateLimits

# What has changed is told for the time of some bulletins, so that one that is
# lost is made good.
REPEAT_S = 0.5


class LimitGossip:
    """Keeps the limits of upstreams in step with answers and with peers.

    ``on_far_limit`` is called with the region of an upstream elsewhere that
    has named another limit.
    """

    def __init__(self, registry, region, regions, counters):
        self._registry = registry
        self._region = region
        self._limits = RateLimits(region, regions)
        self._counters = counters
        self.on_remote_limit = lambda region: None

    def set_regions(self, regions):
        """Take the regions that there are."""
        self._limits.set_regions(regions)

    def note_answer(self, upstream, limit_per_s):
        """An upstream has answered, with a limit or (``None``) without."""
        number = self._registry.number_by_id.get(upstream.id)
        if number is None:
            return
        region = self._registry.get_region(upstream.availability_zone)
        former = self._limits.get(number)
        if not self._limits.note_answer(number, region, limit_per_s, _now()):
            return
        self._log(upstream.id, limit_per_s, former, "")
        if region != self._region:
            self.on_remote_limit(region)

    def get(self, upstream_id):
        """Return the limit that an upstream has named, or ``None``."""
        return self._limits.get(self._registry.number_by_id.get(upstream_id))

    def is_limited(self, upstream_id):
        """Tell whether an upstream has named a limit."""
        return self.get(upstream_id) is not None

    def is_scarce(self, upstream_id, now):
        """Tell whether an upstream's limit leaves no more than is asked."""
        return self._limits.is_scarce(self._registry.number_by_id[upstream_id], now)

    def may_send(self, upstream_id, now):
        """Tell whether a request may be sent to an upstream at once."""
        return self._limits.may_send(self._registry.number_by_id[upstream_id], now)

    def note_sent(self, upstream_id, now):
        """A request is sent to an upstream."""
        self._limits.note_sent(self._registry.number_by_id[upstream_id], now)

    def forget(self, upstream_id):
        """Drop what is held of an upstream that is gone or new again."""
        self._limits.forget(self._registry.number_by_id.get(upstream_id))

    def get_recent(self):
        """Return what those who carry requests are told often."""
        now = _now()
        return self._limits.get_rows(now, now - REPEAT_S)

    def get_all(self):
        """Return what the region is told now and then."""
        return self._limits.get_rows(_now())

    def get_limited(self):
        """Return what other regions are told."""
        return self._limits.get_limited()

    def hear(self, message):
        """Take a bulletin from any VM."""
        now = _now()
        for row in message.limits:
            upstream_id = self._registry.id_by_number.get(row.upstream)
            if upstream_id is None:
                continue
            upstream = self._registry.upstream_by_id[upstream_id]
            region = self._registry.get_region(upstream.availability_zone)
            former = self._limits.get(row.upstream)
            if self._limits.hear(message.vm, message.incarnation, row, region, now):
                self._log(upstream_id, row.per_s, former, message.vm)

    def receive_digest(self, digest):
        """Take another region's digest."""
        if digest.region != self._region:
            self._limits.hear_region(digest.region, digest.limited, _now())

    def update(self, share, carries_requests):
        """Take which ``share`` of the region's VMs is heard."""
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
