"""Behaviour of VMs when the store is restored from an older copy."""

import asyncio

import pytest

from godwitlanding.decisions.removalguard import REWRITE_WITHIN_S
from godwitlanding.tests.gateway.world import World, make_config

# Time in which a change has to be in force.
CONFIG_S = 2.5
OUTAGE_S = 1.0
# Cache entries are saved every 4 s; a restored store is detected within 1 s.
WRITTEN_S = 10.0
NEW_ROUTE = [
    *("new", "h", "/new/", "safe", "2s", "400ms", 2, None, 2, True, [], "looks")
]


@pytest.fixture
async def world(tmp_path):
    async with World(tmp_path) as world:
        await world.start()
        yield world


async def write_much(store):
    """Raise the store's revision far beyond that of a copy."""
    for number in range(20):
        await store.put("things", "a", {"number": number})


async def restore(store, copy):
    """Make the store unreachable for ``OUTAGE_S``, then restore ``copy``."""
    store.faults.status = 503
    await asyncio.sleep(OUTAGE_S)
    await store.restore_copy(copy)
    store.faults.status = 0


async def lose_configuration(world):
    """Restore a copy from before the configuration that is in force.

    The operator then writes the configuration again.
    """
    copy = world.store.take_copy()
    await write_much(world.store)
    await world.store.put("config", "main", make_config("r8"))
    await asyncio.sleep(0.5)
    await restore(world.store, copy)
    await world.store.put("config", "main", make_config("r8"))
    await asyncio.sleep(0.5)


async def test_configuration_written_after_a_restoration_is_applied_in_time(world):
    # The store assigns revisions again; changes with known ones were ignored.
    await lose_configuration(world)
    await world.store.put("config", "main", make_config("r9", [NEW_ROUTE]))
    await asyncio.sleep(CONFIG_S)
    statuses = [(await world.ask(vm, "/new/1"))[0].status for vm in world.vms]
    assert statuses == [200, 200, 200]


async def test_upstream_that_leaves_after_a_restoration_gets_no_requests(world):
    # Its entry was ignored as older than the one that the store had lost.
    leaving = world.get_worker("look-1")
    copy = world.store.take_copy()
    await write_much(world.store)
    await world.register(leaving, "draining")
    await world.register(leaving)
    await asyncio.sleep(0.5)
    await restore(world.store, copy)
    await asyncio.sleep(0.5)
    await world.register(leaving, "draining")
    await asyncio.sleep(CONFIG_S)
    leaving.ran.clear()
    for number in range(10):
        await world.ask(world.vms[0], f"/look/{number}")
    assert not leaving.ran


async def test_vm_that_starts_with_a_stale_list_of_a_lost_history_gets_changes(
    tmp_path,
):
    # The list has revisions that the store assigns again later.
    async with World(tmp_path, zones=("a1",)) as world:
        leaving = world.get_worker("look-1")
        copy = world.store.take_copy()
        await write_much(world.store)
        await world.register(leaving, "draining")
        await world.register(leaving)
        world.store.old_copy = world.store.take_copy()
        await world.store.restore_copy(copy)
        await world.start()
        await world.register(leaving, "draining")
        await asyncio.sleep(CONFIG_S)
        for number in range(10):
            await world.ask(world.vms[0], f"/look/{number}")
        assert not leaving.ran


@pytest.mark.parametrize("is_listed", [True, False])
async def test_upstream_that_left_gets_no_requests_when_a_copy_lists_it_as_ready(
    world, is_listed
):
    left = world.get_worker("look-1")
    copy = world.store.take_copy()
    await world.register(left, "draining")
    await asyncio.sleep(0.5)
    if not is_listed:
        await world.store.remove("servers", left.id)
        await asyncio.sleep(0.5)
    await restore(world.store, copy)
    left.ran.clear()
    for number in range(20):
        await world.ask(world.vms[number % 3], f"/look/{number}")
        await asyncio.sleep(0.1)
    assert not left.ran


async def test_evacuated_zone_gets_no_requests_until_it_is_written_again(world):
    evacuated = world.get_worker("look-1")
    copy = world.store.take_copy()
    await world.store.put("evacuations", evacuated.zone, {})
    await asyncio.sleep(0.5)
    await restore(world.store, copy)
    evacuated.ran.clear()
    for number in range(60):
        await world.ask(world.vms[number % 3], f"/look/{number}")
    await world.store.put("evacuations", evacuated.zone, {})
    await asyncio.sleep(REWRITE_WITHIN_S)
    for number in range(10):
        await world.ask(world.vms[0], f"/look/{number}")
    assert not evacuated.ran


async def test_vms_write_lost_objects_again(tmp_path):
    # The VMs' own objects and the saved cache entries were written only once.
    async with World(tmp_path) as world:
        copy = world.store.take_copy()
        await world.start()
        await world.ask(world.vms[0], "/look/1")
        written = [("godwit-vms", vm.name) for vm in world.vms]
        written.append(("godwit-objects", "a"))
        await wait_until_written(world.store, written)
        await restore(world.store, copy)
        assert world.store.get_spec(*written[0]) is None
        await wait_until_written(world.store, written)


async def wait_until_written(store, objects):
    async with asyncio.timeout(WRITTEN_S):
        while not all(store.get_spec(kind, name) for kind, name in objects):
            await asyncio.sleep(0.1)
