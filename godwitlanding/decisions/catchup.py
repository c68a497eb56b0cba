"""Decides when a VM that misses a change gets it in another way.

Load pattern: a configuration of hundreds of KB goes to all VMs of a region,
some of them over links of 5 Mbit/s that carry callers' responses too. A VM
that takes such a transfer for lost when it outlasts a small one drops it
half-way and asks for all of it again, for ever, and adds that load to a link
that is full; it learns nothing else meanwhile either.

So what counts is whether anything arrives, not whether all has arrived. A VM
to which nothing arrives follows another VM, then reads the store itself, by
turns, and waits longer each time.
"""

import random
from enum import Enum

from godwitlanding.decisions.storereaders import BEHIND_S, STALLED_S

# Attempts are at least this far apart once several have failed.
MAX_PATIENCE_S = 4.0


class CatchUpStep(Enum):
    """What a VM that misses a change does now."""

    NONE = "none"
    FOLLOW_OTHER = "follow_other"
    READ_STORE = "read_store"


class CatchUp:
    """The attempts of a VM to get the changes that it misses.

    ``now`` is the time in seconds on one clock in every call.
    """

    def __init__(self):
        self.since = None
        self.attempts = 0
        self._progress_at = 0.0

    def note_current(self):
        """Record that this VM knows of no change that it misses."""
        self.since = None
        self.attempts = 0

    def decide(self, now, is_receiving, source_has_change):
        """Return the ``CatchUpStep`` of a VM that misses a change.

        ``is_receiving`` tells whether anything of it is arriving, and
        ``source_has_change`` whether the VM that is followed has the change,
        so that it may be sending it over a full link.
        """
        if self.since is None:
            self.since = self._progress_at = now
        if is_receiving:
            self._progress_at = now
        if now - self._progress_at <= self._get_patience_s(source_has_change):
            return CatchUpStep.NONE
        self._progress_at = now
        self.attempts += 1
        if self.attempts % 2:
            return CatchUpStep.FOLLOW_OTHER
        return CatchUpStep.READ_STORE

    def _get_patience_s(self, source_has_change):
        if not self.attempts:
            return STALLED_S if source_has_change else BEHIND_S
        # Spread out, since all VMs of a region may miss the same change.
        patience_s = BEHIND_S * 2**self.attempts * random.uniform(1.0, 1.5)
        return min(MAX_PATIENCE_S, patience_s)
