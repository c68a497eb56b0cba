"""Chooses the upstream of a request, and decides whether to refuse it at once.

Load pattern: more work than slots, for seconds or all day. A late response is
worth a fifth of one in time and takes as long, so a queue in which every
response becomes late wastes the slots. A request goes where it is expected to
finish first; if that is after its target latency because it would have to
wait for a slot, it is refused at once, so that its caller can retry while
there is time.

A request that would be late anyway, because of distance or length, is still
served if it hardly waits, since the slot would otherwise stay idle. The limit
is about a quarter of one request's work, so that those behind it can be in
time. A request that was refused before and retried may wait longer: refused
a second time, its caller would have waited in vain.

The wait assumes ``slots`` requests of equal length in progress: the first
of them ends after one part in ``slots + 1`` of the work, and each request
that already waits adds one part in ``slots``.
"""

from typing import NamedTuple

# Cost in seconds of each rank further down an object's order: enough to
# choose the first among equals, negligible against a wait.
RANK_COST_S = 0.002
# Limit of the waiting requests, as a multiple of the slots. Upstreams queue
# three times their slots; if more than this limit seem to wait, the count is
# wrong, and the request would be shed after a useless round trip. A fixed
# number would keep requests from an upstream of many slots that would have
# served them in time.
MAX_WAITING_PER_SLOT = 4 / 3

# Safety factor on the expected finish. Work times vary by 15 % and waits by
# more. A request that is expected to end just before its deadline is cut off
# about half of the time: its slot time is wasted, and a payment that may have
# run cannot be sent again, whereas one that is refused can be retried.
FINISH_MARGIN = 1.25

# Longest waits of requests that will be late, in units of one request's work:
# at three slots, no request may wait before it, or one if it was refused
# before. Longer waits make the requests behind late as well: more callers get
# a response, but fewer in time.
MAX_LATE_WAIT = 0.3
MAX_RETURNING_WAIT = 0.75


class Candidate(NamedTuple):
    """An upstream's current state: times in seconds, counts in requests.

    ``work_s`` is the work time of this request there, ``usual_s`` that of the
    requests before it.
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
    """Where a request would go and when its response is expected."""

    candidate: Candidate
    finish_s: float
    wait_s: float


def estimate_wait_s(occupied, slots, usual_s):
    """Return the time until a slot is free for one more request."""
    if occupied < slots:
        return 0.0
    return usual_s / (slots + 1) + (occupied - slots) * usual_s / slots


def mix_work_s(warm_s, cold_s, cold_requests, in_progress):
    """Return the mean work time in seconds of the requests in progress.

    ``cold_requests`` of them are for objects that the upstream has not
    cached. If all counted as cached, a wait behind four cold requests would
    be estimated at 0.05 s and be 0.3 s, and the requests behind them would be
    late unexpectedly.
    """
    if cold_requests <= 0 or in_progress <= 0:
        return warm_s
    return warm_s + (cold_s - warm_s) * min(1.0, cold_requests / in_progress)


def place(candidates):
    """Return the ``Placement`` that finishes first, or ``None``.

    The cost of a failing upstream includes the retries that it causes.
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


def is_too_long(placement, time_left_s):
    """Return whether only the estimated work keeps a request from being sent.

    A slot is free for it.
    """
    return placement.wait_s == 0 and FINISH_MARGIN * placement.finish_s > time_left_s


def is_worth_taking(placement, time_to_target_s, time_left_s, came_back=False):
    """Return whether a request should be sent rather than refused at once."""
    if placement.finish_s > time_left_s:
        return False
    if placement.finish_s <= time_to_target_s:
        return True
    if FINISH_MARGIN * placement.finish_s > time_left_s:
        return False
    max_wait = MAX_RETURNING_WAIT if came_back else MAX_LATE_WAIT
    return placement.wait_s <= max_wait * placement.candidate.usual_s
