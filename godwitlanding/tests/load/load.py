"""Open-loop load of all three kinds of work on a cluster."""

import asyncio
import random
from typing import NamedTuple

from godwitlanding.base.config import KIND_BULK, KIND_TRANSACTION
from godwitlanding.tests.load.callers import Caller, make_caller_session
from godwitlanding.tests.load.tally import Tally
from godwitlanding.tests.load.verdict import evaluate_run
from godwitlanding.tests.tools.cluster import wait_until

CALLERS = 60
FINISH_LIMIT_S = 120.0
SERVE_LIMIT_S = 90.0
BUNDLE_CHUNK_MS = 10


class Rate(NamedTuple):
    """How many requests a second a service is sent."""

    service: str
    requests_per_s: float


class Load:
    """Callers who come at their own pace, whatever the answers take."""

    def __init__(self, cluster, seed=0, callers=CALLERS, name="r"):
        self.tally = Tally()
        self._cluster = cluster
        self._random = random.Random(seed)
        self._caller_count = callers
        self.callers = []
        self._name = name
        self._next_id = 0
        self._session = None
        self._tasks = set()
        self._rates = ()
        self._generators = []

    async def start(self, *rates):
        """Begin to send each service's rate."""
        self._rates = rates
        self._session = make_caller_session()
        urls = [self._cluster.get_url(vm, "steer") for vm in self._cluster.vm_by_name]
        self.callers = [
            Caller(
                f"caller-{number}",
                urls,
                self._cluster.is_killed,
                self.tally,
                self._session,
            )
            for number in range(self._caller_count)
        ]
        for rate in rates:
            self._generators.append(asyncio.ensure_future(self._generate(rate)))

    async def end(self):
        """Send nothing more and wait for what is in progress."""
        for generator in self._generators:
            generator.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=FINISH_LIMIT_S)
        for task in self._tasks:
            task.cancel()
        await self._session.close()
        return self.tally

    async def serve(self, seconds, services=()):
        """Wait until as many requests are complete as come in so long.

        ``services`` narrows the kinds that are waited for.
        """
        tally = self.tally
        goals = {
            rate.service: tally.count("complete", rate.service)
            + rate.requests_per_s * seconds
            for rate in self._rates
            if not services or rate.service in services
        }

        async def is_reached():
            return all(tally.count("complete", name) >= goals[name] for name in goals)

        await wait_until(is_reached, SERVE_LIMIT_S, f"{goals} complete")

    async def evaluate_run(self, drained=(), may_cut=False):
        """End the load; return the verdict on what it has shown."""
        standins = self._cluster.standins
        return evaluate_run(
            await self.end(),
            await standins.get_executions(),
            await standins.get_upstream_stats(),
            drained,
            least_complete=0.0,
            may_cut=may_cut,
        )

    async def _generate(self, rate):
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += self._random.expovariate(rate.requests_per_s)
            await asyncio.sleep(max(0.0, due - loop.time()))
            self.send(rate.service)

    def send(self, service, query=""):
        """Let some caller make one request; return its id."""
        self._next_id += 1
        request_id = f"{self._name}{self._next_id}"
        caller = self._random.choice(self.callers)
        kind = self._cluster.config.service_by_name[service].kind
        if kind == KIND_TRANSACTION:
            work = caller.pay(service, request_id, query)
        elif kind == KIND_BULK:
            work = caller.download(service, request_id, BUNDLE_CHUNK_MS)
        else:
            work = caller.get(service, request_id, query)
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return request_id
