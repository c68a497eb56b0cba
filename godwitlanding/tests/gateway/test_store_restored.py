"""The store comes back from an older copy: what VMs make of it."""

import asyncio

import pytest

from godwitlanding.decisions.lapse import BACK_WITHIN_S
from godwitlanding.tests.gateway.world import World, make_config

# Time in which a change has to be in force.
CONFIG_S = 2.5
AWAY_S = 1.0
# Maps are saved every 4 s; the store's return is noticed within a second.
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
    """Let the store's revision rise far beyond that of a copy."""
    for number in range(20):
        await store.put("things", "a", {"number": number})


async def restore(store, copy):
    """Take the store away for a moment; it comes back from ``copy``."""
    store.faults.status = 503
    await asyncio.sleep(AWAY_S)
    await store.come_back(copy)
    store.faults.status = 0


async def lose_a_configuration(world):
    """Take the store back to before a configuration that is in force.

    The operator writes it again.
    """
    copy = world.store.take_copy()
    await write_much(world.store)
    await world.store.put("config", "main", make_config("r8"))
    await asyncio.sleep(0.5)
    await restore(world.store, copy)
    await world.store.put("config", "main", make_config("r8"))
    await asyncio.sleep(0.5)


async def test_configuration_after_the_store_was_restored_is_in_force_in_time(world):
    # Revisions are given out again; changes that bore known ones were refused.
    await lose_a_configuration(world)
    await world.store.put("config", "main", make_config("r9", [NEW_ROUTE]))
    await asyncio.sleep(CONFIG_S)
    statuses = [(await world.ask(vm, "/new/1"))[0].status for vm in world.vms]
    assert statuses == [200, 200, 200]


async def test_upstream_that_leaves_after_the_store_was_restored_gets_nothing(world):
    # Its entry was refused as older than the one that the store had lost.
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


async def test_vm_that_starts_on_an_old_list_of_a_lost_history_hears_of_changes(
    tmp_path,
):
    # The list bears revisions that the store gives out again later.
    async with World(tmp_path, zones=("a1",)) as world:
        leaving = world.get_worker("look-1")
        copy = world.store.take_copy()
        await write_much(world.store)
        await world.register(leaving, "draining")
        await world.register(leaving)
        world.store.old_copy = world.store.take_copy()
        await world.store.come_back(copy)
        await world.start()
        await world.register(leaving, "draining")
        await asyncio.sleep(CONFIG_S)
        for number in range(10):
            await world.ask(world.vms[0], f"/look/{number}")
        assert not leaving.ran


@pytest.mark.parametrize("is_listed", [True, False])
async def test_upstream_that_left_gets_nothing_because_a_copy_calls_it_ready(
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


async def test_evacuated_zone_gets_nothing_while_the_operator_writes_it_again(world):
    evacuated = world.get_worker("look-1")
    copy = world.store.take_copy()
    await world.store.put("evacuations", evacuated.zone, {})
    await asyncio.sleep(0.5)
    await restore(world.store, copy)
    evacuated.ran.clear()
    for number in range(60):
        await world.ask(world.vms[number % 3], f"/look/{number}")
    await world.store.put("evacuations", evacuated.zone, {})
    await asyncio.sleep(BACK_WITHIN_S)
    for number in range(10):
        await world.ask(world.vms[0], f"/look/{number}")
    assert not evacuated.ran


async def test_vms_write_again_what_the_store_has_lost(tmp_path):
    # Their own objects and the map of what upstreams know were written once.
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
