"""Three ways to keep a workspace's allotment over many VMs, behind one face.

Each way is what one VM holds. ``take`` answers as ``Allotments.take`` does;
``tell`` and ``hear`` carry what VMs of a region tell each other, ``digest``
and ``hear_region`` what regions do. The model plays the same load with each.
"""

from typing import NamedTuple

from godwitlanding.decisions.allotment import Allotments, Tolerance
from godwitlanding.decisions.sharing import share_fairly

TOLERANCE = Tolerance()
_ASKED_OVER_S = 3.0


class Place(NamedTuple):
    """Where a VM stands: its region, and the names of all that carry."""

    vm: str
    region: str
    region_by_vm: dict[str, str]


class RegionBuckets:
    """The product's way: one bucket a region, followed by its VMs' counts."""

    def __init__(self, place, workspace, now):
        self._workspace = workspace
        regions = set(place.region_by_vm.values())
        self._held = Allotments(place.region, regions, TOLERANCE, now)
        self._held.set_workspaces([workspace], now)

    def set_workspace(self, workspace, now):
        self._workspace = workspace
        self._held.set_workspaces([workspace], now)

    def take(self, now):
        return self._held.take(self._workspace, now) == 0.0

    def tell(self, now):
        return self._held.get_tallies(), self._held.get_levels(now)

    def receive(self, vm, incarnation, told, now):
        tallies, levels = told
        self._held.receive(vm, incarnation, tallies, now, tells_all=True)
        self._held.adopt_levels(levels, now)

    def digest(self):
        return self._held.get_asked()

    def receive_region_demand(self, region, told, now):
        self._held.receive_region_demand(region, told, now)

    def update(self, quorum, now):
        self._held.update(quorum, now)


class _LocalBucket:
    """A bucket of one VM, with a part of the rate and of the burst."""

    def __init__(self, now):
        self.level = 0.0
        self.filled_at = now

    def take(self, now, part_per_s, capacity):
        self.level += part_per_s * (now - self.filled_at)
        self.level = min(max(1.0, capacity), self.level)
        self.filled_at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class EvenParts:
    """Each VM that carries has an even part, whatever it is asked for."""

    def __init__(self, place, workspace, now):
        self._workspace = workspace
        self._vms = len(place.region_by_vm)
        self._bucket = _LocalBucket(now)

    def set_workspace(self, workspace, now):
        self._workspace = workspace

    def take(self, now):
        workspace = self._workspace
        capacity = workspace.burst + TOLERANCE.get_extra_burst(workspace)
        part_per_s = workspace.rate_per_s / self._vms
        return self._bucket.take(now, part_per_s, capacity / self._vms)

    def tell(self, now):
        return ()

    def receive(self, vm, incarnation, told, now):
        pass

    def digest(self):
        return ()

    def receive_region_demand(self, region, told, now):
        pass

    def update(self, quorum, now):
        pass


class PartsByDemand(EvenParts):
    """Each VM has a part by what it is asked for, as all tell each other."""

    def __init__(self, place, workspace, now):
        super().__init__(place, workspace, now)
        self._place = place
        self._asked = 0
        self._asked_by_vm = {vm: 0.0 for vm in place.region_by_vm}
        self._updated_at = now

    def take(self, now):
        self._asked += 1
        workspace = self._workspace
        parts = share_fairly(workspace.rate_per_s, self._asked_by_vm)
        part_per_s = parts[self._place.vm]
        capacity = workspace.burst * part_per_s / workspace.rate_per_s
        capacity += TOLERANCE.get_extra_burst(workspace) / self._vms
        return self._bucket.take(now, part_per_s, capacity)

    def tell(self, now):
        return self._asked_by_vm[self._place.vm]

    def receive(self, vm, incarnation, told, now):
        self._asked_by_vm[vm] = told

    def digest(self):
        region = self._place.region
        return {
            vm: asked
            for vm, asked in self._asked_by_vm.items()
            if self._place.region_by_vm[vm] == region
        }

    def receive_region_demand(self, region, told, now):
        self._asked_by_vm.update(told)

    def update(self, quorum, now):
        elapsed_s = now - self._updated_at
        self._updated_at = now
        held = self._asked_by_vm[self._place.vm]
        seen = self._asked / elapsed_s
        self._asked = 0
        weight = min(1.0, elapsed_s / _ASKED_OVER_S)
        self._asked_by_vm[self._place.vm] = held + weight * (seen - held)


WAY_BY_NAME = {
    "even parts": EvenParts,
    "parts by demand": PartsByDemand,
    "region buckets": RegionBuckets,
}
