"""Types of the platform's object store, independent of the client.

Objects, versions, watches, the VM list and the store's interface. They are
separate from the clients so that a process imports only the client it uses.
"""

from typing import NamedTuple, Protocol

MAX_VALUE_BYTES = 1_000_000
# More changes than a store makes in its lifetime.
_REVISIONS_PER_ERA = 10**12


def make_version(era, revision):
    """Return a version that is higher than all versions of earlier eras.

    A store that is restored from a backup starts a new era and reuses
    revisions. A comparison of revisions alone would discard every change as
    outdated until the revision exceeds the highest one seen before.

    >>> make_version(2, 5) > make_version(1, 9)
    True
    """
    return era * _REVISIONS_PER_ERA + revision


def get_era(version):
    """Return the era of a version: the number of restores before it."""
    return version // _REVISIONS_PER_ERA


def get_revision(version):
    """Return the store's own revision number of a version."""
    return version % _REVISIONS_PER_ERA


def find_version(revision, copies):
    """Return the version of a revision, given the platform's restores.

    ``copies`` are the revisions of the backups from which the platform was
    restored, oldest first. Objects in a backup keep their versions.

    >>> find_version(5, (4,)) > find_version(9, ()) > find_version(3, (4,))
    True
    """
    eras = [era for era, copy in enumerate(copies, 1) if revision > copy]
    return make_version(max(eras, default=0), revision)


class StoredObject(NamedTuple):
    """An object of the platform's store.

    ``version`` increases with every write, also after the store was restored
    from a backup. ``created`` is the version at which the object was created,
    0 if it is not known; an object that was removed and created again has a
    higher one.
    """

    kind: str
    name: str
    version: int
    value: bytes
    created: int = 0


class VmEntry(NamedTuple):
    """A row of the platform's VM list; ``state`` is live or leaving."""

    vm: str
    address: str
    availability_zone: str
    state: str


class VmList(NamedTuple):
    """The platform's VM list, which may lag behind."""

    version: int
    vms: tuple[VmEntry, ...]


class Snapshot(NamedTuple):
    """All objects of a kind at a version of the store."""

    version: int
    objects: tuple[StoredObject, ...]


class WatchEvent(NamedTuple):
    """A change of an object; ``deleted`` is set if it was deleted."""

    stored: StoredObject
    deleted: bool


class WatchBatch(NamedTuple):
    """Changes after a version, and the version to continue from."""

    version: int
    events: tuple[WatchEvent, ...]


class Store(Protocol):
    """Interface of a store client; each method returns a ``Result``.

    Errors are ``Err(Refusal)`` with NOT_FOUND, VERSION_CONFLICT,
    VALUE_TOO_LARGE, RATE_LIMITED, WATCH_EXPIRED or PLATFORM_UNAVAILABLE.
    A write that returns PLATFORM_UNAVAILABLE may have taken effect.
    """

    async def get(self, kind, name):
        """Return ``Ok(StoredObject)``."""

    async def list(self, kind):
        """Return ``Ok(tuple of StoredObject)``."""

    async def put(self, kind, name, value, expected_version):
        """Write if the version matches (0: the object must not exist).

        Returns ``Ok(new version)``.
        """

    async def delete(self, kind, name, expected_version):
        """Delete if the version matches; return ``Ok(version)``."""

    async def watch(self, kind, after, timeout_s):
        """Wait for changes of a kind; return ``Ok(WatchBatch)``.

        The batch is empty after ``timeout_s`` without a change.
        """

    async def list_vms(self):
        """Return ``Ok(VmList)``."""
