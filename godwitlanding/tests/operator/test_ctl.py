"""Tests ``godwitctl`` commands against an in-memory platform."""

import json

import pytest

from godwitlanding.ctl import main
from godwitlanding.operator import terminal, writecommands
from godwitlanding.operator.daemonclient import DaemonStatus
from godwitlanding.tests.base.test_config import TEXT
from godwitlanding.tests.support import FakeStore


@pytest.fixture
def store(monkeypatch):
    store = FakeStore()
    monkeypatch.setattr(terminal, "HttpStore", lambda url, timeout_s: store)
    return store


@pytest.fixture
def text_file(tmp_path):
    path = tmp_path / "text.json5"
    path.write_text(TEXT)
    return path


def _apply(path, *options):
    return main(["apply", str(path), "--yes", *options])


def test_validate_lists_problems(tmp_path, capsys):
    path = tmp_path / "bad.json5"
    path.write_text(TEXT.replace("lookup", "look").replace("format: 1", "format: 5"))
    assert main(["validate", str(path), "--json"]) == terminal.EXIT_INVALID
    assert len(json.loads(capsys.readouterr().out)["problems"]) == 2


def test_missing_file_is_reported(capsys):
    assert main(["validate", "nowhere.json5"]) == terminal.EXIT_FAILED
    assert "nowhere.json5" in capsys.readouterr().err


def test_apply_get_and_history(store, text_file, capsys):
    assert _apply(text_file, "--note", "first") == terminal.EXIT_OK
    assert main(["get"]) == terminal.EXIT_OK
    assert capsys.readouterr().out.endswith(TEXT)
    assert main(["history", "--json"]) == terminal.EXIT_OK
    assert json.loads(capsys.readouterr().out)[0]["note"] == "first"


def test_apply_on_an_older_base_is_rejected_and_shows_the_difference(
    store, text_file, capsys
):
    """An operator applies a text whose base version was changed meanwhile.

    Applying it would revert that change. The command must reject the text and
    print the other change.
    """
    _apply(text_file)
    base = json.loads(_run(capsys, "get", "--json"))["version"]
    main(["drain", "upstream", "status-1", "--yes"])
    capsys.readouterr()
    code = _apply(text_file, "--base", str(base))
    assert code == terminal.EXIT_CONFLICT
    assert '+    {what: "upstream", name: "status-1"}' in capsys.readouterr().err


def test_nothing_is_written_without_confirmation(store, text_file, capsys):
    assert main(["apply", str(text_file)]) == terminal.EXIT_FAILED
    assert store.writes == 0


def test_drain_is_added_once_and_ended(store, text_file, capsys):
    _apply(text_file)
    assert main(["drain", "upstream", "status-1", "--yes"]) == terminal.EXIT_OK
    assert main(["drain", "upstream", "status-1", "--yes"]) == terminal.EXIT_FAILED
    assert "status-1" in _run(capsys, "get").split("drains")[1]
    assert main(["drain", "upstream", "status-1", "--end", "--yes"]) == 0
    assert "drains: [" in _run(capsys, "get")


def test_drain_of_an_unknown_upstream_is_rejected(store, text_file, capsys):
    _apply(text_file)
    code = main(["drain", "upstream", "status-9", "--yes"])
    assert code == terminal.EXIT_INVALID
    assert "an upstream of this text" in capsys.readouterr().err


def test_shift_is_created_paused_reversed_and_removed(store, text_file, capsys):
    _apply(text_file)
    options = "--service status --from n-b --to n-a --share 0.3 --cap-share 0.1"
    assert main(["shift", "other", *options.split(), "--yes"]) == terminal.EXIT_OK
    assert main(["shift", "go", "--pause", "--yes"]) == terminal.EXIT_OK
    assert "paused: true" in _run(capsys, "get")
    assert main(["shift", "go", "--back", "--yes"]) == terminal.EXIT_OK
    assert "share: 0," in _run(capsys, "get")
    assert main(["shift", "go", "--end", "--yes"]) == terminal.EXIT_OK
    assert '"go"' not in _run(capsys, "get")


def test_rollback_applies_an_earlier_text_as_a_new_version(store, text_file, capsys):
    _apply(text_file)
    first = json.loads(_run(capsys, "get", "--json"))
    main(["drain", "upstream", "status-1", "--yes"])
    assert main(["rollback", str(first["version"]), "--yes"]) == terminal.EXIT_OK
    last = json.loads(_run(capsys, "get", "--json"))
    assert last["text"] == first["text"]
    assert last["version"] > first["version"]


def test_unavailable_platform_has_its_own_exit_code(store, text_file, capsys):
    store.set_available(False)
    assert _apply(text_file, "--patience", "0") == terminal.EXIT_PLATFORM
    assert "[6001]" in capsys.readouterr().err


def test_write_with_a_lost_response_is_reported_as_unknown(store, text_file, capsys):
    """A write may have taken effect, and the platform stays unavailable.

    If the command reported a failure, the operator would apply the text again
    over a later change of another operator.
    """
    store.lost_answers = 1
    assert _apply(text_file, "--patience", "0") == terminal.EXIT_UNKNOWN


def test_status_shows_the_vms(store, text_file, capsys):
    store.set_vms(("a1", "127.0.99.1", "n-a"))
    _apply(text_file)
    status = json.loads(_run(capsys, "status", "--json"))
    assert status["vms"][0]["zone"] == "no answer"


@pytest.mark.parametrize(
    ("held_version", "code", "expected_text"),
    [
        (0, terminal.EXIT_TIMEOUT, "not yet in force"),
        (1, terminal.EXIT_OK, "in force everywhere"),
        (99, terminal.EXIT_TIMEOUT, "restored to an older state"),
    ],
)
def test_wait_reports_whether_the_change_is_in_force(
    store, text_file, capsys, monkeypatch, held_version, code, expected_text
):
    """A VM has an older version, or the platform was restored from a backup.

    If the command reported the change as in force while the daemons hold
    another text, the operator would look for the fault elsewhere.
    """
    status = {"versions": {"config/main": held_version}}

    async def read_fleet(vms, ports):
        return [DaemonStatus("a1", "n-a", "zone", "ready", status)]

    monkeypatch.setattr(writecommands, "read_fleet", read_fleet)
    assert _apply(text_file, "--wait", "--timeout", "0.01") == code
    assert expected_text in capsys.readouterr().err


@pytest.mark.parametrize(
    ("in_progress", "is_reachable", "code", "expected_text"),
    [
        (0, True, terminal.EXIT_OK, "in progress: 0"),
        (3, True, terminal.EXIT_TIMEOUT, "still has requests in progress"),
        (0, False, terminal.EXIT_TIMEOUT, "no response from a1 zone"),
    ],
)
def test_drain_is_over_only_when_every_daemon_reports_it(
    store,
    text_file,
    capsys,
    monkeypatch,
    in_progress,
    is_reachable,
    code,
    expected_text,
):
    """A daemon that counts requests of the drained upstream does not respond.

    If the command reported the drain as complete, the operator would stop an
    upstream that still executes requests.
    """
    arbitration = {
        "services": {"status": {"busy_by_upstream": {"status-1": in_progress}}}
    }
    status = {"services": {"arbitration": arbitration}, "versions": {"config/main": 99}}

    async def read_fleet(vms, ports):
        rows = [
            ("a1", status if is_reachable or not wait_calls else None),
            ("b1", status),
        ]
        return [DaemonStatus(vm, "n-a", "zone", "ready", s) for vm, s in rows]

    async def wait_until_in_force(*arguments):
        wait_calls.append(arguments)
        return terminal.EXIT_OK

    wait_calls = []
    _apply(text_file)
    monkeypatch.setattr(writecommands, "read_fleet", read_fleet)
    monkeypatch.setattr(writecommands, "_wait_until_in_force", wait_until_in_force)
    options = ("--yes", "--wait", "--timeout", "0.01")
    assert main(["drain", "upstream", "status-1", *options]) == code
    assert expected_text in capsys.readouterr().err


def _run(capsys, *arguments):
    capsys.readouterr()
    assert main(list(arguments)) == terminal.EXIT_OK
    return capsys.readouterr().out
