"""Simulates a fleet of gateway VMs, upstreams and callers in virtual time.

Each VM is a ``Program`` with its real services from admission to upstream
client and its gossip messages; sockets are replaced by calls that are delayed
by the network delay. An upstream has slots, a short queue and a cache of
recent objects, which it serves several times faster. Nothing waits in real
time, so that one minute of a fleet is simulated in a few seconds.
"""

import asyncio
import random
import re
from collections import Counter
from types import SimpleNamespace
from typing import NamedTuple

from godwitlanding.base.metrics import Counters
from godwitlanding.decisions.allotment import Tolerance
from godwitlanding.decisions.fleet import Capacity
from godwitlanding.decisions.routes import (
    Limits,
    Route,
    RouteConfig,
    RouteKind,
    Service,
    SplitPart,
)
from godwitlanding.gateway.exchange import Exchange
from godwitlanding.gateway.registry import Upstream
from godwitlanding.platform.headers import HEADER_NAMES
from godwitlanding.platform.settings import Bounds, VmSettings
from godwitlanding.program import Program
from godwitlanding.tests.load.upstream_model import PoolModel, UpstreamModel

ZONE_DELAY_S = 0.0014
REGION_DELAY_S = 0.055
CALLER_DELAY_S = 0.008
SERVICE = "look"
PORT = 80
# Time until all VMs have discovered each other.
SETTLE_S = 3.0
_BOUNDS = Bounds(2.5, 6.0, 0.2, 10.0, 60.0, Tolerance(), False, 5.0, 5.0)


class FleetShape(NamedTuple):
    """The size of a fleet and its load; times in seconds."""

    vms_by_zone: dict
    upstreams_by_zone: dict
    region_by_zone: dict
    # Requests per second of the callers in each zone.
    rate_by_zone: dict
    object_count: int = 110
    slots: int = 3
    warm_s: float = 0.145
    cold_s: float = 0.48
    target_s: float = 0.4
    deadline_s: float = 2.5
    cache_size: int = 16
    # Share of the time in which an upstream is slow, how many times slower it
    # is, the shortest and the longest slow period, and whether its load
    # reports hold its pace.
    spell_share: float = 0.0
    spell_factor: float = 2.5
    spell_s: tuple[float, float] = (0.5, 0.6)
    reports_pace: bool = False
    # Share of the requests that take ``long_factor`` times as long.
    long_share: float = 0.0
    long_factor: float = 7.0


# Three regions with two zones each; one region has few upstreams.
CO_OP = FleetShape(
    vms_by_zone={"a1": 2, "a2": 2, "b1": 2, "b2": 1, "c1": 2, "c2": 1},
    upstreams_by_zone={"a1": 2, "a2": 2, "b1": 4, "b2": 3, "c1": 4, "c2": 3},
    region_by_zone={"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"},
    rate_by_zone={"a1": 30, "a2": 25, "b1": 15, "b2": 15, "c1": 25, "c2": 30},
)


class _DatagramTransport:
    """Delivers the datagrams of one VM to the others."""

    def __init__(self, fleet, host):
        self._fleet = fleet
        self._host = host

    def sendto(self, data, address):
        self._fleet.deliver(self._host, address[0], data)

    def close(self):
        pass


class _Vm(NamedTuple):
    """A gateway VM: its settings and its program."""

    settings: VmSettings
    program: Program


class _CallerConnection:
    """Replaces a caller's connection and signals when the response is done."""

    def __init__(self):
        self.answered = asyncio.get_running_loop().create_future()
        self.exchange = Exchange(self, _now())

    def must_close_after(self, exchange):
        return False

    def flush(self):
        if self.exchange.done and not self.answered.done():
            self.answered.set_result(None)


class FleetModel:
    """All VMs, upstreams and callers of a ``FleetShape``.

    ``outcomes`` counts the requests by the second in which they began and by
    outcome: ``in_time``, ``late``, ``refused`` or ``failed``. ``seed`` seeds
    the callers and upstreams; the VMs draw from the generator of ``random``,
    which is seeded with ``draws``, or with ``seed`` if that is ``None``.
    """

    def __init__(self, shape, seed, draws=None):
        self.shape = shape
        self._seed = seed
        self._rng = random.Random(seed)
        random.seed(seed if draws is None else draws)
        self.upstream_by_id = {}
        self.zone_by_upstream = {}
        self._vm_by_host = {}
        self._tasks = set()
        self.outcomes = {}

    async def __aenter__(self):
        self._entries = self._make_upstreams()
        self._config = self._make_config()
        asyncio.get_running_loop().create_datagram_endpoint = self._open_transport
        for number, (zone, count) in enumerate(self.shape.vms_by_zone.items()):
            for index in range(count):
                self._add_vm(zone, f"10.{number}.0.{index + 1}")
        for vm in self._vm_by_host.values():
            await self._start(vm)
        await asyncio.sleep(SETTLE_S)
        return self

    async def __aexit__(self, *error):
        for task in list(self._tasks):
            task.cancel()
        vms = list(self._vm_by_host.values())
        self._vm_by_host.clear()
        for vm in vms:
            await _stop(vm)

    async def restart(self, hosts):
        """Kill VMs at the same time and start them again, without state."""
        zone_by_host = {}
        for host in hosts:
            vm = self._vm_by_host.pop(host)
            zone_by_host[host] = vm.settings.availability_zone
            await _stop(vm)
        for host, zone in zone_by_host.items():
            self._add_vm(zone, host)
        for host in hosts:
            await self._start(self._vm_by_host[host])

    def get_programs(self):
        """Return the programs of all VMs."""
        return [vm.program for vm in self._vm_by_host.values()]

    def get_one_way_delay_s(self, zone, upstream):
        """Return the one-way network delay from a zone to an upstream."""
        other = self.zone_by_upstream[upstream]
        if zone == other:
            return 0.0002
        region_by_zone = self.shape.region_by_zone
        return (
            ZONE_DELAY_S
            if region_by_zone[zone] == region_by_zone[other]
            else REGION_DELAY_S
        )

    def deliver(self, sender, receiver, data):
        """Deliver a datagram between two IP addresses after the delay."""
        if receiver not in self._vm_by_host or sender not in self._vm_by_host:
            return
        vm = self._vm_by_host[receiver]
        is_same_region = vm.settings.region == self._vm_by_host[sender].settings.region
        delay_s = ZONE_DELAY_S if is_same_region else REGION_DELAY_S
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._receive, vm, data, sender)

    def _receive(self, vm, data, sender):
        # The VM may have been stopped since the datagram was sent.
        if self._vm_by_host.get(vm.settings.ip) is vm:
            vm.program.peers.receive_datagram(data, sender)

    async def run(self, seconds, rate_factor=1.0):
        """Send requests for ``seconds``; ``rate_factor`` scales the rates."""
        started_at = _now()
        tasks = []
        for zone, rate in self.shape.rate_by_zone.items():
            tasks.append(
                self._spawn(
                    self._generate_calls(zone, rate * rate_factor, started_at, seconds)
                )
            )
        await asyncio.gather(*tasks)
        await asyncio.sleep(self.shape.deadline_s)

    def get_outcome_shares(self, since_s=0.0, until_s=1e9):
        """Return the share of each outcome for requests of an interval."""
        total = Counter()
        for second, outcomes in self.outcomes.items():
            if since_s <= second < until_s:
                total.update(outcomes)
        request_count = sum(total.values())
        return {name: count / request_count for name, count in sorted(total.items())}

    async def _generate_calls(self, zone, rate, started_at, seconds):
        region = self.shape.region_by_zone[zone]
        vms = [vm for vm in self._vm_by_host.values() if vm.settings.region == region]
        while _now() - started_at < seconds:
            await asyncio.sleep(self._rng.expovariate(rate))
            self._spawn(self._make_call(vms, _now() - started_at))

    async def _make_call(self, vms, second):
        began = _now()
        key = b"%x" % self._rng.randrange(self.shape.object_count)
        outcome = "refused"
        for _ in range(2):
            remaining_s = self.shape.deadline_s - (_now() - began)
            await asyncio.sleep(CALLER_DELAY_S)
            program = self._rng.choice(vms).program
            status, retry_after_s = await self._send_request(program, key, remaining_s)
            await asyncio.sleep(CALLER_DELAY_S)
            if status == 200:
                in_time = _now() - began <= self.shape.target_s
                outcome = "in_time" if in_time else "late"
                break
            if status != 503:
                outcome = "failed"
                break
            await asyncio.sleep(retry_after_s)
        self.outcomes.setdefault(int(second), Counter())[outcome] += 1

    async def _send_request(self, program, key, remaining_s, path=None):
        connection = _CallerConnection()
        exchange = connection.exchange
        exchange.method = b"GET"
        exchange.target = path or b"/look/" + key
        exchange.headers = [
            (b"host", b"h"),
            (HEADER_NAMES.request_id, b"%x" % self._rng.getrandbits(64)),
            (HEADER_NAMES.affinity_key, key),
            (HEADER_NAMES.deadline_ms, b"%d" % (remaining_s * 1000)),
        ]
        program.request_handler.take(exchange)
        await connection.answered
        head = exchange.out[0]
        status = int(head.split(b" ", 2)[1])
        match = re.search(rb"retry-after: ([\d.]+)", head)
        return status, float(match.group(1)) if match else 0.0

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _make_upstreams(self):
        entries = []
        for zone, count in self.shape.upstreams_by_zone.items():
            for index in range(count):
                name = f"{zone}-{index}"
                self.upstream_by_id[name] = UpstreamModel(
                    self.shape, self._rng, f"{self._seed} {name}"
                )
                self.zone_by_upstream[name] = zone
                address = ("127.0.0.1", 1)
                entries.append(
                    Upstream(name, SERVICE, address, zone, self.shape.slots, False, 0.0)
                )
        return entries

    def _make_config(self):
        route = Route(
            "look",
            "h",
            "/look/",
            RouteKind.SAFE,
            self.shape.deadline_s,
            self.shape.target_s,
            1,
            (SplitPart(SERVICE, 1.0),),
            2,
            True,
            frozenset(),
        )
        service = Service(SERVICE, "/healthz", 390, 3.0, 6.0)
        return RouteConfig(1, {("h", "/look/"): route}, {SERVICE: service}, Limits())

    def _add_vm(self, zone, ip):
        settings = VmSettings(
            vm=f"vm-{ip}",
            ip=ip,
            availability_zone=zone,
            region=self.shape.region_by_zone[zone],
            region_by_zone=self.shape.region_by_zone,
            caller_address=(ip, PORT),
            directory_address=(ip, PORT + 1),
            ready_address=(ip, PORT + 2),
            peer_port=PORT + 3,
            store_address=("127.0.0.1", 1),
            capacity=Capacity(1000.0, 0.86),
            bounds=_BOUNDS,
        )
        program = Program(settings, 0, Counters(), PoolModel(self, zone))
        program.peers.is_ready = lambda: True
        self._vm_by_host[ip] = _Vm(settings, program)

    async def _open_transport(self, make_protocol, local_addr):
        return _DatagramTransport(self, local_addr[0]), make_protocol()

    async def _start(self, vm):
        """Start the services that handle requests, with fixed configuration.

        Routes and upstreams are set directly instead of read from the store.
        """
        program = vm.program
        services = (
            program.registry,
            program.peers,
            program.chooser,
            program.reach,
            program.relay,
            program.upstream_client,
            program.admission,
            program.contention,
            program.retry_times,
            program.request_handler,
        )
        service_by_name = {service.name: service for service in services}
        kernel = SimpleNamespace(get=service_by_name.__getitem__)
        program.registry.set_config(self._config)
        for entry in self._entries:
            program.registry.put_upstream(entry)
        program.registry.has_upstreams = True
        for service in services:
            await service.start(kernel)
        for host, other in self._vm_by_host.items():
            settings = other.settings
            program.peers.note_vm(settings.vm, host, settings.availability_zone)


async def _stop(vm):
    program = vm.program
    for service in (
        program.relay,
        program.reach,
        program.upstream_client,
        program.chooser,
        program.peers,
    ):
        await service.stop()


def _now():
    return asyncio.get_running_loop().time()
