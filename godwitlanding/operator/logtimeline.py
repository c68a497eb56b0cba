"""The story of one request, out of the log files of several VMs.

Joins every line that names the request, and what those VMs knew or learnt
around it: of the upstreams that had it, and of the store and the peers.

>>> story = read_story(["vm-1.log", "vm-2.log"], "9c41d07be2a35f68")
>>> [row.what for row in story]
['courier:ejected', 'carrier:attempt', 'carrier:done']
"""

import json
from pathlib import Path
from typing import NamedTuple

# What happened to an upstream this long before or after explains the
# attempts on it: an ejected one is tried again within 3 s.
CONTEXT_S = 3.0
# Lines that tell what a VM knew of the store and its peers.
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
    """A line of the story; ``at`` is seconds of the writer's wall clock."""

    at: float
    vm: str
    what: str
    fields: dict


def read_timeline(paths, request_id):
    """Return the story's rows in the order of time, empty if none names it.

    Raises ``OSError`` where a file cannot be read. Lines that are no log
    lines are passed over: a log may begin or end within one.
    """
    lines = [line for path in paths for line in _read_lines(path)]
    own = [line for line in lines if line.get("request") == request_id]
    if not own:
        return []
    upstreams = {
        line[key] for line in own for key in ("upstream", "best") if key in line
    }
    vms = {line.get("vm") for line in own}
    context_start = min(line["timestamp"] for line in own) - CONTEXT_S
    context_end = max(line["timestamp"] for line in own) + CONTEXT_S
    around = [
        line
        for line in lines
        if context_start <= line["timestamp"] <= context_end
        and _is_context(line, upstreams, vms)
    ]
    return sorted(map(_make_row, own + around), key=lambda row: row.at)


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
    what = line.get("message_type", "")
    if "request" in line:
        return False
    if line.get("upstream") in upstreams:
        return True
    return line.get("vm") in vms and what.startswith(_VM_MESSAGE_PREFIXES)


def _make_row(line):
    fields = {key: value for key, value in line.items() if key not in _OMITTED_FIELDS}
    return TimelineRow(
        line["timestamp"], line.get("vm", ""), line.get("message_type", ""), fields
    )
