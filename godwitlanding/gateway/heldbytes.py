"""The byte budget of the VM, the uploads that wait for it, and its figures."""

import asyncio
import math
import random
from collections import deque

from eliot import log_message

from godwitlanding.decisions.bytebudget import ByteBudget, get_limit_bytes
from godwitlanding.decisions.retryafter import get_retry_after_s

# Bytes of requests that this VM may have outstanding at one upstream: the
# three slots of an upstream, filled with the largest uploads (360 KB), and one
# more in transit. Further ones would only wait there, in its memory.
MAX_UPSTREAM_BYTES = 4 * 360_000
# Room is likely to be found after this time: the mean upload of 60 KB takes
# 0.1 s over a link of 5 Mbit/s.
MIN_RETRY_S = 0.1
# Hundreds of requests are refused in a second at worst. Each of them has a
# line of carrier:done anyway.
MAX_LINES_PER_S = 10


class HeldBytes:
    """The bytes that this VM holds, if the settings state its memory.

    Without ``memory_mb``, ``budget`` is ``None`` and connections do not count.
    """

    def __init__(self, counters, memory_mb=None):
        self._counters = counters
        self._waiting = deque()
        self._wakeup = None
        self._bytes_by_upstream = {}
        self._lines = 0
        self._lines_since = 0.0
        self._budget = ByteBudget(math.inf)
        self._budget.on_eased = self._wake_up
        self._is_active = False
        self.set_memory(memory_mb)
        counters.observe("held_bytes", self._get_figures)

    @property
    def budget(self):
        """Return the budget of new connections, ``None`` if not bounded."""
        return self._budget if self._is_active else None

    def set_memory(self, memory_mb):
        """Set the limit; ``None`` means that nothing is bounded.

        Connections that are counted already stay counted.
        """
        self._is_active = memory_mb is not None
        limit_bytes = get_limit_bytes(memory_mb) if self._is_active else math.inf
        self._budget.limit_bytes = limit_bytes
        self._wake_up()

    def wait(self, intake):
        """Queue an upload; ``try_again()`` is called when bytes are freed."""
        self._counters.add("uploads_paused")
        self._waiting.append(intake)

    def stop_waiting(self, intake):
        """Remove an upload from the queue, if it is in it."""
        if intake in self._waiting:
            self._waiting.remove(intake)

    def has_room(self, upstream_id):
        """Return whether more bytes may be sent to an upstream."""
        return (
            not self._is_active
            or self._bytes_by_upstream.get(upstream_id, 0) < MAX_UPSTREAM_BYTES
        )

    def note_sent(self, upstream_id, count):
        """Record the bytes of a request that was sent to an upstream."""
        total = self._bytes_by_upstream.get(upstream_id, 0) + count
        self._bytes_by_upstream[upstream_id] = total

    def note_ended(self, upstream_id, count):
        """Record that a request that was sent has ended, in whatever way."""
        total = self._bytes_by_upstream[upstream_id] - count
        if total:
            self._bytes_by_upstream[upstream_id] = total
        else:
            del self._bytes_by_upstream[upstream_id]

    def get_retry_after_s(self, left_s):
        """Return the seconds after which a refused caller should return."""
        return get_retry_after_s(left_s, MIN_RETRY_S, random.random())

    def note_refused(self, request_id, need_bytes, waited_s, now):
        """Log a refusal, with a bounded number of lines each second."""
        if now - self._lines_since >= 1.0:
            self._lines_since = now
            self._lines = 0
        self._lines += 1
        if self._lines <= MAX_LINES_PER_S:
            log_message(
                "front:bytes_held",
                request=request_id,
                need_bytes=need_bytes,
                waited_s=round(waited_s, 3),
                waiting=len(self._waiting),
                **self._get_figures(),
            )

    def note_stalled(self, request_id, arrived_bytes, took_s):
        """Record an upload that was not complete at its deadline."""
        self._counters.add("uploads_stalled")
        log_message(
            "front:upload_stalled",
            request=request_id,
            arrived_bytes=arrived_bytes,
            took_s=round(took_s, 3),
        )

    def note_unread(self, held_bytes, unread_s):
        """Record a caller that was cut off because it does not read."""
        self._counters.add("callers_cut_off")
        log_message(
            "front:unread",
            held_bytes=held_bytes,
            unread_s=round(unread_s, 3),
            **self._get_figures(),
        )

    def _get_figures(self):
        if not self._is_active:
            return {}
        return {
            "held": self._budget.held_bytes,
            "reserved": self._budget.reserved_bytes,
            "limit": self._budget.limit_bytes,
        }

    def _wake_up(self):
        # Bytes are given back in the middle of other work, so the uploads that
        # wait are let in afterwards.
        if self._waiting and self._wakeup is None:
            self._wakeup = asyncio.get_running_loop().call_soon(self._admit_waiting)

    def _admit_waiting(self):
        self._wakeup = None
        while self._waiting and self._waiting[0].try_again():
            self._waiting.popleft()
