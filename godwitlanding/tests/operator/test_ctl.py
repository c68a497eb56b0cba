"""The operators' command line, against a platform in memory."""

import json

import pytest

from godwitlanding.ctl import main
from godwitlanding.operator import changes, terminal
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
    """An operator worked for an hour on a text that somebody else changed.

    Applying it would undo that change; the operator sees what it was.
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
    """The write may have taken effect, and the platform stays away.

    An operator told "failed" would apply again over somebody's later change.
    """
    store.lost_answers = 1
    assert _apply(text_file, "--patience", "0") == terminal.EXIT_UNKNOWN


def test_status_shows_the_vms(store, text_file, capsys):
    store.set_vms(("a1", "127.0.99.1", "n-a"))
    _apply(text_file)
    status = json.loads(_run(capsys, "status", "--json"))
    assert status["vms"][0]["zone"] == "no answer"


@pytest.mark.parametrize(
    ("held", "code", "words"),
    [
        (0, terminal.EXIT_TIMEOUT, "not yet in force"),
        (1, terminal.EXIT_OK, "in force everywhere"),
        (99, terminal.EXIT_TIMEOUT, "has gone back"),
    ],
)
def test_wait_reports_whether_the_change_is_in_force(
    store, text_file, capsys, monkeypatch, held, code, words
):
    """The platform was restored from a backup, or a VM lags behind.

    An operator who is told "in force" while the daemons keep another text
    would look for the fault elsewhere.
    """
    status = {"versions": {"config/main": held}}

    async def read_fleet(vms, ports):
        return [DaemonStatus("a1", "n-a", "zone", "ready", status)]

    monkeypatch.setattr(changes, "read_fleet", read_fleet)
    assert _apply(text_file, "--wait", "--timeout", "0.01") == code
    assert words in capsys.readouterr().err


@pytest.mark.parametrize(
    ("in_progress", "answers", "code", "words"),
    [
        (0, True, terminal.EXIT_OK, "in progress: 0"),
        (3, True, terminal.EXIT_TIMEOUT, "has not run empty"),
        (0, False, terminal.EXIT_TIMEOUT, "no answer from a1 zone"),
    ],
)
def test_drain_is_over_only_when_every_daemon_reports_it(
    store, text_file, capsys, monkeypatch, in_progress, answers, code, words
):
    """A daemon that counts the requests of a drained upstream is silent.

    An operator told "empty" would stop the upstream under its requests.
    """
    busy = {"services": {"status": {"busy_by_upstream": {"status-1": in_progress}}}}
    full = {"services": {"arbitration": busy}, "versions": {"config/main": 99}}

    async def read_fleet(vms, ports):
        rows = [("a1", full if answers or not drained else None), ("b1", full)]
        return [DaemonStatus(vm, "n-a", "zone", "ready", s) for vm, s in rows]

    async def watch_version(*arguments):
        drained.append(arguments)
        return terminal.EXIT_OK

    drained = []
    _apply(text_file)
    monkeypatch.setattr(changes, "read_fleet", read_fleet)
    monkeypatch.setattr(changes, "_wait", watch_version)
    options = ("--yes", "--wait", "--timeout", "0.01")
    assert main(["drain", "upstream", "status-1", *options]) == code
    assert words in capsys.readouterr().err


def _run(capsys, *arguments):
    capsys.readouterr()
    assert main(list(arguments)) == terminal.EXIT_OK
    return capsys.readouterr().out
