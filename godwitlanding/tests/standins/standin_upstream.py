"""Simulates all licensed upstreams of a configuration in one process.

For tests and the demo. Each upstream serves ``docs/upstream_api.rst`` on its
own address. Faults are set and counters are read under ``/standin/`` at the
control address.

    python -m godwitlanding.tests.standins.standin_upstream \\
        --config samples/demo.json5 --control 127.0.0.9:8001
"""

import argparse
import asyncio
from pathlib import Path

from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from godwitlanding.base.config import parse_config
from godwitlanding.tests.standins.licensed import Executions, LicensedUpstream
from godwitlanding.tests.standins.listener import Listener


class UpstreamGroup:
    """The simulated upstreams of a process and their control API."""

    def __init__(self, config, availability_zones=(), seed=0):
        self.executions = Executions()
        self.upstream_by_id = {
            upstream.id: LicensedUpstream(
                upstream, service.work_s, self.executions, seed
            )
            for service in config.service_by_name.values()
            for upstream in service.upstream_by_id.values()
            if not availability_zones
            or upstream.availability_zone in availability_zones
        }

    def make_app(self):
        """Return the ASGI app of the control address."""
        return Starlette(
            routes=[
                Route("/standin/stats", self.get_stats),
                Route("/standin/executions", self.get_executions),
                Route("/standin/upstreams/{id}", self.change, methods=["PUT"]),
                Route("/standin/upstreams/{id}/crash", self.crash, methods=["POST"]),
            ]
        )

    async def start(self):
        """Start every upstream."""
        for upstream in self.upstream_by_id.values():
            await upstream.start()

    def stop(self):
        """Stop every upstream without a later restart."""
        for upstream in self.upstream_by_id.values():
            upstream.stop()

    async def get_stats(self, request):
        """Respond with the counters of each upstream."""
        stats = {id: u.get_stats() for id, u in self.upstream_by_id.items()}
        return JSONResponse(stats)

    async def get_executions(self, request):
        """Respond with how often each non-idempotent request ran."""
        executions = self.executions
        return JSONResponse(
            {"by_id": executions.count_by_id, "by_key": executions.count_by_key}
        )

    async def change(self, request):
        """Set faults of one upstream, or of all with the id ``all``."""
        selected = self._find_upstreams(request)
        try:
            values = await request.json()
            for upstream in selected:
                upstream.change(values)
        except ValueError as error:
            return JSONResponse({"error": str(error)}, status_code=400)
        return JSONResponse({"changed": len(selected)})

    async def crash(self, request):
        """Crash an upstream for the seconds ``down_s`` in the query."""
        selected = self._find_upstreams(request)
        for upstream in selected:
            upstream.crash(float(request.query_params.get("down_s", 3.0)))
        return JSONResponse({"changed": len(selected)})

    def _find_upstreams(self, request):
        upstream_id = request.path_params["id"]
        if upstream_id == "all":
            return list(self.upstream_by_id.values())
        found = self.upstream_by_id.get(upstream_id)
        return [found] if found else []


def parse_arguments(argv=None):
    """Return the command line's arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--config", required=True, help="Configuration file to read")
    parser.add_argument(
        "--control", default="127.0.0.9:8001", help="IP:port of the control API"
    )
    parser.add_argument(
        "--zones", nargs="*", default=[], help="Simulate only upstreams of these zones"
    )
    parser.add_argument(
        "--seed", type=int, default=0, help="Seed of the random working times"
    )
    return parser.parse_args(argv)


async def serve(arguments):
    """Serve until the process is stopped."""
    config = parse_config(Path(arguments.config).read_text()).unwrap()
    upstream_group = UpstreamGroup(config, arguments.zones, arguments.seed)
    await upstream_group.start()
    host, _, port = arguments.control.rpartition(":")
    await Listener(upstream_group.make_app(), host, int(port)).start()
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(parse_arguments()))
