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
TELL_AGAIN_S = 5.0


class Meeting(NamedTuple):
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
        self._met_at_by_key_by_upstream = {}
        self._upstreams_by_key = {}
        self._told_at_by_meeting = {}
        self._answered = set()

    def note(self, meeting, now):
        """An upstream gets an object; return whether that is to be told."""
        self.hear(meeting, now)
        told_at = self._told_at_by_meeting.get(meeting)
        if told_at is not None and now - told_at < TELL_AGAIN_S:
            return False
        self._told_at_by_meeting[meeting] = now
        return True

    def note_answer(self, meeting):
        """The upstream has answered this VM about the object."""
        if self.get_depth(*meeting) is not None:
            self._answered.add(meeting)

    def has_answered(self, meeting):
        """Tell whether it did; what peers tell may not have come to pass."""
        return meeting in self._answered

    def hear(self, meeting, now):
        """Take the word of a peer, or our own."""
        met_at_by_key = self._met_at_by_key_by_upstream.setdefault(
            meeting.upstream, OrderedDict()
        )
        met_at_by_key.setdefault(meeting.key, now)
        met_at_by_key.move_to_end(meeting.key)
        self._upstreams_by_key.setdefault(meeting.key, set()).add(meeting.upstream)
        if len(met_at_by_key) > MAX_KNOWN:
            oldest = next(iter(met_at_by_key))
            self.drop(Meeting(meeting.upstream, oldest))

    def drop(self, meeting):
        """The upstream did not get the object after all, or forgot it."""
        met_at_by_key = self._met_at_by_key_by_upstream.get(meeting.upstream, {})
        if met_at_by_key.pop(meeting.key, None) is None:
            return
        self._lose(meeting)

    def _lose(self, meeting):
        self._told_at_by_meeting.pop(meeting, None)
        self._answered.discard(meeting)
        upstreams = self._upstreams_by_key[meeting.key]
        upstreams.discard(meeting.upstream)
        if not upstreams:
            del self._upstreams_by_key[meeting.key]

    def forget(self, upstream):
        """Drop all that an upstream knew."""
        for key in list(self._met_at_by_key_by_upstream.pop(upstream, ())):
            self._lose(Meeting(upstream, key))

    def keep_only(self, upstreams):
        """Forget all but these; peers tell late of those that are gone."""
        for upstream in self._met_at_by_key_by_upstream.keys() - upstreams:
            self.forget(upstream)

    def get_upstreams(self, key):
        """Return the upstreams that know an object."""
        return self._upstreams_by_key.get(key, ())

    def get_depth(self, upstream, key):
        """Return how many objects the upstream has got since this one.

        ``None`` where it has never got it.
        """
        met_at_by_key = self._met_at_by_key_by_upstream.get(upstream, {})
        if key not in met_at_by_key:
            return None
        for depth, other in enumerate(reversed(met_at_by_key)):
            if other == key:
                return depth
        return None

    def count_known(self, upstream):
        """Return how many objects an upstream knows."""
        return len(self._met_at_by_key_by_upstream.get(upstream, ()))

    def count_met_since(self, upstream, since):
        """Return how many objects it met for the first time since then."""
        met_at_by_key = self._met_at_by_key_by_upstream.get(upstream, {})
        return sum(met_at > since for met_at in met_at_by_key.values())

    def get_meetings(self, most):
        """Return up to ``most`` meetings, for a VM that knows none."""
        meetings = [
            Meeting(upstream, key)
            for upstream, met_at_by_key in self._met_at_by_key_by_upstream.items()
            for key in met_at_by_key
        ]
        return tuple(meetings[:most])
