"""Rendezvous hashing: picks the same member in every process.

The member with the highest hash of key and name is chosen. When a member
leaves, only its keys move; a new member takes over an equal share of the
keys. No communication is needed.

>>> rank("service/status", ["maz-a1", "maz-a2"])[0]
'maz-a1'
"""

import xxhash


def rank(key, names):
    """Return ``names`` in order of preference for ``key``."""
    return sorted(names, key=lambda name: (-_score(key, name), name))


def choose(key, names):
    """Return the first of ``rank``, an empty string if there is none."""
    return min(names, key=lambda name: (-_score(key, name), name), default="")


def _score(key, name):
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
