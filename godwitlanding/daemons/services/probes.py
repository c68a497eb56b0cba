"""Probes the health endpoints of upstreams whose arbiter is this VM."""

import asyncio
import json

import aiohttp

from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import Tasks
from godwitlanding.decisions.health import DRAINING, FAILED, READY

MAX_BODY_BYTES = 4096


class Probes(Service):
    """Requests ``/healthz`` of each upstream every ``probe_s`` seconds."""

    name = "probes"
    needs = ("arbitration", "configuration")

    def __init__(self, context):
        self._context = context
        self._tasks = Tasks()
        self._session = None
        self._probing = set()
        self.state_by_upstream = {}

    async def start(self, kernel):
        """Start the probes."""
        self._arbitration = kernel.get("arbitration")
        self._configuration = kernel.get("configuration")
        timeout_s = self._context.settings["probe_timeout_s"]
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=timeout_s)
        )
        self._tasks.repeat(self._context.settings["probe_s"], self._probe_all)

    async def stop(self):
        """Stop the probes."""
        await self._tasks.stop()
        if self._session:
            await self._session.close()

    def get_status(self):
        """Return the state that each upstream's last probe returned."""
        return {"state_by_upstream": self.state_by_upstream}

    async def _probe_all(self):
        config = self._configuration.config
        zone = self._context.availability_zone
        for service in config.service_by_name.values() if config else ():
            permit_server = self._arbitration.permit_server_by_service.get(service.name)
            if permit_server and permit_server.active:
                for upstream in service.get_upstreams(zone):
                    if upstream.id not in self._probing:
                        self._tasks.run(self._probe(upstream))

    async def _probe(self, upstream):
        self._probing.add(upstream.id)
        try:
            state = await self._fetch_state(upstream.address)
        finally:
            self._probing.discard(upstream.id)
        previous_state = self.state_by_upstream.get(upstream.id)
        self.state_by_upstream[upstream.id] = state
        health = self._arbitration.health_by_service.get(upstream.service)
        if health is None:
            return
        probe_result = {"draining": DRAINING, FAILED: FAILED}.get(state, READY)
        now = asyncio.get_running_loop().time()
        health.note_probe(upstream.id, probe_result, now)
        self._arbitration.refresh_usable(upstream.service)
        if state == "cold" and previous_state not in ("cold", None):
            self._arbitration.note_cold(upstream.service, upstream.id)

    async def _fetch_state(self, address):
        try:
            async with self._session.get(f"http://{address}/healthz") as response:
                body = await response.content.read(MAX_BODY_BYTES)
            state = json.loads(body)["state"]
            return state if state in ("ready", "cold", "draining") else FAILED
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._context.counters.add("probes_failed", reason=type(error).__name__)
        except (ValueError, KeyError, TypeError):
            self._context.counters.add("probes_failed", reason="garbage")
        return FAILED
