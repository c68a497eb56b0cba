"""What VMs tell each other of upstreams that are slow or fail.

Load pattern: upstreams turn slow, or take requests and stay silent, without
going down. Of 450 upstreams each of nine VMs of a region hears from one every
few seconds, so what it takes four answers to know is over before it is known,
and is learnt by every VM anew: a sixth of all requests was late for as long
as a sixth of the upstreams was slow.

So each VM tells the others what it saw, and each takes their word as its own.
Only what is out of the ordinary is told, and what an upstream that was so does
since. A VM that is slow itself sees every upstream late; it keeps that to
itself.

Each observation has a number that grows, and is told again for a while, as
datagrams get lost; whoever hears takes each number once.
"""

from collections import deque
from typing import NamedTuple

# What an observation holds in place of times the usual work time.
FAILED = -1.0
# Twice the usual time is more than chance: work spreads by 15 in 100.
TOLD_TIMES = 1.8
# For some six bulletins between VMs that carry requests.
TELL_S = 0.5
# 12 bytes each; a packet holds some 80 beside the rest.
MAX_TOLD = 40
# Of its last answers; where more than this share was late it is the VM that
# is slow. A sixth of the upstreams being slow is seen on the worst days.
RECENT_ANSWERS = 20
MAX_LATE_SHARE = 0.5


class Observation(NamedTuple):
    """What an answer, or the want of one, tells of an upstream.

    ``seen`` is how many times the usual time it took, or ``FAILED``.
    """

    number: int
    upstream: int
    seen: float


class Observations:
    """Those of one VM, and which of its peers' it has heard."""

    def __init__(self):
        self._count = 0
        self._told = deque()
        self._recent = deque(maxlen=RECENT_ANSWERS)
        self._heard_to_by_peer = {}

    def note(self, upstream, seen, is_known_bad, now):
        """Take what this VM saw; ``is_known_bad``: before as well."""
        is_late = seen >= TOLD_TIMES
        if seen != FAILED:
            self._recent.append(is_late)
        if not is_late and seen != FAILED and not is_known_bad:
            return
        if is_late and self._is_slow_itself():
            return
        self._count += 1
        self._told.append((now, Observation(self._count, upstream, seen)))
        if len(self._told) > MAX_TOLD:
            self._told.popleft()

    def get_told(self, now):
        """Return what the peers are told now."""
        while self._told and now - self._told[0][0] > TELL_S:
            self._told.popleft()
        return tuple(observation for _, observation in self._told)

    def hear(self, peer, incarnation, told):
        """Return which of a peer's observations are new."""
        key = (peer, incarnation)
        heard_to = self._heard_to_by_peer.get(key, 0)
        new = [observation for observation in told if observation.number > heard_to]
        if new:
            self._heard_to_by_peer[key] = max(o.number for o in new)
        return new

    def forget(self, peer, incarnation):
        """Drop what is held of a peer that is silent."""
        self._heard_to_by_peer.pop((peer, incarnation), None)

    def _is_slow_itself(self):
        if len(self._recent) < RECENT_ANSWERS:
            return False
        return sum(self._recent) > MAX_LATE_SHARE * len(self._recent)
