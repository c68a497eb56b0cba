"""The processes that a script has started, each known by a key."""

import asyncio
import os
import sys
from pathlib import Path

# The scripts run from the sources, whichever of them are installed.
ROOT = Path(__file__).parents[3]


class Processes:
    """Starts, kills, pauses and ends processes by their id."""

    def __init__(self, directory):
        self._directory = directory
        self._process_by_key = {}

    def get_keys(self):
        """Return the keys of all processes, those that have ended too."""
        return list(self._process_by_key)

    def get_pid(self, key):
        """Return the process id of a key."""
        return self._process_by_key[key].pid

    async def spawn(self, key, module, *arguments):
        """Run a module; what it writes goes to a log named by its key."""
        with self._get_log_path(key).open("ab") as log:
            self._process_by_key[key] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *map(str, arguments),
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    async def kill(self, key):
        """Kill a process and wait until it is gone."""
        process = self._process_by_key[key]
        if process.returncode is None:
            process.kill()
            await process.wait()

    def send_signal(self, key, number):
        """Send a signal, such as SIGSTOP and SIGCONT."""
        os.kill(self._process_by_key[key].pid, number)

    async def wait(self, key):
        """Return the exit code of a process once it has ended."""
        return await self._process_by_key[key].wait()

    def has_ended(self, key):
        """Tell whether a process has ended."""
        return self._process_by_key[key].returncode is not None

    def read_log(self, key):
        """Return what a process has written."""
        return self._get_log_path(key).read_text()

    async def stop(self):
        """Kill every process that was started here."""
        for process in self._process_by_key.values():
            if process.returncode is None:
                process.kill()
        for process in self._process_by_key.values():
            await process.wait()

    def _get_log_path(self, key):
        return self._directory / f"{'-'.join(key)}.log"


async def run_command(module, *arguments):
    """Run a module to its end; return its exit code and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *map(str, arguments),
        cwd=ROOT,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()
