"""Request counts of workspaces that VMs exchange; the counts only grow.

Each VM sends its total since it started, not the increase: the next message
makes up for a lost one, and a duplicate adds nothing.
"""

from typing import NamedTuple

import xxhash

# Counts are sent in 32 bits and wrap around.
COUNT_MODULUS = 1 << 32


class Tally(NamedTuple):
    """Requests of a workspace that a VM has sent and received.

    Both are counted since the VM's start.
    """

    number: int
    sent: int
    asked: int


class Level(NamedTuple):
    """A VM's estimate of the tokens left in its region's bucket."""

    number: int
    requests: float


class AskedRate(NamedTuple):
    """Demand of a region's callers in requests a second."""

    number: int
    per_s: float


def get_workspace_number(name):
    """Return the number that identifies a workspace in messages.

    Among thousands of workspaces hardly any two share a number; those that do
    are counted together, which refuses too much rather than too little.
    """
    return xxhash.xxh32_intdigest(name.encode())


class PeerTallies:
    """The counts that another VM of the same region has sent."""

    def __init__(self, incarnation, former_incarnation):
        self.incarnation = incarnation
        # Whether it carries requests, and so sends many times a second.
        self.carries = True
        # Its incarnation before the latest restart, if known.
        self.former_incarnation = former_incarnation
        self.counts_from_zero = former_incarnation is not None
        self.received_at = 0.0
        self.tally_by_number = {}


def subtract_counts(count, previous):
    """Return the increase of a 32-bit count; negative if it has shrunk."""
    difference = (count - previous) % COUNT_MODULUS
    return (
        difference - COUNT_MODULUS if difference >= COUNT_MODULUS // 2 else difference
    )
