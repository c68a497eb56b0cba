"""Keeps in the store which upstreams know which objects.

Load pattern: every VM loses power at once, and upstreams do not. They still
know their objects, but nobody knows which, and each object is learnt anew
wherever chance sends it: a second of slots each, in the seconds when the
callers of the outage come back. So one VM of each region writes down now and
then what the upstreams of its region know, and a VM that starts reads it.

What is written is some seconds old, which costs no more than a late answer
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
from godwitlanding.base.tasks import start_task
from godwitlanding.decisions.objectmap import CacheEntry

# Objects are learnt within seconds of a start, and few after that.
SAVE_INTERVAL_S = 4.0
# 8 bytes each and a third for the encoding: half of the store's largest value.
MAX_CACHE_ENTRIES = 40_000
_PAIR = struct.Struct("<II")


def encode_cache_entries(meetings):
    """Return meetings as an object's value."""
    data = b"".join(_PAIR.pack(*cache_entry) for cache_entry in meetings)
    return orjson.dumps({"met": base64.b64encode(data).decode()})


def decode_cache_entries(value):
    """Return the meetings in an object's value.

    Raises ``ValueError``, ``KeyError`` or ``TypeError`` for any other bytes.
    """
    text = orjson.loads(value)["met"]
    try:
        data = base64.b64decode(text, validate=True)
        return [CacheEntry(*pair) for pair in _PAIR.iter_unpack(data)]
    except (binascii.Error, struct.error) as error:
        raise ValueError(f"no meetings: {error}") from None


class SavedObjectMap(Service):
    """Reads the map at the start, and writes it where this VM is the first."""

    name = "savedmap"
    needs = ("registry", "peers")

    def __init__(self, store, kind, region, object_map):
        self._store = store
        self._kind = kind
        self._region = region
        self._object_map = object_map
        self._registry = None
        self._peers = None
        self._task = None
        # Version of the region's object, None where that is not known.
        self._version = None
        self._saved = frozenset()

    async def start(self, kernel):
        """Begin to read, then to write."""
        self._registry = kernel.get("registry")
        self._peers = kernel.get("peers")
        self._task = start_task(self._run())

    async def stop(self):
        """Write no more."""
        self._task.cancel()

    def get_status(self):
        """Return how many meetings were saved last."""
        return {"saved": len(self._saved)}

    def note_restored(self):
        """The store has come back from an older copy; the map may be lost."""
        self._version = None
        self._saved = frozenset()

    async def _run(self):
        await self._read()
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            if self._peers.is_first_representative():
                await self._save()

    async def _read(self):
        answer = await self._store.snapshot(self._kind, allow_stale=True)
        if answer.is_err():
            # What upstreams know is learnt anew, by this VM or by its peers.
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
                self._object_map.hear(cache_entry, now)
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
        meetings = [
            cache_entry
            for cache_entry in self._object_map.get_cache_entries(MAX_CACHE_ENTRIES)
            if self._is_in_region(cache_entry.upstream)
        ]
        if frozenset(meetings) == self._saved:
            return
        if self._version is None and not await self._find_version():
            return
        value = encode_cache_entries(meetings)
        written = await self._store.put(self._kind, self._region, value, self._version)
        if written.is_err():
            # Another VM was the first for a while, or the answer was lost.
            self._version = None
            log_message(
                "savedmap:not_saved",
                level="warning",
                code=written.unwrap_err().code.name,
            )
            return
        self._version = written.unwrap()
        self._saved = frozenset(meetings)
        log_message("savedmap:saved", meetings=len(meetings), version=self._version)

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
