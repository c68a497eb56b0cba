"""Background tasks end when they are told to."""

import asyncio

import pytest
from eliot import add_destinations, remove_destination

from godwitlanding.base.tasks import Tasks, end_tasks, start_task


async def wait_repeatedly(answered, rounds):
    """Wait for answers as the loops of services do."""
    while True:
        await asyncio.wait_for(answered.wait(), 1000)
        answered.clear()
        rounds.append(1)


async def run_until_result(tasks):
    """Run a loop whose answer comes just before it is cancelled."""
    answered = asyncio.Event()
    rounds = []
    task = tasks.run(wait_repeatedly(answered, rounds))
    await asyncio.sleep(1)
    answered.set()
    # The inner wait ends here, the loop itself has not run on yet.
    await asyncio.sleep(0)
    return task, rounds


@pytest.mark.looptime
async def test_stop_ends_a_task_whose_cancellation_was_lost():
    """A loop is told to stop in the moment in which its answer arrives.

    asyncio.wait_for then returns the answer and the cancellation is lost:
    the loop would go on, and a planned stop would never come to its end.
    """
    tasks = Tasks()
    task, rounds = await run_until_result(tasks)
    await asyncio.wait_for(tasks.stop(), 60)
    assert task.done()
    assert rounds == [1]


@pytest.mark.looptime
async def test_one_of_several_tasks_is_ended():
    """A member that watches no longer must not go on watching unseen."""
    tasks = Tasks()
    other = tasks.run(asyncio.sleep(10_000))
    task, _ = await run_until_result(tasks)
    await asyncio.wait_for(end_tasks([task]), 60)
    assert task.done() and not other.done()
    await tasks.stop()


@pytest.mark.looptime
async def test_ending_no_tasks_returns_at_once():
    await end_tasks([])
    await Tasks().stop()


@pytest.mark.parametrize("fails", [True, False])
async def test_failure_of_a_referenced_task_is_logged(fails):
    # Guards against a loop that ends unnoticed.
    async def run():
        if fails:
            raise ValueError("odd")

    logged = []
    add_destinations(logged.append)
    # The first destination is handed what earlier tests have logged.
    logged.clear()
    try:
        task = start_task(run())
        await asyncio.wait([task])
        await asyncio.sleep(0)
    finally:
        remove_destination(logged.append)
    types = [line["message_type"] for line in logged]
    assert types == (["task:failed"] if fails else [])
