"""A whole system on loopback addresses, as separate processes.

Starts the stand-ins and every VM's three daemons, kills, pauses and stops
them by process id. Scripts and tests start these processes, never a daemon.

>>> cluster = Cluster(Path("samples/demo.json5").read_text())
>>> await cluster.start()
>>> await cluster.kill_vm("north-a-1")
>>> await cluster.stop()
"""

import asyncio
import json
import os
import re
import signal
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

import aiohttp

from godwitlanding.config import parse_config

ROLES = ("zone", "entry", "steer")
PORT_BY_ROLE = {"steer": 7001, "entry": 7002, "zone": 7003}
ROOT = Path(__file__).parents[3]
POLL_S = 0.1
START_LIMIT_S = 40.0
STOP_LIMIT_S = 90.0
PLATFORM_PORT = 8000
CONTROL_PORT = 8001


class Network(NamedTuple):
    """Loopback addresses of a cluster; ``upstreams`` replaces the text's."""

    vms: str = "127.0.1."
    control: str = "127.0.0.9"
    upstreams: str = "127.0.2."


def make_network(number):
    """Return a network of its own at 127.0.NUMBER.x and the one above."""
    if number == 1:
        return Network()
    control = f"127.0.{number}.250"
    return Network(f"127.0.{number}.", control, f"127.0.{number + 1}.")


class Vm(NamedTuple):
    """An entry VM of the cluster."""

    name: str
    address: str
    availability_zone: str


async def wait_until(check, limit_s, what):
    """Wait until ``await check()`` is true; ``TimeoutError`` says for what."""
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    while not await check():
        if loop.time() > end:
            raise TimeoutError(f"waited {limit_s} s in vain for {what}")
        await asyncio.sleep(POLL_S)


class Cluster:
    """The processes of one system and the switches of its stand-ins."""

    def __init__(
        self,
        text,
        network=Network(),
        vms_per_zone=2,
        settings=None,
        log_directory=None,
    ):
        self.text = re.sub(r"127\.0\.[23]\.", network.upstreams, text)
        self.config = parse_config(self.text).unwrap()
        self.platform_url = f"http://{network.control}:{PLATFORM_PORT}"
        self.vm_by_name = {}
        self.killed = set()
        self._control_url = f"http://{network.control}:{CONTROL_PORT}"
        self._network = network
        self._settings = settings or {}
        self._process_by_key = {}
        self._state_by_vm = {}
        self._directory = None
        self.directory = Path(log_directory or self._make_directory())
        self._session = None
        for zone in self.config.region_by_zone:
            for number in range(1, vms_per_zone + 1):
                self._add_vm(f"{zone}-{number}", zone)

    async def start(self):
        """Start everything, apply the text and wait until all is ready."""
        self._session = aiohttp.ClientSession()
        text_path = self.directory / "config.json5"
        text_path.write_text(self.text)
        await self._start_standins(text_path)
        await self.set_vms()
        await self.run_ctl("apply", str(text_path), "--yes")
        for vm in self.vm_by_name:
            await self.start_vm(vm)

        async def is_up():
            return self._has_failed() or await self.is_ready()

        try:
            await wait_until(is_up, START_LIMIT_S, "every daemon to be ready")
            if self._has_failed():
                raise TimeoutError("a process has ended by itself")
        except TimeoutError as error:
            raise TimeoutError(f"{error}{await self._describe_unready()}") from error

    async def stop(self):
        """End every process that this cluster started."""
        for process in self._process_by_key.values():
            if process.returncode is None:
                process.kill()
        for process in self._process_by_key.values():
            await process.wait()
        if self._session:
            await self._session.close()
        if self._directory:
            self._directory.cleanup()

    def add_vm(self, name, availability_zone):
        """Add a VM to the list; ``start_vm`` starts its daemons."""
        self._add_vm(name, availability_zone)

    async def start_vm(self, vm):
        """Start the three daemons of a VM."""
        for role in ROLES:
            path = self.directory / f"{vm}.json5"
            path.write_text(json.dumps(self._make_settings(vm)))
            await self._spawn((vm, role), f"godwitlanding.{role}", "--settings", path)
        self.killed.discard(vm)

    async def kill_vm(self, vm):
        """Kill the three daemons of a VM; its row leaves the list of VMs."""
        self.killed.add(vm)
        for role in ROLES:
            await self.kill(vm, role)
        del self._state_by_vm[vm]
        await self.set_vms()

    async def kill(self, vm, role):
        """Kill one daemon."""
        process = self._process_by_key[vm, role]
        if process.returncode is None:
            process.kill()
            await process.wait()

    def send_signal(self, vm, role, number):
        """Send a signal to one daemon, such as SIGSTOP and SIGCONT."""
        os.kill(self._process_by_key[vm, role].pid, number)

    async def stop_vm(self, vm):
        """Stop a VM as planned; return when its daemons have ended."""
        self._state_by_vm[vm] = "leaving"
        await self.set_vms()
        processes = [self._process_by_key[vm, role] for role in ROLES]
        for process in processes:
            process.send_signal(signal.SIGTERM)
        ended = asyncio.gather(*(process.wait() for process in processes))
        codes = await asyncio.wait_for(ended, STOP_LIMIT_S)
        del self._state_by_vm[vm]
        await self.set_vms()
        return codes

    async def is_ready(self):
        """Tell whether every daemon that runs says that it is ready."""
        running = [key for key in self._process_by_key if key[1] in PORT_BY_ROLE]
        checks = [self.is_role_ready(*key) for key in running]
        return all(await asyncio.gather(*checks))

    async def is_role_ready(self, vm, role):
        """Tell whether one daemon says that it is ready."""
        status, _ = await self._call("GET", self.get_url(vm, role) + "/-/health")
        return status == 200

    def is_killed(self, url):
        """Tell whether the VM at a URL was killed."""
        return any(self.get_url(vm, "entry") in url for vm in self.killed)

    def get_url(self, vm, role):
        """Return the base URL of a daemon."""
        return f"http://{self.vm_by_name[vm].address}:{PORT_BY_ROLE[role]}"

    async def get_status(self, vm, role):
        """Return a daemon's status, ``None`` where it does not answer."""
        return (await self._call("GET", self.get_url(vm, role) + "/-/status"))[1]

    async def set_vms(self):
        """Tell the stand-in platform which VMs there are."""
        rows = [
            {**self.vm_by_name[vm]._asdict(), "vm": vm, "state": state}
            for vm, state in self._state_by_vm.items()
        ]
        for row in rows:
            del row["name"]
        await self._call("PUT", f"{self.platform_url}/standin/vms", {"vms": rows})

    async def set_faults(self, **faults):
        """Turn switches of the stand-in platform."""
        url = f"{self.platform_url}/standin/faults"
        status, body = await self._call("PUT", url, faults)
        if status != 200:
            raise ValueError(body)

    async def call_platform(self, action):
        """Take a snapshot of the stand-in's state or restore it."""
        await self._call("POST", f"{self.platform_url}/standin/{action}")

    async def get_platform_stats(self):
        """Return how often the platform was called."""
        return (await self._call("GET", f"{self.platform_url}/standin/stats"))[1]

    async def change_upstream(self, upstream_id, **switches):
        """Turn switches of an upstream stand-in."""
        url = f"{self._control_url}/standin/upstreams/{upstream_id}"
        status, body = await self._call("PUT", url, switches)
        if status != 200 or not body["changed"]:
            raise ValueError(body)

    async def crash_upstream(self, upstream_id, down_s):
        """Crash an upstream stand-in; it is away for ``down_s``."""
        url = f"{self._control_url}/standin/upstreams/{upstream_id}/crash"
        await self._call("POST", f"{url}?down_s={down_s}")

    async def get_upstream_stats(self):
        """Return each upstream's counts by its id."""
        return (await self._call("GET", f"{self._control_url}/standin/stats"))[1]

    async def get_executions(self):
        """Return how often each piece of non-idempotent work ran, by id."""
        url = f"{self._control_url}/standin/executions"
        return (await self._call("GET", url))[1]["by_id"]

    async def run_ctl(self, *arguments, may_fail=False):
        """Run ``godwitctl``; return its exit code and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "godwitlanding.ctl",
            *arguments,
            "--platform",
            self.platform_url,
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        if process.returncode and not may_fail:
            raise RuntimeError(f"godwitctl {arguments}: {output.decode()}")
        return process.returncode, output.decode()

    def read_log(self, vm, role):
        """Return what a daemon has written."""
        return (self.directory / f"{vm}-{role}.log").read_text()

    async def _describe_unready(self):
        lines = []
        for vm, role in self._process_by_key:
            if role in PORT_BY_ROLE and not await self.is_role_ready(vm, role):
                last = self.read_log(vm, role).strip().splitlines()[-3:]
                lines += [f"{vm} {role}: {line}" for line in last or ["no log"]]
        return "\n".join(["", *lines[:20]])

    def _make_directory(self):
        self._directory = tempfile.TemporaryDirectory(prefix="godwit-")
        return self._directory.name

    def _add_vm(self, name, availability_zone):
        address = f"{self._network.vms}{len(self.vm_by_name) + 1}"
        self.vm_by_name[name] = Vm(name, address, availability_zone)
        self._state_by_vm[name] = "live"

    def _make_settings(self, vm):
        return {
            "vm": vm,
            "address": self.vm_by_name[vm].address,
            "availability_zone": self.vm_by_name[vm].availability_zone,
            "platform_url": self.platform_url,
            "trust_caller_header": True,
            **self._settings,
        }

    async def _start_standins(self, text_path):
        control = self._network.control
        tools = "godwitlanding.tests.tools"
        platform = ("--host", control, "--port", str(PLATFORM_PORT))
        await self._spawn(
            ("platform", "platform"), f"{tools}.standin_platform", *platform
        )
        upstreams = ("--config", text_path, "--control", f"{control}:{CONTROL_PORT}")
        await self._spawn(
            ("upstreams", "upstreams"), f"{tools}.standin_upstream", *upstreams
        )
        for url in (self.platform_url, self._control_url):

            async def is_up(url=url):
                self._check_standins()
                return (await self._call("GET", f"{url}/standin/stats"))[0] == 200

            await wait_until(is_up, START_LIMIT_S, f"the stand-in at {url}")

    def _has_failed(self):
        processes = self._process_by_key.values()
        return any(process.returncode is not None for process in processes)

    def _check_standins(self):
        # Another cluster at the same addresses would answer in their place
        # and the two runs would change each other's objects.
        for vm, role in (("platform", "platform"), ("upstreams", "upstreams")):
            if self._process_by_key[vm, role].returncode is not None:
                last = self.read_log(vm, role).strip().splitlines()[-1:]
                raise RuntimeError(f"the stand-in of {vm} has ended: {last}")

    async def _spawn(self, key, module, *arguments):
        log = (self.directory / f"{key[0]}-{key[1]}.log").open("ab")
        with log:
            self._process_by_key[key] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *map(str, arguments),
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    async def _call(self, method, url, body=None):
        timeout = aiohttp.ClientTimeout(total=5.0)
        try:
            async with self._session.request(
                method, url, json=body, timeout=timeout
            ) as answer:
                return answer.status, await answer.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, None
