"""Maps objects to the upstreams that have them cached, as seen by all VMs.

Load pattern: an upstream's first request for an object takes more than three
times the usual time, longer than the target latency allows, and every VM
that sends the object to another upstream causes one more first request. One
VM sees only part of the requests, so its own records are not enough: half of
all late responses were first requests, three and more for each object, where
one would have been enough.

So each VM announces to the others which upstream it first sent an object to
(``gateway.peers``), and requests for an object go to an upstream that has it
as long as it can answer in time. The announcement is made when the request
is sent, not when it is answered: requests that follow meanwhile are fast.
"""

from collections import OrderedDict
from typing import NamedTuple

import xxhash

# Objects kept for each upstream, those requested last; how many of them it
# still caches is estimated by ``decisions.cachesize``.
MAX_KNOWN = 64
# Known entries are announced again after this time, for VMs that missed the
# announcement and to keep the eviction order correct.
ANNOUNCE_INTERVAL_S = 5.0


class CacheEntry(NamedTuple):
    """An upstream that was sent an object; both are 32-bit numbers.

    An upstream gets a new number with each start.
    """

    upstream: int
    key: int


def get_object_number(service, key):
    """Return the 32-bit number of a service's object."""
    return xxhash.xxh32_intdigest(f"{service}\0{key}".encode())


class ObjectMap:
    """Cached objects by upstream and upstreams by object, as numbers."""

    def __init__(self):
        self._added_at_by_key_by_upstream = {}
        self._upstreams_by_key = {}
        self._announced_at_by_entry = {}
        self._answered = set()

    def note(self, cache_entry, now):
        """Record a sent request; return whether to announce it to peers."""
        self.receive(cache_entry, now)
        announced_at = self._announced_at_by_entry.get(cache_entry)
        if announced_at is not None and now - announced_at < ANNOUNCE_INTERVAL_S:
            return False
        self._announced_at_by_entry[cache_entry] = now
        return True

    def note_response(self, cache_entry):
        """Record that the upstream answered this VM about the object."""
        if self.get_depth(*cache_entry) is not None:
            self._answered.add(cache_entry)

    def has_answered(self, cache_entry):
        """Return whether the upstream answered this VM about the object.

        A request announced by a peer may have failed.
        """
        return cache_entry in self._answered

    def receive(self, cache_entry, now):
        """Add an entry announced by a peer or made by this VM."""
        added_at_by_key = self._added_at_by_key_by_upstream.setdefault(
            cache_entry.upstream, OrderedDict()
        )
        added_at_by_key.setdefault(cache_entry.key, now)
        added_at_by_key.move_to_end(cache_entry.key)
        self._upstreams_by_key.setdefault(cache_entry.key, set()).add(
            cache_entry.upstream
        )
        if len(added_at_by_key) > MAX_KNOWN:
            oldest = next(iter(added_at_by_key))
            self.drop(CacheEntry(cache_entry.upstream, oldest))

    def drop(self, cache_entry):
        """Remove an entry: the request was not sent, or it was evicted."""
        added_at_by_key = self._added_at_by_key_by_upstream.get(
            cache_entry.upstream, {}
        )
        if added_at_by_key.pop(cache_entry.key, None) is None:
            return
        self._remove_from_index(cache_entry)

    def _remove_from_index(self, cache_entry):
        self._announced_at_by_entry.pop(cache_entry, None)
        self._answered.discard(cache_entry)
        upstreams = self._upstreams_by_key[cache_entry.key]
        upstreams.discard(cache_entry.upstream)
        if not upstreams:
            del self._upstreams_by_key[cache_entry.key]

    def forget(self, upstream):
        """Remove all entries of an upstream."""
        for key in list(self._added_at_by_key_by_upstream.pop(upstream, ())):
            self._remove_from_index(CacheEntry(upstream, key))

    def keep_only(self, upstreams):
        """Remove all other upstreams; peers may announce removed ones late."""
        for upstream in self._added_at_by_key_by_upstream.keys() - upstreams:
            self.forget(upstream)

    def get_upstreams(self, key):
        """Return the upstreams that have an object cached."""
        return self._upstreams_by_key.get(key, ())

    def get_depth(self, upstream, key):
        """Return how many other objects the upstream was sent since this one.

        ``None`` if the object is not listed for the upstream.
        """
        added_at_by_key = self._added_at_by_key_by_upstream.get(upstream, {})
        if key not in added_at_by_key:
            return None
        for depth, other in enumerate(reversed(added_at_by_key)):
            if other == key:
                return depth
        return None

    def count_known(self, upstream):
        """Return how many objects are listed for an upstream."""
        return len(self._added_at_by_key_by_upstream.get(upstream, ()))

    def count_added_since(self, upstream, since):
        """Return how many objects were first sent to it after ``since``."""
        added_at_by_key = self._added_at_by_key_by_upstream.get(upstream, {})
        return sum(added_at > since for added_at in added_at_by_key.values())

    def get_cache_entries(self, limit):
        """Return up to ``limit`` entries, for a VM that has none yet."""
        entries = [
            CacheEntry(upstream, key)
            for upstream, added_at_by_key in self._added_at_by_key_by_upstream.items()
            for key in added_at_by_key
        ]
        return tuple(entries[:limit])
