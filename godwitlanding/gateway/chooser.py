"""Selects the upstream for each attempt of a request."""

import asyncio
import math
from enum import Enum
from typing import NamedTuple

from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import Tasks
from godwitlanding.decisions.exploration import Exploration
from godwitlanding.decisions.homes import Homes
from godwitlanding.decisions.placing import (
    Placement,
    is_too_long,
    is_worth_taking,
)
from godwitlanding.decisions.shiftguard import ShiftGuard
from godwitlanding.decisions.worktime import Warmth
from godwitlanding.gateway.availability import Availability
from godwitlanding.gateway.candidates import Candidates
from godwitlanding.gateway.distances import Distances
from godwitlanding.gateway.learning import Learning
from godwitlanding.gateway.paces import Paces
from godwitlanding.gateway.regionbalancer import UPDATE_INTERVAL_S, RegionBalancer
from godwitlanding.gateway.registry import Upstream

RECOVERY_INTERVAL_S = 1.0
# Share of the requests that may leave their planned region for any region with
# free slots. Twice this share is still below what users tolerate.
OVERFLOW_SHARE = 0.05
# An object whose homes are full gets one more home for this share of the
# requests. Without a limit, cold requests take the slots that known objects
# need, so requests for those find their homes full and move in turn: every
# caller gets late responses, although upstreams know all objects.
NEW_HOME_SHARE = 0.02
# An upstream with less than this share of its slots in use can run a new
# object without delaying known ones. Under overload a slot is hardly ever
# free, and a cold request takes the slot time of three requests for known
# objects.
IDLE_OCCUPANCY = 1 / 2
# With this share of the timeout of its route left, a request has not waited.
FULL_TIME_SHARE = 0.9
# Exponential smoothing factor; the average covers about the last 50 requests.
_SHARE_SMOOTHING = 0.02


class ChoiceReason(Enum):
    """Why an upstream was chosen."""

    # It knows the object, in the planned region or in another one.
    KNOWN = "known"
    KNOWN_ELSEWHERE = "known elsewhere"
    # No upstream that may be used knows the object.
    NEW = "new"
    # It has joined recently and knew no object yet.
    JOINED = "joined"
    # The object's homes are full, and it has free slots.
    ONE_MORE_HOME = "one more home"
    # The planned region is full.
    OVERFLOW = "overflow"
    # The response is late on any upstream, but the wait is short on this one.
    LATE = "late"
    # It is expected to take too long; the response shows whether it does.
    EXPLORED = "explored"


class Choice(NamedTuple):
    """The upstream for an attempt, and the values that led to the choice."""

    upstream: Upstream
    finish_s: float
    wait_s: float
    occupied: float
    distance_s: float
    why: ChoiceReason
    warmth: Warmth
    # How many other objects the upstream got after this one, None if it has
    # not answered this VM for the object.
    depth: int | None
    # Age of the upstream's last load report, None if there is none.
    report_age_s: float | None
    # The pace of the upstream that was assumed, and the age of its report.
    pace: float = 1.0
    pace_age_s: float | None = None


class Rejection(NamedTuple):
    """Why an attempt has no upstream, and the values that led to it.

    ``placement`` is the best one available, ``None`` if no upstream may be
    used.
    """

    reason: str
    placement: Placement | None
    to_target_s: float


class Chooser(Service):
    """Selects the upstream of each attempt."""

    name = "chooser"
    needs = ("registry", "peers")

    def __init__(self, identity, occupancy, worktimes, fleet, object_map, limit_gossip):
        self._identity = identity
        self._limit_gossip = limit_gossip
        self._occupancy = occupancy
        self._worktimes = worktimes
        self._fleet = fleet
        self._object_map = object_map
        self._registry = None
        self.tasks = Tasks()
        self._region_balancer = None
        self._overflow_share_by_service = {}
        self._new_home_share_by_service = {}
        self._homes = Homes()
        self._shift_guard = ShiftGuard()
        self._exploration = Exploration()
        self._candidates = None
        self.is_cut_off = lambda: False
        # Shared with the other services of the gateway.
        self.distances = None
        self.learning = None
        self.availability = None
        self.paces = None

    async def start(self, kernel):
        """Create the helpers and start to plan the regions' shares."""
        self._registry = kernel.get("registry")
        peers = kernel.get("peers")
        self.distances = Distances(self._identity, self._registry)
        self.learning = Learning(
            self._registry, peers, self._worktimes, self._object_map
        )
        self.learning.on_measured.append(self._exploration.note_response)
        self.availability = Availability(
            self._identity, self._registry, self._fleet, self._limit_gossip
        )
        self.paces = Paces(self._registry, peers)
        self._candidates = self._make_candidates()
        self._region_balancer = RegionBalancer(
            self._identity,
            self._registry,
            peers,
            self._worktimes,
            self._homes,
            self._limit_gossip,
            self.availability.ejected,
            self.learning,
        )
        self._region_balancer.is_cut_off = self.is_cut_off
        self.tasks.repeat(UPDATE_INTERVAL_S, self._region_balancer.update)
        self.tasks.repeat(
            RECOVERY_INTERVAL_S,
            self.learning.recover,
            first_after_s=RECOVERY_INTERVAL_S,
        )

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
            self.paces,
        )

    async def stop(self):
        """Cancel the background tasks."""
        await self.tasks.stop()

    def get_status(self):
        """Return the regions' shares by service, and the ejected upstreams."""
        shares = self._region_balancer.shares_by_service
        return {"shares": shares, "ejected": sorted(self.availability.ejected)}

    def may_try_again(self, service, upstream, now):
        """Return whether an upstream that shed a request may be tried again.

        If a service sheds requests at random, the upstream that knows the
        object is still the best one. An upstream that is full sheds again.
        """
        if self._worktimes.is_failure_outlier(service, upstream.id):
            return False
        return self._occupancy.get(upstream.id, now) < upstream.slots

    def get_finish_s(self, request, choice):
        """Return the estimated time to the response of an attempt.

        It is infinite if the request's service has not been measured, and
        for a request that is relayed.
        """
        if self._worktimes.is_measured(request.service):
            return choice.finish_s
        return math.inf

    def get_turnover_s(self, request, now):
        """Return the seconds after which a refused request may be accepted.

        By then a slot has become free, and at least one of the upstreams that
        requested a pause may be used again.
        """
        ids = [
            upstream_id
            for region in self._get_regions(request)
            for upstream_id in self._registry.get_usable_ids(request.service, region)
        ]
        pause_s = self.availability.pauses.get_least_left_s(ids, now)
        return max(pause_s, self._worktimes.get_warm_s(request.service))

    def forget(self, upstream_id):
        """Discard the state of an upstream that was removed or restarted."""
        self.availability.forget(upstream_id)
        self.paces.forget(upstream_id)
        self.learning.forget(upstream_id)

    def choose(self, request, tried, now):
        """Return the ``Choice`` for an attempt, or a ``Rejection``.

        ``tried`` holds the ids of the upstreams of earlier attempts.
        """
        regions = self._get_regions(request)
        if not regions:
            return Rejection("no upstream", None, request.target_at - now)
        if request.key:
            self._homes.note_object(request.service, request.key)
        planned_region = self._region_balancer.pick_region(
            request.service, regions, request.key
        )
        known = self._candidates.find_known(request, regions, tried, now)
        if known.ids_by_region:
            return self._choose_for_known(request, known, planned_region, tried, now)
        return self._choose_for_new(request, regions, planned_region, tried, now, known)

    def _choose_for_known(self, request, known, planned_region, tried, now):
        """Choose for an object that an upstream knows."""
        joined = self._candidates.place_on_empty_upstream(
            request, planned_region, tried, now
        )
        if joined:
            return self._accept(request, joined, ChoiceReason.JOINED)
        ids_by_region = known.ids_by_region
        in_region = self._candidates.place_known_object(
            request, ids_by_region.get(planned_region, ()), now
        )
        if in_region and self._is_in_time(in_region, request, now):
            return self._accept(request, in_region, ChoiceReason.KNOWN)
        others = self._find_in_other_regions(
            request, ids_by_region, planned_region, tried, now
        )
        elsewhere = self._candidates.place_known_object(request, others, now)
        if elsewhere and self._is_in_time(elsewhere, request, now):
            if in_region is None:
                return self._accept(request, elsewhere, ChoiceReason.KNOWN_ELSEWHERE)
            if (
                self._overflow_share_by_service.get(request.service, 0.0)
                <= OVERFLOW_SHARE
            ):
                return self._accept(
                    request, elsewhere, ChoiceReason.OVERFLOW, overflow=1.0
                )
        best = _get_earliest(in_region, elsewhere)
        if best and self._is_worth_taking(best, request, now):
            return self._accept(request, best, ChoiceReason.LATE)
        new = self._candidates.place_new_object(
            request, planned_region, tried, now, known
        )
        if new and in_region is None and self._is_idle(new):
            # The object is known only to upstreams that may not be used or are
            # full, such as those of a region that may take no more callers
            # now. Refused, the caller would be refused again at the next try,
            # while upstreams in this region are idle.
            return self._accept(request, new, ChoiceReason.NEW)
        if new and best is None and planned_region in known.limited:
            # Its home in this region is rate-limited below the demand, so the
            # object needs another one.
            if self._is_worth_taking(new, request, now):
                return self._accept(request, new, ChoiceReason.NEW)
        if new and self._may_add_home(request, new, now):
            return self._accept(request, new, ChoiceReason.ONE_MORE_HOME, new_home=1.0)
        return self._reject(request, "full", best, now)

    def _find_in_other_regions(
        self, request, ids_by_region, planned_region, tried, now
    ):
        """Return the upstreams of other regions that may get the request."""
        is_reachable = self._candidates.has_upstream(
            request.service, planned_region, tried
        )
        return [
            upstream_id
            for region, ids in ids_by_region.items()
            if region != planned_region
            and (not is_reachable or self._shift_guard.may_change(region, now))
            for upstream_id in ids
        ]

    def _choose_for_new(self, request, regions, planned_region, tried, now, known):
        """Choose for an object that no upstream knows, or for no object."""
        planned = self._candidates.place_new_object(
            request, planned_region, tried, now, known
        )
        if planned and self._is_worth_taking(planned, request, now):
            return self._accept(request, planned, ChoiceReason.NEW)
        is_reachable = self._candidates.has_upstream(
            request.service, planned_region, tried
        )
        overflow = self._overflow_share_by_service.get(request.service, 0.0)
        if is_reachable and overflow > OVERFLOW_SHARE:
            return self._reject(request, "full, overflow spent", planned, now)
        for region in regions:
            if region == planned_region:
                continue
            if is_reachable and not self._may_overflow(request.service, region, now):
                continue
            other = self._candidates.place_new_object(
                request, region, tried, now, known
            )
            if other and self._is_worth_taking(other, request, now):
                overflow = 1.0 if is_reachable else 0.0
                return self._accept(request, other, ChoiceReason.OVERFLOW, overflow)
        return self._reject(request, "full" if planned else "none usable", planned, now)

    def _may_overflow(self, service, region, now):
        # If the caches cannot hold all objects, overflow evicts known ones.
        if not self._region_balancer.can_cache_all_objects(service, region):
            return False
        return self._shift_guard.may_change(region, now)

    def _accept(self, request, placement, why, overflow=0.0, new_home=0.0):
        self._update_share(self._overflow_share_by_service, request.service, overflow)
        self._update_share(self._new_home_share_by_service, request.service, new_home)
        return self._make_choice(request, placement, why)

    def _reject(self, request, reason, placement, now):
        """Return a ``Rejection``, or at times a ``Choice`` that explores."""
        if self._is_refused_for_length(request, placement, now):
            if self._exploration.may_try(request.service, now):
                return self._accept(request, placement, ChoiceReason.EXPLORED)
        self._update_share(self._overflow_share_by_service, request.service, 0.0)
        self._update_share(self._new_home_share_by_service, request.service, 0.0)
        return Rejection(reason, placement, request.target_at - now)

    def _is_refused_for_length(self, request, placement, now):
        """Return whether a request is refused for its estimated length.

        One that has used up its time is not.
        """
        left_s = request.respond_by - now
        if placement is None or left_s < FULL_TIME_SHARE * request.route.timeout_s:
            return False
        return is_too_long(placement, left_s)

    def _may_add_home(self, request, placement, now):
        if self._new_home_share_by_service.get(request.service, 0.0) > NEW_HOME_SHARE:
            return False
        return placement.wait_s == 0.0 and placement.finish_s < request.respond_by - now

    def _is_idle(self, placement):
        candidate = placement.candidate
        return candidate.occupied < IDLE_OCCUPANCY * candidate.slots

    def _is_in_time(self, placement, request, now):
        return placement.finish_s <= request.target_at - now

    def _is_worth_taking(self, placement, request, now):
        return is_worth_taking(
            placement,
            request.target_at - now,
            request.respond_by - now,
            request.came_back,
        )

    def _get_regions(self, request):
        regions = []
        allowed = request.allowed_regions
        for region in self._region_balancer.regions:
            if allowed is not None and region not in allowed:
                continue
            if self._registry.get_usable_ids(request.service, region):
                regions.append(region)
        return regions

    def _make_choice(self, request, placement, why):
        candidate = placement.candidate
        upstream = self._registry.upstream_by_id[candidate.upstream]
        now = _now()
        self.availability.note_sent(upstream.id, now)
        region = self._registry.get_region(upstream.availability_zone)
        self._shift_guard.note(region, now)
        warmth, depth = self.learning.begin(request, upstream.id)
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
            *self.paces.get_with_age(upstream, now),
        )

    def _update_share(self, share_by_service, service, sample):
        current = share_by_service.get(service, 0.0)
        share_by_service[service] = current + _SHARE_SMOOTHING * (sample - current)


def _get_earliest(first, second):
    """Return the placement with the earlier finish; both may be ``None``."""
    placements = [placement for placement in (first, second) if placement]
    return min(placements, key=lambda p: p.finish_s, default=None)


def _now():
    return asyncio.get_running_loop().time()
