"""Reconstructs the timeline of a request from the log files of several VMs.

Joins all log lines of the request with the lines around it that explain its
result: of the upstreams to which it was sent, and of the store connection and
the peers of the VMs that handled it.

>>> timeline = read_timeline(["vm-1.log", "vm-2.log"], "9c41d07be2a35f68")
>>> [row.what for row in timeline]
['courier:ejected', 'carrier:attempt', 'carrier:done']
"""

import json
from pathlib import Path
from typing import NamedTuple

# Lines this long before or after the request are included: events of an
# upstream explain the attempts at it, and an ejected upstream is tried again
# within 3 s.
CONTEXT_S = 3.0
# Message types on the state of a VM, its store connection and its peers.
_VM_MESSAGE_PREFIXES = (
    "mirror:",
    "feed:",
    "reader:",
    "peers:",
    "kernel:",
    "front:",
    "vm:",
)
_OMITTED_FIELDS = frozenset(
    ("vm", "role", "timestamp", "message_type", "request", "level")
)


class TimelineRow(NamedTuple):
    """A log line of the timeline; ``at`` is seconds of the VM's wall clock."""

    at: float
    vm: str
    what: str
    fields: dict


def read_timeline(paths, request_id):
    """Return the rows of a request ordered by time, empty if it is not found.

    Raises ``OSError`` if a file cannot be read. Text that is not a log line
    is skipped, since a log file may begin or end within a line.
    """
    lines = [line for path in paths for line in _read_lines(path)]
    request_lines = [line for line in lines if line.get("request") == request_id]
    if not request_lines:
        return []
    upstreams = {
        line[key]
        for line in request_lines
        for key in ("upstream", "best")
        if key in line
    }
    vms = {line.get("vm") for line in request_lines}
    context_start = min(line["timestamp"] for line in request_lines) - CONTEXT_S
    context_end = max(line["timestamp"] for line in request_lines) + CONTEXT_S
    context_lines = [
        line
        for line in lines
        if context_start <= line["timestamp"] <= context_end
        and _is_context(line, upstreams, vms)
    ]
    return sorted(map(_make_row, request_lines + context_lines), key=lambda row: row.at)


def _read_lines(path):
    with Path(path).open(encoding="utf-8", errors="replace") as file:
        for text in file:
            try:
                line = json.loads(text)
            except ValueError:
                continue
            if isinstance(line, dict) and "timestamp" in line:
                yield line


def _is_context(line, upstreams, vms):
    message_type = line.get("message_type", "")
    if "request" in line:
        return False
    if line.get("upstream") in upstreams:
        return True
    return line.get("vm") in vms and message_type.startswith(_VM_MESSAGE_PREFIXES)


def _make_row(line):
    fields = {key: value for key, value in line.items() if key not in _OMITTED_FIELDS}
    return TimelineRow(
        line["timestamp"], line.get("vm", ""), line.get("message_type", ""), fields
    )
