"""Versioned objects that a process holds, never going back to an older one.

A partitioned peer, a platform restored from a backup or a late message may
offer an older version. Taking it would undo an accepted change, which
users would notice as configuration that reverts; so the highest version
wins here, in the one place through which every object passes.

>>> replica = Replica()
>>> replica.offer(State("config", "main", 7, b"..."))
True
>>> replica.offer(State("config", "main", 6, b"..."))
False
"""

from eliot import log_message

# The view of a zone's members comes from one source at a time and its
# versions do not compare between sources.
UNORDERED_KINDS = frozenset({"members"})


class Replica:
    """The newest known version of each object, by kind and name."""

    def __init__(self, counters=None):
        self.state_by_key = {}
        self._counters = counters
        self._listeners = []

    def offer(self, state):
        """Take ``state`` if it is newer; tell whether it was taken."""
        key = (state.kind, state.name)
        held = self.state_by_key.get(key)
        if held and state.kind not in UNORDERED_KINDS:
            if state.version < held.version:
                self._log_older_version(state, held)
                return False
            if state.version == held.version:
                return False
        self.state_by_key[key] = state
        for listener in list(self._listeners):
            listener(state)
        return True

    def get(self, kind, name):
        """Return the state held, or ``None``."""
        return self.state_by_key.get((kind, name))

    def get_version(self, kind, name):
        """Return the version held, 0 for none."""
        held = self.get(kind, name)
        return held.version if held else 0

    def get_versions(self):
        """Return the version held by ``kind/name``."""
        states = self.state_by_key.values()
        return {f"{state.kind}/{state.name}": state.version for state in states}

    def get_kind(self, kind):
        """Return all states held of a kind."""
        return [state for key, state in self.state_by_key.items() if key[0] == kind]

    def listen(self, listener):
        """Call ``listener(state)`` for each state taken from now on."""
        self._listeners.append(listener)

    def drop_body(self, state):
        """Keep only the version of a state whose body is held elsewhere."""
        key = (state.kind, state.name)
        if self.state_by_key.get(key) is state:
            self.state_by_key[key] = state._replace(body=b"")

    def _log_older_version(self, state, held):
        if self._counters:
            self._counters.add("replica_refused", code="OLDER_VERSION")
        log_message(
            "replica:older_version",
            level="warning",
            kind=state.kind,
            name=state.name,
            offered=state.version,
            held=held.version,
        )
