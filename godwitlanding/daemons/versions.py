"""Chooses the object versions in a heartbeat, within a bounded size.

Pure: no network and no clock. A member compares the versions in each
heartbeat with its own and fetches newer objects, which repairs a lost push.
The caller blocks have many pieces and deltas. Fifty of them in every
heartbeat raised its size from 0.4 to 2.8 KB, and 24 members used more than
one core to read them. So only the few objects whose lag users notice at
once are in every heartbeat, and the others rotate.
"""

from godwitlanding.base.messages import VersionOf

ALWAYS_KINDS = ("config", "plan", "secret", "roster", "vms")
# With 50 pieces and heartbeats every 0.3 s, a lost push is repaired within
# 5 s. A changed piece itself is pushed at once.
ROTATING_KINDS = ("blocks",)
ROTATING_PER_HEARTBEAT = 3


def choose_versions(states, heartbeat_number):
    """Return the versions for heartbeat ``heartbeat_number``.

    >>> choose_versions([State("config", "main", 7, b"")], 0)
    (VersionOf(kind='config', name='main', version=7),)
    """
    always = [state for state in states if state.kind in ALWAYS_KINDS]
    rotating = sorted(state[:3] for state in states if state.kind in ROTATING_KINDS)
    rows = [state[:3] for state in always]
    rows += [
        rotating[(heartbeat_number * ROTATING_PER_HEARTBEAT + step) % len(rotating)]
        for step in range(min(ROTATING_PER_HEARTBEAT, len(rotating)))
    ]
    return tuple(VersionOf(*row) for row in rows)
