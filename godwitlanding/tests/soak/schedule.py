"""Draws the schedule of faults for a seed.

Faults may overlap: each has its own start time and duration, and another may
begin meanwhile, also on the same target. This module starts no process and
uses no network.
"""

import random
from typing import NamedTuple

# All faults of a seed begin within this time; then all are repaired.
FAULT_WINDOW_S = 8.0
MIN_FAULTS = 3
MAX_FAULTS = 14

# Kinds by family of targets. Those in ``PLANNED_KINDS`` are planned
# operations, which must not affect callers.
# ``term`` is SIGTERM, ``hangup`` is SIGHUP, ``herd`` kills all VMs at once.
VM_KINDS = ("term", "kill", "pause", "hangup", "herd")
UPSTREAM_KINDS = ("crash", "shed", "fail", "reset", "cut", "slow", "drain")
# What an upstream reports about itself only in its responses.
SELF_REPORT_KINDS = ("limit", "leave", "pause_asked")
STORE_KINDS = ("down", "busy", "hang", "slow", "lose_answers", "forget", "restore")
LINK_KINDS = ("delayed", "silent", "deaf_up", "deaf_down", "reset_link")
OPERATOR_KINDS = ("config", "evacuate")
PLANNED_KINDS = frozenset(("term", "hangup", "drain", "leave", *OPERATOR_KINDS))
_FAMILIES = (
    ("vm", VM_KINDS, 4),
    ("upstream", UPSTREAM_KINDS, 3),
    ("self_report", SELF_REPORT_KINDS, 3),
    ("store", STORE_KINDS, 2),
    ("store_link", LINK_KINDS, 2),
    ("upstream_link", LINK_KINDS, 2),
    ("caller_link", LINK_KINDS, 1),
    ("operator", OPERATOR_KINDS, 3),
)


class Fault(NamedTuple):
    """A fault of a ``kind`` on one target of a ``family``.

    It begins ``at_s`` after the start and lasts ``for_s``. ``target`` is the
    index of the target in the family, modulo the number of targets.
    """

    at_s: float
    for_s: float
    family: str
    kind: str
    target: int


def draw_faults(seed):
    """Return the faults of a seed, ordered by start time."""
    rng = random.Random(seed)
    planned_only = rng.random() < 0.2
    weights = [weight for _, _, weight in _FAMILIES]
    faults = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        family, kinds, _ = rng.choices(_FAMILIES, weights)[0]
        kind = rng.choice(kinds)
        if planned_only and kind not in PLANNED_KINDS:
            family, kind = "operator", "config"
        faults.append(
            Fault(
                at_s=round(rng.uniform(0.2, FAULT_WINDOW_S), 2),
                for_s=round(
                    rng.choice((0.3, 1.0, 2.5, 4.0)) * rng.uniform(0.7, 1.3), 2
                ),
                family=family,
                kind=kind,
                target=rng.randrange(100),
            )
        )
    return sorted(faults)
