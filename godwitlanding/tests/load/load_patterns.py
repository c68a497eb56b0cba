"""Load patterns for the workloads of both users, at their current sizes."""

from typing import NamedTuple

from godwitlanding.tests.load.load_driver import COLD_REQUESTS, Stream

SLOTS = 3


class Workload(NamedTuple):
    """One zone's share of a user's service: a sixth of its upstreams."""

    name: str
    upstreams: int
    work_s: float
    deadline_s: float

    @property
    def capacity_per_s(self):
        """Return the request rate that the slots can serve."""
        return self.upstreams * SLOTS / self.work_s


LEGITKA = Workload("legitka status", 4, 0.05, 2.0)
ARMOR = Workload("armor catalogue", 3, 0.08, 3.0)
WORKLOADS = (LEGITKA, ARMOR)


class Pattern(NamedTuple):
    """Request streams and events during a run; times in seconds.

    Goodput and latency are measured for arrivals between ``begin`` and
    ``end``; the recovery time counts from ``recovery_from``. ``others`` is
    the group for which the summary's ``others`` figures are measured.
    """

    name: str
    streams: tuple
    seconds: float
    begin: float
    end: float
    recovery_from: float = 0.0
    events: tuple = ()
    others: str = ""


def _step(base, peak, begin, end):
    return lambda t: peak if begin <= t < end else base


def _constant(rate):
    return lambda t: rate


def make_patterns(workload):
    """Return the patterns for a workload by name."""
    w = workload
    capacity_per_s = w.capacity_per_s
    callers = Stream(
        "caller",
        _constant(0.7 * capacity_per_s),
        work_s=w.work_s,
        deadline_s=w.deadline_s,
    )
    patterns = [
        Pattern("steady 70%", (callers,), 40, 5, 40),
        _make_burst(callers, capacity_per_s),
        _make_hot_caller(callers, capacity_per_s),
        Pattern("hot key", (callers._replace(hot_key_share=0.5),), 30, 5, 30),
        _make_slow_upstream(callers, capacity_per_s),
        _make_long_among_short(w),
        *(
            _make_overload(callers, capacity_per_s, load_factor)
            for load_factor in (1.2, 2, 5)
        ),
        _make_cold_zone(
            callers,
            capacity_per_s,
            "cold zone, all at once",
            _step(0, 0.7 * capacity_per_s, 5, 99),
        ),
        _make_cold_zone(
            callers,
            capacity_per_s,
            "cold zone, 10% a step",
            _make_ramp(0.7 * capacity_per_s),
        ),
        _make_restarted_upstream(callers, capacity_per_s),
        _make_stopped_reports(callers),
        _make_retries(callers, capacity_per_s),
        _make_return_after_outage(callers, capacity_per_s),
        _make_payments(w, capacity_per_s),
        _make_crashes(callers, capacity_per_s),
    ]
    return {pattern.name: pattern for pattern in patterns}


def _make_burst(callers, capacity_per_s):
    rate = _step(0.7 * capacity_per_s, 3.5 * capacity_per_s, 10, 20)
    return Pattern("burst 5x 10 s", (callers._replace(rate=rate),), 40, 10, 20, 20)


def _make_hot_caller(callers, capacity_per_s):
    hot = callers._replace(
        group="hot", rate=_constant(0.35 * capacity_per_s), callers=1
    )
    others = callers._replace(rate=_constant(0.665 * capacity_per_s), callers=19)
    streams = (others, hot)
    return Pattern("hot caller 10x", streams, 40, 5, 40, others="caller")


def _make_slow_upstream(callers, capacity_per_s):
    def slow_down(run):
        run.upstreams[0].slowdown = 10.0

    streams = (callers._replace(rate=_constant(0.55 * capacity_per_s)),)
    events = ((10, slow_down),)
    return Pattern("slow upstream 10x", streams, 40, 10, 40, events=events)


def _make_long_among_short(workload):
    short_s, long_s = workload.work_s / 2, workload.work_s * 20
    slots = workload.upstreams * SLOTS
    rate = 0.7 * slots / (0.9 * short_s + 0.1 * long_s)
    short = Stream(
        "short", _constant(0.9 * rate), work_s=short_s, deadline_s=10, key_count=500
    )
    long = Stream(
        "long",
        _constant(0.1 * rate),
        work_s=long_s,
        deadline_s=10,
        key_count=50,
        distribution="narrow",
    )
    streams = (short, long)
    return Pattern("long among short", streams, 120, 30, 120, others="short")


def _make_overload(callers, capacity_per_s, load_factor):
    rate = _step(0.7 * capacity_per_s, load_factor * capacity_per_s, 10, 30)
    streams = (callers._replace(rate=rate),)
    return Pattern(f"overload {load_factor}x", streams, 45, 12, 30, 30)


def _make_ramp(peak):
    return lambda t: peak * min(10, max(0, int(t / 5))) / 10


def _make_cold_zone(callers, capacity_per_s, name, rate):
    def make_cold(run):
        for upstream in run.upstreams:
            upstream.cold_requests_left = COLD_REQUESTS
            arbiter = getattr(run.design, "arbiter", None)
            if arbiter:
                arbiter.note_cold(upstream.id, 5.0)

    streams = (callers._replace(rate=rate),)
    return Pattern(name, streams, 70, 5, 70, 5, events=((5, make_cold),))


def _make_restarted_upstream(callers, capacity_per_s):
    def set_usable(run, usable):
        arbiter = getattr(run.design, "arbiter", None)
        if arbiter:
            now = run.clock.now
            run.design.apply_decisions(arbiter.set_usable("u0", usable, now))
            if usable:
                run.design.apply_decisions(arbiter.note_cold("u0", now))

    def stop(run):
        run.upstreams[0].down_until = 12.0
        run.upstreams[0].cold_requests_left = COLD_REQUESTS
        set_usable(run, False)

    events = ((10, stop), (12, lambda run: set_usable(run, True)))
    streams = (callers._replace(rate=_constant(0.55 * capacity_per_s)),)
    return Pattern("restarted upstream", streams, 30, 12, 18, events=events)


def _make_stopped_reports(callers):
    def stop_reports(run):
        run.design.reports_stopped = True

    events = ((10, stop_reports),)
    return Pattern("reports stop", (callers,), 40, 10, 40, events=events)


def _make_retries(callers, capacity_per_s):
    rate = _step(0.85 * capacity_per_s, 2 * capacity_per_s, 10, 15)
    retrying = callers._replace(
        rate=rate, max_retries=4, honors_retry_after=False, retry_delay_s=0.2
    )
    return Pattern("callers retry", (retrying,), 60, 10, 60, 15)


def _make_return_after_outage(callers, capacity_per_s):
    def stop(run):
        for upstream in run.upstreams:
            upstream.down_until = 20.0

    rate = _constant(0.7 * capacity_per_s)
    returning = callers._replace(rate=rate, max_retries=8, retry_delay_s=1.0)
    return Pattern("all come back", (returning,), 80, 20, 80, 20, events=((10, stop),))


def _make_payments(workload, capacity_per_s):
    pay = Stream(
        "pay", _constant(0.3 * capacity_per_s), work_s=workload.work_s, priority=0
    )
    bulk = Stream(
        "bulk", _constant(3 * capacity_per_s), work_s=workload.work_s, priority=2
    )
    return Pattern("payments in overload", (pay, bulk), 30, 5, 30, others="pay")


def _make_crashes(callers, capacity_per_s):
    crashing = callers._replace(
        group="bad",
        rate=_step(0, 1.0, 10, 20),
        callers=1,
        hot_key_share=1.0,
        max_retries=5,
        crashes_upstream=True,
    )
    streams = (callers._replace(rate=_constant(0.5 * capacity_per_s)), crashing)
    return Pattern("crashing request", streams, 40, 10, 40, others="caller")
