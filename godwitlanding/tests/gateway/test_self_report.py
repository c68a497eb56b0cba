"""What upstreams say of themselves in their answers is acted on."""

import asyncio

import pytest

from godwitlanding.tests.gateway.world import World

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
# Until what one VM has heard must be in force at all.
SETTLE_S = 4.0
# What users tolerate in a window.
MOST_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
CALLS_PER_S = 8
# Within this time a VM stops sending to an upstream that leaves.
DRAIN_S = 2.5
OBJECTS = 20


# What may still be under way as an upstream asks for a pause, and after that.
SETTLE_PAUSE_S = 0.5
MOST_IN_PAUSE = 2


@pytest.fixture
async def world(tmp_path):
    async with World(tmp_path) as world:
        await world.start()
        yield world


async def call_for(world, seconds, vms=None):
    """Let callers ask VMs, or all; return the statuses of their answers."""
    vms = vms or world.vms
    loop = asyncio.get_running_loop()
    begun = loop.time()
    calls = []
    for number in range(round(seconds * CALLS_PER_S)):
        await asyncio.sleep(max(0.0, begun + number / CALLS_PER_S - loop.time()))
        for turn, vm in enumerate(vms):
            path = f"/look/{(number * len(vms) + turn) % OBJECTS}"
            calls.append(asyncio.create_task(world.ask(vm, path)))
    return [answer.status for answer, _ in await asyncio.gather(*calls)]


def count_in_worst_window(times, seconds):
    return max(
        (sum(begun <= at < begun + seconds for at in times) for begun in times),
        default=0,
    )


async def test_all_vms_together_keep_to_the_limit_of_an_upstream(world):
    # Guards against VMs that overrun an upstream which has named a limit.
    limited = world.get_worker("look-1")
    limited.limit = str(LIMIT_PER_S)
    statuses = await call_for(world, SETTLE_S + 2 * WINDOW_S)
    settled_at = asyncio.get_running_loop().time() - 2 * WINDOW_S
    arrived = [at for at in limited.arrived_at if at >= settled_at]
    assert count_in_worst_window(arrived, WINDOW_S) <= MOST_IN_WINDOW
    assert set(statuses) == {200}


async def test_leaving_upstream_gets_no_requests_during_a_store_outage(world):
    # Guards against a VM that believes the store's entry against the answers.
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
    # Guards against an older entry that is read after the upstream's answer.
    leaving = world.get_worker("look-1")
    leaving.leaving = True
    await call_for(world, 1.0)
    before = len(leaving.arrived_at)
    await world.register(leaving)
    await asyncio.sleep(0.5)
    await call_for(world, 1.0)
    assert len(leaving.arrived_at) == before


async def test_vm_pauses_for_upstreams_that_request_it(world):
    # Guards against a VM that keeps asking upstreams which turned it away.
    workers = [world.get_worker(worker_id) for worker_id in ("look-1", "look-2")]
    for worker in workers:
        worker.fault = "shed"
        worker.retry_after = "3.0"
    await call_for(world, 3.0, world.vms[:1])
    for worker in workers:
        since = [at - worker.arrived_at[0] for at in worker.arrived_at]
        paused = [after_s for after_s in since if after_s > SETTLE_PAUSE_S]
        assert len(paused) <= MOST_IN_PAUSE
        worker.fault = ""
    assert set(await call_for(world, 1.5, world.vms[:1])) >= {200}
    assert workers[0].ran


async def test_retry_after_covers_the_remaining_pause(world):
    # Guards against callers who come back while nobody may be asked.
    for worker_id in ("look-1", "look-2"):
        world.get_worker(worker_id).fault = "shed"
        world.get_worker(worker_id).retry_after = "2.5"
    await call_for(world, 0.5, world.vms[:1])
    patient = {"Godwitlanding-Deadline-Ms": "9000"}
    answers = [await world.ask(world.vms[0], **patient) for _ in range(10)]
    assert {answer.status for answer, _ in answers} == {503}
    assert min(float(answer.headers["Retry-After"]) for answer, _ in answers) >= 1.5


async def test_starting_vm_learns_from_peers_that_an_upstream_is_leaving(world):
    # Guards against a VM that must learn it by a request of its own.
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
