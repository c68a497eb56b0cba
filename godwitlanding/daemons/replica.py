"""Keeps the newest version of each replicated object of a process.

A partitioned peer, a platform restored from a backup or a late message may
offer an older version. Accepting it would undo a change, and users would
see the configuration revert. Every object passes through this module, and
the highest version wins.

>>> replica = Replica()
>>> replica.offer(State("config", "main", 7, b"..."))
True
>>> replica.offer(State("config", "main", 6, b"..."))
False
"""

from eliot import log_message

# The list of a zone's members comes from one source at a time, and versions
# of different sources can't be compared.
UNORDERED_KINDS = frozenset({"members"})


class Replica:
    """The newest known version of each object, by kind and name."""

    def __init__(self, counters=None):
        self.state_by_key = {}
        self._counters = counters
        self._listeners = []

    def offer(self, state):
        """Store ``state`` if it is newer; return whether it was stored."""
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
        """Return the stored state, or ``None``."""
        return self.state_by_key.get((kind, name))

    def get_version(self, kind, name):
        """Return the stored version, 0 if there is none."""
        held = self.get(kind, name)
        return held.version if held else 0

    def get_versions(self):
        """Return the stored versions by ``kind/name``."""
        states = self.state_by_key.values()
        return {f"{state.kind}/{state.name}": state.version for state in states}

    def get_kind(self, kind):
        """Return all stored states of a kind."""
        return [state for key, state in self.state_by_key.items() if key[0] == kind]

    def listen(self, listener):
        """Call ``listener(state)`` for each state stored from now on."""
        self._listeners.append(listener)

    def drop_body(self, state):
        """Remove the body of a state that is kept elsewhere."""
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
