"""Joins the decisions about upstreams with what this VM knows of them."""

import asyncio
from enum import Enum
from typing import NamedTuple

from godwitlanding.decisions.fleet import get_carriers, make_own_peer
from godwitlanding.decisions.homes import Homes, pick_homes
from godwitlanding.decisions.memorysize import MemorySize
from godwitlanding.decisions.objectmap import Meeting, get_object_number
from godwitlanding.decisions.placing import (
    Candidate,
    Placement,
    is_worth_taking,
    mix_work_s,
    place,
)
from godwitlanding.decisions.shiftguard import ShiftGuard
from godwitlanding.decisions.worktime import Warmth
from godwitlanding.gateway.regionplan import RegionPlan
from godwitlanding.gateway.registry import Upstream
from godwitlanding.kernel import Service
from godwitlanding.rendezvous import choose, rank

RECOVER_PAUSE_S = 1.0
# First word on distance, in seconds there and back, until it is measured.
ZONE_DISTANCE_S = 0.001
REGION_DISTANCE_S = 0.004
FAR_DISTANCE_S = 0.112
# Beside the planned share this part of the requests may go to whichever
# region has room now; twice that is still below what users allow.
OVERFLOW_SHARE = 0.05
# An object whose homes are full is learnt by one more upstream for this share
# of the requests. Without a bound, wherever half of the slots were free, first
# runs took the slots that the known objects needed: the days with trouble were
# worth 0.593 in the mean in place of 0.631.
MOVE_SHARE = 0.02
_SHARE_WEIGHT = 0.02
# An upstream this many times slower than usual takes longer for an object
# that it knows than others for one that they do not (3.3 times).
SLOW_FACTOR = 2.5
# An object that nobody knows goes to one of the first of its order, so that
# all VMs choose among the same few and the load can still decide.
FRESH_CHOICES = 3
# What an object that an upstream knows already counts against it, in places
# of the order (2 ms each): an upstream with five more than the next one gets
# no further one while that has a free slot.
PLACES_EACH_OBJECT = 10
# Work times tell whether an upstream knew an object where both differ this
# many times, at upstreams that are not this much slower than others.
TELLING_TIMES = 1.5
TELLING_FACTOR = 1.5
# Where upstreams know this many in the mean, one that knows none has joined
# late; at the start all are empty and get objects anyway.
OBJECTS_TO_SHARE = 2
# The same for each further home of an object: it keeps to its first one
# unless that one is busier by 20 ms.
PLACES_EACH_HOME = 10


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

    def __init__(self, identity, occupancy, worktimes, fleet, object_map):
        self._identity = identity
        self._occupancy = occupancy
        self._worktimes = worktimes
        self._fleet = fleet
        self._object_map = object_map
        self._own_peer = make_own_peer(identity)
        self._registry = None
        self._peers = None
        self._tasks = []
        self._plan = None
        self._overflow_by_service = {}
        self._moves_by_service = {}
        self._homes = Homes()
        self._shift_guard = ShiftGuard()
        self._memory = MemorySize()
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

    def get_remembered(self, service):
        """Return how many objects an upstream of a service remembers."""
        return self._memory.get(service)

    def get_work_s(self, service):
        """Return the usual work time of a service."""
        return self._worktimes.get_warm_s(service)

    def note_unreached(self, work, choice):
        """An upstream did not get the object that it was chosen for.

        One that shed the request does not know it either, but stays its
        home: where a service sheds at random, an object that left each
        upstream that shed it would be learnt by all of them.
        """
        if work.key and choice.depth is None:
            self._object_map.drop(self._make_meeting(work, choice.upstream.id))

    def note_answer(self, work, choice, work_s):
        """An upstream has answered after ``work_s`` seconds."""
        waited = choice.occupied >= choice.upstream.slots
        self._learn_memory(work.service, choice, work_s, waited)
        self._worktimes.note_answer(
            work.service, choice.upstream.id, work_s, choice.warmth, waited
        )
        if work.key and choice.upstream.id in self._registry.number_by_id:
            meeting = self._make_meeting(work, choice.upstream.id)
            self._object_map.note_answer(meeting)

    def _learn_memory(self, service, choice, work_s, waited):
        if choice.depth is None or waited:
            return
        warm_s = self._worktimes.get_warm_s(service)
        cold_s = self._worktimes.get_cold_s(service)
        factor = self._worktimes.get_factor(choice.upstream.id)
        if cold_s < TELLING_TIMES * warm_s or factor > TELLING_FACTOR:
            return
        was_known = work_s < (warm_s + cold_s) / 2
        self._memory.note(service, choice.depth, was_known)

    def forget(self, upstream_id):
        """Drop what is held of an upstream that is gone or new again."""
        self.ejected.discard(upstream_id)
        self._cold_next_by_upstream.pop(upstream_id, None)
        self._worktimes.forget(upstream_id)
        number = self._registry.number_by_id.get(upstream_id)
        if number is not None:
            self._object_map.forget(number)

    def choose(self, work, tried, now):
        """Return the ``Choice`` for an attempt, or why there is none.

        ``tried`` are the upstreams that had the request before.
        """
        regions = self._get_regions(work.route, work.service)
        if not regions:
            return Rejection("no upstream", None, work.target_at - now)
        if work.key:
            self._homes.note_object(work.service, work.key)
        dealt = self._plan.deal(work.service, regions, work.key)
        known_by_region = self._find_known(work, regions, tried, now)
        if known_by_region:
            return self._choose_known(work, known_by_region, dealt, tried, now)
        return self._choose_fresh(work, regions, dealt, tried, now)

    def _choose_known(self, work, known_by_region, dealt, tried, now):
        """Choose for an object that some upstream knows."""
        empty = self._find_empty(work, dealt, tried, now)
        if empty:
            return self._take(work, empty, Why.JOINED)
        here = self._place_known(work, known_by_region.get(dealt, ()), now)
        if here and self._is_in_time(here, work, now):
            return self._take(work, here, Why.KNOWN)
        others = self._find_others(work, known_by_region, dealt, tried, now)
        there = self._place_known(work, others, now)
        if there and self._is_in_time(there, work, now):
            if here is None:
                return self._take(work, there, Why.KNOWN_ELSEWHERE)
            if self._overflow_by_service.get(work.service, 0.0) <= OVERFLOW_SHARE:
                return self._take(work, there, Why.OVERFLOW, overflow=1.0)
        best = _get_sooner(here, there)
        if best and self._is_worth_taking(best, work, now):
            return self._take(work, best, Why.LATE)
        fresh = self._place_fresh(work, dealt, tried, now)
        if fresh and self._may_move(work, fresh, now):
            return self._take(work, fresh, Why.ONE_MORE_HOME, move=1.0)
        return self._reject(work, "full", best, now)

    def _find_others(self, work, known_by_region, dealt, tried, now):
        """Return the upstreams of other regions that may take the request."""
        crowded = self._has_upstream(work.service, dealt, tried)
        return [
            upstream_id
            for region, ids in known_by_region.items()
            if region != dealt
            and (not crowded or self._shift_guard.may_change(region, now))
            for upstream_id in ids
        ]

    def _choose_fresh(self, work, regions, dealt, tried, now):
        """Choose for an object that nobody knows, or for none."""
        wanted = self._place_fresh(work, dealt, tried, now)
        if wanted and self._is_worth_taking(wanted, work, now):
            return self._take(work, wanted, Why.NEW)
        crowded = self._has_upstream(work.service, dealt, tried)
        overflow = self._overflow_by_service.get(work.service, 0.0)
        if crowded and overflow > OVERFLOW_SHARE:
            return self._reject(work, "full, overflow spent", wanted, now)
        for region in regions:
            if region == dealt:
                continue
            if crowded and not self._may_overflow(work.service, region, now):
                continue
            other = self._place_fresh(work, region, tried, now)
            if other and self._is_worth_taking(other, work, now):
                overflow = 1.0 if crowded else 0.0
                return self._take(work, other, Why.OVERFLOW, overflow)
        return self._reject(work, "full" if wanted else "none usable", wanted, now)

    def _may_overflow(self, service, region, now):
        # Where not all is remembered, what overflows pushes out what is known.
        if not self._plan.remembers_all(service, region):
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

    def _find_known(self, work, regions, tried, now):
        """Return the ids of the upstreams that know the object, by region.

        Those that may not be used, are slow or fail are left out.
        """
        known_by_region = {}
        if not work.key:
            return known_by_region
        key = get_object_number(work.service, work.key)
        remembered = self._memory.get(work.service)
        for number in self._object_map.get_upstreams(key):
            upstream_id = self._registry.id_by_number.get(number)
            if upstream_id is None or upstream_id in tried:
                continue
            region = self._registry.get_usable_region(upstream_id)
            if region not in regions or upstream_id in self.ejected:
                continue
            if not self._is_sound(work.service, upstream_id):
                continue
            if self._object_map.get_depth(number, key) >= remembered:
                continue
            if self._may_take_cold(upstream_id, now):
                known_by_region.setdefault(region, []).append(upstream_id)
        return known_by_region

    def _find_empty(self, work, region, tried, now):
        """Return a placement at an upstream that is new and knows nothing.

        Objects stay where they are known, so one that joins would get none.
        The first object whose order it heads is learnt there.
        """
        ids = self._registry.get_usable_ids(work.service, region)
        order = self._homes.get_order((work.service, region), work.key, ids)
        if not order or order[0] in tried or order[0] in self.ejected:
            return None
        if not self._is_left_out(order[0], ids):
            return None
        if self._registry.get_cold_left_s(order[0], now) > 0:
            return None
        return place([self._make_candidate(work, order[0], 0, False, now)])

    def _is_left_out(self, upstream_id, ids):
        """Tell whether it knows nothing while the others know a lot."""
        numbers = self._registry.number_by_id
        if self._object_map.count_known(numbers[upstream_id]):
            return False
        known = sum(self._object_map.count_known(numbers[other]) for other in ids)
        return known >= OBJECTS_TO_SHARE * len(ids)

    def _place_known(self, work, ids, now):
        return place(
            [
                self._make_candidate(work, upstream_id, number, True, now)
                for number, upstream_id in enumerate(rank(work.key, ids))
            ]
        )

    def _may_move(self, work, placement, now):
        if self._moves_by_service.get(work.service, 0.0) > MOVE_SHARE:
            return False
        return placement.wait_s == 0.0 and placement.finish_s < work.answer_by - now

    def _is_in_time(self, placement, work, now):
        return placement.finish_s <= work.target_at - now

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

    def _place_fresh(self, work, region, tried, now):
        ids = self._registry.get_usable_ids(work.service, region)

        def is_usable(upstream_id):
            if upstream_id in tried or upstream_id in self.ejected:
                return False
            return self._may_take_cold(upstream_id, now)

        def is_sound(upstream_id):
            return self._is_sound(work.service, upstream_id)

        order = ids
        count = len(ids)
        if work.key:
            order = self._homes.get_order((work.service, region), work.key, ids)
            count = FRESH_CHOICES
        homes = pick_homes(order, count, is_usable, is_sound)
        return place(
            [
                self._make_candidate(work, upstream_id, number, False, now)
                for number, upstream_id in enumerate(homes)
            ]
        )

    def _is_sound(self, service, upstream_id):
        if self._worktimes.get_factor(upstream_id) >= SLOW_FACTOR:
            return False
        return not self._worktimes.is_failing(service, upstream_id)

    def _make_candidate(self, work, upstream_id, number, known, now):
        """Return a ``Candidate``; ``number`` is its place in the order."""
        service = work.service
        upstream = self._registry.upstream_by_id[upstream_id]
        factor = self._worktimes.get_factor(upstream_id)
        warm_s = self._worktimes.get_warm_s(service) * factor
        cold_s = self._worktimes.get_cold_s(service) * factor
        occupied = self._occupancy.get(upstream_id, now)
        upstream_number = self._registry.number_by_id[upstream_id]
        places = 0
        if work.key and known:
            places = PLACES_EACH_HOME * number
        elif work.key:
            objects = self._object_map.count_known(upstream_number)
            objects = min(objects, self._memory.get(service))
            places = number + PLACES_EACH_OBJECT * objects
        learning = self._object_map.count_met_since(upstream_number, now - cold_s)
        return Candidate(
            upstream=upstream_id,
            slots=upstream.slots,
            occupied=occupied,
            work_s=warm_s if known else cold_s,
            usual_s=mix_work_s(warm_s, cold_s, learning, occupied),
            distance_s=self.get_distance_s(upstream.availability_zone),
            failure_share=self._worktimes.get_failure_share(upstream_id),
            rank=places,
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

    def _make_choice(self, work, placement, why):
        candidate = placement.candidate
        upstream = self._registry.upstream_by_id[candidate.upstream]
        now = _now()
        if self._registry.get_cold_left_s(upstream.id, now) > 0:
            service = self._registry.config.service_by_name.get(upstream.service)
            rate = service.cold_per_s if service else 0.0
            pause_s = 1.0 / rate if rate > 0 else 1.0
            self._cold_next_by_upstream[upstream.id] = now + pause_s
        region = self._registry.get_region(upstream.availability_zone)
        self._shift_guard.note(region, now)
        warmth = Warmth.COLD
        depth = None
        if work.key:
            meeting = self._make_meeting(work, upstream.id)
            if self._object_map.has_answered(meeting):
                depth = self._object_map.get_depth(*meeting)
            warmth = self._get_warmth(work.service, depth)
            self._peers.note_meeting(meeting)
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

    def _get_warmth(self, service, depth):
        # An object that may be forgotten must not make its upstream look slow.
        if depth is None or depth > self._memory.get(service) / 2:
            return Warmth.UNSURE
        return Warmth.WARM

    def _make_meeting(self, work, upstream_id):
        number = self._registry.number_by_id[upstream_id]
        return Meeting(number, get_object_number(work.service, work.key))

    def _note_share(self, share_by_service, service, seen):
        held = share_by_service.get(service, 0.0)
        share_by_service[service] = held + _SHARE_WEIGHT * (seen - held)

    async def _recover_often(self):
        while True:
            await asyncio.sleep(RECOVER_PAUSE_S)
            self._worktimes.recover()
            if self._registry.has_upstreams:
                self._object_map.keep_only(self._registry.id_by_number.keys())


def _get_sooner(first, second):
    """Return the placement that finishes first; either may be ``None``."""
    placements = [placement for placement in (first, second) if placement]
    return min(placements, key=lambda p: p.finish_s, default=None)


def _now():
    return asyncio.get_running_loop().time()
