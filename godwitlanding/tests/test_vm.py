"""Tests of the ``godwit-vm`` command before its services are started."""

import signal
import subprocess
import sys

import pytest

from godwitlanding import vm

SIGNALS = (signal.SIGHUP, signal.SIGTERM)


@pytest.fixture
def former_handler():
    former = {number: signal.getsignal(number) for number in SIGNALS}
    yield
    for number, handler in former.items():
        signal.signal(number, handler)


def test_sighup_during_startup_is_ignored(former_handler, tmp_path, capsys):
    # Guards against a VM that is ended by SIGHUP, whose default action is to
    # end the process. The platform sends it when the settings file changes,
    # which may happen during startup; the VM would then be missing until it is
    # started again.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    assert vm.main(["--settings", str(tmp_path / "none")]) == vm.EXIT_BAD_SETTINGS
    assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    assert "No such file" in capsys.readouterr().err


def test_sigterm_during_startup_is_a_complete_stop():
    # Guards against a planned stop that ends as a kill: the VM was still
    # importing its libraries when it was stopped.
    code = """
import os, signal
from godwitlanding import vm
from godwitlanding.platform import settings
settings.read_settings = lambda path: os.kill(os.getpid(), signal.SIGTERM)
vm.main(["--settings", "none"])
"""
    stopped = subprocess.run([sys.executable, "-c", code], capture_output=True)
    assert (stopped.returncode, stopped.stderr) == (vm.EXIT_OK, b"")


def test_no_library_is_imported_before_sighup_is_ignored():
    # Guards against a VM that is ended by SIGHUP while it imports libraries,
    # which takes long when many VMs start at the same time.
    code = "import sys, godwitlanding.vm; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    own = {name for name in loaded if name.startswith("godwitlanding")}
    assert own == {"godwitlanding", "godwitlanding.vm"}
    for library in ("argparse", "eliot", "tomllib", "traceback"):
        assert library not in loaded


def test_slow_imports_are_deferred():
    code = "import sys, godwitlanding.vm; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    for library in ("aiohttp", "capnp", "opentelemetry", "asyncio"):
        assert library not in loaded
