"""Cache entries of upstreams are saved and survive a restart of all VMs."""

import asyncio
from types import SimpleNamespace

import pytest
from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.storetypes import Snapshot, StoredObject
from godwitlanding.decisions.objectmap import CacheEntry, ObjectMap
from godwitlanding.gateway.registry import Registry, Upstream
from godwitlanding.gateway.savedobjectmap import (
    SAVE_INTERVAL_S,
    SavedObjectMap,
    decode_cache_entries,
    encode_cache_entries,
)

pytestmark = pytest.mark.looptime

KIND = "objects"


class FakeStore:
    """An in-memory store.

    ``code`` fails each call; ``lost`` loses the response of the next write.
    """

    def __init__(self):
        self.value_by_name = {}
        self.version_by_name = {}
        self.code = None
        self.lost = False
        self.writes = 0

    async def snapshot(self, kind, allow_stale=False):
        if self.code:
            return Err(make_refusal(self.code))
        objects = [
            StoredObject(kind, name, self.version_by_name[name], value)
            for name, value in self.value_by_name.items()
        ]
        return Ok(Snapshot(9, tuple(objects)))

    async def get(self, kind, name):
        if self.code or name not in self.value_by_name:
            return Err(make_refusal(self.code or Code.NOT_FOUND))
        value = self.value_by_name[name]
        return Ok(StoredObject(kind, name, self.version_by_name[name], value))

    async def put(self, kind, name, value, expected_version):
        self.writes += 1
        if self.code:
            return Err(make_refusal(self.code))
        if expected_version != self.version_by_name.get(name, 0):
            return Err(make_refusal(Code.VERSION_CONFLICT))
        self.value_by_name[name] = value
        self.version_by_name[name] = self.writes
        if self.lost:
            self.lost = False
            return Err(make_refusal(Code.PLATFORM_UNAVAILABLE))
        return Ok(self.writes)


class Vm:
    """The saved object map of one VM, with its registry."""

    def __init__(self, store, first=True):
        self.object_map = ObjectMap()
        self.registry = Registry({"a1": "a", "b1": "b"})
        for name, zone in (("u", "a1"), ("v", "b1")):
            self.registry.put_upstream(
                Upstream(name, "s", ("127.0.0.1", 1), zone, 3, False, 0.0)
            )
        self.local_upstream = self.registry.number_by_id["u"]
        self.remote_upstream = self.registry.number_by_id["v"]
        self.saved = SavedObjectMap(store, KIND, "a", self.object_map)
        self._first = first

    async def __aenter__(self):
        peers = SimpleNamespace(is_first_representative=lambda: self._first)
        services = {"registry": self.registry, "peers": peers}
        await self.saved.start(SimpleNamespace(get=services.get))
        await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *error):
        await self.saved.stop()

    def add_cache_entries(self, *keys):
        for key in keys:
            self.object_map.receive(CacheEntry(self.local_upstream, key), 0.0)
        self.object_map.receive(CacheEntry(self.remote_upstream, 99), 0.0)


async def test_vm_reads_saved_cache_entries_after_a_power_cut():
    # All VMs lose power at once. Upstreams still have their objects cached; if
    # other upstreams load them again, each object's first response is late.
    store = FakeStore()
    async with Vm(store) as vm:
        vm.add_cache_entries(1, 2, 3)
        await asyncio.sleep(SAVE_INTERVAL_S + 0.1)
    async with Vm(store, first=False) as vm:
        assert vm.object_map.count_known(vm.local_upstream) == 3
        # The entries of the other region are saved by its own VMs.
        assert vm.object_map.count_known(vm.remote_upstream) == 0


async def test_unchanged_entries_are_not_written_again():
    store = FakeStore()
    async with Vm(store) as vm:
        vm.add_cache_entries(1)
        await asyncio.sleep(5 * SAVE_INTERVAL_S + 0.1)
    assert store.writes == 1


async def test_only_the_first_representative_writes():
    store = FakeStore()
    async with Vm(store, first=False) as vm:
        vm.add_cache_entries(1)
        await asyncio.sleep(3 * SAVE_INTERVAL_S)
    assert store.writes == 0


@pytest.mark.parametrize("case", ["conflict", "response lost", "store unreachable"])
async def test_failed_write_is_repeated(case):
    # Another VM has written in between, the response was lost, or the store
    # was unreachable. A writer that kept its expected version would never
    # succeed again.
    store = FakeStore()
    async with Vm(store) as vm:
        vm.add_cache_entries(1)
        await asyncio.sleep(SAVE_INTERVAL_S + 0.1)
        if case == "conflict":
            store.version_by_name["a"] = 77
        store.lost = case == "response lost"
        store.code = Code.PLATFORM_UNAVAILABLE if case == "store unreachable" else None
        vm.add_cache_entries(2)
        await asyncio.sleep(SAVE_INTERVAL_S)
        store.code = None
        await asyncio.sleep(SAVE_INTERVAL_S)
    assert len(decode_cache_entries(store.value_by_name["a"])) == 2


async def test_entries_that_the_store_has_lost_are_saved_again():
    # The entries have not changed, so nothing else would cause a write.
    store = FakeStore()
    async with Vm(store) as vm:
        vm.add_cache_entries(1)
        await asyncio.sleep(SAVE_INTERVAL_S + 0.1)
        store.value_by_name.clear()
        store.version_by_name.clear()
        vm.saved.note_restored()
        await asyncio.sleep(SAVE_INTERVAL_S)
    assert len(decode_cache_entries(store.value_by_name["a"])) == 1


@pytest.mark.parametrize(
    "value", [b"", b"7", b"{}", b'{"met":7}', b'{"met":"?"}', b'{"met":"AAAA"}']
)
async def test_invalid_object_is_ignored(value):
    store = FakeStore()
    store.value_by_name["b"] = value
    store.version_by_name["b"] = 1
    with pytest.raises((ValueError, KeyError, TypeError)):
        decode_cache_entries(value)
    async with Vm(store) as vm:
        vm.add_cache_entries(1)
        await asyncio.sleep(SAVE_INTERVAL_S + 0.1)
    assert "a" in store.value_by_name


def test_cache_entries_round_trip():
    cache_entries = [CacheEntry(2**32 - 1, 0), CacheEntry(5, 7)]
    assert decode_cache_entries(encode_cache_entries(cache_entries)) == cache_entries


async def test_entries_are_read_after_what_a_vm_cannot_serve_without():
    # Guards against a VM on a narrow link whose configuration arrives seconds
    # late, beside cache entries that it can do without.
    store = FakeStore()
    async with Vm(store) as vm:
        vm.add_cache_entries(1)
        await asyncio.sleep(SAVE_INTERVAL_S + 0.1)
    vm = Vm(store, first=False)
    known = []
    vm.saved.may_read = lambda: bool(known)
    async with vm:
        await asyncio.sleep(1.0)
        assert vm.object_map.count_known(vm.local_upstream) == 0
        known.append(True)
        await asyncio.sleep(0.2)
        assert vm.object_map.count_known(vm.local_upstream) == 1
