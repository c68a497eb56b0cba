"""Which objects that vanish from the store, or return, are to be believed.

Load pattern: the store is away for seconds; upstreams that live cannot renew
their entries there, and the store drops them. The first list after the
outage is then nearly empty. Believing it at once would take every upstream
out of use; a removed entry of such a time is kept until ``BACK_WITHIN_S``
after the store's return, by when those that live are back.

A store that comes back from an older copy lacks what was written since, until
its writers have written it again, and holds what was removed since. A zone
that is being evacuated would be sent requests again, and so would an
upstream that is gone, whose entry the store drops only after it has been
silent for three heartbeats.
"""

from collections import OrderedDict

# Upstreams that live are back within about two seconds of the return.
REWRITE_WITHIN_S = 2.0
# Silence of three heartbeats removes an entry; this much must pass without a
# word of the store before removals are doubted.
DOUBT_AFTER_S = 1.0
# An entry that a copy has brought back is dropped by then: three heartbeats,
# and the way of the news.
STALE_ENTRY_TTL_S = 5.0
# Copies are younger.
GONE_MEMORY_S = 60.0
MAX_GONE = 4096


class RemovalGuard:
    """Holds removals and returns back for a while.

    With ``expires`` the store drops an object whose writer is silent; other
    objects vanish through a restoration of the store only, and one that
    returns by it is believed.
    """

    def __init__(self, expires=True):
        self._expires = expires
        self._lost_at = None
        self._doubt_until = 0.0
        self._returns_doubted_until = 0.0
        self._due_by_name = {}
        self._gone_at_by_name = OrderedDict()

    def note_store_lost(self, now):
        """The store does not answer (again)."""
        if self._lost_at is None:
            self._lost_at = now

    def note_store_answer(self, now):
        """The store answers; after an outage removals are doubted a while."""
        was_lost = self._lost_at is not None
        if self._expires and was_lost and now - self._lost_at >= DOUBT_AFTER_S:
            self._doubt_until = now + REWRITE_WITHIN_S
        self._lost_at = None

    def note_restored(self, now):
        """The store has come back from an older copy."""
        self._doubt_until = now + REWRITE_WITHIN_S
        if self._expires:
            self._returns_doubted_until = now + STALE_ENTRY_TTL_S

    def note_removed(self, name, now):
        """The entry is dropped."""
        self._gone_at_by_name.pop(name, None)
        self._gone_at_by_name[name] = now
        oldest = next(iter(self._gone_at_by_name.values()))
        if now - oldest > GONE_MEMORY_S or len(self._gone_at_by_name) > MAX_GONE:
            self._gone_at_by_name.popitem(last=False)

    def remove(self, name, now):
        """Tell whether the entry may be dropped now; else it is held."""
        if now >= self._doubt_until:
            self._due_by_name.pop(name, None)
            return True
        self._due_by_name.setdefault(name, self._doubt_until)
        return False

    def cancel_removal(self, name):
        """The entry is back."""
        self._due_by_name.pop(name, None)

    def is_reappearance_suspect(self, name, now):
        """Tell whether an entry that a copy holds may be one that is gone."""
        return now < self._returns_doubted_until and name in self._gone_at_by_name

    def take_due_removals(self, now):
        """Return the names whose time to come back has passed."""
        due = [name for name, at in self._due_by_name.items() if at <= now]
        for name in due:
            del self._due_by_name[name]
        return due

    def get_next_time(self):
        """Return when ``take_due`` has something, or ``None``."""
        return min(self._due_by_name.values(), default=None)
