"""Simulates VMs that enforce a workspace's allotment, on a virtual clock.

Callers choose a VM at random. VMs exchange the reports that they would send
as datagrams, with delay and loss, and not across a network partition. The
requests let through are checked against the limit in every window; refusals
are compared with one exact token bucket that sees every request.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from godwitlanding.decisions.reachability import Reachability
from godwitlanding.decisions.routes import Workspace
from godwitlanding.tests.load.allotment_strategies import TOLERANCE, VmLocation

REGIONS = ("a", "b", "c")
GOSSIP_INTERVAL_S = 0.08
REGION_REPORT_INTERVAL_S = 1.0
UPDATE_INTERVAL_S = 0.5
REGION_DELAY_S = 0.005
# A region report passes through a representative and a forwarding VM.
INTER_REGION_DELAY_S = 0.6
DURATION_S = 30.0


class Scenario(NamedTuple):
    """The load and the faults of one simulated run; times in seconds.

    From ``burst_at`` the workspace sends ``rate_factor`` times its usual rate
    for ``burst_s``. ``region_weights`` divide the requests among the regions,
    and ``later_weights`` replace them from ``shifted_at``. ``killed_share``
    of the VMs stop at ``kill_at`` and restart after ``down_s``. Between
    ``cut_at`` and ``healed_at``, ``cut_off_share`` of each region's VMs are
    partitioned from the others. The limit is multiplied by ``limit_factor``
    at ``limit_at``. ``loss_share`` of the datagrams are lost.
    """

    vms: int = 12
    rate_factor: float = 1.0
    burst_at: float = 10.0
    burst_s: float = 10.0
    region_weights: tuple = (1, 1, 1)
    later_weights: tuple = ()
    shifted_at: float = 12.0
    killed_share: float = 0.0
    kill_at: float = 12.0
    down_s: float = 2.0
    cut_off_share: float = 0.0
    cut_at: float = 9.0
    healed_at: float = 18.0
    limit_factor: float = 1.0
    limit_at: float = 10.0
    loss_share: float = 0.02


class Result(NamedTuple):
    """The result of one simulated run.

    ``excess_requests`` is the number of requests above the limit in the worst
    window, and ``excess_share`` that number as a share of the tolerated
    excess. ``wrongly_refused_share`` is relative to the requests that one
    exact bucket grants. ``sent_rows`` counts the rows of all reports.
    """

    excess_requests: float
    excess_share: float
    wrongly_refused_share: float
    granted: int
    sent_rows: int


class _Vm:
    """A VM with its strategy state, which a restart resets."""

    def __init__(self, name, region, partition, make_strategy):
        self.name = name
        self.region = region
        self.partition = partition
        self.make_strategy = make_strategy
        self.incarnation = 0
        self.up = True
        self.strategy = make_strategy(0.0)
        self.reachability = Reachability()

    def restart(self, now):
        self.incarnation += 1
        self.reachability = Reachability()
        self.up = True
        self.strategy = self.make_strategy(now)


class AllotmentModel:
    """Simulates one workspace, its callers and the VMs in a scenario."""

    def __init__(self, scenario, strategy, usual_per_s, seed):
        self._scenario = scenario
        self._random = random.Random(seed)
        self._usual_per_s = usual_per_s
        limit = 1.6 * usual_per_s
        self._workspace = Workspace("w", limit, limit)
        self._sequence = itertools.count()
        self._events = []
        self._vms = self._make_vms(strategy)
        self._exact_level = limit
        self._exact_at = 0.0
        self._exact_granted = 0
        self._sent_at = []
        self._limits = [(0.0, self._workspace)]
        self._sent_rows = 0

    def _make_vms(self, strategy):
        scenario = self._scenario
        names = [(f"vm-{n}", REGIONS[n % 3]) for n in range(scenario.vms)]
        region_by_vm = dict(names)
        vms = []
        for number, (name, region) in enumerate(names):
            location = VmLocation(name, region, region_by_vm)
            partition = (number // 3 + 0.5) / (
                scenario.vms / 3
            ) < scenario.cut_off_share

            def make_strategy(now, location=location):
                return strategy(location, self._workspace, now)

            vms.append(_Vm(name, region, partition, make_strategy))
        return vms

    def run(self):
        """Run the scenario; return its ``Result``."""
        self._schedule_initial_events()
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            if now > DURATION_S:
                break
            action(now, *arguments)
        return self._get_result()

    def _schedule_initial_events(self):
        scenario = self._scenario
        for vm in self._vms:
            self._schedule(
                self._random.uniform(0, GOSSIP_INTERVAL_S), self._send_report, vm
            )
            self._schedule(self._random.uniform(0, UPDATE_INTERVAL_S), self._update, vm)
        for region in REGIONS:
            self._schedule(
                self._random.uniform(0, REGION_REPORT_INTERVAL_S),
                self._send_region_report,
                region,
            )
        self._schedule(1.0, self._send_request)
        if scenario.killed_share:
            self._schedule(scenario.kill_at, self._kill)
        if scenario.limit_factor != 1.0:
            self._schedule(scenario.limit_at, self._change_limit)

    def _schedule(self, when, action, *arguments):
        heapq.heappush(self._events, (when, next(self._sequence), action, arguments))

    def _send_request(self, now):
        scenario = self._scenario
        rate = self._usual_per_s
        if scenario.burst_at <= now < scenario.burst_at + scenario.burst_s:
            rate *= scenario.rate_factor
        self._schedule(now + self._random.expovariate(rate), self._send_request)
        region_weights = scenario.region_weights
        if scenario.later_weights and now >= scenario.shifted_at:
            region_weights = scenario.later_weights
        region = self._random.choices(REGIONS, region_weights)[0]
        candidates = [vm for vm in self._vms if vm.up and vm.region == region]
        if not candidates:
            candidates = [vm for vm in self._vms if vm.up]
        if not candidates:
            return
        is_granted_exactly = self._take_from_exact_bucket(now)
        if self._random.choice(candidates).strategy.take(now):
            self._sent_at.append(now)
        self._exact_granted += is_granted_exactly

    def _take_from_exact_bucket(self, now):
        limit = self._workspace
        self._exact_level += limit.rate_per_s * (now - self._exact_at)
        self._exact_level = min(limit.burst, self._exact_level)
        self._exact_at = now
        if self._exact_level < 1.0:
            return False
        self._exact_level -= 1.0
        return True

    def _is_delivered(self, now, sender, receiver):
        scenario = self._scenario
        if not sender.up or not receiver.up:
            return False
        if scenario.cut_at <= now < scenario.healed_at and scenario.cut_off_share:
            if sender.partition != receiver.partition:
                return False
        return self._random.random() >= scenario.loss_share

    def _send_report(self, now, vm):
        self._schedule(now + GOSSIP_INTERVAL_S, self._send_report, vm)
        if not vm.up:
            return
        report = vm.strategy.get_report(now)
        self._sent_rows += len(report) if isinstance(report, tuple) else 1
        for other in self._vms:
            if other.region != vm.region or other is vm:
                continue
            if self._is_delivered(now, vm, other):
                self._schedule(
                    now + REGION_DELAY_S,
                    self._receive_report,
                    other,
                    vm,
                    vm.incarnation,
                    report,
                )

    def _receive_report(self, now, vm, sender, incarnation, report):
        if vm.up:
            vm.reachability.note(
                sender.name, True, sender.reachability.count_reachable(now), now
            )
            vm.strategy.receive(sender.name, incarnation, report, now)

    def _send_region_report(self, now, region):
        self._schedule(now + REGION_REPORT_INTERVAL_S, self._send_region_report, region)
        senders = [vm for vm in self._vms if vm.up and vm.region == region]
        for partition in {vm.partition for vm in senders}:
            sender = next(vm for vm in senders if vm.partition == partition)
            report = sender.strategy.get_region_report()
            for vm in self._vms:
                if vm.region != region and self._is_delivered(now, sender, vm):
                    self._schedule(
                        now + INTER_REGION_DELAY_S,
                        self._receive_region_report,
                        vm,
                        region,
                        report,
                    )

    def _receive_region_report(self, now, vm, region, report):
        if vm.up and report:
            vm.strategy.receive_region_demand(region, report, now)

    def _update(self, now, vm):
        self._schedule(now + UPDATE_INTERVAL_S, self._update, vm)
        if vm.up:
            others = {v.name for v in self._vms if v.region == vm.region} - {vm.name}
            vm.strategy.update(vm.reachability.get_share(others, True, now), now)

    def _kill(self, now):
        scenario = self._scenario
        count = round(scenario.killed_share * len(self._vms))
        for vm in self._random.sample(self._vms, count):
            vm.up = False
            restart_at = now + scenario.down_s + self._random.uniform(0, 0.3)
            self._schedule(restart_at, self._restart, vm)

    def _restart(self, now, vm):
        vm.restart(now)

    def _change_limit(self, now):
        limit = self._workspace.rate_per_s * self._scenario.limit_factor
        self._workspace = Workspace("w", limit, limit)
        self._limits.append((now, self._workspace))
        self._exact_level = min(self._exact_level, limit)
        for vm in self._vms:
            vm.strategy.set_workspace(self._workspace, now)

    def _get_result(self):
        excess_requests = 0.0
        excess_share = 0.0
        window_s = TOLERANCE.window_s
        window_start = 0
        for index, sent_at in enumerate(self._sent_at):
            while self._sent_at[window_start] < sent_at - window_s:
                window_start += 1
            # A lower limit applies one window after it was set, a higher one
            # immediately.
            binding = [
                row for since, row in self._limits if since + window_s <= sent_at
            ]
            recent = [
                row
                for since, row in self._limits
                if sent_at - window_s < since <= sent_at
            ]
            limits = [*(binding or self._limits[0][1:])[-1:], *recent]
            limit = max(limits, key=lambda row: row.rate_per_s)
            allowed = limit.rate_per_s * window_s + limit.burst
            tolerated = TOLERANCE.over_share * allowed + TOLERANCE.over_requests
            excess = index - window_start + 1 - allowed
            excess_requests = max(excess_requests, excess)
            excess_share = max(excess_share, excess / tolerated)
        granted = len(self._sent_at)
        missing = max(0, self._exact_granted - granted)
        refused = missing / max(1, self._exact_granted)
        return Result(excess_requests, excess_share, refused, granted, self._sent_rows)


SCENARIO_BY_NAME = {
    "usual": Scenario(),
    "all callers in one region": Scenario(region_weights=(1, 0, 0)),
    "7.5 times as many": Scenario(rate_factor=7.5),
    "7.5 times, in one region": Scenario(rate_factor=7.5, region_weights=(1, 0, 0)),
    "a region's callers move": Scenario(
        region_weights=(2, 1, 1), later_weights=(0.4, 2.6, 1)
    ),
    "half of the VMs killed": Scenario(killed_share=0.55),
    "half killed while 7.5 times": Scenario(killed_share=0.55, rate_factor=7.5),
    "all killed while 7.5 times": Scenario(killed_share=1.0, rate_factor=7.5),
    "a third cut off": Scenario(cut_off_share=0.34),
    "a third cut off, 7.5 times": Scenario(
        cut_off_share=0.34, rate_factor=7.5, burst_at=10.0
    ),
    "limit far lower": Scenario(limit_factor=0.2),
    "limit raised": Scenario(rate_factor=7.5, limit_factor=3.0, limit_at=15.0),
}
