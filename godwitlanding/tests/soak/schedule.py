"""Which faults a seed draws, and when; no process and no network.

Faults come in series and overlap: each begins at a time of its own, lasts
for a while, and the next may begin meanwhile, also on the same thing.
"""

import random
from typing import NamedTuple

# Of one seed: faults begin in this time, and then everything is mended.
FAULTS_S = 8.0
MIN_FAULTS = 3
MAX_FAULTS = 14

# Kinds by what they strike; ``planned`` ones promise that nobody notices.
VM_KINDS = ("term", "kill", "pause", "hangup", "herd")
UPSTREAM_KINDS = ("crash", "shed", "fail", "reset", "cut", "slow", "drain")
# What an upstream says of itself in its answers alone.
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
    """One fault: what it strikes (``family``), how, which one, and when.

    ``target`` counts the things of the family, modulo their number.
    """

    at_s: float
    for_s: float
    family: str
    kind: str
    target: int


def draw_faults(seed):
    """Return the faults of a seed in the order in which they begin."""
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
                at_s=round(rng.uniform(0.2, FAULTS_S), 2),
                for_s=round(
                    rng.choice((0.3, 1.0, 2.5, 4.0)) * rng.uniform(0.7, 1.3), 2
                ),
                family=family,
                kind=kind,
                target=rng.randrange(100),
            )
        )
    return sorted(faults)
