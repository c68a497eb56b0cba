"""Open-loop load generator for a cluster, with all three kinds of services."""

import asyncio
import random
from typing import NamedTuple

from godwitlanding.base.config import KIND_BULK, KIND_TRANSACTION
from godwitlanding.tests.load.callers import Caller, make_caller_session
from godwitlanding.tests.load.tally import Tally
from godwitlanding.tests.load.verdict import evaluate_run
from godwitlanding.tests.tools.cluster import wait_until

CALLERS = 60
FINISH_TIMEOUT_S = 120.0
SERVE_TIMEOUT_S = 90.0
BUNDLE_CHUNK_MS = 10


class Rate(NamedTuple):
    """The request rate for one service."""

    service: str
    requests_per_s: float


class Load:
    """Sends requests at fixed mean rates, independent of response times."""

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
        """Start to send requests at the given rates."""
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
        """Stop sending and wait for requests in progress; return the tally."""
        for generator in self._generators:
            generator.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=FINISH_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        await self._session.close()
        return self.tally

    async def serve(self, seconds, services=()):
        """Wait until ``seconds`` worth of requests have completed.

        The number is each service's rate times ``seconds``. ``services``
        restricts the services that are waited for.
        """
        tally = self.tally
        target_by_service = {
            rate.service: tally.count("complete", rate.service)
            + rate.requests_per_s * seconds
            for rate in self._rates
            if not services or rate.service in services
        }

        async def is_reached():
            return all(
                tally.count("complete", name) >= target_by_service[name]
                for name in target_by_service
            )

        await wait_until(is_reached, SERVE_TIMEOUT_S, f"{target_by_service} complete")

    async def evaluate_run(self, drained=(), may_cut=False):
        """Stop the load; return the verdict on the run."""
        standins = self._cluster.standins
        return evaluate_run(
            await self.end(),
            await standins.get_executions(),
            await standins.get_upstream_stats(),
            drained,
            min_complete_share=0.0,
            may_cut=may_cut,
        )

    async def _generate(self, rate):
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        while True:
            next_at += self._random.expovariate(rate.requests_per_s)
            await asyncio.sleep(max(0.0, next_at - loop.time()))
            self.send(rate.service)

    def send(self, service, query=""):
        """Send one request from a random caller; return its id."""
        self._next_id += 1
        request_id = f"{self._name}{self._next_id}"
        caller = self._random.choice(self.callers)
        kind = self._cluster.config.service_by_name[service].kind
        if kind == KIND_TRANSACTION:
            coroutine = caller.send_transaction(service, request_id, query)
        elif kind == KIND_BULK:
            coroutine = caller.download(service, request_id, BUNDLE_CHUNK_MS)
        else:
            coroutine = caller.get(service, request_id, query)
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return request_id
