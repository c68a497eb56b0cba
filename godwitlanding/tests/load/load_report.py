"""Summarises the results of a simulated run."""

from math import inf
from typing import NamedTuple

from godwitlanding.tests.load.load_driver import FAILED, LATE, OK, REFUSED

# A second counts as normal if its p95 latency is at most the p99 of the work
# times alone, and 99 % of its attempts succeed. The p99 of an exponential
# distribution is 4.6 times its mean.
P99_OF_EXPONENTIAL = 4.6
NORMAL_SECONDS = 5
NORMAL_SHARE = 0.99


class Summary(NamedTuple):
    """Figures of one run; latencies are of successful attempts, in seconds.

    ``goodput`` is the work of attempts that succeeded between begin and end,
    as a share of the work that the slots can do, or of the offered work if
    that is less. ``on_time`` is the share of accepted attempts that succeeded
    before their deadline. ``told_p50_s`` and ``told_p99_s`` are the times
    until a refused caller received the refusal.
    """

    offered: int
    good: int
    refused: int
    late: int
    failed: int
    goodput: float
    on_time: float
    p50_s: float
    p99_s: float
    wait_p99_s: float
    others_p99_s: float
    others_good: float
    most_assigned: int
    recovery_s: float
    told_p50_s: float
    told_p99_s: float
    crashes: int


def find_quantile(values, share):
    """Return the ``share`` quantile of the values, or 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarise(run, pattern):
    """Return the ``Summary`` of a finished run of a pattern."""
    measured = [r for r in run.received if pattern.begin <= r.arrived < pattern.end]
    good = [r for r in measured if r.outcome == OK]
    others = [r for r in measured if r.group == pattern.others] or measured
    others_good = [r for r in others if r.outcome == OK]
    seconds = pattern.end - pattern.begin
    slots = sum(upstream.slots for upstream in run.upstreams)
    offered_s = sum(r.work_s for r in measured if r.retry_count == 0)
    possible_s = min(offered_s, slots * seconds)
    served_s = sum(
        r.work_s
        for r in run.received
        if r.outcome == OK and pattern.begin <= r.arrived + r.took_s < pattern.end
    )
    refusal_times_s = [r.took_s for r in measured if r.outcome == REFUSED]
    count = {
        outcome: sum(r.outcome == outcome for r in measured)
        for outcome in (REFUSED, LATE)
    }
    failed = sum(r.outcome == FAILED for r in measured)
    accepted = len(good) + count[LATE] + failed
    return Summary(
        offered=len(measured),
        good=len(good),
        refused=count[REFUSED],
        late=count[LATE],
        failed=failed,
        goodput=served_s / max(1e-9, possible_s),
        on_time=len(good) / max(1, accepted),
        p50_s=find_quantile([r.took_s for r in good], 0.5),
        p99_s=find_quantile([r.took_s for r in good], 0.99),
        wait_p99_s=find_quantile([r.waited_s for r in others_good], 0.99),
        others_p99_s=find_quantile([r.took_s for r in others_good], 0.99),
        others_good=len(others_good) / max(1, len(others)),
        most_assigned=max(upstream.most_assigned for upstream in run.upstreams),
        recovery_s=measure_recovery_s(run.received, pattern),
        told_p50_s=find_quantile(refusal_times_s, 0.5),
        told_p99_s=find_quantile(refusal_times_s, 0.99),
        crashes=sum(upstream.crashes for upstream in run.upstreams),
    )


def measure_recovery_s(received, pattern):
    """Return the seconds from ``recovery_from`` to five normal seconds.

    The five follow each other; the result is infinite if there are none.
    """
    if not pattern.recovery_from:
        return 0.0
    by_second = split_by_second(received)
    normal_s = P99_OF_EXPONENTIAL * pattern.streams[0].work_s
    normal_in_a_row = 0
    for second in range(int(pattern.recovery_from), int(pattern.seconds)):
        if _is_normal(by_second.get(second, []), normal_s):
            normal_in_a_row += 1
        else:
            normal_in_a_row = 0
        if normal_in_a_row == NORMAL_SECONDS:
            return second + 1 - NORMAL_SECONDS - pattern.recovery_from
    return inf


def split_by_second(received):
    """Return the results grouped by the second of the attempt's arrival."""
    by_second = {}
    for item in received:
        by_second.setdefault(int(item.arrived), []).append(item)
    return by_second


def _is_normal(received, normal_s):
    good = [r.took_s for r in received if r.outcome == OK]
    if len(good) < NORMAL_SHARE * len(received):
        return False
    return find_quantile(good, 0.95) <= normal_s
