"""Runs a whole system as separate processes on loopback addresses.

Starts, pauses, kills and stops the stand-ins and the three daemons of every
VM. Only scripts and tests start these processes, never a daemon.

>>> cluster = Cluster(Path("samples/demo.json5").read_text())
>>> await cluster.start()
>>> await cluster.kill_vm("north-a-1")
>>> await cluster.stop()
"""

import asyncio
import json
import signal
import tempfile
from pathlib import Path
from typing import NamedTuple

from godwitlanding.base.config import parse_config
from godwitlanding.tests.standins.standinclient import (
    CONTROL_PORT,
    PLATFORM_PORT,
    StandinClient,
)
from godwitlanding.tests.tools.network import DEMO_NETWORK
from godwitlanding.tests.tools.processes import Processes, run_command

ROLES = ("zone", "entry", "steer")
PORT_BY_ROLE = {"steer": 7001, "entry": 7002, "zone": 7003}
POLL_INTERVAL_S = 0.1
START_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 90.0
PLATFORM_KEY = ("standin", "platform")
UPSTREAMS_KEY = ("standin", "upstream")
_STANDINS_PACKAGE = "godwitlanding.tests.standins"


class Vm(NamedTuple):
    """A VM of the cluster; ``state`` is as in the platform's list of VMs."""

    vm: str
    address: str
    availability_zone: str
    state: str = "live"


async def wait_until(condition, timeout_s, description):
    """Wait until ``await condition()`` is true.

    Raises ``TimeoutError`` with the description after ``timeout_s``.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while not await condition():
        if loop.time() > deadline:
            raise TimeoutError(
                f"timed out after {timeout_s} s waiting for {description}"
            )
        await asyncio.sleep(POLL_INTERVAL_S)


class Cluster:
    """Controls the processes of one system."""

    def __init__(
        self,
        text,
        network=DEMO_NETWORK,
        vms_per_zone=2,
        settings=None,
        log_directory=None,
    ):
        self.text = network.move_upstreams(text)
        self.config = parse_config(self.text).unwrap()
        self.standins = StandinClient(network.control)
        self.vm_by_name = {}
        self.killed = set()
        self._network = network
        self._settings = settings or {}
        self._listed_by_vm = {}
        self._temporary = None if log_directory else tempfile.TemporaryDirectory()
        self.directory = Path(log_directory or self._temporary.name)
        self._processes = Processes(self.directory)
        self.platform_host_by_zone = {
            zone: network.get_platform_host(number)
            for number, zone in enumerate(self.config.region_by_zone)
        }
        for zone in self.config.region_by_zone:
            for number in range(1, vms_per_zone + 1):
                self.add_vm(f"{zone}-{number}", zone)

    def stop_on_sigterm(self):
        """Let SIGTERM cancel the calling task, so that it calls ``stop``.

        Without this, a terminated script leaves its processes running, and
        the next script finds their addresses in use.
        """
        cancel = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, cancel)

    async def start(self):
        """Start all processes, apply the text, wait for all to be ready."""
        text_path = self.directory / "config.json5"
        text_path.write_text(self.text)
        await self._start_standins(text_path)
        await self._list_vms()
        await self.run_ctl("apply", text_path, "--yes")
        for vm in self.vm_by_name:
            await self.start_vm(vm)

        async def is_done():
            return self._has_failed() or await self.is_ready()

        try:
            await wait_until(is_done, START_TIMEOUT_S, "every daemon to be ready")
            if self._has_failed():
                raise TimeoutError(self._describe_ended())
        except TimeoutError as error:
            raise TimeoutError(f"{error}{await self._describe_unready()}") from error

    async def stop(self):
        """Stop every process that this cluster started."""
        await self._processes.stop()
        await self.standins.close()
        if self._temporary:
            self._temporary.cleanup()

    def add_vm(self, vm, availability_zone):
        """Add a VM; ``start_vm`` starts its daemons."""
        address = self._network.get_vm_address(len(self.vm_by_name) + 1)
        self.vm_by_name[vm] = Vm(vm, address, availability_zone)
        self._listed_by_vm[vm] = self.vm_by_name[vm]

    async def start_vm(self, vm):
        """Start or restart the three daemons of a VM."""
        self._listed_by_vm[vm] = self.vm_by_name[vm]
        await self._list_vms()
        for role in ROLES:
            await self.start_role(vm, role)
        self.killed.discard(vm)

    async def start_role(self, vm, role):
        """Start or restart one daemon of a VM."""
        path = self.directory / f"{vm}.json5"
        path.write_text(json.dumps(self._make_settings(vm)))
        module = f"godwitlanding.{role}"
        await self._processes.spawn((vm, role), module, "--settings", path)

    async def wait_for_exit(self, vm, role):
        """Wait for a daemon to end and return its exit code."""
        return await self._processes.wait((vm, role))

    def get_pid(self, vm, role):
        """Return the process id of a daemon."""
        return self._processes.get_pid((vm, role))

    async def kill_vm(self, vm):
        """Kill the three daemons of a VM and remove it from the VM list."""
        self.killed.add(vm)
        for role in ROLES:
            await self.kill(vm, role)
        del self._listed_by_vm[vm]
        await self._list_vms()

    async def kill(self, vm, role):
        """Kill one daemon."""
        await self._processes.kill((vm, role))

    def send_signal(self, vm, role, number):
        """Send a signal, such as SIGSTOP or SIGCONT, to one daemon."""
        self._processes.send_signal((vm, role), number)

    async def stop_vm(self, vm):
        """Stop a VM gracefully; return its daemons' exit codes."""
        self._listed_by_vm[vm] = self.vm_by_name[vm]._replace(state="leaving")
        await self._list_vms()
        for role in ROLES:
            self.send_signal(vm, role, signal.SIGTERM)
        ends = [self._processes.wait((vm, role)) for role in ROLES]
        codes = await asyncio.wait_for(asyncio.gather(*ends), STOP_TIMEOUT_S)
        del self._listed_by_vm[vm]
        await self._list_vms()
        return codes

    async def disconnect_from_platform(self, *zones):
        """Disconnect exactly these zones from the platform."""
        hosts = [self.platform_host_by_zone[zone] for zone in zones]
        await self.standins.set_faults(cut_hosts=hosts)

    async def is_ready(self):
        """Tell whether every started daemon reports that it is ready."""
        checks = [self._is_role_ready(*key) for key in self._get_daemon_keys()]
        return all(await asyncio.gather(*checks))

    async def is_vm_ready(self, vm):
        """Tell whether a VM's three daemons report that they are ready."""
        return all([await self._is_role_ready(vm, role) for role in ROLES])

    def is_killed(self, url):
        """Tell whether the VM at a URL was killed."""
        return any(self.get_url(vm, "entry") in url for vm in self.killed)

    def get_url(self, vm, role):
        """Return the base URL of a daemon."""
        return f"http://{self.vm_by_name[vm].address}:{PORT_BY_ROLE[role]}"

    async def get_status(self, vm, role):
        """Return a daemon's status, ``None`` if it does not respond."""
        url = self.get_url(vm, role) + "/-/status"
        return (await self.standins.call("GET", url))[1]

    async def run_ctl(self, *arguments, may_fail=False):
        """Run ``godwitctl``; return its exit code and output.

        Raises ``RuntimeError`` if it fails, unless ``may_fail``.
        """
        platform = ("--platform", self.standins.platform_url)
        code, output = await run_command("godwitlanding.ctl", *arguments, *platform)
        if code and not may_fail:
            raise RuntimeError(f"godwitctl {arguments} exited with {code}: {output}")
        return code, output

    async def _list_vms(self):
        rows = [row._asdict() for row in self._listed_by_vm.values()]
        await self.standins.set_vms(rows)

    async def _is_role_ready(self, vm, role):
        url = self.get_url(vm, role) + "/-/health"
        return (await self.standins.call("GET", url))[0] == 200

    async def _describe_unready(self):
        lines = []
        for key in self._get_daemon_keys():
            if not await self._is_role_ready(*key):
                last = self._processes.read_log(key).strip().splitlines()[-3:]
                lines += [f"{' '.join(key)}: {line}" for line in last or ["no log"]]
        return "\n".join(["", *lines[:20]])

    def _get_platform_host(self, vm):
        return self.platform_host_by_zone[self.vm_by_name[vm].availability_zone]

    def _make_settings(self, vm):
        return {
            "vm": vm,
            "address": self.vm_by_name[vm].address,
            "availability_zone": self.vm_by_name[vm].availability_zone,
            "platform_url": f"http://{self._get_platform_host(vm)}:{PLATFORM_PORT}",
            "trust_caller_header": True,
            **self._settings,
        }

    async def _start_standins(self, text_path):
        control = self._network.control
        await self._processes.spawn(
            PLATFORM_KEY,
            f"{_STANDINS_PACKAGE}.standin_platform",
            *("--host", control, "--port", PLATFORM_PORT),
            *("--also", *self.platform_host_by_zone.values()),
        )
        await self._processes.spawn(
            UPSTREAMS_KEY,
            f"{_STANDINS_PACKAGE}.standin_upstream",
            *("--config", text_path, "--control", f"{control}:{CONTROL_PORT}"),
        )

        async def are_up():
            # A stand-in ends if its address is in use. Another cluster at
            # the same addresses would then respond in its place, and the two
            # clusters would change each other's objects.
            for key in (PLATFORM_KEY, UPSTREAMS_KEY):
                if self._processes.has_ended(key):
                    log = self._processes.read_log(key)
                    raise RuntimeError(f"{key} has ended unexpectedly: {log[-300:]}")
            return await self.standins.are_up()

        await wait_until(are_up, START_TIMEOUT_S, "the stand-ins to respond")

    def _get_daemon_keys(self):
        return [key for key in self._processes.get_keys() if key[1] in ROLES]

    def _has_failed(self):
        return any(map(self._processes.has_ended, self._processes.get_keys()))

    def _describe_ended(self):
        """Return the processes that have ended and the end of their logs."""
        return "; ".join(
            f"{'-'.join(key)} has ended unexpectedly:"
            f" {self._processes.read_log(key)[-300:]}"
            for key in self._processes.get_keys()
            if self._processes.has_ended(key)
        )
