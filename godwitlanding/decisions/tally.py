"""What VMs tell each other of workspaces, as numbers that only grow.

Each tells how much it has had since it started, not how much is new: a word
that is lost is made good by the next, and one that comes twice adds nothing.
"""

from typing import NamedTuple

import xxhash

# Counts are told in 32 bits and begin again at nothing when those are full.
COUNTS = 1 << 32


class Tally(NamedTuple):
    """What a VM has had of a workspace since it started."""

    number: int
    sent: int
    asked: int


class Level(NamedTuple):
    """What a VM believes to be left in its region's bucket."""

    number: int
    requests: float


class AskedRate(NamedTuple):
    """Requests a second that a region's callers ask for."""

    number: int
    per_s: float


def get_workspace_number(name):
    """Return the number that stands for a workspace between VMs.

    Of thousands hardly two share one; those that do are counted together,
    which refuses too much rather than too little.
    """
    return xxhash.xxh32_intdigest(name.encode())


class PeerTallies:
    """What a VM of the same region has told."""

    def __init__(self, incarnation, former):
        self.incarnation = incarnation
        # Whether it carries requests, and so is heard many times a second.
        self.carries = True
        # Its start before, as far as that was heard.
        self.former = former
        self.counts_from_zero = former is not None
        self.heard_at = 0.0
        self.tally_by_number = {}


def get_difference(count, former):
    """Return by how much a 32-bit count has grown; it may have shrunk."""
    difference = (count - former) % COUNTS
    return difference - COUNTS if difference >= COUNTS // 2 else difference
