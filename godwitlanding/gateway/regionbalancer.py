"""Follows what share of each service's requests should run in which region.

The rules are in ``decisions.regionshare``; this knows the upstreams, the
objects, and what arrives in each region.
"""

import asyncio

from eliot import log_message

from godwitlanding.decisions.forecast import Forecast
from godwitlanding.decisions.regionshare import (
    FULL,
    KEPT_OBJECTS,
    RegionDealer,
    RegionLoad,
    get_known_share,
    get_shares,
    step,
)

UPDATE_INTERVAL_S = 0.5
# A region whose capacity changes by more than this share between two looks
# has lost or gained upstreams, and its share moves at once.
JUMP_SHARE = 0.34
# Shares are logged when they have moved this far since the last line.
LOG_CHANGE = 0.05


class RegionBalancer:
    """The regions' shares by service, and who is dealt out to which.

    ``ejected`` is the set of upstreams that cannot be reached.
    """

    def __init__(self, identity, registry, peers, worktimes, homes, limits, ejected):
        self._region = identity.region
        self._registry = registry
        self._peers = peers
        self._worktimes = worktimes
        self._homes = homes
        self._limits = limits
        self._ejected = ejected
        self._logged_by_service = {}
        self._slots_by_service = {}
        self._dealer_by_service = {}
        self._forecast_by_service_and_region = {}
        self.shares_by_service = {}
        # This VM's own region first.
        self.regions = sorted(
            set(identity.region_by_zone.values()),
            key=lambda region: (region != identity.region, region),
        )

    async def run(self):
        """Plan again and again."""
        while True:
            self._update_shares()
            await asyncio.sleep(UPDATE_INTERVAL_S)

    def pick_region(self, service, regions, key):
        """Return which of ``regions``, nearest first, a request runs in."""
        shares = self.shares_by_service.get(service, {})
        if not any(shares.values()) or len(regions) == 1:
            return regions[0]
        dealer = self._dealer_by_service.get(service)
        if dealer is None:
            dealer = self._dealer_by_service[service] = RegionDealer(self._region)
        region = dealer.pick(shares, key)
        return region if region in regions else regions[0]

    def can_cache_all_objects(self, service, region):
        """Tell whether a region's upstreams can keep every object in mind."""
        upstreams = len(self._registry.get_usable(service, region))
        return get_known_share(upstreams, self._homes.get_objects(service)) >= 1.0

    def _update_shares(self):
        config = self._registry.config
        if config is None:
            return
        for service in config.service_by_name:
            load_by_region = self._get_loads(service)
            if self._region not in load_by_region:
                continue
            wanted = get_shares(self._region, load_by_region)
            self._move(service, wanted, load_by_region)

    def _get_loads(self, service):
        work_s = self._worktimes.get_mean_s(service)
        rate_by_region = self._forecast(service, self._peers.get_arrival_rates(service))
        objects = self._homes.get_objects(service)
        slots_by_region = {}
        known_by_region = {}
        for region in self.regions:
            upstreams = [
                upstream
                for upstream in self._registry.get_usable(service, region)
                if upstream.id not in self._ejected
            ]
            slots_by_region[region] = sum(
                self._count_slots(upstream, work_s) for upstream in upstreams
            )
            # One that may serve a part only can keep a part of its objects.
            whole = sum(self._get_part(upstream, work_s) for upstream in upstreams)
            known_by_region[region] = get_known_share(whole, objects, KEPT_OBJECTS)
        if not any(rate_by_region.values()):
            # Nothing was measured yet: as if each region had an equal part
            # of what all slots can serve.
            even = sum(slots_by_region.values()) / work_s / len(slots_by_region)
            rate_by_region = dict.fromkeys(slots_by_region, even)
        load_by_region = {}
        for region, slots in slots_by_region.items():
            rate = rate_by_region.get(region, 0.0)
            capacity = slots / work_s
            if known_by_region[region] < 1.0:
                capacity = min(capacity, rate * known_by_region[region] / FULL)
            load_by_region[region] = RegionLoad(rate, capacity)
        return load_by_region

    def _forecast(self, service, rate_by_region):
        now = asyncio.get_running_loop().time()
        forecast_by_region = {}
        for region, rate in rate_by_region.items():
            forecast = self._forecast_by_service_and_region.setdefault(
                (service, region), Forecast()
            )
            forecast.note(rate, now)
            forecast_by_region[region] = forecast.get()
        return forecast_by_region

    def _count_slots(self, upstream, work_s):
        # One that is four times as slow carries a quarter.
        slow = 1.0 / max(1.0, self._worktimes.get_factor(upstream.id))
        return upstream.slots * min(slow, self._get_part(upstream, work_s))

    def _get_part(self, upstream, work_s):
        """Return the part of its slots that an upstream's limit can fill."""
        limit_per_s = self._limits.get(upstream.id)
        if limit_per_s is None:
            return 1.0
        return min(1.0, limit_per_s * work_s / upstream.slots)

    def _move(self, service, wanted, load_by_region):
        jump = self._has_jumped(service, load_by_region)
        held = self.shares_by_service.get(service, {})
        moved = wanted if jump else step(held, wanted, UPDATE_INTERVAL_S)
        self.shares_by_service[service] = moved
        self._log(service, moved, jump, load_by_region)

    def _has_jumped(self, service, regions):
        """Tell whether a region has lost or gained many slots."""
        slots = {
            region: sum(u.slots for u in self._registry.get_usable(service, region))
            for region in regions
        }
        former = self._slots_by_service.get(service)
        self._slots_by_service[service] = slots
        if former is None:
            return True
        return any(
            abs(count - former.get(region, 0.0))
            > JUMP_SHARE * max(count, former.get(region, 0.0))
            for region, count in slots.items()
        )

    def _log(self, service, shares, jump, load_by_region):
        logged = self._logged_by_service.get(service, {})
        names = logged.keys() | shares.keys()
        change = sum(abs(shares.get(n, 0.0) - logged.get(n, 0.0)) for n in names)
        if change < LOG_CHANGE:
            return
        self._logged_by_service[service] = shares
        log_message(
            "chooser:shares",
            service=service,
            shares={name: round(share, 3) for name, share in shares.items()},
            jump=jump,
            vms=self._peers.count_vms(),
            load_by_region={
                region: [round(figure, 1) for figure in load]
                for region, load in load_by_region.items()
            },
        )
