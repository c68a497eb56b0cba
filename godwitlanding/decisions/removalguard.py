"""Delays the removal or reappearance of store objects after store failures.

Load pattern: the store is unavailable for seconds; running upstreams cannot
renew their entries, and the store expires them. The first list after the
outage is then nearly empty. Applying it at once would take every upstream out
of use. So an entry removed at such a time is kept until ``REWRITE_WITHIN_S``
after the store's return, by when running upstreams have written their entries
again.

A store that is restored from an older copy lacks what was written since the
copy, until the writers have written it again, and contains what was removed
since. Requests would be sent again to an availability zone that is being
evacuated, and to an upstream that is gone, whose entry expires only after
three heartbeats are missing.
"""

from collections import OrderedDict

# Running upstreams write their entries again within about two seconds of the
# store's return.
REWRITE_WITHIN_S = 2.0
# An entry expires after three missing heartbeats; the store must be
# unavailable for at least this long before removals are held back.
MIN_OUTAGE_S = 1.0
# A stale entry restored from a copy has expired by then: three heartbeats, and
# the delivery of the change.
STALE_ENTRY_TTL_S = 5.0
# Copies of the store are younger than this.
REMOVED_MEMORY_S = 60.0
MAX_REMOVED = 4096


class RemovalGuard:
    """Holds back removals and reappearances of entries for a while.

    With ``expires`` the store drops an object whose writer is silent. Other
    objects vanish only by a restore of the store, and are trusted when they
    reappear by one.
    """

    def __init__(self, expires=True):
        self._expires = expires
        self._store_lost_at = None
        self._hold_removals_until = 0.0
        self._hold_reappeared_until = 0.0
        self._removal_due_by_name = {}
        self._removed_at_by_name = OrderedDict()

    def note_store_lost(self, now):
        """Record that the store does not answer."""
        if self._store_lost_at is None:
            self._store_lost_at = now

    def note_store_response(self, now):
        """Record that the store answers; after an outage hold removals."""
        was_lost = self._store_lost_at is not None
        if self._expires and was_lost and now - self._store_lost_at >= MIN_OUTAGE_S:
            self._hold_removals_until = now + REWRITE_WITHIN_S
        self._store_lost_at = None

    def note_restored(self, now):
        """Record that the store was restored from an older copy."""
        self._hold_removals_until = now + REWRITE_WITHIN_S
        if self._expires:
            self._hold_reappeared_until = now + STALE_ENTRY_TTL_S

    def note_removed(self, name, now):
        """Record that an entry was dropped."""
        self._removed_at_by_name.pop(name, None)
        self._removed_at_by_name[name] = now
        oldest = next(iter(self._removed_at_by_name.values()))
        if (
            now - oldest > REMOVED_MEMORY_S
            or len(self._removed_at_by_name) > MAX_REMOVED
        ):
            self._removed_at_by_name.popitem(last=False)

    def remove(self, name, now):
        """Return whether an entry may be dropped; if not, hold its removal."""
        if now >= self._hold_removals_until:
            self._removal_due_by_name.pop(name, None)
            return True
        self._removal_due_by_name.setdefault(name, self._hold_removals_until)
        return False

    def cancel_removal(self, name):
        """Cancel a held removal, as the entry is present again."""
        self._removal_due_by_name.pop(name, None)

    def is_reappearance_suspect(self, name, now):
        """Return whether a reappeared entry may be a stale one from a copy."""
        return now < self._hold_reappeared_until and name in self._removed_at_by_name

    def take_due_removals(self, now):
        """Return and forget the names whose held removal is due."""
        due = [name for name, at in self._removal_due_by_name.items() if at <= now]
        for name in due:
            del self._removal_due_by_name[name]
        return due

    def get_next_time(self):
        """Return the time of the next due removal, or ``None``."""
        return min(self._removal_due_by_name.values(), default=None)
