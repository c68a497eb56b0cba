"""Counts of asked, unserved and denied requests over the VMs of a region.

Each VM counts the requests of each service and priority since its start and
sends the counts with its periodic state. What a peer counted between its last
two messages is added to what this VM counted in its own last interval. A lost
message only delays a count; a VM that hears no peer has its own counts.
"""

from typing import NamedTuple

from godwitlanding.decisions.tally import COUNT_MODULUS, subtract_counts

# Time between two messages of a peer, and between two updates of own counts.
INTERVAL_S = 0.4
# The counts of a peer are dropped if it sends nothing for this long: more than
# three of its messages in a row were lost, or its process has ended.
PEER_TIMEOUT_S = 1.5
# Limits the rows in one datagram to 1.1 KB. A configuration has a handful of
# services with two or three priorities each.
MAX_ROWS = 64


class Counts(NamedTuple):
    """Requests of one service and priority.

    ``pressed`` were refused for lack of slots or answered late, ``denied``
    were refused in favour of more urgent requests or of other workspaces.
    """

    asked: int = 0
    pressed: int = 0
    denied: int = 0

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
        for peer in self._peer_by_vm.values():
            for key in peer.recent_by_key.keys() - self._keys:
                del peer.recent_by_key[key]

    def note(self, key, counts):
        """Add to this VM's own counts."""
        if key in self._keys:
            self._own_by_key[key] = self._own_by_key.get(key, Counts()).add(counts)

    def get_rows(self):
        """Return this VM's counts since its start, for its peers."""
        return tuple(
            CountRow(*key, Counts(*(count % COUNT_MODULUS for count in counts)))
            for key, counts in list(self._own_by_key.items())[:MAX_ROWS]
        )

    def receive(self, vm, incarnation, rows, now):
        """Take the counts that a peer has sent.

        The first counts of a peer or of its new process only tell from where
        it counts: how much of them is recent is not known.
        """
        total_by_key = {(row.service, row.priority): row.counts for row in rows}
        former = self._peer_by_vm.get(vm)
        recent_by_key = {}
        if former and former.incarnation == incarnation:
            for key in total_by_key.keys() & self._keys:
                previous = former.total_by_key.get(key, Counts())
                recent_by_key[key] = total_by_key[key].subtract(previous)
        if former:
            self._remove_recent(former)
        for key, counts in recent_by_key.items():
            current = self._peers_recent_by_key.get(key, Counts())
            self._peers_recent_by_key[key] = current.add(counts)
        self._peer_by_vm[vm] = _Peer(incarnation, now, total_by_key, recent_by_key)

    def update(self, now):
        """End this VM's interval and drop the counts of silent peers."""
        self._own_recent_by_key = {
            key: counts.subtract(self._own_at_update_by_key.get(key, Counts()))
            for key, counts in self._own_by_key.items()
        }
        self._own_at_update_by_key = dict(self._own_by_key)
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
