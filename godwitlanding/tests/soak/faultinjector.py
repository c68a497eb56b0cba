"""Injects scheduled faults into a ``SoakWorld`` and repairs them."""

import asyncio
import signal

from godwitlanding.tests.gateway.world import GRACE_S

# Time until the entry of a crashed upstream is removed. An entry expires after
# three heartbeats of 1.5 s; it may be removed earlier, as here.
ENTRY_EXPIRY_S = 1.5
DRAIN_S = 3.0
# A draining upstream's earlier heartbeat is stored late, before its next one.
DRAINING_SEQ = 10
LATE_HEARTBEAT_S = 0.4
NEXT_HEARTBEAT_S = 1.4
SLOW_S = 0.6
DELAY_S = 0.4
STORE_DELAY_S = 0.7
# A store that is restored from an older copy is down for OUTAGE_S. The
# operator and the upstreams write their objects again REWRITE_DELAY_S later.
OUTAGE_S = 0.5
REWRITE_DELAY_S = 1.0
# Requests per second that an overloaded upstream accepts from all VMs, and by
# how much longer than drawn it does so.
UPSTREAM_LIMIT_PER_S = 1.5
LIMIT_EXTRA_S = 6.0
PAUSE_S = 1.5
# An upstream that breaks off its responses sends endless ones after that.
ENDLESS_S = 0.5
# An upstream that reports that it leaves keeps serving for this long.
LEAVE_S = 5.0


class FaultInjector:
    """Injects faults into a ``SoakWorld`` and records them in ``log``.

    Each row of ``log`` is a fault, its start and its repair (``None`` until
    then). Drains and evacuations are also recorded with the time at which the
    store acknowledged them. All times are on the loop's clock.
    """

    def __init__(self, world):
        self._world = world
        self._busy_vms = set()
        self._loop = asyncio.get_running_loop()
        self.log = []
        self.drained_at_by_worker = {}
        # Rows of upstream, start and end of the time with a reported limit.
        self.limit_periods = []
        self.leave_announced_at_by_worker = {}
        self.evacuations = []
        self.stopped = []
        self.problems = []

    async def inject(self, fault):
        """Inject one fault and repair it when its time is over."""
        started_at = self._loop.time()
        row = [fault, started_at, None]
        self.log.append(row)
        await getattr(self, f"_inject_{fault.family}")(fault)
        row[2] = self._loop.time()

    async def _inject_vm(self, fault):
        vm = self._world.vms[fault.target % len(self._world.vms)]
        if vm.name in self._busy_vms:
            return
        self._busy_vms.add(vm.name)
        try:
            await getattr(self, f"_{fault.kind}_vm")(vm, fault.for_s)
        finally:
            self._busy_vms.discard(vm.name)

    async def _term_vm(self, vm, for_s):
        sent_at = self._loop.time()
        vm.signal(signal.SIGTERM)
        self.stopped.append((vm.address, sent_at))
        try:
            async with asyncio.timeout(GRACE_S + 1.0):
                code = await vm.process.wait()
        except TimeoutError:
            self.problems.append(f"{vm.name} still runs {GRACE_S + 1} s after SIGTERM")
            await vm.end()
            code = 0
        if code:
            self.problems.append(f"{vm.name} exited with {code} after SIGTERM")
        await vm.start()

    async def _kill_vm(self, vm, for_s):
        await vm.end()
        await asyncio.sleep(for_s / 2)
        await vm.start()

    async def _herd_vm(self, vm, for_s):
        targets = [vm]
        for other in self._world.vms:
            if other.name not in self._busy_vms:
                self._busy_vms.add(other.name)
                targets.append(other)
        try:
            await asyncio.gather(*(self._kill_vm(one, for_s) for one in targets))
        finally:
            self._busy_vms -= {one.name for one in targets}

    async def _pause_vm(self, vm, for_s):
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        vm.signal(signal.SIGCONT)

    async def _hangup_vm(self, vm, for_s):
        vm.signal(signal.SIGHUP)
        await asyncio.sleep(for_s)

    async def _inject_upstream(self, fault):
        workers = self._world.get_workers()
        worker = workers[fault.target % len(workers)]
        if fault.kind == "crash":
            await self._crash(worker, fault.for_s)
        elif fault.kind == "drain":
            await self._drain(worker)
        elif fault.kind == "slow":
            worker.work_s = SLOW_S
            await asyncio.sleep(fault.for_s)
            worker.work_s = 0.03
        else:
            worker.fault = fault.kind
            await asyncio.sleep(fault.for_s)
            if fault.kind == "cut":
                worker.fault = "endless"
                await asyncio.sleep(ENDLESS_S)
            worker.fault = ""

    async def _inject_self_report(self, fault):
        workers = self._world.get_workers()
        worker = workers[fault.target % len(workers)]
        if fault.kind == "limit":
            await self._report_limit(worker, fault.for_s + LIMIT_EXTRA_S)
        elif fault.kind == "leave":
            await self._report_leaving(worker)
        else:
            worker.fault, worker.retry_after = "shed", str(PAUSE_S)
            await asyncio.sleep(fault.for_s)
            worker.fault, worker.retry_after = "", ""

    async def _report_limit(self, worker, for_s):
        if worker.limit:
            return
        worker.limit = str(UPSTREAM_LIMIT_PER_S)
        started_at = self._loop.time()
        await asyncio.sleep(for_s)
        worker.limit = ""
        self.limit_periods.append((worker, started_at, self._loop.time()))

    async def _report_leaving(self, worker):
        if worker.leaving:
            return
        worker.leaving = True
        self.leave_announced_at_by_worker[worker.id] = self._loop.time()
        await asyncio.sleep(LEAVE_S)
        await self._restart(worker)

    async def _restart(self, worker):
        if worker in self._world.get_workers():
            await self._world.store.remove("servers", worker.id)
            worker.stop()
            await self._world.replace_worker(worker)

    async def _crash(self, worker, for_s):
        worker.stop()
        await asyncio.sleep(min(for_s, ENTRY_EXPIRY_S))
        if worker in self._world.get_workers():
            await self._world.store.remove("servers", worker.id)
            await self._world.replace_worker(worker)

    async def _drain(self, worker):
        if worker.id in self.drained_at_by_worker:
            return
        await self._world.register(worker, "draining", DRAINING_SEQ)
        self.drained_at_by_worker[worker.id] = self._loop.time()
        await asyncio.sleep(LATE_HEARTBEAT_S)
        await self._world.register(worker, "ready", DRAINING_SEQ - 2)
        await asyncio.sleep(NEXT_HEARTBEAT_S)
        await self._world.register(worker, "draining", DRAINING_SEQ + 1)
        await asyncio.sleep(DRAIN_S - LATE_HEARTBEAT_S - NEXT_HEARTBEAT_S)
        await self._restart(worker)

    async def _inject_store(self, fault):
        faults = self._world.store.faults
        if fault.kind == "restore":
            await self._restore(fault.for_s)
            return
        if fault.kind == "forget":
            await self._world.store.forget_history()
        elif fault.kind == "lose_answers":
            faults.lose_answers = 5
        elif fault.kind == "slow":
            faults.delay_s = STORE_DELAY_S
        elif fault.kind == "hang":
            faults.silent = True
        else:
            faults.status = {"down": 503, "busy": 429}[fault.kind]
        await asyncio.sleep(fault.for_s)
        faults.delay_s, faults.silent, faults.status = 0.0, False, 0
        faults.lose_answers = 0

    async def _restore(self, copy_age_s):
        store = self._world.store
        copy = store.take_copy()
        await asyncio.sleep(copy_age_s)
        store.faults.status = 503
        await asyncio.sleep(OUTAGE_S)
        await store.restore_copy(copy)
        store.faults.status = 0
        await asyncio.sleep(REWRITE_DELAY_S)
        await store.rewrite_changed()

    async def _inject_store_link(self, fault):
        await self._inject_link(self._world.store_links, fault)

    async def _inject_upstream_link(self, fault):
        await self._inject_link(self._world.worker_links, fault)

    async def _inject_caller_link(self, fault):
        await self._inject_link(self._world.caller_links, fault)

    async def _inject_link(self, links, fault):
        link = links[fault.target % len(links)]
        if fault.kind == "reset_link":
            link.reset()
            return
        link.set_mode(fault.kind, DELAY_S if fault.kind == "delayed" else 0.0)
        await asyncio.sleep(fault.for_s)
        link.set_mode("open")
        # Connections that have lost data cannot be used any more.
        if fault.kind.startswith("deaf"):
            link.reset()

    async def _inject_operator(self, fault):
        if fault.kind == "config":
            await self._world.change_config()
            return
        zone = self._world.vms[fault.target % len(self._world.vms)].zone
        if any(row[0] == zone for row in self.evacuations):
            return
        await self._world.store.put("evacuations", zone, {})
        row = [zone, self._loop.time(), None]
        self.evacuations.append(row)
        await asyncio.sleep(fault.for_s)
        row[2] = self._loop.time()
        await self._world.store.remove("evacuations", zone)
