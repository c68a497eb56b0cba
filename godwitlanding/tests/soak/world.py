"""Test environment of the soak: VMs, upstreams and a store behind links."""

import asyncio
import itertools
import random

import aiohttp

from godwitlanding.tests.gateway.world import (
    STORE_PORT,
    VM_PORTS,
    WORKER_PORT,
    World,
    make_config,
)
from godwitlanding.tests.soak.link import Link

ZONES = ("a1", "a2", "b1", "b2")
WORKERS = tuple(
    (f"{name}-{zone}", service, zone)
    for zone in ZONES
    for name, service in (("look", "looks"), ("pay", "pays"))
)
# Host numbers of the links, counted up from here; an address is the prefix
# and a host number.
FIRST_STORE_LINK_NUMBER = 150
FIRST_WORKER_LINK_NUMBER = 170
FIRST_CALLER_LINK_NUMBER = 215
WORK_S = 0.03
# Socket buffers of the links to callers: a slow reader is noticed by the VM.
CALLER_LINK_BUFFER_BYTES = 32 << 10
MEMORY_MB = 200
MAX_UPLOAD_BYTES = 360_000
# Paths with responses of about 600 KB.
LONG_PREFIX = "/look/3"
# What some upstreams report as their pace, true or not.
PACES = (b"100", b"250", b"40", b"100", b"500", b"0", b"-3", b"fast", b"9" * 30)
# Requests per second of the workspace ``small``; the others have no limit.
LIMIT_PER_S = 6.0
LIMIT_BURST = 6.0
KEY_BY_WORKSPACE = {"office": "office-key", "depot": "depot-key", "small": "small-key"}
WORKSPACES = [
    ["office", [KEY_BY_WORKSPACE["office"]], 0, 0, 0, []],
    ["depot", [KEY_BY_WORKSPACE["depot"]], None, None, None, None],
    ["small", [KEY_BY_WORKSPACE["small"]], 1, LIMIT_PER_S, LIMIT_BURST, []],
]
DIRECTORY_POLL_S = 0.5
DIRECTORY_TIMEOUT_S = 1.0


class SoakWorld(World):
    """A ``World`` in which connections pass through links.

    Each VM has its own link to the store. Each upstream and each VM has one
    for the connections that it accepts; VMs reach each other directly.
    """

    def __init__(self, folder):
        super().__init__(folder, ZONES, WORKERS)
        self.store_links = []
        self.worker_links = []
        self.caller_links = []
        # By the upstream's own address, which a restart keeps, unlike the id.
        self._link_by_worker_address = {}
        self._link_by_vm_address = {}
        self._restart_numbers = itertools.count(1)
        self._vm_addresses = []
        self.config_number = 7
        self.former_workers = []

    async def __aexit__(self, *error):
        await super().__aexit__(*error)
        for link in (*self.store_links, *self.worker_links, *self.caller_links):
            link.stop()

    async def prepare_vm(self, vm, number):
        """Create the links from callers to a VM and from it to the store."""
        host = f"{self._prefix}{FIRST_STORE_LINK_NUMBER + number}"
        link = await Link((host, STORE_PORT), (f"{self._prefix}1", STORE_PORT)).start()
        self.store_links.append(link)
        vm.store = f"{host}:{STORE_PORT}"
        caller_port = VM_PORTS[0]
        host = f"{self._prefix}{FIRST_CALLER_LINK_NUMBER + number}"
        link = await Link(
            (host, caller_port), (vm.ip, caller_port), CALLER_LINK_BUFFER_BYTES
        ).start()
        self.caller_links.append(link)
        self._link_by_vm_address[f"{vm.ip}:{caller_port}"] = link

    async def register(self, worker, state="ready", seq=1):
        """Write an upstream's entry with the address of its link."""
        worker.echoes = True
        worker.copies_rejections = True
        worker.work_s = WORK_S
        worker.long_prefix = LONG_PREFIX
        if worker.zone in ("a1", "b1"):
            worker.paces = PACES
        link = self._link_by_worker_address.get(worker.address)
        if link is None:
            number = FIRST_WORKER_LINK_NUMBER + len(self.worker_links)
            address = (f"{self._prefix}{number}", WORKER_PORT)
            link = await Link(address, worker.address).start()
            self._link_by_worker_address[worker.address] = link
            self.worker_links.append(link)
        host, port = link.address
        entry = {**worker.make_entry(state, seq), "address": f"{host}:{port}"}
        await self.store.put("servers", worker.id, entry)

    def get_workers(self):
        """Return the current upstreams."""
        return list(self._workers_by_id.values())

    def get_all_workers(self):
        """Return the current upstreams and those that were replaced."""
        return self.get_workers() + self.former_workers

    async def replace_worker(self, worker):
        """Restart an upstream at the same address under a new id."""
        del self._workers_by_id[worker.id]
        self.former_workers.append(worker)
        name = worker.id.partition(".")[0]
        new_worker = type(worker)(
            f"{name}.{next(self._restart_numbers)}",
            worker.service,
            *worker.address,
            worker.zone,
        )
        await new_worker.start()
        self._workers_by_id[new_worker.id] = new_worker
        await self.register(new_worker)

    async def change_config(self):
        """Write the next configuration; return the paths that it adds.

        The second path is of a route whose kind the VMs do not know.
        """
        self.config_number += 1
        rows = [
            [f"{name}{n}", "h", f"/{name}{n}/", kind, "2s", "400ms", 2]
            + [None, 2, True, [], "looks"]
            for n in range(8, self.config_number + 1)
            for name, kind in (("v", "safe"), ("w", "teleport"))
        ]
        await self._put_config(rows)
        number = self.config_number
        return f"/v{number}/1", f"/w{number}/1"

    async def start(self):
        """Start all VMs with a configuration that requires API keys."""
        await self._put_config([])
        for vm in self.vms:
            limits = f"\n[self.limits]\nmemory_mb = {MEMORY_MB}\n"
            vm.path.write_text(vm.path.read_text() + limits)
        await super().start()

    async def _put_config(self, rows):
        # Uploads share a service with more urgent requests.
        upload = ["up", "h", "/up/", "upload", "2s", "1s", 3]
        rows = [upload + [None, 2, True, [], "looks"], *rows]
        config = make_config(f"r{self.config_number}", rows, WORKSPACES)
        limits = {**config["limits"], "max_body_bytes": MAX_UPLOAD_BYTES}
        await self.store.put("config", "main", {**config, "limits": limits})

    async def poll_directory(self):
        """Poll the directories of random VMs for addresses, as callers do."""
        while True:
            vm = random.choice(self.vms)
            try:
                async with asyncio.timeout(DIRECTORY_TIMEOUT_S):
                    self._vm_addresses = await self.resolve(vm, random.choice("ab"))
            except (aiohttp.ClientError, TimeoutError, KeyError, ValueError):
                # Callers keep the last response until there is a newer one.
                pass
            await asyncio.sleep(DIRECTORY_POLL_S)

    async def pick_vm(self):
        """Return a random VM address from the directory, or an empty text."""
        return random.choice(self._vm_addresses) if self._vm_addresses else ""

    async def connect(self, vm_address):
        """Open a caller's connection through the link of a VM."""
        return await asyncio.open_connection(
            *self._link_by_vm_address[vm_address].address
        )

    def get_vm_at(self, address):
        """Return the VM with the given address for callers."""
        return next(vm for vm in self.vms if vm.address == address)
