"""Finds the upstreams that can serve a request and estimates their times.

An upstream knows an object if it has handled it and still has it cached; it
handles known objects several times faster than new ones. The upstreams that
know an object are its homes.
"""

from typing import NamedTuple

from godwitlanding.base.rendezvous import rank
from godwitlanding.decisions.homes import pick_homes
from godwitlanding.decisions.objectmap import get_object_number
from godwitlanding.decisions.placing import Candidate, mix_work_s, place

# A new object goes to one of the first upstreams of its preference order, so
# that all VMs choose among the same few and can still balance the load.
NEW_OBJECT_CHOICES = 3
# Penalty for each object that an upstream already knows, in ranks of the
# preference order (2 ms each). An upstream with five objects more than the
# next one gets no further object while that one has a free slot.
RANKS_PER_OBJECT = 10
# If upstreams know this many objects on average, one that knows none has
# joined late. At startup all are empty and get objects anyway.
MIN_MEAN_OBJECTS = 2
# The same penalty for each further home of an object: its requests go to the
# first home unless the expected time there is longer by 20 ms.
RANKS_PER_HOME = 10


class KnownUpstreams(NamedTuple):
    """The upstreams that know an object.

    ``ids_by_region`` holds those that may be sent a request now. ``limited``
    holds the regions with one that may not because its rate limit is used up.
    """

    ids_by_region: dict[str, list[str]]
    limited: set[str]


class Candidates:
    """Finds upstreams for a request and the one that would finish first."""

    def __init__(
        self,
        registry,
        occupancy,
        worktimes,
        object_map,
        homes,
        distances,
        learning,
        availability,
        paces,
    ):
        self._registry = registry
        self._occupancy = occupancy
        self._worktimes = worktimes
        self._object_map = object_map
        self._homes = homes
        self._distances = distances
        self._learning = learning
        self._availability = availability
        self._paces = paces

    def find_known(self, request, regions, tried, now):
        """Return the upstreams that know the object, as ``KnownUpstreams``.

        Those that may not be used, are slow or are failing are left out.
        """
        known = KnownUpstreams({}, set())
        if not request.key:
            return known
        key = get_object_number(request.service, request.key)
        cache_size = self._learning.get_cache_size(request.service)
        for number in self._object_map.get_upstreams(key):
            upstream_id = self._registry.id_by_number.get(number)
            if upstream_id is None or upstream_id in tried:
                continue
            region = self._registry.get_usable_region(upstream_id)
            if region not in regions:
                continue
            if not self._is_healthy(request.service, upstream_id):
                continue
            if self._object_map.get_depth(number, key) >= cache_size:
                continue
            if self._availability.is_available(upstream_id, now):
                known.ids_by_region.setdefault(region, []).append(upstream_id)
            elif self._availability.is_scarce(upstream_id, now):
                known.limited.add(region)
        return known

    def place_on_empty_upstream(self, request, region, tried, now):
        """Return a placement on an upstream that joined and knows no object.

        Objects stay where they are known, so a new upstream would get none.
        It therefore gets the next object for which it is first in order.
        """
        ids = self._registry.get_usable_ids(request.service, region)
        order = self._homes.get_order((request.service, region), request.key, ids)
        if not order or order[0] in tried or not self._lacks_objects(order[0], ids):
            return None
        if not self._availability.is_available(order[0], now):
            return None
        if not self._availability.may_send_new_objects(order[0], now):
            return None
        return place([self._make_candidate(request, order[0], 0, False, now)])

    def place_known_object(self, request, ids, now):
        """Return the home on which a known object would finish first."""
        return place(
            [
                self._make_candidate(request, upstream_id, number, True, now)
                for number, upstream_id in enumerate(rank(request.key, ids))
            ]
        )

    def place_new_object(self, request, region, tried, now, known):
        """Return the placement on which a new object would finish first.

        The remaining quota of a rate-limited upstream is reserved for objects
        that it knows: a request for one of them waits for its turn there, and
        takes no quota from another object.
        """
        ids = self._registry.get_usable_ids(request.service, region)

        def is_usable(upstream_id):
            if known.limited and self._availability.is_scarce(upstream_id, now):
                return False
            return upstream_id not in tried and self._availability.is_available(
                upstream_id, now
            )

        def is_healthy(upstream_id):
            if self._availability.is_scarce(upstream_id, now):
                return False
            return self._is_healthy(request.service, upstream_id)

        order = ids
        count = len(ids)
        if request.key:
            order = self._homes.get_order((request.service, region), request.key, ids)
            count = NEW_OBJECT_CHOICES
        homes = pick_homes(order, count, is_usable, is_healthy)
        return place(
            [
                self._make_candidate(request, upstream_id, number, False, now)
                for number, upstream_id in enumerate(homes)
            ]
        )

    def has_upstream(self, service, region, tried):
        """Return whether a region has a reachable, untried upstream."""
        return any(
            upstream.id not in tried and upstream.id not in self._availability.ejected
            for upstream in self._registry.get_usable(service, region)
        )

    def _lacks_objects(self, upstream_id, ids):
        """Return whether it knows no object while the others know many."""
        numbers = self._registry.number_by_id
        if self._object_map.count_known(numbers[upstream_id]):
            return False
        known = sum(self._object_map.count_known(numbers[other]) for other in ids)
        return known >= MIN_MEAN_OBJECTS * len(ids)

    def _is_healthy(self, service, upstream_id):
        if self._worktimes.is_slow(upstream_id):
            return False
        return not self._worktimes.is_failing(service, upstream_id)

    def _make_candidate(self, request, upstream_id, number, known, now):
        """Return a ``Candidate``; ``number`` is its index in the order."""
        service = request.service
        upstream = self._registry.upstream_by_id[upstream_id]
        upstream_number = self._registry.number_by_id[upstream_id]
        factor = self._worktimes.get_factor(upstream_id)
        factor *= self._paces.get_factor(service, upstream_number, now)
        warm_s = self._worktimes.get_warm_s(service) * factor
        cold_s = self._worktimes.get_cold_s(service) * factor
        occupied = self._occupancy.get(upstream_id, now)
        candidate_rank = 0
        work_s = cold_s
        if not request.key:
            work_s = self._worktimes.get_objectless_s(service) * factor
        elif known:
            work_s = warm_s
            candidate_rank = RANKS_PER_HOME * number
        else:
            objects = self._object_map.count_known(upstream_number)
            objects = min(objects, self._learning.get_cache_size(service))
            candidate_rank = number + RANKS_PER_OBJECT * objects
        first_runs = self._object_map.count_added_since(upstream_number, now - cold_s)
        return Candidate(
            upstream=upstream_id,
            slots=upstream.slots,
            occupied=occupied,
            work_s=work_s,
            usual_s=mix_work_s(warm_s, cold_s, first_runs, occupied),
            distance_s=self._distances.get_s(upstream.availability_zone),
            failure_share=self._worktimes.get_failure_share(upstream_id),
            rank=candidate_rank,
        )
