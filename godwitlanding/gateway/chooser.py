"""Joins the decisions about upstreams with what this VM knows of them."""

import asyncio
from collections import OrderedDict
from typing import NamedTuple

from godwitlanding.decisions.fleet import get_carriers, make_own_peer
from godwitlanding.decisions.homes import Homes, pick_homes
from godwitlanding.decisions.placing import (
    Candidate,
    Placement,
    is_worth_taking,
    place,
)
from godwitlanding.decisions.worktime import Warmth
from godwitlanding.gateway.regionplan import RegionPlan
from godwitlanding.gateway.registry import Upstream
from godwitlanding.kernel import Service
from godwitlanding.rendezvous import choose

RECOVER_PAUSE_S = 1.0
# First word on distance, in seconds there and back, until it is measured.
ZONE_DISTANCE_S = 0.001
REGION_DISTANCE_S = 0.004
FAR_DISTANCE_S = 0.112
# Beside the planned share this part of the requests may go to whichever
# region has room now; twice that is still below what users allow.
OVERFLOW_SHARE = 0.05
_OVERFLOW_WEIGHT = 0.02
# An upstream this many times slower than usual takes longer for an object
# that it knows than others for one that they do not (3.3 times).
SLOW_FACTOR = 2.5
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
        self._tasks = []
        self._plan = None
        self._overflow_by_service = {}
        self._homes = Homes()
        self._known_by_upstream = {}
        self._distance_by_zone = {}
        self._cold_next_by_upstream = {}
        self.ejected = set()

    async def start(self, kernel):
        """Begin to plan the regions' shares."""
        self._registry = kernel.get("registry")
        self._peers = kernel.get("peers")
        self._plan = RegionPlan(
            self._identity,
            self._registry,
            self._peers,
            self._worktimes,
            self._homes,
            self.ejected,
        )
        self._tasks = [
            asyncio.create_task(self._plan.run()),
            asyncio.create_task(self._recover_often()),
        ]

    async def stop(self):
        """Plan no longer."""
        for task in self._tasks:
            task.cancel()

    def get_status(self):
        """Return the regions' shares by service."""
        shares = self._plan.shares_by_service
        return {"shares": shares, "ejected": sorted(self.ejected)}

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
        first = self._plan.deal(service, regions, key)
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
            if crowded and not self._plan.remembers_all(service, region):
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

    def _get_regions(self, route, service):
        regions = []
        for region in self._plan.regions:
            if route.allowed_regions and region not in route.allowed_regions:
                continue
            if self._registry.get_usable_ids(service, region):
                regions.append(region)
        return regions

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

    async def _recover_often(self):
        while True:
            await asyncio.sleep(RECOVER_PAUSE_S)
            self._worktimes.recover()


def _now():
    return asyncio.get_running_loop().time()
