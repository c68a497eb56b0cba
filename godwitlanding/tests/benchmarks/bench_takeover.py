"""Measures propagation, failover and idle cost of real zone daemons.

    python -m godwitlanding.tests.benchmarks.bench_takeover

Starts a cluster of separate processes and prints one table: the seconds from
the platform's commit of a change until the last process has it; the seconds
until another arbiter grants after a kill, a pause, a graceful stop and the
loss of its VM; the seconds until another planner holds the lease; and the
cost of an idle zone.
"""

import argparse
import asyncio
import json
import signal
import sys
from pathlib import Path
from statistics import median

from godwitlanding.base.messages import Envelope, Heartbeat, VersionOf, encode
from godwitlanding.base.store import HttpStore
from godwitlanding.tests.benchmarks.measure import format_table, read_process_usage
from godwitlanding.tests.tools.cluster import ROLES, Cluster, wait_until
from godwitlanding.tests.tools.network import make_network

TEXT = Path(__file__).parents[1] / "data/small.json5"
POLL_S = 0.02
TIMEOUT_S = 60.0
SETTLE_S = 6.0
SLOT_TIMEOUT_S = 10.0
FRAME_HEADER_BYTES = 4


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--network",
        type=int,
        default=40,
        help="Use 127.0.NETWORK.x and the next network",
    )
    parser.add_argument(
        "--changes", type=int, default=5, help="Number of configuration changes"
    )
    parser.add_argument(
        "--rest-s", type=float, default=15.0, help="Seconds to measure while idle"
    )
    parser.add_argument(
        "--text", default=str(TEXT), help="Path of the configuration to run"
    )
    return parser.parse_args(argv)


class TakeoverBenchmark:
    """Runs the measurements on a started cluster and collects their rows."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.rows = []
        self.store = HttpStore(cluster.standins.platform_url, 2.0)

    def add_row(self, what, value, unit):
        """Add a row to the table."""
        self.rows.append((what, value, unit))

    async def read_zones(self, excluded_vm=""):
        """Return the status of each zone daemon that responds, by vm.

        A paused daemon would block the reading and must be excluded.
        """
        status_by_vm = {}
        for vm in self.cluster.vm_by_name:
            if vm == excluded_vm:
                continue
            status = await self.cluster.get_status(vm, "zone")
            if status:
                status_by_vm[vm] = status
        return status_by_vm

    async def measure_changes(self, count):
        """Measure the time from each commit until the last process has it."""
        times_s = []
        for number in range(count):
            current = (await self.store.get("config", "main")).unwrap()
            text = current.value + f"\n// change {number}\n".encode()
            put = await self.store.put("config", "main", text, current.version)
            version = put.unwrap()
            began = now()
            await self._wait_for_version(version)
            times_s.append(now() - began)
            await asyncio.sleep(1)
        self.add_row("change to the last process, median", median(times_s), "s")
        self.add_row("change to the last process, most", max(times_s), "s")

    async def _wait_for_version(self, version):
        async def has_all():
            calls = [
                self.cluster.get_status(vm, role)
                for vm in self.cluster.vm_by_name
                for role in ROLES
            ]
            found = await asyncio.gather(*calls)
            return all(
                status and status["versions"].get("config/main", 0) >= version
                for status in found
            )

        await poll(has_all, "the change")

    async def find_arbiters(self, service, excluded_vm=""):
        """Yield ``(vm, status)`` of each permit server that can grant."""
        for vm, status in (await self.read_zones(excluded_vm)).items():
            arbitration = status["services"]["arbitration"]["services"]
            permit_server = arbitration.get(service, {})
            if permit_server.get("active") and permit_server.get("usable_slots"):
                yield vm, permit_server

    async def measure_arbiter(self, what, remove, restore=None):
        """Measure the time from ``remove(arbiter)`` until another one grants.

        With ``restore``, then also measures the time until every slot is
        usable after ``restore(arbiter)``.
        """
        zone = next(iter(self.cluster.config.region_by_zone))
        service = next(iter(self.cluster.config.service_by_name))
        slots = self._count_slots(zone, service)
        arbiter = await self._get_arbiter_in(zone, service)
        began = now()
        await remove(arbiter)
        first_s = None

        async def is_taken():
            nonlocal first_s
            async for vm, permit_server in self.find_arbiters(service, arbiter):
                if not vm.startswith(zone):
                    continue
                first_s = first_s or now() - began
                if permit_server["usable_slots"] >= slots:
                    return True
            return now() - began > SLOT_TIMEOUT_S

        await poll(is_taken, "another arbiter")
        self.add_row(f"arbiter {what}: first slot elsewhere", first_s, "s")
        all_s = now() - began
        # A VM that only stops responding keeps its upstreams.
        unit = "s" if all_s < SLOT_TIMEOUT_S else "s, not all slots by then"
        self.add_row(f"arbiter {what}: every slot elsewhere", all_s, unit)
        if restore:
            began = now()
            await restore(arbiter)
            await self._wait_for_slots(zone, service, slots)
            self.add_row(f"arbiter {what} and back: every slot", now() - began, "s")
            await asyncio.sleep(SETTLE_S)

    async def _wait_for_slots(self, zone, service, slots):
        async def has_all():
            async for vm, permit_server in self.find_arbiters(service):
                if vm.startswith(zone) and permit_server["usable_slots"] >= slots:
                    return True
            return False

        await poll(has_all, "every slot")

    async def _get_arbiter_in(self, zone, service):
        async for vm, _ in self.find_arbiters(service):
            if vm.startswith(zone):
                return vm
        raise RuntimeError(f"{zone} has no arbiter of {service}")

    def _count_slots(self, zone, service):
        upstreams = self.cluster.config.service_by_name[service].get_upstreams(zone)
        return sum(upstream.slots for upstream in upstreams)

    async def measure_planner(self):
        """Kill the planner; measure the time until another holds the lease."""
        (planner,) = await self._list_planners()
        began = now()
        await self.cluster.kill(planner, "zone")

        async def is_taken():
            return bool(set(await self._list_planners()) - {planner})

        await poll(is_taken, "another planner")
        self.add_row("planner killed: lease held elsewhere", now() - began, "s")

    async def _list_planners(self):
        return [
            vm
            for vm, status in (await self.read_zones()).items()
            if status["services"]["planner"].get("holds_lease")
        ]

    async def measure_idle(self, duration_s):
        """Measure platform calls, heartbeats and CPU time while idle."""
        before, cost_before = await self._read_counts()
        await asyncio.sleep(duration_s)
        after, cost_after = await self._read_counts()
        zones = len(self.cluster.config.region_by_zone)
        vms = len(self.cluster.vm_by_name)
        for operation in ("get", "list", "list_vms", "watch", "put"):
            calls = sum_calls(after, operation) - sum_calls(before, operation)
            self.add_row(
                f"platform {operation} a zone", calls / duration_s / zones, "1/s"
            )
        watches = sum(
            len(status["services"]["replication"]["watched_kinds"])
            for status in (await self.read_zones()).values()
        )
        self.add_row("watches waiting a zone", watches / zones, "")
        sent = sum_counter(after, "heartbeats_sent") - sum_counter(
            before, "heartbeats_sent"
        )
        self.add_row("heartbeats sent a member", sent / duration_s / vms, "1/s")
        self.add_row("bytes of a heartbeat", await self._measure_heartbeat(), "B")
        cpu_s = sum(cost.cpu_s for cost in cost_after.values()) - sum(
            cost.cpu_s for cost in cost_before.values()
        )
        self.add_row(
            "zone daemon at rest", 100 * cpu_s / duration_s / vms, "% of a core"
        )
        resident = [cost.resident_mb for cost in cost_after.values()]
        self.add_row("zone daemon resident, most", max(resident), "MB")

    async def _read_counts(self):
        counters_by_vm = {
            vm: status["counters"] for vm, status in (await self.read_zones()).items()
        }
        cost_by_vm = {
            vm: read_process_usage(self.cluster.get_pid(vm, "zone"))
            for vm in counters_by_vm
        }
        return counters_by_vm, cost_by_vm

    async def _measure_heartbeat(self):
        vm, status = next(iter((await self.read_zones()).items()))
        kinds = ("config", "plan", "secret", "roster", "vms")
        versions = tuple(
            VersionOf(*key.split("/"), version)
            for key, version in status["versions"].items()
            if key.split("/")[0] in kinds
        )
        member = status["services"]["members"]["members"][0]
        heartbeat = Heartbeat(
            vm,
            member["incarnation"],
            False,
            versions,
            member["entry_incarnation"],
            True,
            member["address"],
        )
        return len(encode(Envelope(0, False, heartbeat))) + FRAME_HEADER_BYTES


def now():
    """Return the event loop's time in seconds."""
    return asyncio.get_running_loop().time()


async def poll(check, what):
    """Call ``check`` every ``POLL_S`` until it returns true.

    Raises ``TimeoutError`` after ``TIMEOUT_S``; ``what`` names the condition.
    """
    end = now() + TIMEOUT_S
    while not await check():
        if now() > end:
            raise TimeoutError(f"timed out after {TIMEOUT_S} s waiting for {what}")
        await asyncio.sleep(POLL_S)


def sum_calls(counters_by_vm, operation):
    """Return the number of platform calls of an operation by all daemons."""
    label = f"operation={operation},"
    return sum(
        value
        for counters in counters_by_vm.values()
        for name, value in counters.items()
        if name.startswith("platform_calls{") and label in name
    )


def sum_counter(counters_by_vm, name):
    """Return the sum of a counter over all daemons and labels."""
    return sum(
        value
        for counters in counters_by_vm.values()
        for key, value in counters.items()
        if key.startswith(f"{name}{{")
    )


async def run(arguments):
    """Run every measurement and print the table."""
    text = Path(arguments.text).read_text()
    cluster = Cluster(text, make_network(arguments.network))
    bench = TakeoverBenchmark(cluster)

    async def kill(vm):
        await cluster.kill(vm, "zone")

    async def pause(vm):
        cluster.send_signal(vm, "zone", signal.SIGSTOP)

    async def resume(vm):
        cluster.send_signal(vm, "zone", signal.SIGCONT)

    async def stop(vm):
        cluster.send_signal(vm, "zone", signal.SIGTERM)

    async def start_again(vm):
        await cluster.wait_for_exit(vm, "zone")
        await cluster.start_role(vm, "zone")
        await wait_until(cluster.is_ready, TIMEOUT_S, "the daemon to be ready")

    try:
        await cluster.start()
        await asyncio.sleep(SETTLE_S)
        await bench.measure_idle(arguments.rest_s)
        await bench.measure_changes(arguments.changes)
        await bench.measure_arbiter("killed", kill, start_again)
        await bench.measure_arbiter("paused", pause, resume)
        await bench.measure_arbiter("stopped as planned", stop, start_again)
        await bench.measure_arbiter("lost with its VM", cluster.kill_vm)
        await bench.measure_planner()
    finally:
        print(format_table(("what", "value", "unit"), bench.rows))
        await bench.store.close()
        await cluster.stop()
    print(json.dumps({what: value for what, value, _ in bench.rows}))


def main(argv=None):
    """Run the benchmark; return the exit code."""
    asyncio.run(run(parse_arguments(argv)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
