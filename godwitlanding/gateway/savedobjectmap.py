"""Saves in the store which upstreams have cached which objects.

Load pattern: all VMs lose power at once while upstreams keep running. The
upstreams still have their objects cached, but no VM knows which. Requests go
to random upstreams, each of which loads the object again: that takes a slot
for one second per object, just when the callers of the outage come back. So
one VM of each region periodically saves the cache entries of its region's
upstreams, and a VM that starts reads them.

The saved entries are some seconds old, which costs at most one late response
for each object that has moved since.
"""

import asyncio
import base64
import binascii
import struct

import orjson
from eliot import log_message

from godwitlanding.base.codes import Code
from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import Tasks
from godwitlanding.decisions.objectmap import CacheEntry

# Most objects are cached within seconds of a start, and few later.
SAVE_INTERVAL_S = 4.0
# Interval of the checks whether to read at the start.
CHECK_INTERVAL_S = 0.1
# 8 bytes each, and a third more for the encoding: half of the largest value
# that the store accepts.
MAX_CACHE_ENTRIES = 40_000
_PAIR = struct.Struct("<II")


def encode_cache_entries(cache_entries):
    """Return cache entries as an object's value."""
    data = b"".join(_PAIR.pack(*cache_entry) for cache_entry in cache_entries)
    return orjson.dumps({"met": base64.b64encode(data).decode()})


def decode_cache_entries(value):
    """Return the cache entries in an object's value.

    Raises ``ValueError``, ``KeyError`` or ``TypeError`` if it is invalid.
    """
    text = orjson.loads(value)["met"]
    try:
        data = base64.b64decode(text, validate=True)
        return [CacheEntry(*pair) for pair in _PAIR.iter_unpack(data)]
    except (binascii.Error, struct.error) as error:
        raise ValueError(f"invalid cache entries: {error}") from None


class SavedObjectMap(Service):
    """Reads the entries at the start, and saves them periodically.

    Only the first representative of a region saves.
    """

    name = "savedmap"
    needs = ("registry", "peers")

    def __init__(self, store, kind, region, object_map):
        self._store = store
        self._kind = kind
        self._region = region
        self._object_map = object_map
        self._registry = None
        self._peers = None
        # Callers are served without the saved entries, so that its failures
        # do not take the VM out of use.
        self._tasks = Tasks()
        # Version of the region's object, ``None`` if not known.
        self._version = None
        self._saved = frozenset()
        # Whether what a VM cannot serve without has been read.
        self.may_read = lambda: True

    async def start(self, kernel):
        """Begin to read the entries and then to save them."""
        self._registry = kernel.get("registry")
        self._peers = kernel.get("peers")
        self._tasks.keep_running(self._run)

    async def stop(self):
        """Stop saving."""
        await self._tasks.stop()

    def get_status(self):
        """Return the number of cache entries that were saved last."""
        return {"saved": len(self._saved)}

    def note_restored(self):
        """Save again: the store was restored and may have lost the entries."""
        self._version = None
        self._saved = frozenset()

    async def _run(self):
        # On a narrow link the entries, up to 430 KB of each region, would
        # delay the configuration and the upstreams.
        while not self.may_read():
            await asyncio.sleep(CHECK_INTERVAL_S)
        await self._read()
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            if self._peers.is_first_representative():
                await self._save()

    async def _read(self):
        answer = await self._store.snapshot(self._kind, allow_stale=True)
        if answer.is_err():
            # The entries are collected again by this VM and its peers.
            log_message(
                "savedmap:not_read", level="warning", code=answer.unwrap_err().code.name
            )
            return
        now = asyncio.get_running_loop().time()
        count = 0
        self._version = 0
        for stored in answer.unwrap().objects:
            if stored.name == self._region:
                self._version = stored.version
            for cache_entry in self._decode(stored):
                self._object_map.receive(cache_entry, now)
                count += 1
        log_message("savedmap:read", meetings=count)

    def _decode(self, stored):
        try:
            return decode_cache_entries(stored.value)
        except (ValueError, KeyError, TypeError) as error:
            log_message(
                "savedmap:unreadable",
                level="error",
                name=stored.name,
                version=stored.version,
                error=repr(error),
            )
            return []

    async def _save(self):
        cache_entries = [
            cache_entry
            for cache_entry in self._object_map.get_cache_entries(MAX_CACHE_ENTRIES)
            if self._is_in_region(cache_entry.upstream)
        ]
        if frozenset(cache_entries) == self._saved:
            return
        if self._version is None and not await self._find_version():
            return
        value = encode_cache_entries(cache_entries)
        written = await self._store.put(self._kind, self._region, value, self._version)
        if written.is_err():
            # Another VM has saved meanwhile, or the response was lost.
            self._version = None
            log_message(
                "savedmap:not_saved",
                level="warning",
                code=written.unwrap_err().code.name,
            )
            return
        self._version = written.unwrap()
        self._saved = frozenset(cache_entries)
        log_message(
            "savedmap:saved", meetings=len(cache_entries), version=self._version
        )

    def _is_in_region(self, number):
        upstream = self._registry.upstream_by_id.get(
            self._registry.id_by_number.get(number)
        )
        if upstream is None:
            return False
        return self._registry.get_region(upstream.availability_zone) == self._region

    async def _find_version(self):
        answer = await self._store.get(self._kind, self._region)
        if answer.is_ok():
            self._version = answer.unwrap().version
            return True
        if answer.unwrap_err().code is Code.NOT_FOUND:
            self._version = 0
            return True
        return False
