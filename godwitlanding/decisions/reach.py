"""Judges whether a VM is cut off from all upstreams.

Load pattern: a VM, a zone or a region loses its links to all upstreams for
some seconds, while callers, the store and the other VMs still reach it. Each
upstream looks unreachable for itself, so without this judgement the VM ejects
one after the other, refuses its callers and goes on being named to them.

Only a new connection shows that a link works: open ones may live on while no
new one is accepted. A VM suspects itself when it could not connect to two
upstreams in a row, as one of them may just have ended, and is cut off when it
cannot connect to some others of different zones either. Whether upstreams
are down or the VM is cut off only its peers can tell: where all VMs of all
regions are cut off, callers are directed as usual.

Links that come and go would move the callers each time, so a VM whose links
are back is in touch again only after a while, which grows if it is cut off
again soon.
"""

from enum import IntEnum

SUSPECT_FAILURES = 2
# Callers keep the addresses of a directory for 1 to 3 s.
FIRST_HOLD_S = 1.0
MAX_HOLD_S = 8.0
# A cut within this time of the last one lengthens the hold.
REPEAT_WITHIN_S = 15.0


class Reach(IntEnum):
    """What a VM says of its own links to upstreams."""

    # It has not tried to connect, or runs a version that does not tell.
    UNKNOWN = 0
    CONNECTED = 1
    CUT_OFF = 2


class ReachState:
    """The evidence of one VM; ``now`` is in seconds on one clock."""

    def __init__(self):
        self._failed = set()
        self._has_connected = False
        self._is_cut_off = False
        self._held_until = 0.0
        self._hold_s = FIRST_HOLD_S
        self._restored_at = None
        self.connected_at = None
        # When the first failure since the last connection was noted.
        self.failing_since = None

    def note_connected(self, now):
        """Record a new connection; return whether it ends a cut."""
        was_cut_off = self._is_cut_off
        if was_cut_off:
            self._held_until = now + self._hold_s
            self._restored_at = now
        self._is_cut_off = False
        self._has_connected = True
        self.connected_at = now
        self._failed.clear()
        self.failing_since = None
        return was_cut_off

    def note_failed(self, upstream_id, now):
        """Record that an upstream could not be connected to."""
        if not self._failed:
            self.failing_since = now
        self._failed.add(upstream_id)

    def is_suspected(self, listed):
        """Return whether others of ``listed`` upstreams are to be probed."""
        return len(self._failed) >= max(1, min(SUSPECT_FAILURES, listed))

    def note_cut_off(self, now):
        """Record that the probed upstreams cannot be connected to either.

        Returns whether that is new.
        """
        if self._is_cut_off:
            return False
        self._is_cut_off = True
        if self.failing_since is None:
            self.failing_since = now
        is_repeated = (
            self._restored_at is not None and now - self._restored_at <= REPEAT_WITHIN_S
        )
        self._hold_s = (
            min(MAX_HOLD_S, 2 * self._hold_s) if is_repeated else FIRST_HOLD_S
        )
        return True

    def is_cut_off(self):
        """Return whether no upstream can be connected to now."""
        return self._is_cut_off

    def get_reach(self, now):
        """Return what this VM tells others and its own directory."""
        if self._is_cut_off or now < self._held_until:
            return Reach.CUT_OFF
        return Reach.CONNECTED if self._has_connected else Reach.UNKNOWN


def drop_cut_off(rows):
    """Return those of some peers or digests that are not cut off."""
    return [row for row in rows if row.reach is not Reach.CUT_OFF]


def select_in_touch(peers):
    """Return those of ``peers`` that are not cut off, or all if none is.

    If none reaches an upstream, the upstreams are down or all links are cut,
    and no VM serves callers better than another.
    """
    return drop_cut_off(peers) or list(peers)
