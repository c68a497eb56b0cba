"""Rendezvous hashing: every process picks the same member without asking.

Each name is scored against the key and the highest score wins, so a member
that leaves moves only the keys it had, and a new one takes an equal part.

>>> rank("service/status", ["maz-a1", "maz-a2"])[0]
'maz-a1'
"""

import xxhash


def rank(key, names):
    """Return ``names`` in the order in which they should take ``key``."""
    return sorted(names, key=lambda name: (-_score(key, name), name))


def choose(key, names):
    """Return the first of ``rank``, or an empty name where there is none."""
    return min(names, key=lambda name: (-_score(key, name), name), default="")


def _score(key, name):
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
