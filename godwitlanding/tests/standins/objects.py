"""In-memory object table of the platform: versions, history and watches.

Both the platform stand-in and the tests' ``FakeStore`` keep their objects
here, so that tests with the fake follow the rules of the HTTP contract.
"""

import asyncio
from typing import NamedTuple

from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.storetypes import (
    MAX_VALUE_BYTES,
    StoredObject,
    VmList,
    WatchBatch,
    WatchEvent,
    find_version,
    get_revision,
)

HISTORY_EVENTS = 1000


class Snapshot(NamedTuple):
    """A saved state of the platform that can be restored later."""

    revision: int
    stored_by_key: dict


class ObjectTable:
    """Objects by kind and name with one global version.

    Keeps the last ``history_events`` changes of each kind for watches.
    """

    def __init__(self, history_events=HISTORY_EVENTS):
        self.revision = 0
        # Revisions of the copies from which the platform was restored.
        self.copies = ()
        self._stored_by_key = {}
        self._events_by_kind = {}
        self._dropped_by_kind = {}
        self._history_events = history_events
        self._changed = asyncio.Event()

    @property
    def version(self):
        """Return the version of the last change."""
        return self.find_version(self.revision)

    def find_version(self, revision):
        """Return the version that belongs to a revision."""
        return find_version(revision, self.copies)

    def get(self, kind, name):
        """Return ``Ok(StoredObject)`` or NOT_FOUND."""
        stored = self._stored_by_key.get((kind, name))
        return Ok(stored) if stored else Err(make_refusal(Code.NOT_FOUND))

    def list(self, kind):
        """Return all objects of a kind."""
        return tuple(s for s in self._stored_by_key.values() if s.kind == kind)

    def put(self, kind, name, value, expected_version):
        """Write an object if its version is the expected one.

        Returns ``Ok(new version)``, VALUE_TOO_LARGE or VERSION_CONFLICT.
        """
        if len(value) > MAX_VALUE_BYTES:
            return Err(make_refusal(Code.VALUE_TOO_LARGE))
        if self._get_version(kind, name) != expected_version:
            return Err(make_refusal(Code.VERSION_CONFLICT))
        self.revision += 1
        stored = StoredObject(kind, name, self.version, bytes(value))
        self._stored_by_key[kind, name] = stored
        self._record(WatchEvent(stored, deleted=False))
        return Ok(self.version)

    def delete(self, kind, name, expected_version):
        """Delete an object if its version is the expected one.

        Returns ``Ok(version of the deletion)``, NOT_FOUND or
        VERSION_CONFLICT.
        """
        if (kind, name) not in self._stored_by_key:
            return Err(make_refusal(Code.NOT_FOUND))
        if self._get_version(kind, name) != expected_version:
            return Err(make_refusal(Code.VERSION_CONFLICT))
        self.revision += 1
        del self._stored_by_key[kind, name]
        tombstone = StoredObject(kind, name, self.version, b"")
        self._record(WatchEvent(tombstone, deleted=True))
        return Ok(self.version)

    def read_events(self, kind, after):
        """Return ``Ok(WatchBatch)`` of the changes after a version.

        Returns WATCH_EXPIRED if the history does not reach back to ``after``
        or if a restore has undone that version.
        0 asks for the objects that exist now, so it never expires.
        """
        if after == 0:
            events = tuple(WatchEvent(s, deleted=False) for s in self.list(kind))
            return Ok(WatchBatch(self.version, events))
        if self.find_version(get_revision(after)) != after:
            return Err(make_refusal(Code.WATCH_EXPIRED))
        is_too_old = after < self._dropped_by_kind.get(kind, 0)
        if is_too_old or after > self.version:
            return Err(make_refusal(Code.WATCH_EXPIRED))
        events = self._events_by_kind.get(kind, ())
        later = tuple(event for event in events if event.stored.version > after)
        return Ok(WatchBatch(self.version, later))

    async def wait_for_events(self, kind, after, timeout_s, is_open=lambda: True):
        """Return the changes of a kind, waiting at most ``timeout_s``.

        Returns PLATFORM_UNAVAILABLE as soon as ``is_open`` returns false.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while is_open():
            read = self.read_events(kind, after)
            if read.is_err() or read.unwrap().events or loop.time() >= end:
                return read
            try:
                await asyncio.wait_for(self._changed.wait(), end - loop.time())
            except TimeoutError:
                continue
        return Err(make_refusal(Code.PLATFORM_UNAVAILABLE))

    def take_snapshot(self):
        """Return a copy of the current state."""
        return Snapshot(self.revision, dict(self._stored_by_key))

    def restore(self, snapshot):
        """Return to an older state, as if restored from a backup.

        The history of changes is lost.
        """
        self.revision = snapshot.revision
        self.copies += (snapshot.revision,)
        self._stored_by_key = dict(snapshot.stored_by_key)
        self._events_by_kind = {}
        kinds = {kind for kind, _ in self._stored_by_key}
        self._dropped_by_kind = dict.fromkeys(kinds, self.version)
        self.wake()

    def wake(self):
        """Make every waiting watch check again for changes."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _get_version(self, kind, name):
        stored = self._stored_by_key.get((kind, name))
        return stored.version if stored else 0

    def _record(self, event):
        kind = event.stored.kind
        events = self._events_by_kind.setdefault(kind, [])
        events.append(event)
        if len(events) > self._history_events:
            self._dropped_by_kind[kind] = events.pop(0).stored.version
        self.wake()


EMPTY_VM_LIST = VmList(0, ())
