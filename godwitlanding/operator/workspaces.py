"""What workspaces may send, ask for and have sent, by VM.

Reads the gauges that VMs serve among their metrics, so that it needs neither
the platform nor the VMs' logs.
"""

import asyncio
import json
import re
import sys
from typing import NamedTuple

import aiohttp

from godwitlanding.base.httpclient import make_session
from godwitlanding.operator.table import format_table
from godwitlanding.operator.terminal import EXIT_FAILED, EXIT_OK

TIMEOUT_S = 3.0
MAX_CONNECTIONS = 20
_GAUGE_PATTERN = re.compile(r"^workspace_(\w+)\{([^}]*)\} (\S+)$", re.M)
_NAME_PATTERN = re.compile(r'\bof="((?:[^"\\]|\\.)*)"')


class WorkspaceRow(NamedTuple):
    """A workspace as one VM sees it; rates are requests a second."""

    workspace: str
    vm: str
    limit_per_s: float
    # Of the VM's region: its part of the limit, and what callers ask for.
    part_per_s: float
    asked_per_s: float
    # Requests that are left in the region, and that the VM has sent.
    level: float
    sent: float


def read_rows(vm, text):
    """Return a ``WorkspaceRow`` for each workspace in a VM's metrics."""
    fields_by_workspace = {}
    for field, labels, value in _GAUGE_PATTERN.findall(text):
        match = _NAME_PATTERN.search(labels)
        if match and field in WorkspaceRow._fields:
            fields = fields_by_workspace.setdefault(match.group(1), {})
            fields[field] = float(value)
    return [
        WorkspaceRow(workspace, vm, **fields)
        for workspace, fields in fields_by_workspace.items()
        if len(fields) == len(WorkspaceRow._fields) - 2
    ]


async def run_workspaces(arguments):
    """Show the workspaces that ask for most."""
    async with make_session(MAX_CONNECTIONS) as session:
        texts = await asyncio.gather(
            *(_fetch(session, vm) for vm in arguments.vms), return_exceptions=True
        )
    rows = []
    failed = False
    for vm, text in zip(arguments.vms, texts, strict=True):
        if isinstance(text, Exception):
            failed = True
            print(f"{vm}: {text!r}", file=sys.stderr)
            continue
        rows.extend(read_rows(vm, text))
    rows.sort(key=lambda row: (row.workspace, row.vm))
    if arguments.json:
        print(json.dumps([row._asdict() for row in rows]))
    else:
        print(format_table(WorkspaceRow._fields, rows))
    return EXIT_FAILED if failed else EXIT_OK


async def _fetch(session, vm):
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with session.get(f"http://{vm}/metrics", timeout=timeout) as answer:
        answer.raise_for_status()
        return await answer.text()
