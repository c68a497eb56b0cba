"""Soak of requests that crash upstreams, sent again and again to any VM.

    python -m godwitlanding.tests.soak.crashing --seeds 1 20 --jobs 1

Each seed starts three regions of 3, 4 and 5 VMs as real processes with twelve
upstreams. A few requests crash each upstream that begins to run them, while
VMs are killed, stopped, paused, started late and cut off, and datagrams are
lost. Other callers are served meanwhile, on connections that stay open. With
``--cuts``, VMs also lose their links to all upstreams.
"""

import argparse
import asyncio
import json
import logging
import random
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import aiohttp

from godwitlanding.tests.gateway.vm_with_cut_upstreams import SUFFIX as CUT_SUFFIX
from godwitlanding.tests.gateway.world import World
from godwitlanding.tests.soak.vm_with_bad_links import SUFFIX

REGION_BY_ZONE = {"a1": "a", "b1": "b", "c1": "c"}
ZONES = ("a1",) * 3 + ("b1",) * 4 + ("c1",) * 5
WORKERS = tuple(
    (f"look-{number}-{zone}", "looks", zone)
    for number in range(4)
    for zone in REGION_BY_ZONE
)
CRASH_PATH = "/look/crash-"
CRASHING_REQUESTS = 3
RESTART_S = 2.0
KINDS = ("kill", "kill", "term", "pause", "late", "cut", "cut_region", "loss", "loss")
CUT_KINDS = ("hang", "reset", "refuse")
FAULT_WINDOW_S = 9.0
DURATION_S = 16.0
CALLERS = 6
CALLER_PAUSE_S = 0.05
# From the users' rules: after the third crash and the time in which a machine
# is in touch again, a request may be sent on three times.
IN_TOUCH_S = 4.0
CRASHES_BEFORE = 3
MAX_LATER_RUNS = 3
MIN_SERVED_SHARE = 0.98
OBSERVATION_S = 2.0


class Fault(NamedTuple):
    """A fault of a ``kind`` that begins ``at_s`` and lasts ``for_s``."""

    at_s: float
    for_s: float
    kind: str
    target: int


class Report(NamedTuple):
    """The result of one seed."""

    seed: int
    faults: tuple[Fault, ...]
    crashes: dict
    served: int
    problems: tuple[str, ...]


def draw_faults(seed):
    """Return the faults of a seed, ordered by start time."""
    rng = random.Random(f"crashing {seed}")
    return sorted(_draw_fault(rng, KINDS) for _ in range(rng.randint(2, 7)))


def draw_cuts(seed):
    """Return faults in which VMs lose their links to all upstreams."""
    rng = random.Random(f"cuts {seed}")
    return [_draw_fault(rng, CUT_KINDS) for _ in range(rng.randint(1, 6))]


def _draw_fault(rng, kinds):
    return Fault(
        at_s=round(rng.uniform(0.2, FAULT_WINDOW_S), 2),
        for_s=round(rng.uniform(0.5, 5.0), 2),
        kind=rng.choice(kinds),
        target=rng.randrange(len(ZONES)),
    )


class CrashingWorld(World):
    """A ``World`` of three regions whose VMs may lose gossip messages."""

    def __init__(self, folder, faults):
        super().__init__(folder, ZONES, WORKERS, REGION_BY_ZONE)
        self._faults = faults
        # Rows of a VM's name and when a fault began and ended to affect it.
        self.disturbed = []
        self.down = set()
        self.runs_by_path = {}

    async def prepare_vm(self, vm, number):
        """Let the VM lose gossip messages when asked."""
        vm.module = "godwitlanding.tests.gateway.vm_with_cut_upstreams"

    async def start(self):
        """Start the upstreams' faults and all VMs but those that come late."""
        for worker_id, _, _ in WORKERS:
            worker = self.get_worker(worker_id)
            worker.crash_path = CRASH_PATH
            worker.restart_after_s = RESTART_S
        late = {f.target for f in self._faults if f.kind == "late"}
        self.down = {self.vms[number].name for number in late}
        started = [vm for vm in self.vms if vm.name not in self.down]
        for vm in started:
            await vm.start()
        for vm in started:
            await self.wait_until_ready(vm)

    async def inject(self, fault):
        """Inject a fault and repair it."""
        await asyncio.sleep(fault.at_s)
        vm = self.vms[fault.target]
        if fault.kind in CUT_KINDS:
            path = vm.path.with_suffix(CUT_SUFFIX)
            path.write_text(json.dumps(fault.kind))
            await asyncio.sleep(fault.for_s)
            path.write_text(json.dumps(""))
        elif fault.kind in ("cut", "cut_region", "loss"):
            await self._harm_links(fault, vm)
        elif fault.kind == "late" or vm.name not in self.down:
            began = time.monotonic()
            self.down.add(vm.name)
            await self._stop_vm(fault, vm)
            self.down.discard(vm.name)
            self.disturbed.append((vm.name, began, time.monotonic()))

    async def _stop_vm(self, fault, vm):
        if fault.kind == "pause":
            vm.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            vm.signal(signal.SIGCONT)
            return
        if fault.kind == "kill":
            await vm.end()
            await asyncio.sleep(fault.for_s / 2)
        elif fault.kind == "term":
            await self.stop(vm)
        if fault.kind != "late" or vm.process is None:
            await vm.start()
        await self.wait_until_ready(vm)

    async def _harm_links(self, fault, vm):
        began = time.monotonic()
        harmed = self.vms
        cut_by_vm = {other.name: [] for other in self.vms}
        if fault.kind != "loss":
            is_whole = fault.kind == "cut_region"
            harmed = [o for o in self.vms if o is vm or is_whole and o.zone == vm.zone]
            others = [other for other in self.vms if other not in harmed]
            for one in harmed:
                cut_by_vm[one.name] = [other.ip for other in others]
            for other in others:
                cut_by_vm[other.name] = [one.ip for one in harmed]
        loss_share = 0.2 if fault.kind == "loss" else 0.0
        for other in self.vms:
            links = {"loss_share": loss_share, "cut_hosts": cut_by_vm[other.name]}
            other.path.with_suffix(SUFFIX).write_text(json.dumps(links))
        await asyncio.sleep(fault.for_s)
        for other in self.vms:
            other.path.with_suffix(SUFFIX).unlink(missing_ok=True)
        if fault.kind != "loss":
            ended = time.monotonic()
            self.disturbed += [(one.name, began, ended) for one in harmed]

    def is_in_touch(self, vm, at):
        """Return whether no fault has affected a VM for ``IN_TOUCH_S``."""
        return vm not in self.down and not any(
            name == vm and began <= at <= ended + IN_TOUCH_S
            for name, began, ended in self.disturbed
        )

    async def send_crashing(self, number, rng):
        """Send a request that crashes upstreams until cancelled."""
        path = f"{CRASH_PATH}{number}"
        runs = self.runs_by_path[path] = []
        await asyncio.sleep(rng.uniform(0.0, FAULT_WINDOW_S / 2))
        while True:
            vm = rng.choice(self.vms)
            before = self._count_crashes(path)
            status = await self._ask_safely(vm, path)
            new = self._count_crashes(path) - before
            runs += [(vm.name, time.monotonic())] * new
            if status == 200:
                raise RuntimeError(f"{path} was answered by {vm.name}")
            await asyncio.sleep(rng.uniform(0.05, 0.3))

    async def call(self, rng, results):
        """Send other requests until cancelled; record the status of each."""
        while True:
            vm = rng.choice(self.vms)
            status = await self._ask_safely(vm, f"/look/{rng.randrange(40)}")
            results.append((time.monotonic(), status))
            await asyncio.sleep(CALLER_PAUSE_S * rng.uniform(0.5, 1.5))

    async def _ask_safely(self, vm, path):
        if vm.name in self.down:
            return 0
        try:
            async with asyncio.timeout(2.0):
                response, _ = await self.ask(vm, path)
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    def _count_crashes(self, path):
        return sum(self.get_worker(w).crashed_by.count(path) for w, _, _ in WORKERS)

    def find_problems(self, results, ended):
        """Return a line for each promise that was not kept."""
        for path, runs in self.runs_by_path.items():
            late = [
                (vm, at)
                for vm, at in runs[CRASHES_BEFORE:]
                if at > runs[CRASHES_BEFORE - 1][1] + IN_TOUCH_S
                and self.is_in_touch(vm, at)
            ]
            if len(late) > MAX_LATER_RUNS:
                yield f"BUDGET {path}: {len(runs)} crashes, {len(late)} of them later"
        last = [status for at, status in results if at > ended - OBSERVATION_S]
        served = sum(status == 200 for status in last)
        if not last or served < MIN_SERVED_SHARE * len(last):
            yield f"RECOVER {served} of {len(last)} requests served at the end"


async def run_faults(seed, faults, folder):
    """Run a seed; return its ``Report``."""
    rng = random.Random(f"callers {seed}")
    results = []
    async with CrashingWorld(folder, faults) as world:
        await world.start()
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(world.send_crashing(number, random.Random(rng.random())))
            for number in range(CRASHING_REQUESTS)
        ]
        tasks += [
            loop.create_task(world.call(random.Random(rng.random()), results))
            for _ in range(CALLERS)
        ]
        await asyncio.gather(
            asyncio.sleep(DURATION_S), *(world.inject(fault) for fault in faults)
        )
        ended = time.monotonic()
        for task in tasks:
            task.cancel()
        ends = await asyncio.gather(*tasks, return_exceptions=True)
        problems = [
            f"CALLER {end!r}"
            for end in ends
            if not isinstance(end, asyncio.CancelledError)
        ]
        problems += world.find_problems(results, ended)
    crashes = {path: len(runs) for path, runs in world.runs_by_path.items()}
    served = sum(status == 200 for _, status in results)
    return Report(seed, tuple(faults), crashes, served, tuple(problems))


def run_seed(seed, with_cuts=False):
    """Run one seed in this process."""
    faults = draw_faults(seed) + (draw_cuts(seed) if with_cuts else [])
    logging.disable(logging.CRITICAL)
    with tempfile.TemporaryDirectory(prefix=f"crashing-{seed}-") as folder:
        return asyncio.run(run_faults(seed, faults, Path(folder)))


def format_report(report):
    """Return a report as text."""
    crashes = " ".join(str(count) for count in report.crashes.values())
    verdict = "BROKEN" if report.problems else "ok"
    lines = [
        f"seed {report.seed}: {verdict}; crashes {crashes}; {report.served} served"
    ]
    if report.problems:
        lines += [f"  {problem}" for problem in report.problems]
        lines += [f"  {tuple(fault)}" for fault in report.faults]
    return "\n".join(lines)


def main(argv=None):
    """Run the seeds; return 0 if every promise was kept, else 1."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument(
        "--seeds",
        type=int,
        nargs=2,
        default=(1, 4),
        metavar=("FIRST", "LAST"),
        help="Seeds to run, both included; default: 1 4",
    )
    parser.add_argument(
        "--cuts",
        action="store_true",
        help="Cut VMs off from all upstreams too.",
    )
    arguments = parser.parse_args(argv)
    first, last = arguments.seeds
    broken = []
    for seed in range(first, last + 1):
        report = run_seed(seed, arguments.cuts)
        print(format_report(report), flush=True)
        if report.problems:
            broken.append(seed)
    print(f"crashing: {last + 1 - first - len(broken)} kept, broken {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
