"""Tests of background tasks: cancellation and logged failures."""

import asyncio

import pytest
from eliot import add_destinations, remove_destination

from godwitlanding.base.tasks import Tasks, end_tasks, start_task


async def wait_repeatedly(result_available, rounds):
    """Wait for results repeatedly, like the loops of services."""
    while True:
        await asyncio.wait_for(result_available.wait(), 1000)
        result_available.clear()
        rounds.append(1)


async def run_until_result(tasks):
    """Run a loop whose result arrives just before it is cancelled."""
    result_available = asyncio.Event()
    rounds = []
    task = tasks.run(wait_repeatedly(result_available, rounds))
    await asyncio.sleep(1)
    result_available.set()
    # Lets the inner wait finish; the loop itself has not resumed yet.
    await asyncio.sleep(0)
    return task, rounds


@pytest.mark.looptime
async def test_stop_ends_a_task_whose_cancellation_was_lost():
    """Guards against a stop that never ends.

    If a loop is cancelled at the moment at which its result arrives,
    asyncio.wait_for returns the result, the cancellation is lost, and the
    loop continues.
    """
    tasks = Tasks()
    task, rounds = await run_until_result(tasks)
    await asyncio.wait_for(tasks.stop(), 60)
    assert task.done()
    assert rounds == [1]


@pytest.mark.looptime
async def test_one_of_several_tasks_is_ended():
    """Guards against a watch that continues after its member has ended it."""
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
    # Guards against a loop that fails without being noticed.
    async def run():
        if fails:
            raise ValueError("failed")

    logged = []
    add_destinations(logged.append)
    # eliot passes the messages of earlier tests to the first destination.
    logged.clear()
    try:
        task = start_task(run())
        await asyncio.wait([task])
        await asyncio.sleep(0)
    finally:
        remove_destination(logged.append)
    types = [line["message_type"] for line in logged]
    assert types == (["task:failed"] if fails else [])
    assert all(line["trace"][-1].endswith(" run") for line in logged)
