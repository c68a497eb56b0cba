"""Tracks upstreams that refused a request and asked for a pause.

Load pattern: an upstream is full and states for how long it wants no more
requests from this VM. Without the pause it would be tried again and again,
since it does not stand out when all upstreams shed load alike, and each
request would make a useless round trip.
"""


class Pauses:
    """The time until which each upstream is paused.

    ``now`` is the time in seconds on one clock in every call.
    """

    def __init__(self):
        self._until_by_upstream = {}

    def note(self, upstream, pause_s, now):
        """Pause an upstream for ``pause_s`` seconds at the least."""
        current_until = self._until_by_upstream.get(upstream, 0.0)
        self._until_by_upstream[upstream] = max(current_until, now + pause_s)

    def get_left_s(self, upstream, now):
        """Return the seconds for which an upstream is still paused."""
        until = self._until_by_upstream.get(upstream)
        if until is None:
            return 0.0
        if now >= until:
            del self._until_by_upstream[upstream]
            return 0.0
        return until - now

    def get_least_left_s(self, upstreams, now):
        """Return the seconds until one of ``upstreams`` is not paused."""
        if not self._until_by_upstream:
            return 0.0
        return min((self.get_left_s(u, now) for u in upstreams), default=0.0)

    def forget(self, upstream):
        """Discard the pause of an upstream that was removed or restarted."""
        self._until_by_upstream.pop(upstream, None)
