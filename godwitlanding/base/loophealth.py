"""Takes a VM out of use whose loops fail again and again.

A loop that fails once goes on with its next round. One that always fails
leaves the VM with a belief that no longer changes: peers that are gone, a
configuration that is over. Such a VM is not ready, so that callers are
directed to others, and in the end it stops gracefully with a non-zero exit
code, so that the platform starts it again.
"""

import asyncio
import random

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import Tasks

CHECK_INTERVAL_S = 0.5
# More failures in a row than one bad message causes, and no fewer seconds than
# peers take to notice that a VM is silent.
MIN_FAILURES = 3
UNREADY_AFTER_S = 2.0
# A fault that all VMs have in common must not stop them at the same time.
STOP_AFTER_S = (10.0, 20.0)


class LoopHealth(Service):
    """Watches the loops in the ``tasks`` of ``services``."""

    name = "loophealth"

    def __init__(self, services, counters):
        self._services = services
        self._counters = counters
        self._request_stop = None
        self._stop_after_s = random.uniform(*STOP_AFTER_S)
        self._counted_by_loop = {}
        self._failing = {}
        self.tasks = Tasks()

    async def start(self, kernel):
        """Begin to watch."""
        self._request_stop = kernel.stop_as_failed
        self.tasks.repeat(CHECK_INTERVAL_S, self._check)

    async def stop(self):
        """Stop watching."""
        await self.tasks.stop()

    def is_healthy(self):
        """Return whether no loop fails again and again."""
        return not self._failing

    def get_status(self):
        """Return the loops that fail, each with the seconds since when."""
        return {"failing": {n: round(s, 1) for n, s in self._failing.items()}}

    def _check(self):
        now = asyncio.get_running_loop().time()
        failing = {}
        for service in self._services:
            for loop in service.tasks.get_loops():
                self._count(loop)
                failing_s = loop.get_failing_s(now)
                if loop.failures >= MIN_FAILURES and failing_s >= UNREADY_AFTER_S:
                    failing[loop.name] = failing_s
        if failing.keys() != self._failing.keys():
            level = "error" if failing else "info"
            log_message("loops:failing", level=level, functions=sorted(failing))
        self._failing = failing
        if max(failing.values(), default=0.0) >= self._stop_after_s:
            log_message("loops:stopping", level="error", functions=sorted(failing))
            self._request_stop()

    def _count(self, loop):
        counted = self._counted_by_loop.get(loop, 0)
        if loop.total_failures > counted:
            self._counters.add(
                "loop_failures", loop.total_failures - counted, loop=loop.name
            )
            self._counted_by_loop[loop] = loop.total_failures
