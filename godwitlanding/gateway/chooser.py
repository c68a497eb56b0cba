"""Joins the decisions about upstreams with what this VM knows of them."""

import asyncio
from enum import Enum
from typing import NamedTuple

from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import start_task
from godwitlanding.decisions.homes import Homes
from godwitlanding.decisions.placing import Placement, is_worth_taking
from godwitlanding.decisions.shiftguard import ShiftGuard
from godwitlanding.decisions.worktime import Warmth
from godwitlanding.gateway.availability import Availability
from godwitlanding.gateway.candidates import Candidates
from godwitlanding.gateway.distances import Distances
from godwitlanding.gateway.learning import Learning
from godwitlanding.gateway.regionbalancer import RegionBalancer
from godwitlanding.gateway.registry import Upstream

RECOVER_PAUSE_S = 1.0
# Beside the planned share this part of the requests may go to whichever
# region has room now; twice that is still below what users allow.
OVERFLOW_SHARE = 0.05
# An object whose homes are full is learnt by one more upstream for this share
# of the requests. Without a bound, first runs take the slots that the known
# objects need, their requests find those full and are learnt elsewhere in
# turn: callers of every object are late, though upstreams know them all.
MOVE_SHARE = 0.02
# An upstream with this part of its slots in use can learn an object without
# making those that it knows wait. Past full there is hardly ever a slot free,
# and one that is taken for a first run is missing for three known ones.
IDLE_SHARE = 1 / 3
# About the last fifty requests count.
_SHARE_WEIGHT = 0.02


class Why(Enum):
    """What decided for an upstream."""

    # It knows the object, in the region that the plan deals, or elsewhere.
    KNOWN = "known"
    KNOWN_ELSEWHERE = "known elsewhere"
    # Nobody knows the object, or nobody who may be asked.
    NEW = "new"
    # It has joined, and knew nothing yet.
    JOINED = "joined"
    # The object's homes are full, and it has slots free.
    ONE_MORE_HOME = "one more home"
    # The dealt region is full.
    OVERFLOW = "overflow"
    # Late wherever it goes, but it hardly waits here.
    LATE = "late"


class Choice(NamedTuple):
    """The upstream for an attempt, with what decided it."""

    upstream: Upstream
    finish_s: float
    wait_s: float
    occupied: float
    distance_s: float
    why: Why
    warmth: Warmth
    # How many other objects the upstream got since it answered this VM about
    # the object, None where it has not.
    depth: int | None
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

    def __init__(self, identity, occupancy, worktimes, fleet, object_map, limits):
        self._identity = identity
        self._limits = limits
        self._occupancy = occupancy
        self._worktimes = worktimes
        self._fleet = fleet
        self._object_map = object_map
        self._registry = None
        self._tasks = []
        self._plan = None
        self._overflow_by_service = {}
        self._moves_by_service = {}
        self._homes = Homes()
        self._shift_guard = ShiftGuard()
        self._candidates = None
        # What else of the gateway tells and asks about upstreams.
        self.distances = None
        self.learning = None
        self.availability = None

    async def start(self, kernel):
        """Begin to plan the regions' shares."""
        self._registry = kernel.get("registry")
        peers = kernel.get("peers")
        self.distances = Distances(self._identity, self._registry)
        self.learning = Learning(
            self._registry, peers, self._worktimes, self._object_map
        )
        self.availability = Availability(
            self._identity, self._registry, self._fleet, self._limits
        )
        self._candidates = self._make_candidates()
        self._plan = RegionBalancer(
            self._identity,
            self._registry,
            peers,
            self._worktimes,
            self._homes,
            self._limits,
            self.availability.ejected,
        )
        self._tasks = [
            start_task(self._plan.run()),
            start_task(self._recover_often()),
        ]

    def _make_candidates(self):
        return Candidates(
            self._registry,
            self._occupancy,
            self._worktimes,
            self._object_map,
            self._homes,
            self.distances,
            self.learning,
            self.availability,
        )

    async def stop(self):
        """Plan no longer."""
        for task in self._tasks:
            task.cancel()

    def get_status(self):
        """Return the regions' shares by service."""
        shares = self._plan.shares_by_service
        return {"shares": shares, "ejected": sorted(self.availability.ejected)}

    def may_try_again(self, service, upstream, now):
        """Tell whether an upstream that shed a request may be asked again.

        Where a service sheds requests at random, the upstream that knows
        the object is still the best one; one that is full sheds again.
        """
        if self._worktimes.is_failure_outlier(service, upstream.id):
            return False
        return self._occupancy.get(upstream.id, now) < upstream.slots

    def get_turnover_s(self, work, now):
        """Return the seconds after which a refused request may fare better.

        A slot has turned over then, and of the upstreams that have asked for
        a pause one at least may be asked again.
        """
        ids = [
            upstream_id
            for region in self._get_regions(work)
            for upstream_id in self._registry.get_usable_ids(work.service, region)
        ]
        pause_s = self.availability.pauses.get_least_left_s(ids, now)
        return max(pause_s, self._worktimes.get_warm_s(work.service))

    def forget(self, upstream_id):
        """Drop what is held of an upstream that is gone or new again."""
        self.availability.forget(upstream_id)
        self.learning.forget(upstream_id)

    def choose(self, work, tried, now):
        """Return the ``Choice`` for an attempt, or why there is none.

        ``tried`` are the upstreams that had the request before.
        """
        regions = self._get_regions(work)
        if not regions:
            return Rejection("no upstream", None, work.target_at - now)
        if work.key:
            self._homes.note_object(work.service, work.key)
        dealt = self._plan.pick_region(work.service, regions, work.key)
        known = self._candidates.find_known(work, regions, tried, now)
        if known.ids_by_region:
            return self._choose_known(work, known, dealt, tried, now)
        return self._choose_fresh(work, regions, dealt, tried, now, known)

    def _choose_known(self, work, known, dealt, tried, now):
        """Choose for an object that some upstream knows."""
        empty = self._candidates.place_empty(work, dealt, tried, now)
        if empty:
            return self._take(work, empty, Why.JOINED)
        ids_by_region = known.ids_by_region
        here = self._candidates.place_known(work, ids_by_region.get(dealt, ()), now)
        if here and self._is_in_time(here, work, now):
            return self._take(work, here, Why.KNOWN)
        others = self._find_others(work, ids_by_region, dealt, tried, now)
        there = self._candidates.place_known(work, others, now)
        if there and self._is_in_time(there, work, now):
            if here is None:
                return self._take(work, there, Why.KNOWN_ELSEWHERE)
            if self._overflow_by_service.get(work.service, 0.0) <= OVERFLOW_SHARE:
                return self._take(work, there, Why.OVERFLOW, overflow=1.0)
        best = _get_sooner(here, there)
        if best and self._is_worth_taking(best, work, now):
            return self._take(work, best, Why.LATE)
        fresh = self._candidates.place_fresh(work, dealt, tried, now, known)
        if fresh and best is None and self._is_idle(fresh):
            # Known only where it may not be asked, as in another region that
            # has got all the callers that it may get now. Refused, its caller
            # would come back to the same while upstreams here stand idle.
            return self._take(work, fresh, Why.NEW)
        if fresh and best is None and dealt in known.limited:
            # Its home here takes less than is asked, so it needs another one.
            if self._is_worth_taking(fresh, work, now):
                return self._take(work, fresh, Why.NEW)
        if fresh and self._may_move(work, fresh, now):
            return self._take(work, fresh, Why.ONE_MORE_HOME, move=1.0)
        return self._reject(work, "full", best, now)

    def _find_others(self, work, ids_by_region, dealt, tried, now):
        """Return the upstreams of other regions that may take the request."""
        crowded = self._candidates.has_upstream(work.service, dealt, tried)
        return [
            upstream_id
            for region, ids in ids_by_region.items()
            if region != dealt
            and (not crowded or self._shift_guard.may_change(region, now))
            for upstream_id in ids
        ]

    def _choose_fresh(self, work, regions, dealt, tried, now, known):
        """Choose for an object that nobody knows, or for none."""
        wanted = self._candidates.place_fresh(work, dealt, tried, now, known)
        if wanted and self._is_worth_taking(wanted, work, now):
            return self._take(work, wanted, Why.NEW)
        crowded = self._candidates.has_upstream(work.service, dealt, tried)
        overflow = self._overflow_by_service.get(work.service, 0.0)
        if crowded and overflow > OVERFLOW_SHARE:
            return self._reject(work, "full, overflow spent", wanted, now)
        for region in regions:
            if region == dealt:
                continue
            if crowded and not self._may_overflow(work.service, region, now):
                continue
            other = self._candidates.place_fresh(work, region, tried, now, known)
            if other and self._is_worth_taking(other, work, now):
                overflow = 1.0 if crowded else 0.0
                return self._take(work, other, Why.OVERFLOW, overflow)
        return self._reject(work, "full" if wanted else "none usable", wanted, now)

    def _may_overflow(self, service, region, now):
        # Where not all is remembered, what overflows pushes out what is known.
        if not self._plan.can_cache_all_objects(service, region):
            return False
        return self._shift_guard.may_change(region, now)

    def _take(self, work, placement, why, overflow=0.0, move=0.0):
        self._note_share(self._overflow_by_service, work.service, overflow)
        self._note_share(self._moves_by_service, work.service, move)
        return self._make_choice(work, placement, why)

    def _reject(self, work, reason, placement, now):
        self._note_share(self._overflow_by_service, work.service, 0.0)
        self._note_share(self._moves_by_service, work.service, 0.0)
        return Rejection(reason, placement, work.target_at - now)

    def _may_move(self, work, placement, now):
        if self._moves_by_service.get(work.service, 0.0) > MOVE_SHARE:
            return False
        return placement.wait_s == 0.0 and placement.finish_s < work.answer_by - now

    def _is_idle(self, placement):
        candidate = placement.candidate
        return candidate.occupied < IDLE_SHARE * candidate.slots

    def _is_in_time(self, placement, work, now):
        return placement.finish_s <= work.target_at - now

    def _is_worth_taking(self, placement, work, now):
        return is_worth_taking(
            placement, work.target_at - now, work.answer_by - now, work.came_back
        )

    def _get_regions(self, work):
        regions = []
        allowed = work.allowed_regions
        for region in self._plan.regions:
            if allowed is not None and region not in allowed:
                continue
            if self._registry.get_usable_ids(work.service, region):
                regions.append(region)
        return regions

    def _make_choice(self, work, placement, why):
        candidate = placement.candidate
        upstream = self._registry.upstream_by_id[candidate.upstream]
        now = _now()
        self.availability.note_sent(upstream.id, now)
        region = self._registry.get_region(upstream.availability_zone)
        self._shift_guard.note(region, now)
        warmth, depth = self.learning.begin(work, upstream.id)
        return Choice(
            upstream,
            placement.finish_s,
            placement.wait_s,
            candidate.occupied,
            candidate.distance_s,
            why,
            warmth,
            depth,
            self._occupancy.get_report_age_s(upstream.id, now),
        )

    def _note_share(self, share_by_service, service, seen):
        held = share_by_service.get(service, 0.0)
        share_by_service[service] = held + _SHARE_WEIGHT * (seen - held)

    async def _recover_often(self):
        while True:
            await asyncio.sleep(RECOVER_PAUSE_S)
            self.learning.recover()


def _get_sooner(first, second):
    """Return the placement that finishes first; either may be ``None``."""
    placements = [placement for placement in (first, second) if placement]
    return min(placements, key=lambda p: p.finish_s, default=None)


def _now():
    return asyncio.get_running_loop().time()
