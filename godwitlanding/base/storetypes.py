"""The platform's objects, and what godwitlanding needs of the store there.

Versions, conditional updates, watches and the list of VMs. The types stand
apart from the clients, so that a process imports only the client it uses.
"""

from typing import NamedTuple, Protocol

MAX_VALUE_BYTES = 1_000_000
# More changes than a store has in its life.
_REVISIONS_PER_ERA = 10**12


def make_version(era, revision):
    """Return a version that is higher than all of earlier eras.

    A store that comes back from an older copy gives revisions out again, in
    a higher era. Whoever compared revisions alone would take every change
    for a late one, until the revision is beyond what it has seen.

    >>> make_version(2, 5) > make_version(1, 9)
    True
    """
    return era * _REVISIONS_PER_ERA + revision


def get_era(version):
    """Return the era of a version."""
    return version // _REVISIONS_PER_ERA


def get_revision(version):
    """Return the revision, by which the store itself knows a version."""
    return version % _REVISIONS_PER_ERA


def find_version(revision, copies):
    """Return the version of a revision of a platform that tells its copies.

    ``copies`` are the revisions of the copies from which it has come back,
    oldest first. What a copy holds keeps the version that it had.

    >>> find_version(5, (4,)) > find_version(9, ()) > find_version(3, (4,))
    True
    """
    eras = [era for era, copy in enumerate(copies, 1) if revision > copy]
    return make_version(max(eras, default=0), revision)


class StoredObject(NamedTuple):
    """An object of the platform; ``version`` grows with every write.

    It also grows where the store has come back from an older copy.
    """

    kind: str
    name: str
    version: int
    value: bytes


class VmEntry(NamedTuple):
    """A row of the platform's list of VMs; ``state`` is live or leaving."""

    vm: str
    address: str
    availability_zone: str
    state: str


class VmList(NamedTuple):
    """The platform's list of VMs, which lags."""

    version: int
    vms: tuple[VmEntry, ...]


class Snapshot(NamedTuple):
    """All objects of a kind as they stood at a version of the store."""

    version: int
    objects: tuple[StoredObject, ...]


class WatchEvent(NamedTuple):
    """A change of an object; ``deleted`` tells that it is gone."""

    stored: StoredObject
    deleted: bool


class WatchBatch(NamedTuple):
    """Changes after a version, and the version to go on from."""

    version: int
    events: tuple[WatchEvent, ...]


class Store(Protocol):
    """What godwitlanding needs of the platform; all answers are results.

    Errors are ``Err(Refusal)`` with NOT_FOUND, VERSION_CONFLICT,
    VALUE_TOO_LARGE, RATE_LIMITED, WATCH_EXPIRED or PLATFORM_UNAVAILABLE.
    After PLATFORM_UNAVAILABLE on a write the write may have taken effect.
    """

    async def get(self, kind, name):
        """Return ``Ok(StoredObject)``."""

    async def list(self, kind):
        """Return ``Ok(tuple of StoredObject)``."""

    async def put(self, kind, name, value, expected_version):
        """Write if the version is as expected (0: must not exist).

        Returns ``Ok(new version)``.
        """

    async def delete(self, kind, name, expected_version):
        """Delete if the version is as expected; ``Ok(version)``."""

    async def watch(self, kind, after, timeout_s):
        """Wait for changes of a kind; ``Ok(WatchBatch)``, maybe empty."""

    async def list_vms(self):
        """Return ``Ok(VmList)``."""
