"""What share of a region's requests runs in which other region.

Load pattern: callers come evenly to all regions, but one region has a
quarter of the upstreams, and the regions' waves are out of phase. Sending
away only what finds no slot at home would swing with every gust; the far
region would see its load change within a second, and its upstreams meet
objects they do not know. So the share follows measured demand and capacity,
and moves by at most ``MAX_STEP_PER_S``.

Which requests go is told by the object that they are about, so that each
object keeps to one region while the shares stand: an upstream knows a few
dozen objects only, and a region with few upstreams would forget each of them
before it comes again. Such a region serves no more objects than its
upstreams remember.

What a region cannot serve at ``FULL`` of its slots goes to the regions that
have room, in proportion to their room, and never more than all the room
there is. ``FULL`` is below one since requests come in clumps: at 0.9 a
pooled group of 18 slots makes one request in five wait.
"""

from typing import NamedTuple

import xxhash

from godwitlanding.decisions.homes import CACHED_OBJECTS

MAX_UTILIZATION = 0.9
# Objects that a region keeps for each of its upstreams while others have
# room: at ``REMEMBERED_OBJECTS`` in the mean every other upstream has more,
# and one in fifty requests finds seven others at its only home.
TARGET_CACHED_OBJECTS = 10
# Twice this is the change between two windows of 2 s, 0.08, and half of the
# 0.15 that users allow; the rest is for the luck of which requests arrive.
MAX_STEP_PER_S = 0.04


class RegionLoad(NamedTuple):
    """A service in a region: requests that arrive, and could be served."""

    arrivals_per_s: float
    capacity_per_s: float


def get_cacheable_share(upstreams, objects, each=CACHED_OBJECTS):
    """Return the share of all objects that a region can keep in memory.

    ``each`` is how many an upstream is to remember.
    """
    if objects == 0:
        return 1.0
    return min(1.0, each * upstreams / objects)


def get_shares(region, load_by_region):
    """Return the share for each other region of what arrives at ``region``."""
    excess_by_region = {}
    room_by_region = {}
    for name, load in load_by_region.items():
        usable = MAX_UTILIZATION * load.capacity_per_s
        excess_by_region[name] = max(0.0, load.arrivals_per_s - usable)
        room_by_region[name] = max(0.0, usable - load.arrivals_per_s)
    own = load_by_region[region]
    excess = sum(excess_by_region.values())
    room = sum(room_by_region.values())
    if excess_by_region[region] <= 0 or room <= 0:
        return {}
    fits = min(1.0, room / excess)
    away = excess_by_region[region] * fits / own.arrivals_per_s
    return {
        name: away * free / room
        for name, free in room_by_region.items()
        if free > 0 and name != region
    }


def step(held, wanted, elapsed_s):
    """Return ``held`` moved towards ``wanted``, no faster than allowed."""
    names = held.keys() | wanted.keys()
    move_by_name = {n: wanted.get(n, 0.0) - held.get(n, 0.0) for n in names}
    moved = sum(abs(move) for move in move_by_name.values())
    most = MAX_STEP_PER_S * elapsed_s
    scale = 1.0 if moved <= most else most / moved
    return {n: held.get(n, 0.0) + move * scale for n, move in move_by_name.items()}


class RegionSelector:
    """Deals requests out to regions in the shares.

    Requests about an object go by the object; the others evenly over time.
    """

    def __init__(self, region):
        self._region = region
        self._credit_by_region = {}

    def pick(self, share_by_region, key):
        """Return the region that the next request should run in."""
        if key:
            return self._pick_by_key(share_by_region, key)
        credit = self._credit_by_region
        home = 1.0 - sum(share_by_region.values())
        for region in credit.keys() - share_by_region.keys() - {self._region}:
            del credit[region]
        for region, share in (*share_by_region.items(), (self._region, home)):
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
