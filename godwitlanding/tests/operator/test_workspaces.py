"""Tests the workspaces command and the gauges that it reads."""

import json
from types import SimpleNamespace

import pytest

from godwitlanding.base.metrics import Counters
from godwitlanding.ctl import parse_arguments
from godwitlanding.decisions.allotment import Allotments, Tolerance
from godwitlanding.decisions.routes import Workspace
from godwitlanding.gateway.pages import Page, PageServer
from godwitlanding.gateway.workspacegauges import MAX_SHOWN, OTHERS, WorkspaceGauges
from godwitlanding.operator.workspaces import WorkspaceRow, read_rows
from godwitlanding.tests.tools.network import claim_address_prefix

TEXT = """# HELP workspace_sent
workspace_limit_per_s{of="office",otel_scope_name="godwitlanding"} 30.0
workspace_part_per_s{of="office",otel_scope_name="godwitlanding"} 12.5
workspace_asked_per_s{of="office",otel_scope_name="godwitlanding"} 40.0
workspace_level{of="office",otel_scope_name="godwitlanding"} -0.5
workspace_sent{of="office",otel_scope_name="godwitlanding"} 120.0
workspace_sent{of="half",otel_scope_name="godwitlanding"} 1.0
retries_total{reason="FAILED"} 3.0
"""
ROW = WorkspaceRow("office", "vm-1", 30.0, 12.5, 40.0, -0.5, 120.0)


def test_rows_are_read_from_metrics():
    assert read_rows("vm-1", TEXT) == [ROW]


@pytest.mark.parametrize("workspaces", [0, 1, MAX_SHOWN, MAX_SHOWN + 3])
def test_busiest_workspaces_are_shown_by_name(workspaces):
    allotments = Allotments("a", ("a",), Tolerance(), 0.0)
    rows = [Workspace(f"w{number}", 100.0, 100.0) for number in range(workspaces)]
    allotments.set_workspaces(rows, 0.0)
    for number, row in enumerate(rows):
        for _ in range(number + 1):
            allotments.take(row, 5.0)
    allotments.update(1.0, 6.0)
    gauges = WorkspaceGauges(allotments, Counters())
    shown = gauges.read("sent")
    assert len(shown) == min(workspaces, MAX_SHOWN + 1)
    assert sum(shown.values()) == sum(range(1, workspaces + 1))
    assert (OTHERS in shown) is (workspaces > MAX_SHOWN)
    if workspaces:
        assert shown[f"w{workspaces - 1}"] == workspaces


@pytest.mark.parametrize(("is_served", "code"), [(True, 0), (False, 1)])
async def test_command_shows_the_gauges_of_vms(is_served, code, capsys):
    address = (f"{claim_address_prefix()}9", 9464)
    pages = {"/metrics": lambda query: Page(200, "text/plain", TEXT.encode())}
    server = PageServer("metrics", address, pages if is_served else {})
    await server.start(SimpleNamespace())
    vm = f"{address[0]}:{address[1]}"
    arguments = parse_arguments(["workspaces", "--json", vm])
    assert await arguments.run(arguments) == code
    rows = json.loads(capsys.readouterr().out)
    assert rows == ([ROW._replace(vm=vm)._asdict()] if is_served else [])
    await server.stop()
