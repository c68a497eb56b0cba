"""Tests the timeline of a request from the logs of several VMs."""

import json

import pytest

from godwitlanding.ctl import main
from godwitlanding.operator.logtimeline import read_timeline
from godwitlanding.operator.terminal import EXIT_FAILED, EXIT_OK

LINES_BY_VM = {
    "vm-1": (
        {"timestamp": 90.0, "message_type": "mirror:lost", "kind": "config"},
        {"timestamp": 99.0, "message_type": "courier:ejected", "upstream": "u1"},
        {"timestamp": 99.5, "message_type": "courier:ejected", "upstream": "u9"},
        {
            "timestamp": 100.2,
            "message_type": "carrier:attempt",
            "request": "r1",
            "upstream": "u1",
            "outcome": "unknown",
        },
        {
            "timestamp": 100.3,
            "message_type": "carrier:done",
            "request": "r1",
            "outcome": "UPSTREAM_FAILED",
        },
        {"timestamp": 100.4, "message_type": "carrier:done", "request": "r2"},
        {"timestamp": 101.0, "message_type": "kernel:stopping"},
    ),
    "vm-2": (
        {
            "timestamp": 100.1,
            "message_type": "registry:upstream_gone",
            "upstream": "u1",
        },
        {"timestamp": 100.2, "message_type": "peers:silent", "peer": "vm-1"},
        {"timestamp": 100.9, "message_type": "carrier:done", "request": "r1"},
        {"timestamp": 200.0, "message_type": "courier:ejected", "upstream": "u1"},
    ),
}


@pytest.fixture
def logs(tmp_path):
    paths = []
    for vm, lines in LINES_BY_VM.items():
        path = tmp_path / f"{vm}.log"
        rows = [json.dumps({"vm": vm, "role": "vm", **line}) for line in lines]
        path.write_text("\n".join(["cut off here}", *rows, '{"vm": "half']))
        paths.append(str(path))
    return paths


def test_timeline_joins_lines_of_the_request_its_upstreams_and_its_vms(logs):
    # A payment failed; the operator has the logs of all VMs and its id.
    timeline = read_timeline(logs, "r1")
    assert [(row.at, row.vm, row.what) for row in timeline] == [
        (99.0, "vm-1", "courier:ejected"),
        (100.1, "vm-2", "registry:upstream_gone"),
        (100.2, "vm-1", "carrier:attempt"),
        (100.2, "vm-2", "peers:silent"),
        (100.3, "vm-1", "carrier:done"),
        (100.9, "vm-2", "carrier:done"),
        (101.0, "vm-1", "kernel:stopping"),
    ]
    assert timeline[2].fields == {"upstream": "u1", "outcome": "unknown"}


def test_unknown_request_has_an_empty_timeline(logs):
    assert read_timeline(logs, "r9") == []


@pytest.mark.parametrize("as_json", [False, True])
def test_command_prints_the_timeline(logs, capsys, as_json):
    arguments = ["explain", "r1", "--logs", *logs] + ["--json"] * as_json
    assert main(arguments) == EXIT_OK
    output = capsys.readouterr().out
    assert "UPSTREAM_FAILED" in output
    if as_json:
        assert len(json.loads(output)) == 7
    else:
        assert "+1.300" in output


@pytest.mark.parametrize(
    ("request_id", "missing", "expected_text"),
    [("r9", "", "not found in the logs"), ("r1", "none.log", "none.log")],
)
def test_command_reports_its_error(logs, capsys, request_id, missing, expected_text):
    files = [*logs, missing] if missing else logs
    assert main(["explain", request_id, "--logs", *files]) == EXIT_FAILED
    assert expected_text in capsys.readouterr().err
