"""Sends news to peers at once, unless there is too much of it."""

import asyncio
from collections import deque

# Many upstreams may crash at the same time; then news is sent together.
MAX_PER_S = 5


class UrgentSender:
    """Calls ``send(to_region)`` when asked, ``MAX_PER_S`` times a second.

    ``to_region`` is whether any of the requests since the last call was for
    the VMs of the own region.
    """

    def __init__(self, tasks, send):
        self._tasks = tasks
        self._send = send
        self._sent_at = deque(maxlen=MAX_PER_S)
        self._is_due = False
        self._to_region = False

    def request(self, to_region):
        """Send now, or as soon as the limit allows."""
        self._to_region |= to_region
        if self._is_due:
            return
        wait_s = 0.0
        if len(self._sent_at) == MAX_PER_S:
            wait_s = self._sent_at[0] + 1.0 - asyncio.get_running_loop().time()
        if wait_s > 0:
            self._is_due = True
            self._tasks.run(self._send_after(wait_s))
        else:
            self._send_now()

    async def _send_after(self, wait_s):
        await asyncio.sleep(wait_s)
        self._send_now()

    def _send_now(self):
        self._sent_at.append(asyncio.get_running_loop().time())
        self._is_due = False
        to_region, self._to_region = self._to_region, False
        self._send(to_region)
