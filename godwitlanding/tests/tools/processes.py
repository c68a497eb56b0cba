"""Starts and controls child processes of a script."""

import asyncio
import os
import sys
from pathlib import Path

# Modules run from this source tree, whether or not it is installed.
ROOT = Path(__file__).parents[3]


class Processes:
    """Starts, signals and kills child processes, each identified by a key.

    A key is a tuple of strings, which also names the log file.
    """

    def __init__(self, directory):
        self._directory = directory
        self._process_by_key = {}

    def get_keys(self):
        """Return the keys of all processes, including those that ended."""
        return list(self._process_by_key)

    def get_pid(self, key):
        """Return the process id of a key."""
        return self._process_by_key[key].pid

    async def spawn(self, key, module, *arguments):
        """Start a module; its output goes to a log file named by its key."""
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
        """Kill a process and wait until it has ended."""
        process = self._process_by_key[key]
        if process.returncode is None:
            process.kill()
            await process.wait()

    def send_signal(self, key, number):
        """Send a signal, such as SIGSTOP or SIGCONT."""
        os.kill(self._process_by_key[key].pid, number)

    async def wait(self, key):
        """Wait for a process to end and return its exit code."""
        return await self._process_by_key[key].wait()

    def has_ended(self, key):
        """Tell whether a process has ended."""
        return self._process_by_key[key].returncode is not None

    def read_log(self, key):
        """Return the output of a process."""
        return self._get_log_path(key).read_text()

    async def stop(self):
        """Kill all processes that are still running."""
        for process in self._process_by_key.values():
            if process.returncode is None:
                process.kill()
        for process in self._process_by_key.values():
            await process.wait()

    def _get_log_path(self, key):
        return self._directory / f"{'-'.join(key)}.log"


async def run_command(module, *arguments):
    """Run a module until it ends; return its exit code and output."""
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
