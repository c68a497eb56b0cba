"""Test environment: real ``godwit-vm`` processes with simulated upstreams.

The store and the upstreams (``workers``) are stand-ins within the test
process.
"""

import asyncio
import itertools
import signal
import sys

import aiohttp

from godwitlanding.tests.standins.standin_store import StandinStore
from godwitlanding.tests.standins.standin_worker import StandinWorker
from godwitlanding.tests.tools.network import claim_address_prefix

STORE_PORT = 8541
WORKER_PORT = 9000
# Ports for callers' requests, readiness, directory, peers and metrics. All VMs
# use the same ports on a given day.
VM_PORTS = (8548, 8542, 8546, 7540, 9464)
REGION_BY_ZONE = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
GRACE_S = 4.0
READY_S = 15.0
_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 100_000,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}
_ROUTE_COLUMNS = [
    "name",
    "host",
    "path_prefix",
    "kind",
    "timeout",
    "target_latency",
    "priority",
    "traffic_split",
    "max_attempts",
    "sticky",
    "allowed_regions",
    "service",
    "allow_anonymous",
]
_TENANT_COLUMNS = [
    "name",
    "api_keys",
    "priority",
    "rate_per_s",
    "burst",
    "allowed_regions",
]


def make_config(version="r7", extra=(), workspaces=None):
    """Return a configuration with a safe and an unsafe route.

    ``workspaces`` are rows of name, keys, priority, rate, burst and regions.
    """
    rows = [
        [
            "look",
            "h",
            "/look/",
            "safe",
            "2s",
            "400ms",
            2,
            None,
            2,
            True,
            [],
            "looks",
            None,
        ],
        [
            "pay",
            "h",
            "/pay/",
            "unsafe",
            "2s",
            "400ms",
            1,
            None,
            2,
            True,
            [],
            "pays",
            None,
        ],
        *extra,
    ]
    for row in rows:
        row.extend([None] * (len(_ROUTE_COLUMNS) - len(row)))
    services = [["looks", "/healthz", 390, "h1", False, "3s", 6.4]]
    services.append(["pays", *services[0][1:]])
    columns = "name health_path max_conns protocol tls warmup cold_per_s".split()
    config = {
        "version": version,
        "routes": {"columns": _ROUTE_COLUMNS, "rows": rows},
        "services": {"columns": columns, "rows": services},
        "limits": _LIMITS,
    }
    if workspaces is not None:
        config["tenants"] = {"columns": _TENANT_COLUMNS, "rows": workspaces}
    return config


class Vm:
    """A real process and its addresses."""

    def __init__(self, number, zone, prefix, folder, region_by_zone=REGION_BY_ZONE):
        self.name = f"vm-{number}"
        self.ip = f"{prefix}{100 + number}"
        self.zone = zone
        self.region_by_zone = region_by_zone
        self.path = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.store = f"{prefix}1:{STORE_PORT}"
        self.process = None
        self.module = "godwitlanding.vm"
        # Bandwidth that the settings state; ``None`` for none.
        self.link_mbps = None

    def write_settings(self, grace_s=GRACE_S):
        """Write the settings file in the platform's format."""
        front, ready, directory, peer, metrics = VM_PORTS
        zones = "\n".join(f'{z} = "{r}"' for z, r in self.region_by_zone.items())
        limits = (
            f"[self.limits]\nlink_mbps = {self.link_mbps}" if self.link_mbps else ""
        )
        self.front = f"http://{self.ip}:{front}"
        self.ready = f"http://{self.ip}:{ready}/readyz"
        self.directory = f"http://{self.ip}:{directory}/resolve"
        self.address = f"{self.ip}:{front}"
        self.metrics = f"http://{self.ip}:{metrics}/metrics"
        self.metrics_port = metrics
        self.path.write_text(f"""
[self]
node = "{self.name}"
ip = "{self.ip}"
zone = "{self.zone}"
region = "{self.region_by_zone[self.zone]}"
bootstrap = true
{limits}
[network]
internal_port_range = [{peer},{peer + 1}]
[network.listen]
front = "{self.address}"
ready = "{self.ip}:{ready}"
directory = "{self.ip}:{directory}"
[network.zones]
{zones}
[provider.provider]
address = "{self.store}"
[terms.bounds]
config = "2500ms"
grace = "{grace_s:g}s"
""")

    async def start(self):
        """Start the process."""
        if self.process:
            settings = self.path.read_text()
            self.path.write_text(
                settings.replace("bootstrap = true", "bootstrap = false")
            )
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", self.module),
                *("--settings", str(self.path)),
                *("--metrics-port", str(self.metrics_port)),
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def end(self):
        """Kill the process if it is still running."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def read_log(self):
        """Return the log of the process."""
        return self.log.read_text()


WORKERS = (
    ("look-1", "looks", "a1"),
    ("look-2", "looks", "a2"),
    ("pay-1", "pays", "a1"),
    ("pay-2", "pays", "a2"),
)


class World:
    """A store, upstreams (``workers``), VMs and a client session."""

    def __init__(
        self,
        folder,
        zones=("a1", "a2", "b1"),
        workers=WORKERS,
        region_by_zone=REGION_BY_ZONE,
    ):
        self._folder = folder
        self._region_by_zone = region_by_zone
        self._zones = zones
        self.workers = workers
        self._ids = itertools.count(1)
        self._workers_by_id = {}

    async def __aenter__(self):
        self._prefix = claim_address_prefix()
        self.store = await StandinStore(f"{self._prefix}1", STORE_PORT).start()
        self.session = aiohttp.ClientSession()
        for worker_id, service, zone in self.workers:
            await self.add_worker(worker_id, service, zone)
        await self.store.put("config", "main", make_config())
        self.vms = []
        for number, zone in enumerate(self._zones):
            vm = Vm(number, zone, self._prefix, self._folder, self._region_by_zone)
            await self.prepare_vm(vm, number)
            vm.write_settings()
            self.vms.append(vm)
        return self

    async def __aexit__(self, *error):
        for vm in self.vms:
            await vm.end()
        for worker in self._workers_by_id.values():
            worker.stop()
        self.store.crash()
        await self.session.close()

    async def prepare_vm(self, vm, number):
        """Hook for subclasses, called before a VM's settings are written."""

    def get_all_workers(self):
        """Return the stand-ins of all upstreams."""
        return list(self._workers_by_id.values())

    def get_worker(self, worker_id):
        """Return the stand-in of an upstream."""
        return self._workers_by_id[worker_id]

    async def add_worker(self, worker_id, service, zone):
        """Start an upstream and register it."""
        host = f"{self._prefix}{20 + len(self._workers_by_id)}"
        worker = StandinWorker(worker_id, service, host, WORKER_PORT, zone)
        await worker.start()
        self._workers_by_id[worker_id] = worker
        await self.register(worker)
        return worker

    async def register(self, worker, state="ready", seq=1):
        """Write an upstream's entry, its ``seq``-th one."""
        await self.store.put("servers", worker.id, worker.make_entry(state, seq))

    async def start(self):
        """Start all VMs; wait until all are ready and know each other."""
        for vm in self.vms:
            await vm.start()
        async with asyncio.timeout(READY_S):
            for vm in self.vms:
                await self.wait_until_ready(vm)
            home = [vm for vm in self.vms if self._region_by_zone[vm.zone] == "a"]
            while len(await self.resolve(self.vms[0])) < len(home):
                await asyncio.sleep(0.05)

    async def wait_until_ready(self, vm):
        """Wait until a VM reports that it is ready."""
        while await self.get_status(vm.ready) != 200:
            await asyncio.sleep(0.05)

    async def get_status(self, url):
        """Return the status of a URL, 0 if it cannot be reached."""
        try:
            async with self.session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def resolve(self, vm, region="a"):
        """Return the addresses from a VM's directory."""
        query = {"name": "h", "region": region, "zone": "a1"}
        async with self.session.get(vm.directory, params=query) as response:
            return (await response.json())["addresses"]

    async def ask(self, vm, path="/look/1", method="GET", body=None, **headers):
        """Send a caller's request; return the response and its body."""
        request_id = headers.pop("request_id", f"r{next(self._ids)}")
        sent = {
            "Host": "h",
            "Godwitlanding-Request-Id": request_id,
            "Godwitlanding-Deadline-Ms": "2000",
            "Godwitlanding-Affinity-Key": path.rpartition("/")[2],
            **headers,
        }
        async with self.session.request(
            method, vm.front + path, data=body, headers=sent
        ) as response:
            return response, await response.read()

    async def pay(self, vm, number, **headers):
        """Send a payment whose request id is ``pay-NUMBER``."""
        request_id = f"pay-{number}"
        path = f"/pay/{number}"
        return await self.ask(
            vm, path, "POST", b"amount=1", request_id=request_id, **headers
        )

    def count_runs(self, request_id):
        """Return how often all upstreams together ran a request."""
        workers = self._workers_by_id.values()
        return sum(worker.ran.count(request_id) for worker in workers)

    async def stop(self, vm):
        """Stop a VM with SIGTERM; return its exit code."""
        vm.signal(signal.SIGTERM)
        return await vm.process.wait()
