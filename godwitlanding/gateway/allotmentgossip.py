"""Exchanges request counts of workspaces between VMs.

VMs that carry requests exchange counts that have changed several times a
second. The periodic state messages carry all counts now and then, which makes
up for lost datagrams. The demand of a region's callers is sent to the other
regions in its digests.
"""

import asyncio

# VMs that carry requests send each other the counts that have changed within
# this time. Every fourth state message holds all counts, for VMs that missed
# a message or carry no requests.
RECENT_S = 0.25
FULL_STATE_EVERY = 4
# Calls of ``update``, a quarter of a second apart, between two computations of
# the regions' parts.
CARRIER_UPDATE_EVERY = 2
IDLE_UPDATE_EVERY = 8
# Every second digest holds the demand; the regions' parts change over seconds.
DEMAND_EVERY = 2


class AllotmentGossip:
    """Sends the counts of ``allotments`` and receives those of other VMs."""

    def __init__(self, allotments):
        self._allotments = allotments
        self._applied_share = 1.0
        self._ticks = 0
        self._state_sends = 0
        self._digest_sends = 0

    def get_recent(self):
        """Return the counts that have changed within ``RECENT_S``."""
        return self._allotments.get_tallies(_now() - RECENT_S)

    def get_periodic_tallies(self):
        """Return counts for a state message, and whether they are complete.

        Every ``FULL_STATE_EVERY`` th call returns all counts, others none.
        """
        self._state_sends += 1
        if self._state_sends % FULL_STATE_EVERY:
            return (), False
        return self._allotments.get_tallies(), True

    def get_initial_state(self):
        """Return message fields for a VM that has just started."""
        return {
            "tallies": self._allotments.get_tallies(),
            "tells_all": True,
            "levels": self._allotments.get_levels(_now()),
        }

    def get_asked(self):
        """Return the demand of this region's callers on every second call."""
        self._digest_sends += 1
        if self._digest_sends % DEMAND_EVERY:
            return ()
        return self._allotments.get_asked()

    def receive_message(self, message):
        """Handle a message from a VM of this region."""
        now = _now()
        self._allotments.receive(
            message.vm,
            message.incarnation,
            message.tallies,
            now,
            message.tells_all,
            message.carries,
        )
        self._allotments.adopt_levels(message.levels, now)

    def receive_digest(self, digest):
        """Handle another region's digest."""
        if digest.asked:
            self._allotments.receive_region_demand(digest.region, digest.asked, _now())

    def update(self, share, carries_requests):
        """Recompute this region's parts; ``share`` of its VMs is reachable.

        A decrease of ``share`` takes effect at once.
        """
        # VMs that carry no requests have almost nothing to distribute, and
        # there are many of them, so they recompute less often.
        self._ticks += 1
        every = CARRIER_UPDATE_EVERY if carries_requests else IDLE_UPDATE_EVERY
        if self._ticks % every == 0 or share < self._applied_share:
            self._applied_share = share
            self._allotments.update(share, _now())


def _now():
    return asyncio.get_running_loop().time()
