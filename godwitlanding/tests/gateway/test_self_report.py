"""Tests that VMs act on the status headers in upstreams' responses."""

import asyncio

import pytest

from godwitlanding.tests.gateway.world import World

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
# Time for a report to one VM to take effect on all VMs.
SETTLE_S = 4.0
# The number of requests in a window that users tolerate.
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
CALLS_PER_S = 8
# A VM stops sending to a leaving upstream within this time.
DRAIN_S = 2.5
OBJECTS = 20


# Requests may still be in transit for this time after an upstream requests a
# pause; the next value is the number allowed after that.
SETTLE_PAUSE_S = 0.5
MAX_IN_PAUSE = 2


@pytest.fixture
async def world(tmp_path):
    async with World(tmp_path) as world:
        await world.start()
        yield world


async def call_for(world, seconds, vms=None):
    """Send requests to all VMs, or to ``vms``; return the statuses."""
    vms = vms or world.vms
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    calls = []
    for number in range(round(seconds * CALLS_PER_S)):
        await asyncio.sleep(max(0.0, started_at + number / CALLS_PER_S - loop.time()))
        for index, vm in enumerate(vms):
            path = f"/look/{(number * len(vms) + index) % OBJECTS}"
            calls.append(asyncio.create_task(world.ask(vm, path)))
    return [response.status for response, _ in await asyncio.gather(*calls)]


def count_in_worst_window(times, seconds):
    return max(
        (
            sum(started_at <= at < started_at + seconds for at in times)
            for started_at in times
        ),
        default=0,
    )


async def test_all_vms_together_keep_to_the_limit_of_an_upstream(world):
    # Guards against VMs that together exceed the limit of an upstream.
    limited = world.get_worker("look-1")
    limited.limit = str(LIMIT_PER_S)
    statuses = await call_for(world, SETTLE_S + 2 * WINDOW_S)
    settled_at = asyncio.get_running_loop().time() - 2 * WINDOW_S
    arrived = [at for at in limited.arrived_at if at >= settled_at]
    assert count_in_worst_window(arrived, WINDOW_S) <= MAX_IN_WINDOW
    assert set(statuses) == {200}


async def test_leaving_upstream_gets_no_requests_during_a_store_outage(world):
    # Guards against trusting the store's entry more than the responses.
    world.store.crash()
    leaving = world.get_worker("look-1")
    leaving.leaving = True
    statuses = await call_for(world, DRAIN_S)
    assert leaving.arrived_at
    before = len(leaving.arrived_at)
    statuses += await call_for(world, 1.5)
    assert len(leaving.arrived_at) == before
    assert set(statuses) == {200}


async def test_older_entry_does_not_make_a_leaving_upstream_usable(world):
    # Guards against applying an older entry that is read after the response.
    leaving = world.get_worker("look-1")
    leaving.leaving = True
    await call_for(world, 1.0)
    before = len(leaving.arrived_at)
    await world.register(leaving)
    await asyncio.sleep(0.5)
    await call_for(world, 1.0)
    assert len(leaving.arrived_at) == before


async def test_vm_pauses_for_upstreams_that_request_it(world):
    # Guards against sending to upstreams that have requested a pause.
    workers = [world.get_worker(worker_id) for worker_id in ("look-1", "look-2")]
    for worker in workers:
        worker.fault = "shed"
        worker.retry_after = "3.0"
    await call_for(world, 3.0, world.vms[:1])
    for worker in workers:
        since = [at - worker.arrived_at[0] for at in worker.arrived_at]
        paused = [after_s for after_s in since if after_s > SETTLE_PAUSE_S]
        assert len(paused) <= MAX_IN_PAUSE
        worker.fault = ""
    assert set(await call_for(world, 1.5, world.vms[:1])) >= {200}
    assert workers[0].ran


async def test_retry_after_covers_the_remaining_pause(world):
    # Guards against callers that retry while no upstream may be used.
    for worker_id in ("look-1", "look-2"):
        world.get_worker(worker_id).fault = "shed"
        world.get_worker(worker_id).retry_after = "2.5"
    await call_for(world, 0.5, world.vms[:1])
    patient = {"Godwitlanding-Deadline-Ms": "9000"}
    responses = [await world.ask(world.vms[0], **patient) for _ in range(10)]
    assert {response.status for response, _ in responses} == {503}
    assert (
        min(float(response.headers["Retry-After"]) for response, _ in responses) >= 1.5
    )


async def test_starting_vm_learns_from_peers_that_an_upstream_is_leaving(world):
    # Guards against a VM that learns it only from a request of its own.
    leaving = world.get_worker("look-1")
    leaving.leaving = True
    await call_for(world, 1.0)
    vm = world.vms[0]
    await vm.end()
    await vm.start()
    await world.wait_until_ready(vm)
    await asyncio.sleep(1.0)
    before = len(leaving.arrived_at)
    statuses = await call_for(world, 1.0, [vm])
    assert len(leaving.arrived_at) == before
    assert set(statuses) == {200}
