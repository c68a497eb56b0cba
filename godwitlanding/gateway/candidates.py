"""Upstreams that may take a request, as they stand now."""

from typing import NamedTuple

from godwitlanding.base.rendezvous import rank
from godwitlanding.decisions.homes import pick_homes
from godwitlanding.decisions.objectmap import get_object_number
from godwitlanding.decisions.placing import Candidate, mix_work_s, place

# An object that nobody knows goes to one of the first of its order, so that
# all VMs choose among the same few and the load can still decide.
FRESH_CHOICES = 3
# What an object that an upstream knows already counts against it, in places
# of the order (2 ms each): an upstream with five more than the next one gets
# no further one while that has a free slot.
PLACES_EACH_OBJECT = 10
# Where upstreams know this many in the mean, one that knows none has joined
# late; at the start all are empty and get objects anyway.
OBJECTS_TO_SHARE = 2
# The same for each further home of an object: it keeps to its first one
# unless that one is busier by 20 ms.
PLACES_EACH_HOME = 10


class Known(NamedTuple):
    """Where an object is known.

    ``ids_by_region`` are the upstreams that may be asked now; ``limited``
    are the regions with one that may not, since its limit is spent.
    """

    ids_by_region: dict[str, list[str]]
    limited: set[str]


class Candidates:
    """Finds upstreams for a request and tells which would finish first."""

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
    ):
        self._registry = registry
        self._occupancy = occupancy
        self._worktimes = worktimes
        self._object_map = object_map
        self._homes = homes
        self._distances = distances
        self._learning = learning
        self._availability = availability

    def find_known(self, work, regions, tried, now):
        """Return the upstreams that know the object, as ``Known``.

        Those that may not be used, are slow or fail are left out.
        """
        known = Known({}, set())
        if not work.key:
            return known
        key = get_object_number(work.service, work.key)
        remembered = self._learning.get_remembered(work.service)
        for number in self._object_map.get_upstreams(key):
            upstream_id = self._registry.id_by_number.get(number)
            if upstream_id is None or upstream_id in tried:
                continue
            region = self._registry.get_usable_region(upstream_id)
            if region not in regions:
                continue
            if not self._is_sound(work.service, upstream_id):
                continue
            if self._object_map.get_depth(number, key) >= remembered:
                continue
            if self._availability.is_available(upstream_id, now):
                known.ids_by_region.setdefault(region, []).append(upstream_id)
            elif self._availability.is_scarce(upstream_id, now):
                known.limited.add(region)
        return known

    def place_empty(self, work, region, tried, now):
        """Return a placement at an upstream that is new and knows nothing.

        Objects stay where they are known, so one that joins would get none.
        The first object whose order it heads is learnt there.
        """
        ids = self._registry.get_usable_ids(work.service, region)
        order = self._homes.get_order((work.service, region), work.key, ids)
        if not order or order[0] in tried or not self._is_left_out(order[0], ids):
            return None
        if not self._availability.is_available(order[0], now):
            return None
        if not self._availability.may_send_new_objects(order[0], now):
            return None
        return place([self._make_candidate(work, order[0], 0, False, now)])

    def place_known(self, work, ids, now):
        """Return where an object that is known would finish first."""
        return place(
            [
                self._make_candidate(work, upstream_id, number, True, now)
                for number, upstream_id in enumerate(rank(work.key, ids))
            ]
        )

    def place_fresh(self, work, region, tried, now, known):
        """Return where an object that is not known would finish first.

        What limited upstreams may still get is for what they know: an object
        that is known to one of them waits for its turn there, and does not
        take the turn of another object.
        """
        ids = self._registry.get_usable_ids(work.service, region)

        def is_usable(upstream_id):
            if known.limited and self._availability.is_scarce(upstream_id, now):
                return False
            return upstream_id not in tried and self._availability.is_available(
                upstream_id, now
            )

        def is_sound(upstream_id):
            if self._availability.is_scarce(upstream_id, now):
                return False
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

    def has_upstream(self, service, region, tried):
        """Tell whether a region has an upstream that can be reached."""
        return any(
            upstream.id not in tried and upstream.id not in self._availability.ejected
            for upstream in self._registry.get_usable(service, region)
        )

    def _is_left_out(self, upstream_id, ids):
        """Tell whether it knows nothing while the others know a lot."""
        numbers = self._registry.number_by_id
        if self._object_map.count_known(numbers[upstream_id]):
            return False
        known = sum(self._object_map.count_known(numbers[other]) for other in ids)
        return known >= OBJECTS_TO_SHARE * len(ids)

    def _is_sound(self, service, upstream_id):
        if self._worktimes.is_slow(upstream_id):
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
        work_s = cold_s
        if not work.key:
            work_s = self._worktimes.get_objectless_s(service) * factor
        elif known:
            work_s = warm_s
            places = PLACES_EACH_HOME * number
        else:
            objects = self._object_map.count_known(upstream_number)
            objects = min(objects, self._learning.get_remembered(service))
            places = number + PLACES_EACH_OBJECT * objects
        learning = self._object_map.count_added_since(upstream_number, now - cold_s)
        return Candidate(
            upstream=upstream_id,
            slots=upstream.slots,
            occupied=occupied,
            work_s=work_s,
            usual_s=mix_work_s(warm_s, cold_s, learning, occupied),
            distance_s=self._distances.get_s(upstream.availability_zone),
            failure_share=self._worktimes.get_failure_share(upstream_id),
            rank=places,
        )
