"""Sends changes to follower VMs, each as fast as its link takes them.

Load pattern: a configuration of hundreds of KB, and versions of it that follow
each other within seconds, go to all VMs of a region, of which some have links
of 5 Mbit/s that are full of responses to callers. So each follower is sent a
kind's changes only when it has taken the former ones, and those that came
meanwhile as one change. A change is encoded and deflated once for all
followers that need the same.
"""

from collections import OrderedDict
from functools import partial

from godwitlanding.base.messages import HeldObject, Update
from godwitlanding.base.pieces import encode_push
from godwitlanding.gateway.changeset import merge_change_sets

# Half of the longest frame. The largest object that the store accepts is 1 MB;
# configurations have some tens of KB.
MAX_PART_BYTES = 500_000
# A follower that is further behind is sent all objects of the kind.
MAX_UNSENT_CHANGES = 50
# Followers are mostly up to date, so that they need the same change; some are
# one or two changes behind.
_CACHED_ENCODINGS = 6


class UpdateEncoder:
    """Encodes changes as ``Update`` messages, once for all followers."""

    def __init__(self):
        # The change sets are kept, so that their ids are not used again.
        self._encoding_by_key = OrderedDict()

    def encode(self, kind, change_sets):
        """Return the payloads of the updates with all the change sets."""
        key = (kind, *map(id, change_sets))
        if key not in self._encoding_by_key:
            payloads = _encode(kind, merge_change_sets(change_sets))
            self._encoding_by_key[key] = (payloads, change_sets)
            if len(self._encoding_by_key) > _CACHED_ENCODINGS:
                self._encoding_by_key.popitem(last=False)
        return self._encoding_by_key[key][0]


class Follower:
    """A VM that follows this one, and the changes it has not been sent."""

    def __init__(self, channel, encoder):
        self.channel = channel
        self._encoder = encoder
        self._unsent_by_kind = {}

    def send(self, mirror, change_set):
        """Send a change set when the follower has taken the earlier ones."""
        unsent = self._unsent_by_kind.setdefault(mirror.kind, [])
        unsent.append(change_set)
        if len(unsent) > MAX_UNSENT_CHANGES:
            unsent[:] = [mirror.make_full_change_set()]
        self.channel.send_latest(mirror.kind, partial(self._take, mirror.kind))

    def _take(self, kind):
        change_sets = tuple(self._unsent_by_kind.pop(kind))
        return self._encoder.encode(kind, change_sets)


def _encode(kind, change_set):
    parts = list(_split_into_parts(change_set.objects))
    payloads = []
    for number, part in enumerate(parts, 1):
        last = number == len(parts)
        update = Update(
            kind=kind,
            revision=change_set.revision,
            whole=change_set.whole,
            last=last,
            objects=part,
            removed=change_set.removed if last else (),
            changed_at=change_set.changed_at,
        )
        payloads.append(encode_push(update))
    return payloads


def _split_into_parts(objects):
    """Yield the objects in parts that fit a frame; at least one part."""
    part = []
    size = 0
    for stored in objects:
        if part and size + len(stored.value) > MAX_PART_BYTES:
            yield tuple(part)
            part = []
            size = 0
        part.append(
            HeldObject(stored.name, stored.version, stored.value, stored.created)
        )
        size += len(stored.value)
    yield tuple(part)
