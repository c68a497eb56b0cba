"""Computes which share of a region's requests runs in each other region.

Load pattern: callers arrive evenly in all regions, but one region has a
quarter of the upstreams, and the regions' load waves are out of phase. Sending
away only the requests that find no free slot would oscillate with every burst;
the load of the other region would change within a second, and its upstreams
would get objects that they have not cached. So the share follows measured
demand and capacity, and changes by at most ``MAX_STEP_PER_S``.

The object that a request is about decides whether it is sent to another
region, so that each object stays in one region while the shares are constant:
an upstream caches only a few dozen objects, and a region with few upstreams
would evict each of them before it is requested again. Such a region serves no
more objects than its upstreams can cache.

What a region cannot serve at ``MAX_UTILIZATION`` of its slots goes to the
regions that have headroom, in proportion to it, and never more than all the
headroom there is. ``MAX_UTILIZATION`` is below one since requests arrive in
bursts: at 0.9 a pooled group of 18 slots makes one request in five wait.
"""

import math
from collections import Counter
from typing import NamedTuple

import xxhash

from godwitlanding.decisions.cachesize import INITIAL_OBJECTS
from godwitlanding.decisions.homes import CACHED_OBJECTS

MAX_UTILIZATION = 0.9
# Objects per upstream that a region serves while others have headroom. With as
# many as an upstream can cache, every other upstream would have more than that
# on average, and one in fifty requests would find seven others at the only
# upstream that has its object.
TARGET_CACHED_OBJECTS = 10
# The constants above and in ``decisions.homes`` fit upstreams that keep this
# many objects, and are scaled for those that clearly keep more.
USUAL_CACHE_SIZE = INITIAL_OBJECTS
# A learnt size up to this multiple of the usual one leaves the plan unchanged:
# upstreams that keep 14 to 16 objects are estimated at up to 19.
MIN_SIZE_RATIO = 1.25
# Twice this is the change between two windows of 2 s, 0.08, about half of the
# permitted 0.15; the rest allows for the randomness of which requests arrive.
MAX_STEP_PER_S = 0.04


class RegionLoad(NamedTuple):
    """The load of a service in a region: arrival rate and capacity.

    ``capacity_per_s`` is with ``TARGET_CACHED_OBJECTS`` on each upstream,
    ``full_capacity_per_s`` with as many as upstreams can cache, and
    ``slot_capacity_per_s`` what the slots serve at the current share of
    requests for objects that are not cached.
    """

    arrivals_per_s: float
    capacity_per_s: float
    full_capacity_per_s: float = 0.0
    slot_capacity_per_s: float = 0.0


def get_size_factor(cache_size):
    """Return the factor of the cached objects per upstream in the plan.

    It is 1 unless the learnt ``cache_size`` is clearly larger than usual.

    >>> get_size_factor(16.0), get_size_factor(28.0)
    (1.0, 1.75)
    """
    ratio = cache_size / USUAL_CACHE_SIZE
    return ratio if ratio > MIN_SIZE_RATIO else 1.0


def get_cacheable_share(upstreams, objects, each=CACHED_OBJECTS):
    """Return the share of all objects that a region can cache.

    ``each`` is the number of objects cached per upstream.
    """
    if objects == 0:
        return 1.0
    return min(1.0, each * upstreams / objects)


def get_shares(region, load_by_region):
    """Return the share of ``region``'s arrivals for each other region.

    Excess goes to regions with headroom below ``capacity_per_s`` first. The
    rest goes to those below ``full_capacity_per_s``: a region with slightly
    more objects than its target would otherwise take nothing from one that
    has lost most of its slots. What still exceeds a region's slots goes to
    those with free slots: if the objects fit into no region's caches, every
    region would otherwise keep its own requests, and callers of a region whose
    slots are full would be refused while slots of other regions are free.
    """
    left_by_region = {n: load.arrivals_per_s for n, load in load_by_region.items()}
    moved = Counter()
    for get_capacity in (
        lambda load: load.capacity_per_s,
        lambda load: max(load.capacity_per_s, load.full_capacity_per_s),
        lambda load: max(load[1:]),
    ):
        capacity_by_region = {n: get_capacity(r) for n, r in load_by_region.items()}
        step_by_region = _divide_excess(left_by_region, capacity_by_region)
        moved += Counter(step_by_region.get(region, {}))
        left_by_region = _apply_moves(left_by_region, step_by_region)
    # At rates near 0 rounding errors exceed the region's arrivals.
    arrivals = max(load_by_region[region].arrivals_per_s, sum(moved.values()))
    return {name: per_s / arrivals for name, per_s in moved.items()}


def _apply_moves(rate_by_region, moved_by_region):
    """Return the rates after the moves from each region to others."""
    return {
        name: rate
        - sum(moved_by_region.get(name, {}).values())
        + sum(
            moved_by_target.get(name, 0.0)
            for moved_by_target in moved_by_region.values()
        )
        for name, rate in rate_by_region.items()
    }


def _divide_excess(arrivals_by_region, capacity_by_region):
    """Return the requests a second to move, by region and its targets."""
    excess_by_region = {}
    headroom_by_region = {}
    for name, arrivals in arrivals_by_region.items():
        usable = MAX_UTILIZATION * capacity_by_region[name]
        if math.isclose(arrivals, usable):
            # A region that has received all that it can take is above its
            # capacity by a rounding error, and may have no callers itself.
            continue
        if arrivals > usable:
            excess_by_region[name] = arrivals - usable
        else:
            headroom_by_region[name] = usable - arrivals
    excess = sum(excess_by_region.values())
    headroom = sum(headroom_by_region.values())
    if not excess or not headroom:
        return {}
    placeable_share = min(1.0, headroom / excess)
    return {
        name: {
            target: own_excess * placeable_share * target_headroom / headroom
            for target, target_headroom in headroom_by_region.items()
        }
        for name, own_excess in excess_by_region.items()
    }


def step(current, target, elapsed_s):
    """Return ``current`` moved towards ``target``, no faster than allowed."""
    names = current.keys() | target.keys()
    move_by_name = {n: target.get(n, 0.0) - current.get(n, 0.0) for n in names}
    total_move = sum(abs(move) for move in move_by_name.values())
    max_move = MAX_STEP_PER_S * elapsed_s
    scale = 1.0 if total_move <= max_move else max_move / total_move
    return {n: current.get(n, 0.0) + move * scale for n, move in move_by_name.items()}


class RegionSelector:
    """Assigns requests to regions in proportion to the shares.

    Requests about an object are assigned by the object, the others evenly over
    time.
    """

    def __init__(self, region):
        self._region = region
        self._credit_by_region = {}

    def pick(self, share_by_region, key):
        """Return the region in which the next request should run."""
        if key:
            return self._pick_by_key(share_by_region, key)
        credit = self._credit_by_region
        own_share = 1.0 - sum(share_by_region.values())
        for region in credit.keys() - share_by_region.keys() - {self._region}:
            del credit[region]
        for region, share in (*share_by_region.items(), (self._region, own_share)):
            credit[region] = credit.get(region, 0.0) + share
        chosen = max(credit, key=credit.__getitem__)
        credit[chosen] -= 1.0
        return chosen

    def _pick_by_key(self, share_by_region, key):
        point = xxhash.xxh3_64_intdigest(key.encode()) / 2**64
        for region, share in sorted(share_by_region.items()):
            if point < share:
                return region
            point -= share
        return self._region
