"""Background tasks and periodic loops of services."""

import asyncio
import inspect
import math
import traceback
from contextlib import contextmanager
from pathlib import Path

from godwitlanding.base.log import log_error

# Time for a cancelled task to clean up before it is cancelled again.
_CANCEL_RETRY_S = 0.2
_LOGGED_FRAMES = 6
# A loop that fails many times a second must not fill the log.
LOG_INTERVAL_S = 1.0
# Delay before a task that ended by an error is run again.
RESTART_AFTER_S = 1.0


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


def log_failed_round(function, error, failures=1):
    """Log the error of a function; ``failures`` of its calls in a row."""
    log_error(
        "task:round_failed",
        function=function,
        failures=failures,
        error=repr(error),
        trace=format_trace(error),
    )


class Tasks:
    """Background tasks and loops of a service, which are cancelled together.

    An error does not end a loop: without its heartbeats, a VM would be lost
    to its peers although its process is running. ``loophealth`` acts on loops
    that fail again and again.
    """

    def __init__(self):
        self._tasks = set()
        self._loops = []

    def run(self, coroutine):
        """Run a coroutine in the background; an exception is logged."""
        task = start_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def repeat(self, interval_s, function, first_after_s=0.0):
        """Call a function or coroutine function, ``interval_s`` apart.

        The function may return the seconds until its next call instead.
        """
        return self.run(self._repeat(interval_s, function, first_after_s))

    def keep_running(self, function, *arguments):
        """Run a coroutine function; run it again if it ends by an error."""
        return self.run(self._keep_running(function, arguments))

    def get_loops(self):
        """Return the ``Loop`` of each function that is repeated."""
        return tuple(self._loops)

    async def wait(self, limit_s):
        """Wait up to ``limit_s`` for the tasks to end by themselves."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=limit_s)

    async def stop(self):
        """Cancel the running tasks and wait until they have ended."""
        await end_tasks(self._tasks)

    async def _repeat(self, interval_s, function, first_after_s):
        await asyncio.sleep(first_after_s)
        with self._add_loop(function) as loop:
            while True:
                next_s = await loop.run_round(function)
                await asyncio.sleep(interval_s if next_s is None else next_s)

    async def _keep_running(self, function, arguments):
        with self._add_loop(function) as loop:
            while True:
                await loop.run_round(function, *arguments)
                if not loop.failures:
                    return
                await asyncio.sleep(RESTART_AFTER_S)

    @contextmanager
    def _add_loop(self, function):
        loop = Loop(function.__qualname__)
        self._loops.append(loop)
        try:
            yield loop
        finally:
            self._loops.remove(loop)


class Loop:
    """The failures of a function that is called again and again."""

    def __init__(self, name):
        self.name = name
        # Failed rounds since the last one that succeeded, and in all.
        self.failures = 0
        self.total_failures = 0
        self.failing_since = None
        self._logged_at = -math.inf

    async def run_round(self, function, *arguments):
        """Call the function and return its result; log an exception."""
        try:
            result = function(*arguments)
            if inspect.isawaitable(result):
                result = await result
        except Exception as error:
            self._note_failure(error)
            return None
        self.failures = 0
        self.failing_since = None
        return result

    def get_failing_s(self, now):
        """Return for how long every round has failed, 0 if none has."""
        return 0.0 if self.failing_since is None else now - self.failing_since

    def _note_failure(self, error):
        now = asyncio.get_running_loop().time()
        self.failures += 1
        self.total_failures += 1
        if self.failing_since is None:
            self.failing_since = now
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        log_failed_round(self.name, error, self.failures)
