"""Limits the requests that may be spilled to other availability zones.

Load pattern: a zone is full and its neighbours are not, or several zones are
full at once and all spill to the same neighbour. Without allowances each
zone decides alone and sends all that it cannot serve, and a region that had
headroom is overloaded by the surplus of all others. The plan grants each
pair of zones a number of requests in flight in advance, and these sum to no
more than the target's headroom, so no message is needed at spill time.

Links between zones have limits of their own, in requests and in bytes a
second; ``LinkLimiter`` enforces them by token buckets. A bucket holds 1
second: with less, arrivals that are merely uneven at 80 % of the limit are
refused; with more, a link that was idle is sent several times its limit at
once.
"""

BURST_S = 1.0


class LinkLimiter:
    """Token buckets for one link; 0 bytes a second means no byte limit.

    Bytes are known only after they have passed, so they are charged then and
    may make the bucket negative, which blocks later requests until it has
    refilled.
    """

    def __init__(self, requests_per_s, bytes_per_s=0.0, burst_s=BURST_S):
        self.requests_per_s = requests_per_s
        self.bytes_per_s = bytes_per_s
        self._burst_s = burst_s
        self._requests = self._get_max_requests()
        self._bytes = bytes_per_s * burst_s
        self._filled_at = None

    def may_send(self, now, size_bytes=0):
        """Take a request's tokens; return ``False`` if the link is full."""
        self._fill(now)
        if self._requests < 1.0 or self._lacks_bytes():
            return False
        self._requests -= 1.0
        self._bytes -= size_bytes
        return True

    def note_bytes(self, size_bytes, now):
        """Charge bytes that have passed over the link."""
        self._fill(now)
        self._bytes -= size_bytes

    def get_retry_after_s(self, now):
        """Return the seconds until a request may pass again."""
        self._fill(now)
        wait_s = 0.0
        if self._requests < 1.0:
            missing = 1.0 - self._requests
            wait_s = missing / self.requests_per_s if self.requests_per_s else 3600.0
        if self._lacks_bytes():
            wait_s = max(wait_s, -self._bytes / self.bytes_per_s)
        return wait_s

    def _lacks_bytes(self):
        return self.bytes_per_s > 0 and self._bytes < 0

    def _get_max_requests(self):
        return max(1.0, self.requests_per_s * self._burst_s) * (self.requests_per_s > 0)

    def _fill(self, now):
        elapsed_s = 0.0 if self._filled_at is None else max(0.0, now - self._filled_at)
        self._filled_at = now
        max_requests = self._get_max_requests()
        self._requests = min(
            max_requests, self._requests + elapsed_s * self.requests_per_s
        )
        max_bytes = self.bytes_per_s * self._burst_s
        self._bytes = min(max_bytes, self._bytes + elapsed_s * self.bytes_per_s)


class SpillAllowances:
    """Limits this zone's requests in flight in each other zone.

    >>> spill = SpillAllowances()
    >>> spill.set_allowances({"maz-b": 1})
    >>> spill.take("r1", now=0.0)
    'maz-b'
    """

    def __init__(self):
        self._allowance_by_zone = {}
        self._open_by_zone = {}
        self._zone_by_request = {}
        self._limiter_by_zone = {}

    def set_allowances(self, allowance_by_zone):
        """Set the plan's allowances, in the plan's order of preference."""
        self._allowance_by_zone = dict(allowance_by_zone)

    def set_link_limiter(self, availability_zone, limiter):
        """Set the limiter of the link to a zone."""
        self._limiter_by_zone[availability_zone] = limiter

    def take(self, request_id, now):
        """Return a zone with an allowance for the request, or ``None``."""
        self.end(request_id)
        for zone, allowance in self._allowance_by_zone.items():
            if self._open_by_zone.get(zone, 0) >= int(allowance):
                continue
            limiter = self._limiter_by_zone.get(zone)
            if limiter and not limiter.may_send(now):
                continue
            self._open_by_zone[zone] = self._open_by_zone.get(zone, 0) + 1
            self._zone_by_request[request_id] = zone
            return zone
        return None

    def end(self, request_id):
        """Release the allowance of a request that ended in the other zone."""
        zone = self._zone_by_request.pop(request_id, None)
        if zone:
            self._open_by_zone[zone] -= 1

    def get_open(self):
        """Return the requests in flight by zone."""
        return {zone: n for zone, n in self._open_by_zone.items() if n}
