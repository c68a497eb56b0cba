"""Balances each service's requests between regions.

The rules are in ``decisions.regionshare``. This module applies them to the
upstreams, the cached objects and the arrival rates of each region.
"""

import asyncio
from collections import deque

from eliot import log_message

from godwitlanding.decisions.forecast import Forecast
from godwitlanding.decisions.homes import CACHED_OBJECTS
from godwitlanding.decisions.regionshare import (
    MAX_UTILIZATION,
    TARGET_CACHED_OBJECTS,
    RegionLoad,
    RegionSelector,
    get_cacheable_share,
    get_shares,
    get_size_factor,
    step,
)

UPDATE_INTERVAL_S = 0.5
# A region whose slots change by more than this share between two updates has
# lost or gained upstreams; the shares then change at once, not step by step.
JUMP_SHARE = 0.34
# Upstreams that announce limits at the same time are learnt of one by one,
# within this many updates.
LIMIT_UPDATES = 3
# Shares are logged when they have changed this much since the last log line.
LOG_CHANGE = 0.05


class RegionBalancer:
    """Computes the regions' shares by service and picks regions by them.

    ``ejected`` is the set of unreachable upstreams; ``learning`` estimates how
    many objects an upstream caches.
    """

    def __init__(
        self,
        identity,
        registry,
        peers,
        worktimes,
        homes,
        limit_gossip,
        ejected,
        learning,
    ):
        self._region = identity.region
        self._registry = registry
        self._peers = peers
        self._worktimes = worktimes
        self._homes = homes
        self._limit_gossip = limit_gossip
        self._ejected = ejected
        # A VM that is cut off sees no slots anywhere, and keeps its shares.
        self.is_cut_off = lambda: False
        self._learning = learning
        self._logged_by_service = {}
        self._slots_by_service = {}
        # Shares of the regions' slots that limits left usable, of the last
        # updates.
        self._usable_shares_by_service = {}
        self._selector_by_service = {}
        self._forecast_by_service_and_region = {}
        self.shares_by_service = {}
        # This VM's own region first.
        self.regions = sorted(
            set(identity.region_by_zone.values()),
            key=lambda region: (region != identity.region, region),
        )

    def update(self):
        """Update the shares; called every ``UPDATE_INTERVAL_S``."""
        config = self._registry.config
        if config is None or self.is_cut_off():
            return
        now = asyncio.get_running_loop().time()
        for service in config.service_by_name:
            load_by_region = self.get_loads(service, now)
            if self._region not in load_by_region:
                continue
            target = get_shares(self._region, load_by_region)
            self._update_service(service, target, load_by_region)

    def pick_region(self, service, regions, key):
        """Return which of ``regions`` (nearest first) a request runs in."""
        shares = self.shares_by_service.get(service, {})
        if not any(shares.values()) or len(regions) == 1:
            return regions[0]
        selector = self._selector_by_service.get(service)
        if selector is None:
            selector = self._selector_by_service[service] = RegionSelector(self._region)
        region = selector.pick(shares, key)
        return region if region in regions else regions[0]

    def can_cache_all_objects(self, service, region):
        """Return whether a region's upstreams can cache every object."""
        upstreams = len(self._registry.get_usable(service, region))
        objects = self._homes.get_objects(service)
        full_size = self._get_size_factor(service) * CACHED_OBJECTS
        return get_cacheable_share(upstreams, objects, full_size) >= 1.0

    def _get_size_factor(self, service):
        return get_size_factor(self._learning.get_cache_size(service))

    def get_loads(self, service, now):
        """Return the ``RegionLoad`` of a service in each region at ``now``."""
        work_s = self._worktimes.get_mean_s(service)
        rate_by_region = self._forecast(
            service, self._peers.get_arrival_rates(service), now
        )
        objects = self._homes.get_objects(service)
        size_factor = self._get_size_factor(service)
        slots_by_region = {}
        cacheable_by_region = {}
        full_cacheable_by_region = {}
        for region in self.regions:
            upstreams = [
                upstream
                for upstream in self._registry.get_usable(service, region)
                if upstream.id not in self._ejected
            ]
            slots_by_region[region] = sum(
                self._count_slots(upstream, work_s) for upstream in upstreams
            )
            # An upstream whose limit leaves only a part of its slots usable
            # counts as that part of a cache.
            usable_upstreams = sum(
                self._get_usable_share(upstream, work_s) for upstream in upstreams
            )
            cacheable_by_region[region] = get_cacheable_share(
                usable_upstreams, objects, size_factor * TARGET_CACHED_OBJECTS
            )
            full_cacheable_by_region[region] = get_cacheable_share(
                usable_upstreams, objects, size_factor * CACHED_OBJECTS
            )
        if not any(rate_by_region.values()):
            # Nothing is measured yet: assume that each region gets an equal
            # part of what all slots can serve.
            equal_rate = sum(slots_by_region.values()) / work_s / len(slots_by_region)
            rate_by_region = dict.fromkeys(slots_by_region, equal_rate)
        load_by_region = {}
        for region, slots in slots_by_region.items():
            rate = rate_by_region.get(region, 0.0)
            capacities = [
                _get_capacity(slots / work_s, rate, cacheable_by_region[region])
                for cacheable_by_region in (
                    cacheable_by_region,
                    full_cacheable_by_region,
                )
            ]
            load_by_region[region] = RegionLoad(rate, *capacities, slots / work_s)
        return load_by_region

    def _forecast(self, service, rate_by_region, now):
        forecast_by_region = {}
        for region, rate in rate_by_region.items():
            forecast = self._forecast_by_service_and_region.setdefault(
                (service, region), Forecast()
            )
            forecast.note(rate, now)
            forecast_by_region[region] = forecast.get()
        return forecast_by_region

    def _count_slots(self, upstream, work_s):
        # An upstream that is four times as slow serves a quarter.
        speed = 1.0 / max(1.0, self._worktimes.get_factor(upstream.id))
        return upstream.slots * min(speed, self._get_usable_share(upstream, work_s))

    def _get_usable_share(self, upstream, work_s):
        """Return the share of an upstream's slots that its limit can fill."""
        limit_per_s = self._limit_gossip.get(upstream.id)
        if limit_per_s is None:
            return 1.0
        return min(1.0, limit_per_s * work_s / upstream.slots)

    def _update_service(self, service, target, load_by_region):
        jump = self._has_jumped(service, load_by_region)
        current = self.shares_by_service.get(service, {})
        updated = target if jump else step(current, target, UPDATE_INTERVAL_S)
        self.shares_by_service[service] = updated
        self._log(service, updated, jump, load_by_region)

    def _has_jumped(self, service, regions):
        """Return whether a region has lost or gained many slots."""
        has_lost_to_limits = self._has_lost_to_limits(service, regions)
        return self._has_changed_upstreams(service, regions) or has_lost_to_limits

    def _has_lost_to_limits(self, service, regions):
        """Return whether limits have just made many slots unusable.

        Slots that become usable again are taken up step by step: callers are
        served meanwhile, and the limits may soon be announced again.
        """
        usable_shares = {
            region: self._get_share_within_limits(service, region) for region in regions
        }
        recent = self._usable_shares_by_service.setdefault(
            service, deque(maxlen=LIMIT_UPDATES)
        )
        has_lost = any(
            share < (1.0 - JUMP_SHARE) * former.get(region, 0.0)
            for former in recent
            for region, share in usable_shares.items()
        )
        recent.append(usable_shares)
        return has_lost

    def _get_share_within_limits(self, service, region):
        """Return the share of a region's slots that limits leave usable."""
        work_s = self._worktimes.get_mean_s(service)
        upstreams = self._registry.get_usable(service, region)
        slots = sum(upstream.slots for upstream in upstreams)
        usable = sum(
            upstream.slots * self._get_usable_share(upstream, work_s)
            for upstream in upstreams
        )
        return usable / slots if slots else 1.0

    def _has_changed_upstreams(self, service, regions):
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
            cache_size=round(self._learning.get_cache_size(service), 1),
            load_by_region={
                region: [round(figure, 1) for figure in load]
                for region, load in load_by_region.items()
            },
        )


def _get_capacity(capacity, rate, cacheable_share):
    """Return the requests a second that a region serves.

    If its upstreams can cache only a share of the objects, these are that
    share of its own callers' requests.
    """
    if cacheable_share >= 1.0:
        return capacity
    return min(capacity, rate * cacheable_share / MAX_UTILIZATION)
