"""Counts of asked, unserved and denied requests over the VMs of a region.

Each VM counts the requests of each service and priority since its start and
sends the counts with its periodic state. What a peer counted between its last
two messages is added to what this VM counted in its own last interval. A lost
message only delays a count; a VM that hears no peer has its own counts.
"""

from typing import NamedTuple

from godwitlanding.decisions.recipients import STATE_INTERVAL_S
from godwitlanding.decisions.tally import COUNT_MODULUS, subtract_counts

# Time between two messages of a peer, and between two updates of own counts.
INTERVAL_S = STATE_INTERVAL_S
# The counts of a peer are dropped if it sends nothing for this long: more than
# three of its messages in a row were lost, or its process has ended.
PEER_TIMEOUT_S = 1.5
# Counts are sent for this long after the last pressure. A shorter time makes
# the counts begin again, which delays them by two messages, in each burst.
QUIET_S = 10.0
# Limits the rows in one datagram to 1.8 KB. A configuration has a handful of
# services with two or three priorities each.
MAX_ROWS = 64


class Counts(NamedTuple):
    """Requests of one service and priority.

    ``first`` of those that were asked are first attempts of their callers.
    ``pressed`` were refused for lack of slots or answered late, ``denied``
    were refused in favour of more urgent requests or of other workspaces, and
    ``in_time`` were answered in time.
    """

    asked: int = 0
    first: int = 0
    pressed: int = 0
    denied: int = 0
    in_time: int = 0

    def add(self, other):
        """Return the sum with other counts, which may be negative."""
        return Counts(*(a + b for a, b in zip(self, other)))

    def subtract(self, previous):
        """Return the increase since ``previous``, each modulo 2^32."""
        return Counts(*(max(0, subtract_counts(a, b)) for a, b in zip(self, previous)))


class CountRow(NamedTuple):
    """The counts of a service, by its number, and a priority since a start."""

    service: int
    priority: int
    counts: Counts


class _Peer(NamedTuple):
    incarnation: int
    received_at: float
    total_by_key: dict
    recent_by_key: dict


class RequestCounts:
    """The counts of this VM and of the peers that it hears.

    A key is a pair of a service's number and a priority. ``now`` is in seconds
    of one clock.
    """

    def __init__(self):
        self._keys = frozenset()
        self._own_by_key = {}
        self._own_at_update_by_key = {}
        self._own_recent_by_key = {}
        self._pressed_at_by_service = {}
        self._peer_by_vm = {}
        # Sums of the peers' recent counts, so that reading them costs the
        # same for any number of peers.
        self._peers_recent_by_key = {}

    def set_keys(self, keys):
        """Set the keys that are counted; the counts of others are dropped."""
        self._keys = frozenset(keys)
        for counts_by_key in (
            self._own_by_key,
            self._own_at_update_by_key,
            self._own_recent_by_key,
            self._peers_recent_by_key,
        ):
            for key in counts_by_key.keys() - self._keys:
                del counts_by_key[key]
        for key in self._keys - self._own_by_key.keys():
            self._own_by_key[key] = [0] * len(Counts._fields)
        for peer in self._peer_by_vm.values():
            for key in peer.recent_by_key.keys() - self._keys:
                del peer.recent_by_key[key]

    def note(self, key, counts):
        """Add to this VM's own counts."""
        own = self._own_by_key.get(key)
        if own is not None:
            for index, count in enumerate(counts):
                own[index] += count

    def get_rows(self):
        """Return this VM's counts since its start, for its peers.

        Services without pressure in the region for ``QUIET_S`` are left out,
        so that their counts take no bytes.
        """
        rows = [
            CountRow(*key, Counts(*(count % COUNT_MODULUS for count in counts)))
            for key, counts in self._own_by_key.items()
            if counts[0] and key[0] in self._pressed_at_by_service
        ]
        return tuple(rows[:MAX_ROWS])

    def receive(self, vm, incarnation, rows, now):
        """Take the counts that a peer has sent.

        The first counts for a key, of a peer or of its new process, only tell
        from where it counts: how much of them is recent is not known.
        """
        total_by_key = {(row.service, row.priority): row.counts for row in rows}
        former = self._peer_by_vm.get(vm)
        recent_by_key = {}
        if former and former.incarnation == incarnation:
            for key in total_by_key.keys() & self._keys:
                if key in former.total_by_key:
                    previous = former.total_by_key[key]
                    recent_by_key[key] = total_by_key[key].subtract(previous)
        if former:
            self._remove_recent(former)
        for key, counts in recent_by_key.items():
            current = self._peers_recent_by_key.get(key, Counts())
            self._peers_recent_by_key[key] = current.add(counts)
        self._peer_by_vm[vm] = _Peer(incarnation, now, total_by_key, recent_by_key)

    def get_totals(self):
        """Return this VM's counts since its start by key."""
        return {key: Counts(*own) for key, own in self._own_by_key.items()}

    def update(self, now):
        """End this VM's interval and drop the counts of silent peers."""
        self._own_recent_by_key = {
            key: Counts(*own).subtract(self._own_at_update_by_key.get(key, Counts()))
            for key, own in self._own_by_key.items()
        }
        self._own_at_update_by_key = self.get_totals()
        for key in self._keys:
            if self.get_recent(key).pressed:
                self._pressed_at_by_service[key[0]] = now
        self._pressed_at_by_service = {
            service: pressed_at
            for service, pressed_at in self._pressed_at_by_service.items()
            if now - pressed_at <= QUIET_S
        }
        for vm, peer in list(self._peer_by_vm.items()):
            if now - peer.received_at > PEER_TIMEOUT_S:
                self._remove_recent(peer)
                del self._peer_by_vm[vm]

    def get_recent(self, key):
        """Return what the region's VMs counted in their last intervals."""
        own = self._own_recent_by_key.get(key, Counts())
        return own.add(self._peers_recent_by_key.get(key, Counts()))

    def count_peers(self):
        """Return the number of peers whose counts are included."""
        return len(self._peer_by_vm)

    def _remove_recent(self, peer):
        for key, counts in peer.recent_by_key.items():
            current = self._peers_recent_by_key[key]
            self._peers_recent_by_key[key] = current.add(-count for count in counts)
