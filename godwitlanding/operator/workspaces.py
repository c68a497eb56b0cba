"""Shows limits, demand and sent requests of workspaces on each VM.

Reads the workspace gauges from the VMs' metrics endpoints, so it needs
neither the platform nor the VMs' logs.
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
    """Gauges of a workspace on one VM; rates are in requests per second."""

    workspace: str
    vm: str
    limit_per_s: float
    # The region's part of the limit, and the rate that its callers request.
    part_per_s: float
    asked_per_s: float
    # Requests remaining in the region, and requests sent by the VM.
    level: float
    sent: float


def read_rows(vm, text):
    """Return a ``WorkspaceRow`` for each workspace with all its gauges."""
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
    """Print the workspaces of the VMs; the exit code is 1 if a VM fails."""
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
    async with session.get(f"http://{vm}/metrics", timeout=timeout) as response:
        response.raise_for_status()
        return await response.text()
