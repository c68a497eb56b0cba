"""Writes log messages to standard output without blocking the event loop.

Under overload every refused request is logged, and the reader of the log
may be slow or stuck. A write to a full pipe would block the only thread and
with it all callers. Lines are therefore buffered in memory up to
``MAX_PENDING_BYTES`` and written without blocking. At most
``MAX_LINES_PER_S`` lines are accepted each second; the last fifth of them is
reserved for warnings and errors. Dropped lines are counted, and a
``log:dropped`` line reports their number when there is room again.
"""

import os
import sys

import orjson
from eliot import add_destinations

# Twice the rate of a busy VM.
MAX_LINES_PER_S = 500
RESERVED_FOR_WARNINGS = 100
MAX_PENDING_BYTES = 256 * 1024
# The reader of the log truncates longer lines.
MAX_LINE_BYTES = 4096


class LogStream:
    """A non-blocking eliot destination with a bounded buffer."""

    def __init__(self, vm, role, now, descriptor=None, counters=None):
        self._vm = vm
        self._role = role
        self._now = now
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._counters = counters
        self._pending = bytearray()
        self._current_second = 0
        self._lines_this_second = 0
        self._dropped = 0
        os.set_blocking(self._descriptor, False)

    def write_message(self, message):
        """Write a message, buffer it, or drop it if there is no room."""
        level = message.get("level", "info")
        if not self._has_room(level):
            self._dropped += 1
            if self._counters:
                self._counters.add("log_lines_dropped", level=level)
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._add({"message_type": "log:dropped", "lines": dropped})
        self._add(message)
        self.flush()

    def flush(self):
        """Write as much as the pipe accepts; return whether all is written."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed the pipe, and there is no other log.
                self._pending.clear()
                return True
            del self._pending[:written]
        return True

    def _has_room(self, level):
        second = int(self._now())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        limit = MAX_LINES_PER_S
        if level in ("info", "debug"):
            limit -= RESERVED_FOR_WARNINGS
        if self._lines_this_second >= limit or len(self._pending) > MAX_PENDING_BYTES:
            return False
        self._lines_this_second += 1
        return True

    def _add(self, message):
        line = {"vm": self._vm, "role": self._role, **message}
        line.pop("task_uuid", None)
        line.pop("task_level", None)
        self._pending += orjson.dumps(line, default=str)[:MAX_LINE_BYTES]
        self._pending += b"\n"


def set_up_log_stream(vm, role, now, counters=None):
    """Write all log messages to standard output; return the stream."""
    stream = LogStream(vm, role, now, counters=counters)
    add_destinations(stream.write_message)
    return stream
