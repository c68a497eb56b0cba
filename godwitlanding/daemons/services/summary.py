"""Measures the zone's load and writes its summary to the platform.

Each arbiter sends its measurements to the zone writer, which combines them.
The platform receives one write for each zone and interval. Zones exchange
information about their load only by these summaries.
"""

import asyncio
import json

from godwitlanding.base.codes import Code
from godwitlanding.base.kernel import Service
from godwitlanding.base.log import log_warning
from godwitlanding.base.messages import State
from godwitlanding.base.tasks import Tasks

SUMMARY_KIND = "summary"
# Sent by an arbiter to the zone writer; not an object of the platform.
LOAD_KIND = "load"
RATE_BY_COUNT = {
    "arrivals": "arrivals_per_s",
    "served": "served_per_s",
    "refused": "refused_per_s",
    "passed_on": "passed_on_per_s",
}


class Summary(Service):
    """Collects loads and writes the object ``summary/<zone>``."""

    name = "summary"
    needs = ("arbitration", "members", "replication", "platform", "configuration")

    def __init__(self, context):
        self.planner_vm = ""
        self._context = context
        self._tasks = Tasks()
        self._load_by_service = {}
        self._counts_by_service = {}
        self._sequence = 0

    async def start(self, kernel):
        """Start measuring."""
        self._arbitration = kernel.get("arbitration")
        self._members = kernel.get("members")
        self._replication = kernel.get("replication")
        self._configuration = kernel.get("configuration")
        self._store = kernel.get("platform").store
        self._pool = kernel.get("peers").pool
        self._replication.handle_kind(LOAD_KIND, self._handle_load)
        self._tasks.repeat(self._context.settings["summary_s"], self._measure)

    async def stop(self):
        """Stop measuring."""
        await self._tasks.stop()

    def get_status(self):
        """Return the loads that this member has received."""
        return {"sequence": self._sequence, "services": self._get_recent_loads()}

    def _now(self):
        return asyncio.get_running_loop().time()

    async def _measure(self):
        if not self._members.is_settled():
            return
        now = self._now()
        writer = self._replication.choose_zone_writer()
        address = self._members.get_peer_addresses().get(writer)
        for (
            service,
            permit_server,
        ) in self._arbitration.permit_server_by_service.items():
            if not permit_server.active:
                continue
            body = json.dumps(self._make_row(service, permit_server, now)).encode()
            state = State(LOAD_KIND, service, 1, body)
            if writer == self._context.vm:
                self._handle_load(state)
            elif address:
                self._tasks.run(self._pool.send(address, state))
        if writer == self._context.vm and self._configuration.config:
            await self._write_summary()

    def _make_row(self, service, permit_server, now):
        status = permit_server.arbiter.get_status(now)
        row = {
            "slots": status["slots"],
            "usable_slots": status["usable_slots"],
            "busy": status["busy"],
            "queued": status["queued"],
            "warm_share": permit_server.get_warm_share(now),
        }
        previous_at, previous = self._counts_by_service.get(
            service, (now, permit_server.counts)
        )
        elapsed_s = max(now - previous_at, 0.001)
        for count, rate in RATE_BY_COUNT.items():
            row[rate] = round(
                (permit_server.counts[count] - previous[count]) / elapsed_s, 3
            )
        self._counts_by_service[service] = (now, dict(permit_server.counts))
        return row

    def _handle_load(self, state):
        try:
            row = json.loads(state.body)
        except ValueError as error:
            log_warning("summary:bad_load", error=str(error))
            return
        self._load_by_service[state.name] = (self._now(), row)

    def _get_recent_loads(self):
        # An arbiter that has ended sends nothing more; its last load must not
        # be used as a current measurement.
        max_age_s = self._context.settings["summary_max_age_s"]
        now = self._now()
        return {
            service: row
            for service, (at, row) in sorted(self._load_by_service.items())
            if now - at <= max_age_s
        }

    async def _write_summary(self):
        zone = self._context.availability_zone
        self._sequence += 1
        body = json.dumps(
            {
                "sequence": self._sequence,
                "leaving_vms": sorted(
                    vm for vm, m in self._members.member_by_vm.items() if m.leaving
                ),
                "planner": self.planner_vm,
                "plan_version": self._members.get_lowest_version("plan", "main"),
                "services": self._get_recent_loads(),
            },
            sort_keys=True,
        ).encode()
        version = self._context.replica.get_version(SUMMARY_KIND, zone)
        written = await self._replication.write(SUMMARY_KIND, zone, body, version)
        if written.is_ok():
            state = State(SUMMARY_KIND, zone, written.unwrap(), body)
            self._context.replica.offer(state)
            return
        code = written.unwrap_err().code
        self._context.counters.add("summary_write_failed", code=code.name)
        if code is Code.VERSION_CONFLICT:
            await self._read_summary(zone)

    async def _read_summary(self, zone):
        read = await self._store.get(SUMMARY_KIND, zone)
        if read.is_ok():
            stored = read.unwrap()
            state = State(SUMMARY_KIND, zone, stored.version, stored.value)
            self._context.replica.offer(state)
