"""Whole VMs of the gateway, upstreams and callers on one paused clock.

Each VM is a ``Program`` with its real services from admission to courier and
its bulletins; sockets are replaced by calls after the distance between two
places. An upstream has slots, a short queue, and remembers the objects that
it handled last, which it handles several times faster. Nothing here waits in
real time, so that a minute of a fleet is played in some seconds.
"""

import asyncio
import random
import re
from collections import Counter, OrderedDict, deque
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
from godwitlanding.gateway.upstream import Answer, Failure, UpstreamError
from godwitlanding.platform.headers import HEADER_NAMES
from godwitlanding.platform.settings import Bounds, VmSettings
from godwitlanding.program import Program

ZONE_S = 0.0014
REGION_S = 0.055
CALLER_S = 0.008
SERVICE = "look"
PORT = 80
_KEY = re.compile(rb"(?i)godwitlanding-affinity-key: ([^\r]*)")
_BOUNDS = Bounds(2.5, 6.0, 0.2, 10.0, 60.0, Tolerance(), False, 5.0, 5.0)


class Shape(NamedTuple):
    """A fleet and its load; times in seconds."""

    vms_by_zone: dict
    upstreams_by_zone: dict
    region_by_zone: dict
    # Requests a second of callers, by zone.
    rate_by_zone: dict
    objects: int = 110
    slots: int = 3
    warm_s: float = 0.145
    cold_s: float = 0.48
    target_s: float = 0.4
    deadline_s: float = 2.5
    remembered: int = 16


# Three regions of two zones, one of them with few upstreams.
CO_OP = Shape(
    vms_by_zone={"a1": 2, "a2": 2, "b1": 2, "b2": 1, "c1": 2, "c2": 1},
    upstreams_by_zone={"a1": 2, "a2": 2, "b1": 4, "b2": 3, "c1": 4, "c2": 3},
    region_by_zone={"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"},
    rate_by_zone={"a1": 30, "a2": 25, "b1": 15, "b2": 15, "c1": 25, "c2": 30},
)


class UpstreamModel:
    """Slots, a queue, a memory of objects; and what it says of itself."""

    def __init__(self, shape, rng):
        self._shape = shape
        self._rng = rng
        self._known = OrderedDict()
        self._running = 0
        self._waiting = deque()
        self.limit_per_s = None
        self.leaving = False
        self.arrived_at = []

    async def handle(self, data):
        """Return the ``Answer`` to a request."""
        self.arrived_at.append(_now())
        if self._running + len(self._waiting) >= 4 * self._shape.slots:
            extra = [(HEADER_NAMES.not_executed, b"1")]
            return self._make_answer(503, extra)
        if self._running >= self._shape.slots:
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        else:
            self._running += 1
        try:
            await asyncio.sleep(self._draw_work_s(data))
        finally:
            if self._waiting:
                self._waiting.popleft().set_result(None)
            else:
                self._running -= 1
        return self._make_answer(200, [(HEADER_NAMES.signature, b"proof")])

    def _draw_work_s(self, data):
        found = _KEY.search(data)
        key = found.group(1) if found else b""
        work_s = self._shape.cold_s
        if key in self._known:
            work_s = self._shape.warm_s
        if key:
            self._known[key] = None
            self._known.move_to_end(key)
            if len(self._known) > self._shape.remembered:
                self._known.popitem(last=False)
        return work_s * self._rng.lognormvariate(0.0, 0.15)

    def _make_answer(self, status, headers):
        report = b"%d,%d,%d" % (self._running, len(self._waiting), self._shape.slots)
        headers = [*headers, (b"godwitlanding-load-report", report)]
        if self.limit_per_s is not None:
            headers.append((b"server-limit", b"%g" % self.limit_per_s))
        if self.leaving:
            headers.append((b"server-leaving", b"1"))
        return Answer(status, headers, b"body", False)


class _Pool:
    """Connections of one VM; each request takes the way there and back."""

    def __init__(self, world, zone):
        self._world = world
        self._zone = zone
        self._idle = Counter()

    def take(self, upstream, is_idempotent):
        if not self._idle[upstream]:
            return None
        self._idle[upstream] -= 1
        return _Connection(self._world, self._zone, upstream)

    async def connect(self, upstream, address, timeout_s):
        distance_s = self._world.get_distance_s(self._zone, upstream)
        if 2 * distance_s > timeout_s:
            await asyncio.sleep(timeout_s)
            raise UpstreamError(Failure.CONNECT)
        await asyncio.sleep(2 * distance_s)
        return _Connection(self._world, self._zone, upstream)

    def give_back(self, upstream, connection):
        self._idle[upstream] += 1

    def forget(self, upstream):
        self._idle.pop(upstream, None)

    def trim(self):
        pass

    def close(self):
        self._idle.clear()


class _Connection:
    def __init__(self, world, zone, upstream):
        self._model = world.upstream_by_id[upstream]
        self._distance_s = world.get_distance_s(zone, upstream)

    async def send(self, data, request_id, without_body, sink):
        await asyncio.sleep(self._distance_s)
        answer = await self._model.handle(data)
        await asyncio.sleep(self._distance_s)
        return answer

    def abort(self):
        pass


class _Wire:
    """Carries a VM's datagrams to the others."""

    def __init__(self, world, vm):
        self._world = world
        self._vm = vm

    def sendto(self, data, address):
        self._world.deliver(self._vm, address[0], data)

    def close(self):
        pass


class _Asked:
    """What stands for a caller's connection: it keeps the answer."""

    def __init__(self):
        self.answered = asyncio.get_running_loop().create_future()
        self.exchange = Exchange(self, _now())

    def must_close_after(self, exchange):
        return False

    def flush(self):
        if self.exchange.done and not self.answered.done():
            self.answered.set_result(None)


class World:
    """All VMs, upstreams and callers of a ``Shape``.

    ``outcomes`` counts what became of callers' requests, by ``in_time``,
    ``late``, ``refused`` and ``failed``, for each second in which they began.
    """

    def __init__(self, shape, seed):
        self.shape = shape
        self._rng = random.Random(seed)
        self.upstream_by_id = {}
        self.zone_by_upstream = {}
        self.programs = []
        self._program_by_host = {}
        self._wire_by_host = {}
        self._tasks = set()
        self.outcomes = {}
        self.reasons = Counter()

    async def __aenter__(self):
        entries = self._make_upstreams()
        config = self._make_config()
        for number, (zone, count) in enumerate(self.shape.vms_by_zone.items()):
            for place in range(count):
                await self._add_vm(zone, f"10.{number}.0.{place + 1}")
        for program in self.programs:
            await self._start(program, config, entries)
        await asyncio.sleep(3.0)
        return self

    async def __aexit__(self, *error):
        for task in list(self._tasks):
            task.cancel()
        for program in self.programs:
            for name in ("courier", "chooser", "peers"):
                await getattr(program, name).stop()

    def get_distance_s(self, zone, upstream):
        """Return how far an upstream is from a zone, one way."""
        other = self.zone_by_upstream[upstream]
        if zone == other:
            return 0.0002
        region_by_zone = self.shape.region_by_zone
        return ZONE_S if region_by_zone[zone] == region_by_zone[other] else REGION_S

    def deliver(self, sender, host, data):
        """Let a datagram arrive after its way."""
        receiver = self._program_by_host.get(host)
        if receiver is None:
            return
        same = receiver.peers.region == sender.region
        delay_s = ZONE_S if same else REGION_S
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, receiver.peers.hear, data, sender.ip)

    async def play(self, seconds, times=1.0):
        """Let callers ask for so long; ``times`` the usual rates."""
        begun = _now()
        tasks = []
        for zone, rate in self.shape.rate_by_zone.items():
            tasks.append(
                self._spawn(self._call_from(zone, rate * times, begun, seconds))
            )
        await asyncio.gather(*tasks)
        await asyncio.sleep(self.shape.deadline_s)

    def count(self, since_s=0.0, until_s=1e9):
        """Return the shares of outcomes of requests that began then."""
        total = Counter()
        for second, outcomes in self.outcomes.items():
            if since_s <= second < until_s:
                total.update(outcomes)
        asked = sum(total.values())
        return {name: count / asked for name, count in sorted(total.items())}

    async def _call_from(self, zone, rate, begun, seconds):
        region = self.shape.region_by_zone[zone]
        hosts = [p for p in self.programs if p.peers.region == region]
        while _now() - begun < seconds:
            await asyncio.sleep(self._rng.expovariate(rate))
            program = self._rng.choice(hosts)
            self._spawn(self._call(program, hosts, _now() - begun))

    async def _call(self, program, hosts, second):
        began = _now()
        number = min(self._rng.randrange(self.shape.objects), self.shape.objects - 1)
        key = b"%x" % number
        outcome = "refused"
        for _ in range(2):
            left_s = self.shape.deadline_s - (_now() - began)
            await asyncio.sleep(CALLER_S)
            status, retry_after_s = await self._ask(program, key, left_s)
            await asyncio.sleep(CALLER_S)
            if status == 200:
                in_time = _now() - began <= self.shape.target_s
                outcome = "in_time" if in_time else "late"
                break
            if status != 503:
                outcome = "failed"
                break
            await asyncio.sleep(retry_after_s)
            program = self._rng.choice(hosts)
        self.outcomes.setdefault(int(second), Counter())[outcome] += 1

    async def _ask(self, program, key, left_s):
        asked = _Asked()
        exchange = asked.exchange
        exchange.method = b"GET"
        exchange.target = b"/look/" + key
        exchange.headers = [
            (b"host", b"h"),
            (HEADER_NAMES.request_id, b"%x" % self._rng.getrandbits(64)),
            (HEADER_NAMES.affinity_key, key),
            (HEADER_NAMES.deadline_ms, b"%d" % (left_s * 1000)),
        ]
        program.carrier.take(exchange)
        await asked.answered
        head = exchange.out[0]
        status = int(head.split(b" ", 2)[1])
        found = re.search(rb"retry-after: ([\d.]+)", head)
        return status, float(found.group(1)) if found else 0.0

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _make_upstreams(self):
        entries = []
        for zone, count in self.shape.upstreams_by_zone.items():
            for place in range(count):
                name = f"{zone}-{place}"
                self.upstream_by_id[name] = UpstreamModel(self.shape, self._rng)
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

    async def _add_vm(self, zone, ip):
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
        program = Program(settings, 0, Counters())
        program.peers.region = settings.region
        program.peers.is_ready = lambda: True
        program.courier._pool = _Pool(self, zone)
        program.settings = settings
        self.programs.append(program)
        self._program_by_host[ip] = program

    async def _start(self, program, config, entries):
        wire = _Wire(self, program.settings)
        program.peers._datagrams._transport = wire

        async def open_nothing():
            pass

        program.peers._datagrams.open = open_nothing
        services = {
            service.name: service
            for service in (
                program.registry,
                program.peers,
                program.chooser,
                program.courier,
                program.admission,
                program.carrier,
            )
        }
        kernel = SimpleNamespace(get=services.__getitem__)
        program.registry.set_config(config)
        for entry in entries:
            program.registry.put_upstream(entry)
        program.registry.has_upstreams = True
        for name in ("peers", "chooser", "courier", "admission", "carrier"):
            await services[name].start(kernel)
        for other in self.programs:
            settings = other.settings
            program.peers.note_vm(settings.vm, settings.ip, settings.availability_zone)


def _now():
    return asyncio.get_running_loop().time()
