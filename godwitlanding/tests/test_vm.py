"""The command of an entry VM before its services have started."""

import signal
import subprocess
import sys

import pytest

from godwitlanding import vm


@pytest.fixture
def former_handler():
    held = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, held)


def test_sighup_during_startup_is_ignored(former_handler, tmp_path, capsys):
    # The settings file changes while a VM is starting, and the platform says
    # so by SIGHUP. By default that ends a process; the VM would be missing
    # until somebody starts it again.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    assert vm.main(["--settings", str(tmp_path / "none")]) == vm.EXIT_BAD_SETTINGS
    assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    assert "No such file" in capsys.readouterr().err


def test_slow_imports_are_deferred():
    code = "import sys, godwitlanding.vm; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    for library in ("aiohttp", "capnp", "opentelemetry", "asyncio"):
        assert library not in loaded
