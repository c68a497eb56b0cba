"""Requests that crashed upstreams lately, as this VM tells its peers."""

import asyncio

# Told for this long, so that datagrams that are lost do no harm.
REPEAT_S = 3.0
MAX_CRASHES = 20


class CrashGossip:
    """Keeps each ``Crash`` that this VM saw for a while."""

    def __init__(self):
        self._crashes = []

    def note(self, crash):
        """A request was running on an upstream as that one crashed."""
        self._crashes.append((_now() + REPEAT_S, crash))
        del self._crashes[:-MAX_CRASHES]

    def get_recent(self):
        """Return what the peers are told."""
        now = _now()
        self._crashes = [row for row in self._crashes if row[0] > now]
        return tuple(crash for _, crash in self._crashes)


def _now():
    return asyncio.get_running_loop().time()
