"""Three strategies to enforce an allotment over many VMs, for comparison.

An instance is the state of one VM. ``take`` returns whether a request is
granted, which ``Allotments.take`` states as a wait. ``get_report`` and
``receive`` carry the reports among VMs of a region, ``get_region_report`` and
``receive_region_demand`` those among regions. The model runs the same load
with each strategy.
"""

from typing import NamedTuple

from godwitlanding.decisions.allotment import Allotments, Tolerance
from godwitlanding.decisions.sharing import share_fairly

TOLERANCE = Tolerance()
_DEMAND_SMOOTHING_S = 3.0


class VmLocation(NamedTuple):
    """A VM, its region, and the regions of all VMs that carry requests."""

    vm: str
    region: str
    region_by_vm: dict[str, str]


class RegionBuckets:
    """The production strategy: one bucket per region, from its VMs' counts."""

    def __init__(self, location, workspace, now):
        self._workspace = workspace
        regions = set(location.region_by_vm.values())
        self._allotments = Allotments(location.region, regions, TOLERANCE, now)
        self._allotments.set_workspaces([workspace], now)

    def set_workspace(self, workspace, now):
        self._workspace = workspace
        self._allotments.set_workspaces([workspace], now)

    def take(self, now):
        return self._allotments.take(self._workspace, now) == 0.0

    def get_report(self, now):
        return self._allotments.get_tallies(), self._allotments.get_levels(now)

    def receive(self, vm, incarnation, report, now):
        tallies, levels = report
        self._allotments.receive(vm, incarnation, tallies, now, tells_all=True)
        self._allotments.adopt_levels(levels, now)

    def get_region_report(self):
        return self._allotments.get_asked()

    def receive_region_demand(self, region, report, now):
        self._allotments.receive_region_demand(region, report, now)

    def update(self, reachable_share, now):
        self._allotments.update(reachable_share, now)


class _LocalBucket:
    """A token bucket of one VM, with a share of the rate and the burst."""

    def __init__(self, now):
        self.level = 0.0
        self.filled_at = now

    def take(self, now, share_per_s, capacity):
        self.level += share_per_s * (now - self.filled_at)
        self.level = min(max(1.0, capacity), self.level)
        self.filled_at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class EvenShares:
    """Each VM has an equal share of the rate, independent of its demand."""

    def __init__(self, location, workspace, now):
        self._workspace = workspace
        self._vm_count = len(location.region_by_vm)
        self._bucket = _LocalBucket(now)

    def set_workspace(self, workspace, now):
        self._workspace = workspace

    def take(self, now):
        workspace = self._workspace
        capacity = workspace.burst + TOLERANCE.get_extra_burst(workspace)
        share_per_s = workspace.rate_per_s / self._vm_count
        return self._bucket.take(now, share_per_s, capacity / self._vm_count)

    def get_report(self, now):
        return ()

    def receive(self, vm, incarnation, report, now):
        pass

    def get_region_report(self):
        return ()

    def receive_region_demand(self, region, report, now):
        pass

    def update(self, reachable_share, now):
        pass


class DemandShares(EvenShares):
    """Each VM has a share by its demand, which VMs report to each other."""

    def __init__(self, location, workspace, now):
        super().__init__(location, workspace, now)
        self._location = location
        self._request_count = 0
        self._demand_by_vm = {vm: 0.0 for vm in location.region_by_vm}
        self._updated_at = now

    def take(self, now):
        self._request_count += 1
        workspace = self._workspace
        shares = share_fairly(workspace.rate_per_s, self._demand_by_vm)
        share_per_s = shares[self._location.vm]
        capacity = workspace.burst * share_per_s / workspace.rate_per_s
        capacity += TOLERANCE.get_extra_burst(workspace) / self._vm_count
        return self._bucket.take(now, share_per_s, capacity)

    def get_report(self, now):
        return self._demand_by_vm[self._location.vm]

    def receive(self, vm, incarnation, report, now):
        self._demand_by_vm[vm] = report

    def get_region_report(self):
        region = self._location.region
        return {
            vm: demand
            for vm, demand in self._demand_by_vm.items()
            if self._location.region_by_vm[vm] == region
        }

    def receive_region_demand(self, region, report, now):
        self._demand_by_vm.update(report)

    def update(self, reachable_share, now):
        elapsed_s = now - self._updated_at
        self._updated_at = now
        previous_per_s = self._demand_by_vm[self._location.vm]
        measured_per_s = self._request_count / elapsed_s
        self._request_count = 0
        weight = min(1.0, elapsed_s / _DEMAND_SMOOTHING_S)
        self._demand_by_vm[self._location.vm] = previous_per_s + weight * (
            measured_per_s - previous_per_s
        )


STRATEGY_BY_NAME = {
    "even parts": EvenShares,
    "parts by demand": DemandShares,
    "region buckets": RegionBuckets,
}
