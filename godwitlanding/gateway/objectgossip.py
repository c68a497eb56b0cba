"""Exchanges cache entries (which upstreams hold which objects) between VMs."""

import asyncio
from collections import OrderedDict

# How long an entry is repeated in messages to the region (about twenty
# messages) and in digests to other regions (four digests).
REPEAT_S = 0.5
REMOTE_REPEAT_S = 2.0
# An entry takes 8 bytes: a packet has room for about 120 of them.
MAX_RECENT = 100
# A VM that has just started is sent all entries, at most 16 KB.
MAX_ALL = 2000


class ObjectGossip:
    """Keeps the recent cache entries of this VM and of its region."""

    def __init__(self, object_map):
        self._object_map = object_map
        # Time at which each entry was last observed or received.
        self._seen_at_by_own = OrderedDict()
        self._seen_at = OrderedDict()

    def note(self, cache_entry):
        """Record an entry that this VM has created; it is sent to peers."""
        now = _now()
        if self._object_map.note(cache_entry, now):
            self._seen_at_by_own[cache_entry] = now
            self._seen_at_by_own.move_to_end(cache_entry)
            self._keep(cache_entry, now)

    def note_received(self, cache_entry, is_own_region):
        """Record a peer's entry; those of the own region go into digests."""
        now = _now()
        self._object_map.receive(cache_entry, now)
        if is_own_region:
            self._keep(cache_entry, now)

    def get_recent(self):
        """Return the recent entries of this VM, for its region."""
        return _take_recent(self._seen_at_by_own, REPEAT_S)

    def get_recent_of_region(self):
        """Return the recent entries of this region, for other regions."""
        return _take_recent(self._seen_at, REMOTE_REPEAT_S)

    def get_all(self):
        """Return all known entries, for a VM that has just started."""
        return self._object_map.get_cache_entries(MAX_ALL)

    def _keep(self, cache_entry, now):
        self._seen_at[cache_entry] = now
        self._seen_at.move_to_end(cache_entry)
        if len(self._seen_at) > MAX_ALL:
            self._seen_at.popitem(last=False)


def _take_recent(seen_at, max_age_s):
    """Return the recent entries; discard those older than ``max_age_s``."""
    oldest = _now() - max_age_s
    while seen_at and next(iter(seen_at.values())) < oldest:
        seen_at.popitem(last=False)
    return tuple(list(seen_at)[-MAX_RECENT:])


def _now():
    return asyncio.get_running_loop().time()
