"""What VMs tell each other of workspaces, and what this one makes of it.

Counts that have changed go with the bulletins of VMs that carry requests,
several times a second, and all counts now and then with those that say that a
VM lives: a datagram that is lost is made good by the next. What a region's
callers ask for goes with its digests to the other regions.
"""

import asyncio

# Those who carry requests tell each other what changed within this time. All
# who live tell all with each so many words, for who missed it or carries
# nothing.
TELL_OFTEN_S = 0.25
TELL_ALL_EVERY = 4
# Looks between two times at which parts are cut anew, a quarter of a second
# each.
CARRIER_LOOKS = 2
IDLE_LOOKS = 8
# Parts of regions change within seconds.
TELL_ASKED_EVERY = 2


class AllotmentNews:
    """Passes on what ``allotments`` counts, and hears what others count."""

    def __init__(self, allotments):
        self._allotments = allotments
        self._used_share = 1.0
        self._looks = 0
        self._state_turn = 0
        self._asked_turn = 0

    def get_newest(self):
        """Return the counts that have just changed."""
        return self._allotments.get_tallies(_now() - TELL_OFTEN_S)

    def get_state(self):
        """Return counts for all who live, and whether those are all."""
        self._state_turn += 1
        if self._state_turn % TELL_ALL_EVERY:
            return (), False
        return self._allotments.get_tallies(), True

    def get_greeting(self):
        """Return what a VM that has just started is told, by field."""
        return {
            "tallies": self._allotments.get_tallies(),
            "tells_all": True,
            "levels": self._allotments.get_levels(_now()),
        }

    def get_asked(self):
        """Return what this region's callers ask for, each second time."""
        self._asked_turn += 1
        if self._asked_turn % TELL_ASKED_EVERY:
            return ()
        return self._allotments.get_asked()

    def hear(self, bulletin):
        """Take a bulletin from a VM of this region."""
        now = _now()
        self._allotments.hear(
            bulletin.vm,
            bulletin.incarnation,
            bulletin.tallies,
            now,
            bulletin.tells_all,
            bulletin.carries,
        )
        self._allotments.learn(bulletin.levels, now)

    def hear_digest(self, digest):
        """Take another region's digest."""
        if digest.asked:
            self._allotments.hear_region(digest.region, digest.asked, _now())

    def update(self, share, own_carries):
        """Work out this region's parts; ``share`` of its VMs is heard."""
        # VMs that carry nothing have next to nothing to cut, and are many.
        self._looks += 1
        every = CARRIER_LOOKS if own_carries else IDLE_LOOKS
        if self._looks % every == 0 or share < self._used_share:
            self._used_share = share
            self._allotments.update(share, _now())


def _now():
    return asyncio.get_running_loop().time()
