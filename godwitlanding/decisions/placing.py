"""Which upstream takes a request, and whether it is worth taking at all.

Load pattern: more work than slots, for seconds or all day. A late answer is
worth a fifth of one in time and takes as long, so a queue that lets every
answer become late serves nobody. A request goes where it is expected to
finish first; where that is past its target latency because it would have to
wait for a slot, it is refused at once, so that its caller can come back
while there is time.

What would be late anyway, by distance or length, is still served where it
hardly waits: a slot that would stay free serves nobody. Hardly is a quarter
of one request's work, so that those behind it can be in time. A caller that
was refused before and came back may wait longer: told to come back a second
time, it would have waited for nothing.

The wait is that of ``slots`` requests of even length in progress: the first
of them ends after one part in ``slots + 1`` of the work, and each request
that waits already adds one part in ``slots``.
"""

from typing import NamedTuple

# What a place further down an object's order is charged, in seconds: enough
# to choose the first among equals, nothing against a wait.
RANK_COST_S = 0.002
# Upstreams queue three times what they have slots for. More waiting than this
# many times the slots means that the count is off, and the request would be
# shed after a trip for nothing. A fixed number would keep callers from an
# upstream of many slots that would have served them in time.
MAX_WAITING_PER_SLOT = 4 / 3

# Work spreads by 15 in 100 and an expected wait by more. A request that is
# expected to end just before its time is cut off as often as not: its slot was
# spent for nothing, and a payment that may have run cannot be sent again,
# where one that is refused comes back.
FINISH_MARGIN = 1.25

# Waits of requests that will be late, in works of one request: at three
# slots, nobody may wait before it, or one. Waiting longer, they make those
# behind them late as well: more callers get an answer, and fewer in time.
MAX_LATE_WAIT = 0.3
MAX_RETURNING_WAIT = 0.75


class Candidate(NamedTuple):
    """An upstream as it stands now: times in seconds, counts of requests.

    ``work_s`` is for this request there; ``usual_s`` for those before it.
    """

    upstream: str
    slots: int
    occupied: float
    work_s: float
    usual_s: float
    distance_s: float
    failure_share: float
    rank: int


class Placement(NamedTuple):
    """Where a request would go and when its answer is expected."""

    candidate: Candidate
    finish_s: float
    wait_s: float


def estimate_wait_s(occupied, slots, usual_s):
    """Return the time until a slot is free for one more request."""
    if occupied < slots:
        return 0.0
    return usual_s / (slots + 1) + (occupied - slots) * usual_s / slots


def mix_work_s(warm_s, cold_s, cold_requests, in_progress):
    """Return the mean work time of the requests in progress.

    ``learning`` of them work on objects that are new to the upstream. Taking
    all for known, a wait behind four first meetings looks like 0.05 s and is
    0.3 s, and the requests behind them are late without having been expected
    to be.
    """
    if cold_requests <= 0 or in_progress <= 0:
        return warm_s
    return warm_s + (cold_s - warm_s) * min(1.0, cold_requests / in_progress)


def place(candidates):
    """Return the ``Placement`` that finishes first, or ``None``.

    Failing upstreams are charged the time of the repeats that they cause.
    """
    best = None
    best_cost = 0.0
    for candidate in candidates:
        if candidate.occupied >= candidate.slots * (1.0 + MAX_WAITING_PER_SLOT):
            continue
        wait_s = estimate_wait_s(candidate.occupied, candidate.slots, candidate.usual_s)
        finish_s = candidate.distance_s + wait_s + candidate.work_s
        cost = finish_s / max(0.05, 1.0 - candidate.failure_share)
        cost += RANK_COST_S * candidate.rank
        if best is None or cost < best_cost:
            best = Placement(candidate, finish_s, wait_s)
            best_cost = cost
    return best


def is_worth_taking(placement, time_to_target_s, time_left_s, came_back=False):
    """Tell whether a request should be sent rather than refused at once."""
    if placement.finish_s > time_left_s:
        return False
    if placement.finish_s <= time_to_target_s:
        return True
    if FINISH_MARGIN * placement.finish_s > time_left_s:
        return False
    max_wait = MAX_RETURNING_WAIT if came_back else MAX_LATE_WAIT
    return placement.wait_s <= max_wait * placement.candidate.usual_s
