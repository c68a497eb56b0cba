"""Mirrors under random histories of a store that is restored at times.

A mirror follows the store, and another mirror follows the first one, as VMs
do. Whatever the order of changes, interrupted watches, outages and
restorations: once nothing happens any more, both hold what the store holds.
"""

import asyncio
import random

import pytest
from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.storetypes import (
    Snapshot,
    StoredObject,
    WatchBatch,
    WatchEvent,
    get_era,
    get_revision,
    make_version,
)
from godwitlanding.decisions.removalguard import STALE_ENTRY_TTL_S, RemovalGuard
from godwitlanding.gateway.mirror import MAX_BACKOFF_S, WATCH_TIMEOUT_S, Mirror

pytestmark = pytest.mark.looptime

KIND = "things"
NAMES = "abcde"
STEPS = 40
# The longest time that a mirror may take to detect the last event.
SETTLE_S = WATCH_TIMEOUT_S + MAX_BACKOFF_S + STALE_ENTRY_TTL_S + 1.0
POLL_S = 0.05


class ModelStore:
    """An in-memory store with eras, as its client presents it."""

    def __init__(self):
        self.era = 0
        self.revision = 1
        self.version_by_name = {}
        self.value_by_name = {}
        self._events = []
        self._copy = self.take_copy()
        self._interruptions = 0
        self.is_unreachable = False

    def take_copy(self):
        return self.revision, dict(self.version_by_name), dict(self.value_by_name)

    def save_copy(self):
        self._copy = self.take_copy()

    def restore(self):
        revision, versions, values = self._copy
        self.era += 1
        self.revision = revision
        self.version_by_name = {n: self._raise(v) for n, v in versions.items()}
        self.value_by_name = dict(values)
        self._events = []
        self._interruptions += 1

    def _raise(self, version):
        return make_version(self.era, get_revision(version))

    def interrupt_watches(self):
        self._interruptions += 1

    def put(self, name, value):
        self.revision += 1
        self.version_by_name[name] = make_version(self.era, self.revision)
        self.value_by_name[name] = value
        self._note(name, value, False)

    def remove(self, name):
        if self.value_by_name.pop(name, None) is None:
            return
        self.revision += 1
        del self.version_by_name[name]
        self._note(name, b"", True)

    def _note(self, name, value, deleted):
        version = make_version(self.era, self.revision)
        event = WatchEvent(StoredObject(KIND, name, version, value), deleted)
        self._events.append(event)

    async def snapshot(self, kind, allow_stale=False):
        await asyncio.sleep(0.01)
        if self.is_unreachable:
            return Err(make_refusal(Code.PLATFORM_UNAVAILABLE))
        objects = tuple(
            StoredObject(KIND, name, self.version_by_name[name], value)
            for name, value in self.value_by_name.items()
        )
        return Ok(Snapshot(make_version(self.era, self.revision), objects))

    async def watch(self, kind, after, timeout_s):
        interruptions = self._interruptions
        ends_at = asyncio.get_running_loop().time() + timeout_s
        while True:
            if self.is_unreachable or interruptions != self._interruptions:
                return Err(make_refusal(Code.PLATFORM_UNAVAILABLE))
            if get_era(after) != self.era or get_revision(after) > self.revision:
                return Err(make_refusal(Code.WATCH_EXPIRED))
            events = tuple(e for e in self._events if e.stored.version > after)
            if events or asyncio.get_running_loop().time() >= ends_at:
                version = make_version(self.era, self.revision)
                return Ok(WatchBatch(version, events))
            await asyncio.sleep(POLL_S)


def make_mirror(store, guard):
    held = {}

    def apply(name, version, value):
        if value is None:
            held.pop(name, None)
        else:
            held[name] = value

    return Mirror(store, KIND, apply, guard), held


async def run_history(rng, store):
    """Run a random history."""
    for number in range(STEPS):
        action = rng.choice(("put", "put", "remove", "copy", "restore", "cut", "away"))
        name = rng.choice(NAMES)
        if action == "put":
            store.put(name, f"{name}{number}".encode())
        elif action == "remove":
            store.remove(name)
        elif action == "copy":
            store.save_copy()
        elif action == "restore":
            store.restore()
        elif action == "cut":
            store.interrupt_watches()
        else:
            store.is_unreachable = not store.is_unreachable
        await asyncio.sleep(rng.choice((0.0, 0.02, 0.3, 1.5)))
    store.is_unreachable = False


@pytest.mark.parametrize("expires", [True, False])
@pytest.mark.parametrize("seed", range(40))
async def test_mirrors_converge_to_the_store(seed, expires):
    store = ModelStore()
    reading, held = make_mirror(store, RemovalGuard(expires))
    fed, fed_held = make_mirror(None, RemovalGuard(expires))
    reading.on_change.append(lambda _, change_set: fed.apply_change_set(change_set))
    reading.follow()
    await run_history(random.Random(seed), store)
    await asyncio.sleep(SETTLE_S)
    assert held == store.value_by_name
    assert fed_held == store.value_by_name
    await reading.stop()
    await fed.stop()
