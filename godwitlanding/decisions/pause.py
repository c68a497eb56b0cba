"""Upstreams that have turned a request of this VM away and want a pause.

Load pattern: an upstream is full and says for how long it wants nothing more
from this VM. Without this it is asked again and again, since where all shed
alike none stands out, and each request makes the trip for nothing.
"""


class Pauses:
    """When each upstream may be asked again; ``now`` is one clock's."""

    def __init__(self):
        self._until_by_upstream = {}

    def note(self, upstream, pause_s, now):
        """An upstream wants nothing from this VM for so many seconds."""
        held = self._until_by_upstream.get(upstream, 0.0)
        self._until_by_upstream[upstream] = max(held, now + pause_s)

    def get_left_s(self, upstream, now):
        """Return the seconds for which an upstream wants nothing."""
        until = self._until_by_upstream.get(upstream)
        if until is None:
            return 0.0
        if now >= until:
            del self._until_by_upstream[upstream]
            return 0.0
        return until - now

    def get_least_left_s(self, upstreams, now):
        """Return the seconds until one of ``upstreams`` may be asked."""
        if not self._until_by_upstream:
            return 0.0
        return min((self.get_left_s(u, now) for u in upstreams), default=0.0)

    def forget(self, upstream):
        """Drop an upstream that is gone, or new again."""
        self._until_by_upstream.pop(upstream, None)
