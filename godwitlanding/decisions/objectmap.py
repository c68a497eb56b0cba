"""Which upstreams know which objects, as all VMs together saw it.

Load pattern: an upstream does its first work on an object in more than three
times the usual time, longer than the target latency allows, and every VM
that sends the object elsewhere has it learnt once more. One VM sees a part of
the requests, so its own memory is not enough: half of all late answers were
first meetings, three and more for each object, where one would have done.

So each VM tells the others which upstream it sent an object to for the first
time (``gateway.peers``), and an object stays where it is known while it can
be answered in time there. It is told as it is sent, not when the answer is
there: who follows meanwhile is fast.
"""

from collections import OrderedDict
from typing import NamedTuple

import xxhash

# Objects kept for each upstream, the ones handled last; how many of them it
# still knows is told by ``decisions.memorysize``.
MAX_KNOWN = 64
# What is known already is told again after this time, so that those who
# missed it, and the order in which objects are forgotten, stay right.
ANNOUNCE_INTERVAL_S = 5.0


class CacheEntry(NamedTuple):
    """An upstream got an object; both as 32-bit numbers.

    That of the upstream stands for its present start.
    """

    upstream: int
    key: int


def get_object_number(service, key):
    """Return the 32-bit number of a service's object."""
    return xxhash.xxh32_intdigest(f"{service}\0{key}".encode())


class ObjectMap:
    """Objects by upstream and upstreams by object, as numbers."""

    def __init__(self):
        self._added_at_by_key_by_upstream = {}
        self._upstreams_by_key = {}
        self._announced_at_by_entry = {}
        self._answered = set()

    def note(self, cache_entry, now):
        """An upstream gets an object; return whether that is to be told."""
        self.hear(cache_entry, now)
        announced_at = self._announced_at_by_entry.get(cache_entry)
        if announced_at is not None and now - announced_at < ANNOUNCE_INTERVAL_S:
            return False
        self._announced_at_by_entry[cache_entry] = now
        return True

    def note_answer(self, cache_entry):
        """The upstream has answered this VM about the object."""
        if self.get_depth(*cache_entry) is not None:
            self._answered.add(cache_entry)

    def has_answered(self, cache_entry):
        """Tell whether it did; what peers tell may not have come to pass."""
        return cache_entry in self._answered

    def hear(self, cache_entry, now):
        """Take the word of a peer, or our own."""
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
        """The upstream did not get the object after all, or forgot it."""
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
        """Drop all that an upstream knew."""
        for key in list(self._added_at_by_key_by_upstream.pop(upstream, ())):
            self._remove_from_index(CacheEntry(upstream, key))

    def keep_only(self, upstreams):
        """Forget all but these; peers tell late of those that are gone."""
        for upstream in self._added_at_by_key_by_upstream.keys() - upstreams:
            self.forget(upstream)

    def get_upstreams(self, key):
        """Return the upstreams that know an object."""
        return self._upstreams_by_key.get(key, ())

    def get_depth(self, upstream, key):
        """Return how many objects the upstream has got since this one.

        ``None`` where it has never got it.
        """
        added_at_by_key = self._added_at_by_key_by_upstream.get(upstream, {})
        if key not in added_at_by_key:
            return None
        for depth, other in enumerate(reversed(added_at_by_key)):
            if other == key:
                return depth
        return None

    def count_known(self, upstream):
        """Return how many objects an upstream knows."""
        return len(self._added_at_by_key_by_upstream.get(upstream, ()))

    def count_added_since(self, upstream, since):
        """Return how many objects it met for the first time since then."""
        added_at_by_key = self._added_at_by_key_by_upstream.get(upstream, {})
        return sum(added_at > since for added_at in added_at_by_key.values())

    def get_cache_entries(self, limit):
        """Return up to ``most`` meetings, for a VM that knows none."""
        meetings = [
            CacheEntry(upstream, key)
            for upstream, added_at_by_key in self._added_at_by_key_by_upstream.items()
            for key in added_at_by_key
        ]
        return tuple(meetings[:limit])
