"""Chooses the zones and entry VMs that a caller is directed to.

Pure: no network and no clock. Callers cache their answers for a while and
ask again, while weights change by small steps and VMs come and go; every
steer process has to give the same caller the same answer without talking to
the others. If the choice did not follow from the caller's name alone,
callers would move on every refresh: a shift of a tenth would then affect far
more than a tenth of the callers within one max-age, and all of them would
arrive at cold caches. Weighted rendezvous hashing moves only the callers
that a change of weights has to move; ``docs/decisions_steering.rst``
compares it with the alternatives.
"""

from functools import lru_cache
from math import log
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

# A caller tries the choices in turn; each VM that is gone costs it a connect
# timeout. Three in the zone cover two VMs lost within a max-age.
CHOICES_IN_ZONE = 3
FALLBACK_ZONES = 2

_HASH_RANGE = 2**64
# Enough for the names of 2,000 VMs and of some services in 85 zones.
_SEEDS_KEPT = 16_384


class Target(NamedTuple):
    """An entry VM that an answer may name, with its hash seed."""

    vm: str
    address: str
    availability_zone: str
    seed: int


def make_target(vm, address, availability_zone):
    """Return the ``Target`` of a VM, with its seed computed."""
    return Target(vm, address, availability_zone, get_seed(vm))


@lru_cache(_SEEDS_KEPT)
def get_seed(name):
    """Return the 64-bit seed of a name, the same in every process."""
    return xxh3_64_intdigest(name.encode())


def choose_origin(caller, zones):
    """Return the origin zone of a caller that no address block lists.

    ``zones`` are all zones of the configuration; returns ``None`` if it has
    none.
    """
    data = caller.encode()
    return max(
        zones, key=lambda zone: xxh3_64_intdigest(data, get_seed(zone)), default=None
    )


def rank_zones(caller, service, weight_by_zone):
    """Return the zones with a positive weight in the caller's order.

    Over many callers each zone comes first for its share of the weights.
    Raising a zone's weight only moves callers to it, lowering it only moves
    callers away.
    """
    zones = [zone for zone, weight in weight_by_zone.items() if weight > 0]
    if len(zones) < 2:
        return zones
    data = caller.encode()

    def get_cost(zone):
        hash_value = xxh3_64_intdigest(data, get_seed(f"{service}@{zone}"))
        return -log((hash_value + 1) / _HASH_RANGE) / weight_by_zone[zone]

    return sorted(zones, key=get_cost)


def rank_targets(caller, targets):
    """Return a zone's entry VMs in the order for this caller.

    A caller's first target changes only when that VM leaves, or when a new
    VM becomes first for it.
    """
    data = caller.encode()
    return sorted(targets, key=lambda target: xxh3_64_intdigest(data, target.seed))


def choose_target(caller, targets):
    """Return the first of ``rank_targets``, without ranking the others."""
    data = caller.encode()
    return min(targets, key=lambda target: xxh3_64_intdigest(data, target.seed))


def choose_targets(caller, ranked_zones, targets_by_zone):
    """Return a caller's targets: those of its zone, then fallbacks.

    A zone without usable VMs is skipped, so the next one in the caller's
    order serves it. ``ranked_zones`` may list a zone twice.
    """
    chosen = []
    used_zones = set()
    for zone in ranked_zones:
        targets = targets_by_zone.get(zone)
        if not targets or zone in used_zones:
            continue
        if used_zones:
            chosen.append(choose_target(caller, targets))
        else:
            chosen += rank_targets(caller, targets)[:CHOICES_IN_ZONE]
        used_zones.add(zone)
        if len(used_zones) > FALLBACK_ZONES:
            break
    return tuple(chosen)
