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
RECENT_S = 0.25
FULL_STATE_EVERY = 4
# Looks between two times at which parts are cut anew, a quarter of a second
# each.
CARRIER_UPDATE_EVERY = 2
IDLE_UPDATE_EVERY = 8
# Parts of regions change within seconds.
DEMAND_EVERY = 2


class AllotmentGossip:
    """Passes on what ``allotments`` counts, and hears what others count."""

    def __init__(self, allotments):
        self._allotments = allotments
        self._applied_share = 1.0
        self._ticks = 0
        self._state_sends = 0
        self._digest_sends = 0

    def get_recent(self):
        """Return the counts that have just changed."""
        return self._allotments.get_tallies(_now() - RECENT_S)

    def get_periodic_tallies(self):
        """Return counts for all who live, and whether those are all."""
        self._state_sends += 1
        if self._state_sends % FULL_STATE_EVERY:
            return (), False
        return self._allotments.get_tallies(), True

    def get_initial_state(self):
        """Return what a VM that has just started is told, by field."""
        return {
            "tallies": self._allotments.get_tallies(),
            "tells_all": True,
            "levels": self._allotments.get_levels(_now()),
        }

    def get_asked(self):
        """Return what this region's callers ask for, each second time."""
        self._digest_sends += 1
        if self._digest_sends % DEMAND_EVERY:
            return ()
        return self._allotments.get_asked()

    def hear(self, message):
        """Take a bulletin from a VM of this region."""
        now = _now()
        self._allotments.hear(
            message.vm,
            message.incarnation,
            message.tallies,
            now,
            message.tells_all,
            message.carries,
        )
        self._allotments.learn(message.levels, now)

    def receive_digest(self, digest):
        """Take another region's digest."""
        if digest.asked:
            self._allotments.hear_region(digest.region, digest.asked, _now())

    def update(self, share, carries_requests):
        """Work out this region's parts; ``share`` of its VMs is heard."""
        # VMs that carry nothing have next to nothing to cut, and are many.
        self._ticks += 1
        every = CARRIER_UPDATE_EVERY if carries_requests else IDLE_UPDATE_EVERY
        if self._ticks % every == 0 or share < self._applied_share:
            self._applied_share = share
            self._allotments.update(share, _now())


def _now():
    return asyncio.get_running_loop().time()
