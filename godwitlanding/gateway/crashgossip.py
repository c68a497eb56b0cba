"""Keeps requests that recently crashed upstreams, for messages to peers."""

import asyncio

# A crash is repeated in messages for this long, in case datagrams are lost.
REPEAT_S = 3.0
MAX_CRASHES = 20


class CrashGossip:
    """Keeps each ``Crash`` that this VM has observed for ``REPEAT_S``."""

    def __init__(self):
        self._crashes = []

    def note(self, crash):
        """Record a request that was running on an upstream when it crashed."""
        self._crashes.append((_now() + REPEAT_S, crash))
        del self._crashes[:-MAX_CRASHES]

    def get_recent(self):
        """Return the crashes to send to peers."""
        now = _now()
        self._crashes = [row for row in self._crashes if row[0] > now]
        return tuple(crash for _, crash in self._crashes)


def _now():
    return asyncio.get_running_loop().time()
