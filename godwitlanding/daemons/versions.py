"""Which versions a heartbeat tells, so that its size stays bounded.

Pure: no network and no clock. A member compares the versions in each
heartbeat with its own and fetches what it lacks, which mends a push that
was lost. The pieces and deltas of the caller blocks are many: told in every
heartbeat, fifty of them made 2.8 KB of 0.4, and 24 members spent more than
a core on reading them. So the few objects whose lag users notice at once
are told each time, the many take turns.
"""

from godwitlanding.base.messages import VersionOf

ALWAYS_KINDS = ("config", "plan", "secret", "roster", "vms")
# With 50 pieces and heartbeats 0.3 s apart a lost push is mended within
# 5 s; the piece itself goes out at once when it changes.
ROTATING_KINDS = ("blocks",)
ROTATING_PER_HEARTBEAT = 3


def choose_versions(states, turn):
    """Return the versions for the heartbeat number ``turn``.

    >>> choose_versions([State("config", "main", 7, b"")], 0)
    (VersionOf(kind='config', name='main', version=7),)
    """
    always = [state for state in states if state.kind in ALWAYS_KINDS]
    rotating = sorted(state[:3] for state in states if state.kind in ROTATING_KINDS)
    rows = [state[:3] for state in always]
    rows += [
        rotating[(turn * ROTATING_PER_HEARTBEAT + step) % len(rotating)]
        for step in range(min(ROTATING_PER_HEARTBEAT, len(rotating)))
    ]
    return tuple(VersionOf(*row) for row in rows)
