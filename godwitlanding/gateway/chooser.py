"""Joins the decisions about upstreams with what this VM knows of them."""

import asyncio
from collections import OrderedDict
from typing import NamedTuple

from eliot import log_message

from godwitlanding.decisions.fleet import get_carriers, make_own_peer
from godwitlanding.decisions.homes import Homes, pick_homes
from godwitlanding.decisions.placing import (
    Candidate,
    Placement,
    is_worth_taking,
    place,
)
from godwitlanding.decisions.regionshare import (
    FULL,
    KEPT_OBJECTS,
    RegionDealer,
    RegionLoad,
    get_known_share,
    get_shares,
    step,
)
from godwitlanding.decisions.worktime import Warmth
from godwitlanding.gateway.registry import Upstream
from godwitlanding.kernel import Service
from godwitlanding.rendezvous import choose

PLAN_PAUSE_S = 0.5
# First word on distance, in seconds there and back, until it is measured.
ZONE_DISTANCE_S = 0.001
REGION_DISTANCE_S = 0.004
FAR_DISTANCE_S = 0.112
# A region whose capacity changes by more than this share between two looks
# has lost or gained upstreams, and its share moves at once.
JUMP_SHARE = 0.34
# Beside the planned share this part of the requests may go to whichever
# region has room now; twice that is still below what users allow.
OVERFLOW_SHARE = 0.05
_OVERFLOW_WEIGHT = 0.02
# An upstream this many times slower than usual takes longer for an object
# that it knows than others for one that they do not (3.3 times).
SLOW_FACTOR = 2.5
# Shares are logged when they have moved this far since the last line.
TOLD_CHANGE = 0.05
# Objects remembered for each upstream as sent there; more than it knows.
_MAX_KNOWN = 64


class Choice(NamedTuple):
    """The upstream for an attempt, with what decided it."""

    upstream: Upstream
    finish_s: float
    wait_s: float
    occupied: float
    distance_s: float
    warmth: Warmth
    # Age of the upstream's own word on its load, None where there is none.
    report_age_s: float | None


class Rejection(NamedTuple):
    """Why an attempt has no upstream, with what decided it.

    ``placement`` is the best that there was, ``None`` where no upstream may
    be used at all.
    """

    reason: str
    placement: Placement | None
    to_target_s: float


class Chooser(Service):
    """Picks the upstream of each attempt."""

    name = "chooser"
    needs = ("registry", "peers")

    def __init__(self, identity, occupancy, worktimes, fleet):
        self._identity = identity
        self._occupancy = occupancy
        self._worktimes = worktimes
        self._fleet = fleet
        self._own_peer = make_own_peer(identity)
        self._registry = None
        self._peers = None
        self._task = None
        self._shares_by_service = {}
        self._told_shares_by_service = {}
        self._capacity_by_service = {}
        self._dealer_by_service = {}
        self._overflow_by_service = {}
        self._homes = Homes()
        self._known_by_upstream = {}
        self._distance_by_zone = {}
        self._cold_next_by_upstream = {}
        self.ejected = set()
        # This VM's own region first.
        self._regions = sorted(
            set(identity.region_by_zone.values()),
            key=lambda region: (region != identity.region, region),
        )

    async def start(self, kernel):
        """Begin to plan the regions' shares."""
        self._registry = kernel.get("registry")
        self._peers = kernel.get("peers")
        self._task = asyncio.create_task(self._plan_often())

    async def stop(self):
        """Plan no longer."""
        self._task.cancel()

    def get_status(self):
        """Return the regions' shares by service."""
        return {"shares": self._shares_by_service, "ejected": sorted(self.ejected)}

    def note_distance(self, upstream, seconds):
        """Take the time that a connection took to open, there and back."""
        zone = upstream.availability_zone
        held = self._distance_by_zone.get(zone)
        moved = seconds if held is None else held + 0.2 * (seconds - held)
        self._distance_by_zone[zone] = moved

    def get_distance_s(self, availability_zone):
        """Return the time there and back to a zone's upstreams."""
        measured = self._distance_by_zone.get(availability_zone)
        if measured is not None:
            return measured
        if availability_zone == self._identity.availability_zone:
            return ZONE_DISTANCE_S
        region = self._registry.get_region(availability_zone)
        if region == self._identity.region:
            return REGION_DISTANCE_S
        return FAR_DISTANCE_S

    def may_try_again(self, service, upstream, now):
        """Tell whether an upstream that shed a request may be asked again.

        Where a service sheds requests at random, the upstream that knows
        the object is still the best one; one that is full sheds again.
        """
        if self._worktimes.stands_out(service, upstream.id):
            return False
        return self._occupancy.get(upstream.id, now) < upstream.slots

    def get_work_s(self, service):
        """Return the usual work time of a service."""
        return self._worktimes.get_warm_s(service)

    def note_known(self, upstream_id, key):
        """An upstream has handled an object."""
        known = self._known_by_upstream.setdefault(upstream_id, OrderedDict())
        known[key] = None
        known.move_to_end(key)
        if len(known) > _MAX_KNOWN:
            known.popitem(last=False)

    def forget(self, upstream_id):
        """Drop what is held of an upstream that is gone."""
        self.ejected.discard(upstream_id)
        self._cold_next_by_upstream.pop(upstream_id, None)
        self._known_by_upstream.pop(upstream_id, None)
        self._worktimes.forget(upstream_id)

    def choose(self, work, tried, now):
        """Return the ``Choice`` for an attempt, or why there is none.

        ``tried`` are the upstreams that had the request before.
        """
        service = work.service
        key = work.key
        to_target_s = work.target_at - now
        regions = self._get_regions(work.route, service)
        if not regions:
            return Rejection("no upstream", None, to_target_s)
        if key:
            self._homes.note_object(service, key)
        first = self._deal(service, regions, key)
        wanted = self._place(service, first, key, tried)
        if wanted and self._is_worth_taking(wanted, work, now):
            self._note_overflow(service, 0.0)
            return self._make_choice(wanted, key)
        crowded = self._has_upstream(service, first, tried)
        overflow = self._overflow_by_service.get(service, 0.0)
        if crowded and overflow > OVERFLOW_SHARE:
            self._note_overflow(service, 0.0)
            return Rejection("full, overflow spent", wanted, to_target_s)
        for region in regions:
            if region == first:
                continue
            if crowded and not self._remembers_all(service, region):
                # What overflows would push out what is known there.
                continue
            other = self._place(service, region, key, tried)
            if other and self._is_worth_taking(other, work, now):
                self._note_overflow(service, 1.0 if crowded else 0.0)
                return self._make_choice(other, key)
        self._note_overflow(service, 0.0)
        return Rejection("full" if wanted else "none usable", wanted, to_target_s)

    def _is_worth_taking(self, placement, work, now):
        return is_worth_taking(
            placement, work.target_at - now, work.answer_by - now, work.came_back
        )

    def _has_upstream(self, service, region, tried):
        return any(
            upstream.id not in tried and upstream.id not in self.ejected
            for upstream in self._registry.get_usable(service, region)
        )

    def _remembers_all(self, service, region):
        upstreams = len(self._registry.get_usable(service, region))
        return get_known_share(upstreams, self._homes.get_objects(service)) >= 1.0

    def _get_regions(self, route, service):
        regions = []
        for region in self._regions:
            if route.allowed_regions and region not in route.allowed_regions:
                continue
            if self._registry.get_usable_ids(service, region):
                regions.append(region)
        return regions

    def _deal(self, service, regions, key):
        shares = self._shares_by_service.get(service, {})
        if not any(shares.values()) or len(regions) == 1:
            return regions[0]
        dealer = self._dealer_by_service.get(service)
        if dealer is None:
            dealer = RegionDealer(self._identity.region)
            self._dealer_by_service[service] = dealer
        region = dealer.pick(shares, key)
        return region if region in regions else regions[0]

    def _place(self, service, region, key, tried):
        ids = self._registry.get_usable_ids(service, region)
        now = _now()

        def is_usable(upstream_id):
            if upstream_id in tried or upstream_id in self.ejected:
                return False
            return self._may_take_cold(upstream_id, now)

        def is_sound(upstream_id):
            if self._worktimes.get_factor(upstream_id) >= SLOW_FACTOR:
                return False
            return not self._worktimes.is_failing(service, upstream_id)

        if key:
            order = self._homes.get_order((service, region), key, ids)
            count = self._homes.get_count(service, len(ids))
            homes = pick_homes(order, count, is_usable, is_sound)
            first = order[0] if order else ""
        else:
            homes = [upstream_id for upstream_id in ids if is_usable(upstream_id)]
            first = ""
        return place(
            [
                self._make_candidate(service, upstream_id, rank, key, first, now)
                for rank, upstream_id in enumerate(homes)
            ]
        )

    def _make_candidate(self, service, upstream_id, rank, key, first, now):
        upstream = self._registry.upstream_by_id[upstream_id]
        factor = self._worktimes.get_factor(upstream_id)
        warm_s = self._worktimes.get_warm_s(service) * factor
        known = upstream_id == first or key in self._known_by_upstream.get(
            upstream_id, ()
        )
        work_s = warm_s
        if not known:
            work_s = self._worktimes.get_cold_s(service) * factor
        return Candidate(
            upstream=upstream_id,
            slots=upstream.slots,
            occupied=self._occupancy.get(upstream_id, now),
            work_s=work_s,
            usual_s=warm_s,
            distance_s=self.get_distance_s(upstream.availability_zone),
            failure_share=self._worktimes.get_failure_share(upstream_id),
            rank=rank if key else 0,
        )

    def _may_take_cold(self, upstream_id, now):
        # A cold upstream crashes when it gets much more than its rate from
        # all VMs together. So one VM alone sends to it, the same in every
        # VM's eyes while they hear the same peers, and spaces its requests.
        if self._registry.get_cold_left_s(upstream_id, now) <= 0:
            return True
        upstream = self._registry.upstream_by_id[upstream_id]
        region = self._registry.get_region(upstream.availability_zone)
        carriers = get_carriers(self._own_peer, self._fleet, region)
        vms = [peer.vm for peer in carriers]
        if choose(upstream.id, vms) != self._identity.vm:
            return False
        return now >= self._cold_next_by_upstream.get(upstream.id, 0.0)

    def _make_choice(self, placement, key):
        candidate = placement.candidate
        upstream = self._registry.upstream_by_id[candidate.upstream]
        now = _now()
        if self._registry.get_cold_left_s(upstream.id, now) > 0:
            service = self._registry.config.service_by_name.get(upstream.service)
            rate = service.cold_per_s if service else 0.0
            pause_s = 1.0 / rate if rate > 0 else 1.0
            self._cold_next_by_upstream[upstream.id] = now + pause_s
        return Choice(
            upstream,
            placement.finish_s,
            placement.wait_s,
            candidate.occupied,
            candidate.distance_s,
            self._get_warmth(upstream.id, key),
            self._occupancy.get_report_age_s(upstream.id, now),
        )

    def _get_warmth(self, upstream_id, key):
        if not key:
            return Warmth.COLD
        known = self._known_by_upstream.get(upstream_id, ())
        return Warmth.WARM if key in known else Warmth.UNSURE

    def _note_overflow(self, service, seen):
        held = self._overflow_by_service.get(service, 0.0)
        moved = held + _OVERFLOW_WEIGHT * (seen - held)
        self._overflow_by_service[service] = moved

    async def _plan_often(self):
        turn = 0
        while True:
            self._plan()
            await asyncio.sleep(PLAN_PAUSE_S)
            turn += 1
            if turn % 2 == 0:
                self._worktimes.recover()

    def _plan(self):
        config = self._registry.config
        if config is None:
            return
        for service in config.service_by_name:
            load_by_region = self._get_loads(service)
            if self._identity.region not in load_by_region:
                continue
            wanted = get_shares(self._identity.region, load_by_region)
            self._move_shares(service, wanted, load_by_region)

    def _get_loads(self, service):
        work_s = self._worktimes.get_warm_s(service)
        rate_by_region = self._peers.get_rates(service)
        slots_by_region = {}
        known_by_region = {}
        objects = self._homes.get_objects(service)
        for region in self._regions:
            upstreams = [
                upstream
                for upstream in self._registry.get_usable(service, region)
                if upstream.id not in self.ejected
            ]
            slots_by_region[region] = sum(upstream.slots for upstream in upstreams)
            known_by_region[region] = get_known_share(
                len(upstreams), objects, KEPT_OBJECTS
            )
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

    def _move_shares(self, service, wanted, load_by_region):
        slots = {
            region: sum(u.slots for u in self._registry.get_usable(service, region))
            for region in load_by_region
        }
        former = self._capacity_by_service.get(service)
        self._capacity_by_service[service] = slots
        jump = former is None or any(
            abs(count - former.get(region, 0.0))
            > JUMP_SHARE * max(count, former.get(region, 0.0))
            for region, count in slots.items()
        )
        held = self._shares_by_service.get(service, {})
        moved = wanted if jump else step(held, wanted, PLAN_PAUSE_S)
        self._shares_by_service[service] = moved
        self._log_shares(service, moved, jump, load_by_region)

    def _log_shares(self, service, shares, jump, load_by_region):
        told = self._told_shares_by_service.get(service, {})
        names = told.keys() | shares.keys()
        change = sum(abs(shares.get(n, 0.0) - told.get(n, 0.0)) for n in names)
        if change < TOLD_CHANGE:
            return
        self._told_shares_by_service[service] = shares
        log_message(
            "chooser:shares",
            service=service,
            shares={name: round(share, 3) for name, share in shares.items()},
            jump=jump,
            peers=len(self._fleet.peer_by_vm),
            load_by_region={
                region: [round(figure, 1) for figure in load]
                for region, load in load_by_region.items()
            },
        )


def _now():
    return asyncio.get_running_loop().time()
