"""Which objects upstreams got lately, as this VM tells its peers."""

import asyncio
from collections import OrderedDict

# Told to the region for the time of some twenty bulletins, and to the other
# regions for four digests.
REPEAT_S = 0.5
REMOTE_REPEAT_S = 2.0
# 8 bytes each: a packet holds some 120 beside the rest.
MAX_RECENT = 100
# A VM that has just started is told all of it, 16 KB at the most.
MAX_ALL = 2000


class ObjectGossip:
    """Keeps for a while what this VM saw, and what its region told."""

    def __init__(self, object_map):
        self._object_map = object_map
        # When each meeting was seen or heard last.
        self._seen_at_by_own = OrderedDict()
        self._seen_at = OrderedDict()

    def note(self, cache_entry):
        """An upstream is sent an object; the peers may not know."""
        now = _now()
        if self._object_map.note(cache_entry, now):
            self._seen_at_by_own[cache_entry] = now
            self._seen_at_by_own.move_to_end(cache_entry)
            self._keep(cache_entry, now)

    def hear(self, cache_entry, is_own_region):
        """A peer says so; what neighbours say is told to other regions."""
        now = _now()
        self._object_map.hear(cache_entry, now)
        if is_own_region:
            self._keep(cache_entry, now)

    def get_recent(self):
        """Return what the region is told."""
        return _take_recent(self._seen_at_by_own, REPEAT_S)

    def get_recent_of_region(self):
        """Return what other regions are told."""
        return _take_recent(self._seen_at, REMOTE_REPEAT_S)

    def get_all(self):
        """Return what a VM that has just started is told."""
        return self._object_map.get_cache_entries(MAX_ALL)

    def _keep(self, cache_entry, now):
        self._seen_at[cache_entry] = now
        self._seen_at.move_to_end(cache_entry)
        if len(self._seen_at) > MAX_ALL:
            self._seen_at.popitem(last=False)


def _take_recent(seen_at, max_age_s):
    """Return the newest meetings, and drop those that are too old to tell."""
    oldest = _now() - max_age_s
    while seen_at and next(iter(seen_at.values())) < oldest:
        seen_at.popitem(last=False)
    return tuple(list(seen_at)[-MAX_RECENT:])


def _now():
    return asyncio.get_running_loop().time()
