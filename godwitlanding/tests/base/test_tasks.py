"""Tests of background tasks: cancellation and logged failures."""

import asyncio
from types import SimpleNamespace

import pytest
from eliot import add_destinations, remove_destination

from godwitlanding.base.loophealth import (
    CHECK_INTERVAL_S,
    STOP_AFTER_S,
    UNREADY_AFTER_S,
    LoopHealth,
)
from godwitlanding.base.metrics import Counters
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


class LoopingService:
    """Calls ``run_round`` ten times a second; fails in ``failing`` calls."""

    def __init__(self, failing, is_async=False):
        self.tasks = Tasks()
        self.calls = 0
        self._failing = failing
        self.tasks.repeat(0.1, self.run_async if is_async else self.run_round)

    def run_round(self):
        self.calls += 1
        if self.calls in self._failing:
            raise ZeroDivisionError("test")

    async def run_async(self):
        self.run_round()


@pytest.mark.looptime
@pytest.mark.parametrize("is_async", [False, True])
@pytest.mark.parametrize(
    ("failing", "is_healthy", "is_stopped"),
    [
        pytest.param((), True, False, id="no round"),
        pytest.param((5,), True, False, id="one round"),
        pytest.param(range(5, 400, 2), True, False, id="every second round"),
        pytest.param(range(5, 20), True, False, id="many rounds, then none"),
        pytest.param(range(5, 100_000), False, True, id="every round"),
    ],
)
async def test_process_stops_only_if_every_round_fails(
    failing, is_async, is_healthy, is_stopped
):
    # Guards against a loop that has ended by an error while its process goes
    # on, and against a process that stops for an error that passes.
    stop_requests = []
    counters = Counters()
    service = LoopingService(failing, is_async)
    health = LoopHealth([service], counters)
    await health.start(SimpleNamespace(stop_as_failed=lambda: stop_requests.append(1)))
    await asyncio.sleep(UNREADY_AFTER_S + 1.0)
    assert health.is_healthy() is is_healthy
    assert not stop_requests
    await asyncio.sleep(STOP_AFTER_S[1] + CHECK_INTERVAL_S)
    assert bool(stop_requests) is is_stopped
    assert service.calls >= 200
    name = f"LoopingService.run_{'async' if is_async else 'round'}"
    expected = sum(1 for call in failing if call <= service.calls)
    counted = counters.get("loop_failures", loop=name)
    assert expected - 10 <= counted <= expected
    await service.tasks.stop()
    await health.stop()


@pytest.mark.looptime
async def test_failing_round_is_logged_once_a_second():
    # Guards against a log that a failing loop fills.
    logged = []
    service = LoopingService(range(100_000))
    add_destinations(logged.append)
    # eliot passes the messages of earlier tests to the first destination.
    logged.clear()
    try:
        await asyncio.sleep(5.0)
    finally:
        remove_destination(logged.append)
    await service.tasks.stop()
    assert 4 <= len(logged) <= 6
    assert logged[-1]["failures"] > 30


@pytest.mark.looptime
async def test_task_that_ends_by_an_error_is_run_again():
    # Guards against an upstream that stays ejected because its probe failed.
    runs = []

    async def run(limit):
        runs.append(limit)
        if len(runs) < limit:
            raise ValueError("test")

    tasks = Tasks()
    task = tasks.keep_running(run, 3)
    await asyncio.sleep(10.0)
    assert runs == [3, 3, 3]
    assert task.done() and not tasks.get_loops()
