"""In-memory stand-in for the platform's object API, for tests and the demo.

Implements ``docs/platform_api.rst``. Faults are set and counters are read
under ``/standin/``.

    python -m godwitlanding.tests.standins.standin_platform --port 8000
"""

import argparse
import asyncio
import base64
import json
from collections import Counter

from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from godwitlanding.base.codes import ROW_BY_CODE
from godwitlanding.base.storetypes import VmEntry, VmList, get_revision
from godwitlanding.tests.standins.listener import Listener, reset
from godwitlanding.tests.standins.objects import EMPTY_VM_LIST, ObjectTable

OUTAGES = ("none", "refuse", "reset", "hang")
# Limits how long a hanging call keeps a task of the stand-in.
HANG_S = 120.0
MAX_WATCH_S = 60.0


class PlatformFaults:
    """The faults that the platform currently has.

    The attribute names are the keys of the control API.
    """

    def __init__(self):
        self.outage = "none"
        self.delay_s = 0.0
        self.lost_answers = 0
        self.lost_kind = ""
        self.list_lag_s = 0.0
        self.reads_per_s = 2000.0
        self.writes_per_s = 500.0
        self.cut_hosts = []

    def change(self, values):
        """Set the given faults; raises ``ValueError`` for an unknown one."""
        unknown = set(values) - set(vars(self))
        if unknown or values.get("outage", "none") not in OUTAGES:
            raise ValueError(f"unknown fault or outage in {values}")
        vars(self).update(values)


class TokenBucket:
    """A token bucket whose capacity is the tokens of one second."""

    def __init__(self):
        self._tokens = None
        self._filled_at = 0.0

    def take(self, rate_per_s, now):
        """Take a token; tell whether one was available at ``now``."""
        if self._tokens is None:
            self._tokens = rate_per_s
        self._tokens += (now - self._filled_at) * rate_per_s
        self._tokens = min(self._tokens, rate_per_s)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Platform:
    """The state of the stand-in and its HTTP handlers."""

    def __init__(self):
        self.objects = ObjectTable()
        self.faults = PlatformFaults()
        self.counts = Counter()
        self._waiting = 0
        self._most_waiting = 0
        self._snapshot = self.objects.take_snapshot()
        self._vm_lists = [(0.0, EMPTY_VM_LIST)]
        self._reads = TokenBucket()
        self._writes = TokenBucket()

    def make_app(self):
        """Return the ASGI app."""

        def add_copies_header(handler):
            async def handle(request):
                response = await handler(request)
                copies = map(str, self.objects.copies)
                response.headers["Platform-Copies"] = ",".join(copies)
                return response

            return handle

        objects = "/v1/objects/{kind}"
        single_object = objects + "/{name:path}"
        rows = [
            (single_object, self.get, ["GET"]),
            (single_object, self.put, ["PUT"]),
            (single_object, self.delete, ["DELETE"]),
            (objects, self.list, ["GET"]),
            ("/v1/watch/{kind}", self.watch, ["GET"]),
            ("/v1/vms", self.list_vms, ["GET"]),
            ("/standin/faults", self.set_faults, ["PUT"]),
            ("/standin/vms", self.set_vms, ["PUT"]),
            ("/standin/snapshot", self.take_snapshot, ["POST"]),
            ("/standin/restore", self.restore, ["POST"]),
            ("/standin/stats", self.get_stats, ["GET"]),
        ]
        return Starlette(
            routes=[
                Route(path, add_copies_header(handler), methods=methods)
                for path, handler, methods in rows
            ]
        )

    async def get(self, request):
        """Respond with the value of an object and its version as ETag."""
        failure = await self._admit(request, "reads", self._reads)
        if failure:
            return failure
        found = self.objects.get(**request.path_params)
        if found.is_err():
            return _make_error_response(found)
        stored = found.unwrap()
        headers = {"ETag": f'"{get_revision(stored.version)}"'}
        return Response(
            stored.value, headers=headers, media_type="application/octet-stream"
        )

    async def list(self, request):
        """Respond with all objects of a kind."""
        failure = await self._admit(request, "reads", self._reads)
        if failure:
            return failure
        rows = [_make_row(s) for s in self.objects.list(request.path_params["kind"])]
        return JSONResponse({"version": self.objects.revision, "objects": rows})

    async def put(self, request):
        """Write an object if the condition of the request holds."""
        value = await request.body()
        revision = _read_condition(request)
        if revision is None:
            return Response("If-Match or If-None-Match is required", status_code=428)
        failure = await self._admit(request, "writes", self._writes)
        if failure:
            return failure
        kind, name = request.path_params["kind"], request.path_params["name"]
        expected_version = self.objects.find_version(revision)
        written = self.objects.put(kind, name, value, expected_version)
        return await self._respond_to_write(request, written)

    async def delete(self, request):
        """Delete an object if the condition of the request holds."""
        revision = _read_condition(request)
        if not revision:
            return Response("If-Match is required", status_code=428)
        failure = await self._admit(request, "writes", self._writes)
        if failure:
            return failure
        kind, name = request.path_params["kind"], request.path_params["name"]
        expected_version = self.objects.find_version(revision)
        written = self.objects.delete(kind, name, expected_version)
        return await self._respond_to_write(request, written)

    async def watch(self, request):
        """Respond with the changes of a kind after a version (long poll)."""
        failure = await self._admit(request, "watches", self._reads)
        if failure:
            return failure
        try:
            after = self.objects.find_version(int(request.query_params["after"]))
            timeout_s = float(request.query_params["timeout_s"])
        except (KeyError, ValueError):
            return Response("after and timeout_s are required", status_code=400)
        self._waiting += 1
        self._most_waiting = max(self._most_waiting, self._waiting)
        try:
            read = await self.objects.wait_for_events(
                request.path_params["kind"],
                after,
                min(timeout_s, MAX_WATCH_S),
                lambda: self._is_reachable(request),
            )
        finally:
            self._waiting -= 1
        if not self._is_reachable(request):
            return await self._fail(request)
        if read.is_err():
            return _make_error_response(read)
        batch = read.unwrap()
        rows = [{**_make_row(e.stored), "deleted": e.deleted} for e in batch.events]
        version = get_revision(batch.version)
        return JSONResponse({"version": version, "events": rows})

    async def list_vms(self, request):
        """Respond with the VM list as it was ``list_lag_s`` ago."""
        failure = await self._admit(request, "reads", self._reads)
        if failure:
            return failure
        visible_until = asyncio.get_running_loop().time() - self.faults.list_lag_s
        visible = [rows for set_at, rows in self._vm_lists if set_at <= visible_until]
        current = visible[-1]
        vms = [vm._asdict() for vm in current.vms]
        return JSONResponse({"version": current.version, "vms": vms})

    async def set_vms(self, request):
        """Set the actual VM list; ``list_vms`` shows it after the lag."""
        rows = tuple(VmEntry(**row) for row in (await request.json())["vms"])
        version = self._vm_lists[-1][1].version + 1
        now = asyncio.get_running_loop().time()
        self._vm_lists.append((now, VmList(version, rows)))
        return JSONResponse({"version": version})

    async def set_faults(self, request):
        """Set the faults named in the body."""
        try:
            self.faults.change(await request.json())
        except ValueError as error:
            return JSONResponse({"error": str(error)}, status_code=400)
        self.objects.wake()
        return JSONResponse(vars(self.faults))

    async def take_snapshot(self, request):
        """Save the current state for a later restore."""
        self._snapshot = self.objects.take_snapshot()
        return JSONResponse({"version": self._snapshot.revision})

    async def restore(self, request):
        """Return to the saved state."""
        self.objects.restore(self._snapshot)
        return JSONResponse({"version": self.objects.revision})

    async def get_stats(self, request):
        """Respond with the counters of calls and waiting watches."""
        counts = {"reads": 0, "writes": 0, "watches": 0, **self.counts}
        waiting = {"waiting": self._waiting, "most_waiting": self._most_waiting}
        return JSONResponse({**counts, **waiting})

    async def _admit(self, request, count, limit):
        """Count a call; return an error response if it must not proceed."""
        self.counts[count] += 1
        if not self._is_reachable(request):
            self.counts["failed"] += 1
            return await self._fail(request)
        is_read = limit is self._reads
        rate = self.faults.reads_per_s if is_read else self.faults.writes_per_s
        if not limit.take(rate, asyncio.get_running_loop().time()):
            self.counts["rate_limited"] += 1
            return Response(status_code=429, headers={"Retry-After": "1"})
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        return None

    def _is_reachable(self, request):
        is_cut = request.scope["server"][0] in self.faults.cut_hosts
        return self.faults.outage == "none" and not is_cut

    async def _fail(self, request):
        if self.faults.outage == "refuse":
            return Response(status_code=503)
        if self.faults.outage == "hang":
            await asyncio.sleep(HANG_S)
        reset(request.scope["state"]["transport"])
        return Response(status_code=503)

    async def _respond_to_write(self, request, written):
        if written.is_err():
            return _make_error_response(written)
        lost_kind = self.faults.lost_kind
        is_lost_kind = lost_kind in ("", request.path_params["kind"])
        if self.faults.lost_answers > 0 and is_lost_kind:
            self.faults.lost_answers -= 1
            self.counts["lost_answers"] += 1
            reset(request.scope["state"]["transport"])
        return JSONResponse({"version": get_revision(written.unwrap())})


def _make_row(stored):
    value = base64.b64encode(stored.value).decode()
    version = get_revision(stored.version)
    return {"name": stored.name, "version": version, "value": value}


def _make_error_response(result):
    refusal = result.unwrap_err()
    return Response(status_code=ROW_BY_CODE[refusal.code].http_status)


def _read_condition(request):
    """Return the required revision, 0 for no object, ``None`` if missing."""
    if request.headers.get("if-none-match") == "*":
        return 0
    version = request.headers.get("if-match", "").strip('"')
    return int(version) if version.isdecimal() else None


def parse_arguments(argv=None):
    """Return the command line's arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--host", default="127.0.0.9", help="IP address to listen on")
    parser.add_argument("--port", type=int, default=8000, help="Port to listen on")
    parser.add_argument(
        "--also", nargs="*", default=[], help="More IP addresses, which can be cut off"
    )
    parser.add_argument(
        "--faults", type=json.loads, default={}, help="Initial faults as JSON"
    )
    return parser.parse_args(argv)


async def serve(arguments):
    """Serve until the process is stopped."""
    platform = Platform()
    platform.faults.change(arguments.faults)
    for host in (arguments.host, *arguments.also):
        await Listener(platform.make_app(), host, arguments.port).start()
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(parse_arguments()))
