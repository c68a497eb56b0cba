"""Background tasks and periodic loops of services."""

import asyncio
import traceback
from pathlib import Path

from godwitlanding.base.log import log_error

# Time for a cancelled task to clean up before it is cancelled again.
_CANCEL_RETRY_S = 0.2
_LOGGED_FRAMES = 6


async def end_tasks(tasks):
    """Cancel tasks and wait until all have ended.

    asyncio.wait_for of Python 3.11 loses a cancellation that coincides with
    the result. A loop around it then continues, and a stop that cancelled
    it only once would wait forever. Tasks that are still running are
    therefore cancelled again.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=_CANCEL_RETRY_S)


def start_task(coroutine):
    """Run a coroutine in the background and return its task.

    An exception is logged. asyncio reports it only when the task is garbage
    collected, and a service references its tasks until it stops, so a failed
    loop would otherwise go unnoticed.
    """
    task = asyncio.ensure_future(coroutine)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task):
    if task.cancelled() or not task.exception():
        return
    error = task.exception()
    log_error("task:failed", error=repr(error), trace=format_trace(error))


def format_trace(error):
    """Return the innermost frames of an exception, for a log line."""
    frames = traceback.extract_tb(error.__traceback__)[-_LOGGED_FRAMES:]
    return [f"{Path(f.filename).name}:{f.lineno} {f.name}" for f in frames]


class Tasks:
    """Background tasks of a service, which are cancelled together."""

    def __init__(self):
        self._tasks = set()

    def run(self, coroutine):
        """Run a coroutine in the background; an exception is logged."""
        task = start_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def repeat(self, interval_s, function):
        """Call a coroutine function repeatedly, ``interval_s`` apart."""
        return self.run(_repeat(interval_s, function))

    async def wait(self, limit_s):
        """Wait up to ``limit_s`` for the tasks to end by themselves."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=limit_s)

    async def stop(self):
        """Cancel the running tasks and wait until they have ended."""
        await end_tasks(self._tasks)


async def _repeat(interval_s, function):
    # An exception must not end the loop: without its heartbeats, a member
    # would be removed from the zone although its process is running.
    while True:
        try:
            await function()
        except Exception as error:
            log_error(
                "task:round_failed",
                function=function.__qualname__,
                error=repr(error),
                trace=format_trace(error),
            )
        await asyncio.sleep(interval_s)
