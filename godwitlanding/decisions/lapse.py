"""Which entries of upstreams that vanished are to be believed gone.

Load pattern: the store is away for seconds; upstreams that live cannot renew
their entries there, and the store drops them. The first list after the
outage is then nearly empty. Believing it at once would take every upstream
out of use; a removed entry of such a time is kept until ``BACK_WITHIN_S``
after the store's return, by when those that live are back.
"""

# Upstreams that live are back within about two seconds of the return.
BACK_WITHIN_S = 2.0
# Silence of three heartbeats removes an entry; this much must pass without a
# word of the store before removals are doubted.
DOUBT_AFTER_S = 1.0


class LapseGuard:
    """Holds removals back for a while after an outage of the store."""

    def __init__(self):
        self._lost_at = None
        self._doubt_until = 0.0
        self._due_by_name = {}

    def note_lost(self, now):
        """The store does not answer (again)."""
        if self._lost_at is None:
            self._lost_at = now

    def note_answer(self, now):
        """The store answers; after an outage removals are doubted a while."""
        if self._lost_at is not None and now - self._lost_at >= DOUBT_AFTER_S:
            self._doubt_until = now + BACK_WITHIN_S
        self._lost_at = None

    def remove(self, name, now):
        """Tell whether the entry may be dropped now; else it is held."""
        if now >= self._doubt_until:
            self._due_by_name.pop(name, None)
            return True
        self._due_by_name.setdefault(name, self._doubt_until)
        return False

    def keep(self, name):
        """The entry is back."""
        self._due_by_name.pop(name, None)

    def take_due(self, now):
        """Return the names whose time to come back has passed."""
        due = [name for name, at in self._due_by_name.items() if at <= now]
        for name in due:
            del self._due_by_name[name]
        return due

    def get_next_time(self):
        """Return when ``take_due`` has something, or ``None``."""
        return min(self._due_by_name.values(), default=None)
