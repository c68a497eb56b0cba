"""Loops that a service runs until it is stopped."""

import asyncio
import traceback

from godwitlanding.base.log import log_error

# Between two cancellations a task may tidy up.
_CANCEL_RETRY_S = 0.2


async def end_tasks(tasks):
    """Cancel tasks and wait until all have ended.

    asyncio.wait_for of Python 3.11 returns its answer and forgets the
    cancellation when both come together. A loop around it then goes on,
    and a stop that cancelled it once would wait for it for ever; so those
    that are left are cancelled again.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=_CANCEL_RETRY_S)


def start_task(coroutine):
    """Run a coroutine in the background and return its task.

    A failure is logged. asyncio tells of it only once nobody holds the task
    any more, and a service holds its own until it stops: a loop that has
    ended would be missed by its effects alone.
    """
    task = asyncio.ensure_future(coroutine)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task):
    if not task.cancelled() and task.exception():
        log_error("task:failed", error=repr(task.exception()))


class Tasks:
    """Background coroutines of a service, ended together."""

    def __init__(self):
        self._tasks = set()

    def run(self, coroutine):
        """Run a coroutine in the background; a failure is logged."""
        task = start_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def repeat(self, interval_s, function):
        """Call a coroutine function again and again, ``interval_s`` apart."""
        return self.run(_repeat(interval_s, function))

    async def wait(self, limit_s):
        """Wait for what runs to end by itself, ``limit_s`` at most."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=limit_s)

    async def stop(self):
        """Cancel what still runs and wait for its end."""
        await end_tasks(self._tasks)


async def _repeat(interval_s, function):
    # One failure must not end the loop: a heartbeat that stops for good
    # would take its member out of the zone though the process runs.
    while True:
        try:
            await function()
        except Exception as error:
            log_error(
                "task:round_failed",
                function=function.__qualname__,
                error=repr(error),
                trace=traceback.format_exc(limit=-3),
            )
        await asyncio.sleep(interval_s)
