"""What upstreams know outlives the VMs."""

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
    """Holds the objects; ``code`` fails each call, ``lost`` the next write."""

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
    """The saved map of one VM with its registry."""

    def __init__(self, store, first=True):
        self.object_map = ObjectMap()
        self.registry = Registry({"a1": "a", "b1": "b"})
        for name, zone in (("u", "a1"), ("v", "b1")):
            self.registry.put_upstream(
                Upstream(name, "s", ("127.0.0.1", 1), zone, 3, False, 0.0)
            )
        self.near = self.registry.number_by_id["u"]
        self.far = self.registry.number_by_id["v"]
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

    def learn(self, *keys):
        for key in keys:
            self.object_map.hear(CacheEntry(self.near, key), 0.0)
        self.object_map.hear(CacheEntry(self.far, 99), 0.0)


async def test_vm_that_starts_after_a_power_cut_knows_who_knows():
    # All VMs lose power at once. Upstreams still know their objects; learnt
    # anew elsewhere, each one's first answer after the outage is late.
    store = FakeStore()
    async with Vm(store) as vm:
        vm.learn(1, 2, 3)
        await asyncio.sleep(SAVE_INTERVAL_S + 0.1)
    async with Vm(store, first=False) as vm:
        assert vm.object_map.count_known(vm.near) == 3
        # Those of the other region are its own VMs' to save.
        assert vm.object_map.count_known(vm.far) == 0


async def test_nothing_is_written_while_nothing_is_learnt():
    store = FakeStore()
    async with Vm(store) as vm:
        vm.learn(1)
        await asyncio.sleep(5 * SAVE_INTERVAL_S + 0.1)
    assert store.writes == 1


async def test_only_one_vm_of_a_region_writes():
    store = FakeStore()
    async with Vm(store, first=False) as vm:
        vm.learn(1)
        await asyncio.sleep(3 * SAVE_INTERVAL_S)
    assert store.writes == 0


@pytest.mark.parametrize("case", ["other wrote", "answer lost", "store away"])
async def test_write_that_failed_is_made_good(case):
    # Another VM wrote in between, the answer was lost, or the store was away.
    # A writer that held on to its version would never write again.
    store = FakeStore()
    async with Vm(store) as vm:
        vm.learn(1)
        await asyncio.sleep(SAVE_INTERVAL_S + 0.1)
        if case == "other wrote":
            store.version_by_name["a"] = 77
        store.lost = case == "answer lost"
        store.code = Code.PLATFORM_UNAVAILABLE if case == "store away" else None
        vm.learn(2)
        await asyncio.sleep(SAVE_INTERVAL_S)
        store.code = None
        await asyncio.sleep(SAVE_INTERVAL_S)
    assert len(decode_cache_entries(store.value_by_name["a"])) == 2


async def test_map_that_the_store_has_lost_is_saved_again():
    # Nothing new is learnt, so nothing else would have it written.
    store = FakeStore()
    async with Vm(store) as vm:
        vm.learn(1)
        await asyncio.sleep(SAVE_INTERVAL_S + 0.1)
        store.value_by_name.clear()
        store.version_by_name.clear()
        vm.saved.note_restored()
        await asyncio.sleep(SAVE_INTERVAL_S)
    assert len(decode_cache_entries(store.value_by_name["a"])) == 1


@pytest.mark.parametrize(
    "value", [b"", b"7", b"{}", b'{"met":7}', b'{"met":"?"}', b'{"met":"AAAA"}']
)
async def test_foreign_object_is_passed_over(value):
    store = FakeStore()
    store.value_by_name["b"] = value
    store.version_by_name["b"] = 1
    with pytest.raises((ValueError, KeyError, TypeError)):
        decode_cache_entries(value)
    async with Vm(store) as vm:
        vm.learn(1)
        await asyncio.sleep(SAVE_INTERVAL_S + 0.1)
    assert "a" in store.value_by_name


def test_meetings_come_back_as_they_were():
    meetings = [CacheEntry(2**32 - 1, 0), CacheEntry(5, 7)]
    assert decode_cache_entries(encode_cache_entries(meetings)) == meetings
