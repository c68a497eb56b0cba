"""Measures how full a service's upstreams are in one region.

Counts of requests in progress include those on the way between regions. With
55 ms one way and work of 145 ms, the counts of 11 VMs were 1.3 times the
requests that the upstreams really had, and less urgent requests were denied
while slots were free. So the counts of VMs in other regions are reduced by the
expected share of the requests that are on the way.
"""

# A region that gets less of this region's requests than this is no measure of
# whether they find slots.
MIN_REGION_SHARE = 0.1


class ServiceFill:
    """Counts requests in progress per slot, from one VM's point of view."""

    def __init__(self, region, occupancy, fleet, worktimes):
        self._region = region
        self._occupancy = occupancy
        self._fleet = fleet
        self._worktimes = worktimes

    def measure(self, service, registry, chooser, now):
        """Return the requests per slot; 0 if no upstream is available.

        Only the region in which this VM's requests run counts. Counts of
        requests in progress in other regions are incomplete here.
        """
        region = self._get_main_region(service, chooser)
        upstreams = [
            upstream
            for upstream in registry.get_usable(service, region)
            if chooser.availability.is_available(upstream.id, now)
        ]
        slots = sum(upstream.slots for upstream in upstreams)
        if not slots:
            return 0.0
        occupied = sum(self._occupancy.get(upstream.id, now) for upstream in upstreams)
        on_the_way = self._count_on_the_way(
            service, region, upstreams, registry, chooser
        )
        return max(0.0, occupied - on_the_way) / slots

    def _get_main_region(self, service, chooser):
        shares = chooser.get_status()["shares"].get(service) or {}
        if not shares or shares.get(self._region, 1.0) >= MIN_REGION_SHARE:
            return self._region
        return max(shares, key=shares.get)

    def _count_on_the_way(self, service, region, upstreams, registry, chooser):
        """Return the expected requests on the way to or from ``region``."""
        peers_by_region = {}
        for vm, peer in self._fleet.peer_by_vm.items():
            if peer.region != region:
                peers_by_region.setdefault(peer.region, []).append(vm)
        numbers = {self._occupancy.get_number(upstream.id) for upstream in upstreams}
        work_s = self._worktimes.get_mean_s(service)
        on_the_way = 0.0
        for peer_region, vms in peers_by_region.items():
            # The distance between two other regions is taken to be that of
            # this VM to the region.
            far = peer_region if region == self._region else region
            distance_s = _get_distance_s(service, far, registry, chooser)
            count = self._occupancy.sum_peers(vms, numbers)
            on_the_way += count * distance_s / max(0.001, distance_s + work_s)
        return on_the_way


def _get_distance_s(service, region, registry, chooser):
    """Return the round trip to a region, 0 if it has no upstream."""
    return min(
        (
            chooser.distances.get_s(upstream.availability_zone)
            for upstream in registry.get_usable(service, region)
        ),
        default=0.0,
    )
