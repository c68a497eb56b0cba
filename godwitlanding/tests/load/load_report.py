"""What the callers of a run received, in a few figures."""

from math import inf
from typing import NamedTuple

from godwitlanding.tests.load.load_driver import FAILED, LATE, OK, REFUSED

# A second counts as normal while its p95 is within the p99 of the bare work
# times, and 99 % of its tries are answered well.
P99_OF_EXPONENTIAL = 4.6
CALM_SECONDS = 5
NORMAL_SHARE = 0.99


class Summary(NamedTuple):
    """Figures of one run; latencies of good answers, in seconds.

    ``goodput`` is the work of the good answers given between begin and end
    as a share of what the slots can serve, or of what was offered if that
    is less. ``on_time`` is the
    share of what was accepted that ended before its deadline.
    ``told_p50_s`` and ``told_p99_s`` are how long a refused caller waited
    to be told so.
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
    """Return the value that ``share`` of the values do not exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarise(run, pattern):
    """Return the figures of a finished run of a pattern."""
    inside = [r for r in run.received if pattern.begin <= r.arrived < pattern.end]
    good = [r for r in inside if r.kind == OK]
    others = [r for r in inside if r.group == pattern.others] or inside
    others_good = [r for r in others if r.kind == OK]
    seconds = pattern.end - pattern.begin
    slots = sum(upstream.slots for upstream in run.upstreams)
    offered_s = sum(r.work_s for r in inside if r.tries == 0)
    possible_s = min(offered_s, slots * seconds)
    served_s = sum(
        r.work_s
        for r in run.received
        if r.kind == OK and pattern.begin <= r.arrived + r.took_s < pattern.end
    )
    told = [r.took_s for r in inside if r.kind == REFUSED]
    count = {kind: sum(r.kind == kind for r in inside) for kind in (REFUSED, LATE)}
    failed = sum(r.kind == FAILED for r in inside)
    accepted = len(good) + count[LATE] + failed
    return Summary(
        offered=len(inside),
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
        recovery_s=find_recovery(run.received, pattern),
        told_p50_s=find_quantile(told, 0.5),
        told_p99_s=find_quantile(told, 0.99),
        crashes=sum(upstream.crashes for upstream in run.upstreams),
    )


def find_recovery(received, pattern):
    """Return the seconds after ``calm`` until five normal seconds begin."""
    if not pattern.calm:
        return 0.0
    by_second = split_by_second(received)
    normal_s = P99_OF_EXPONENTIAL * pattern.streams[0].work_s
    normal_in_a_row = 0
    for second in range(int(pattern.calm), int(pattern.seconds)):
        if _is_normal(by_second.get(second, []), normal_s):
            normal_in_a_row += 1
        else:
            normal_in_a_row = 0
        if normal_in_a_row == CALM_SECONDS:
            return second + 1 - CALM_SECONDS - pattern.calm
    return inf


def split_by_second(received):
    """Return what was received by the whole second of its arrival."""
    by_second = {}
    for item in received:
        by_second.setdefault(int(item.arrived), []).append(item)
    return by_second


def _is_normal(received, normal_s):
    good = [r.took_s for r in received if r.kind == OK]
    if len(good) < NORMAL_SHARE * len(received):
        return False
    return find_quantile(good, 0.95) <= normal_s
