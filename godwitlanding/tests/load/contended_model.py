"""Simulates a fleet whose callers contend for slots, by route and attempt.

``ContendedFleet`` extends ``FleetModel`` by a second, less urgent route of the
same service, by bursts, and by callers that come back when told to and no
later than they would wait. It counts what becomes of first attempts and of
returns.
"""

import asyncio
from collections import Counter
from typing import NamedTuple

from godwitlanding.decisions.routes import (
    Limits,
    Route,
    RouteConfig,
    RouteKind,
    Service,
    SplitPart,
)
from godwitlanding.tests.load.gateway_model import (
    CALLER_DELAY_S,
    SERVICE,
    FleetModel,
    FleetShape,
)
from godwitlanding.tests.load.waiting_model import WaitingHandler

# Callers here give up rather than wait longer than this share of the time
# that they have left.
MAX_SHARE_OF_TIME_LEFT = 0.32
URGENT = "look"
BULK = "bulk"
BULK_SHARE = 0.2

# One region with a dozen VMs; objects fit into the caches, so that the slots
# allow about 280 requests per second.
TWELVE_VMS = FleetShape(
    vms_by_zone={"a1": 6, "a2": 6},
    upstreams_by_zone={"a1": 7, "a2": 7},
    region_by_zone={"a1": "a", "a2": "a"},
    rate_by_zone={"a1": 125, "a2": 125},
)

# The same load and upstreams with a single VM that knows all requests.
ONE_VM = TWELVE_VMS._replace(vms_by_zone={"a1": 1})


class Burst(NamedTuple):
    """A factor on the request rate for an interval of the run, in seconds."""

    from_s: float
    until_s: float
    factor: float


class ContendedFleet(FleetModel):
    """A fleet with an urgent and a less urgent route of the same service.

    ``counts`` holds the events after ``count_from_s``: outcomes by route, and
    what became of first attempts and returns.
    """

    def __init__(self, shape, seed, burst=None, count_from_s=0.0, attempts=2):
        super().__init__(shape, seed)
        self._burst = burst
        self._count_from_s = count_from_s
        self._attempts = attempts
        self._max_turnovers = 0.0
        self._only_in_time = False
        self.counts = Counter()
        self.waits = Counter()

    def use_waiting_rooms(self, max_turnovers, only_in_time):
        """Let requests wait at each VM; called before the fleet starts."""
        self._max_turnovers = max_turnovers
        self._only_in_time = only_in_time

    def _add_vm(self, zone, ip):
        super()._add_vm(zone, ip)
        if self._max_turnovers:
            handler = self._vm_by_host[ip].program.request_handler
            handler.__class__ = WaitingHandler
            handler.max_turnovers = self._max_turnovers
            handler.only_in_time = self._only_in_time
            handler.counts = self.waits

    def get_shares(self):
        """Return the counts as shares of the callers."""
        callers = self.counts["callers"]
        return {name: count / callers for name, count in sorted(self.counts.items())}

    async def _generate_calls(self, zone, rate, started_at, seconds):
        region = self.shape.region_by_zone[zone]
        vms = [vm for vm in self._vm_by_host.values() if vm.settings.region == region]
        while (second := _now() - started_at) < seconds:
            factor = 1.0
            if self._burst and self._burst.from_s <= second < self._burst.until_s:
                factor = self._burst.factor
            await asyncio.sleep(self._rng.expovariate(rate * factor))
            self._spawn(self._make_call(vms, _now() - started_at))

    async def _make_call(self, vms, second):
        began = _now()
        key = b"%x" % self._rng.randrange(self.shape.object_count)
        route = BULK if self._rng.random() < BULK_SHARE else URGENT
        events = Counter(callers=1)
        events[f"{route} callers"] = 1
        outcome = "refused"
        for attempt in range(self._attempts):
            remaining_s = self.shape.deadline_s - (_now() - began)
            await asyncio.sleep(CALLER_DELAY_S)
            program = self._rng.choice(vms).program
            path = b"/%b/%b" % (route.encode(), key)
            status, retry_after_s = await self._send_request(
                program, key, remaining_s, path
            )
            await asyncio.sleep(CALLER_DELAY_S)
            if status == 200:
                in_time = _now() - began <= self.shape.target_s
                outcome = "in_time" if in_time else "late"
                break
            if status != 503:
                outcome = "failed"
                break
            events["refused first" if attempt == 0 else "refused again"] += 1
            left_s = self.shape.deadline_s - (_now() - began)
            if retry_after_s > MAX_SHARE_OF_TIME_LEFT * left_s + 0.02:
                events["gave up"] += 1
                break
            await asyncio.sleep(retry_after_s)
        events[outcome] += 1
        events[f"{route} {outcome}"] += 1
        if attempt:
            events[f"{outcome} after return"] += 1
        self.outcomes.setdefault(int(second), Counter())[outcome] += 1
        if second >= self._count_from_s:
            self.counts.update(events)

    def _make_config(self):
        routes = [self._make_route(URGENT, 0), self._make_route(BULK, 2)]
        by_prefix = {("h", route.path_prefix): route for route in routes}
        service = Service(SERVICE, "/healthz", 390, 3.0, 6.0)
        return RouteConfig(1, by_prefix, {SERVICE: service}, Limits())

    def _make_route(self, name, priority):
        return Route(
            name=name,
            host="h",
            path_prefix=f"/{name}/",
            kind=RouteKind.SAFE,
            timeout_s=self.shape.deadline_s,
            target_latency_s=self.shape.target_s,
            priority=priority,
            parts=(SplitPart(SERVICE, 1.0),),
            max_attempts=2,
            sticky=True,
            allowed_regions=frozenset(),
        )


def _now():
    return asyncio.get_running_loop().time()
