"""The load patterns, for both users' workloads at the sizes of today."""

from typing import NamedTuple

from godwitlanding.tests.load.load_driver import COLD_REQUESTS, Stream

SLOTS = 3


class Workload(NamedTuple):
    """One zone's share of a user's service; a sixth of its endpoints."""

    name: str
    upstreams: int
    work_s: float
    deadline_s: float

    @property
    def capacity_per_s(self):
        """Return the requests a second that the slots can serve."""
        return self.upstreams * SLOTS / self.work_s


LEGITKA = Workload("legitka status", 4, 0.05, 2.0)
ARMOR = Workload("armor catalogue", 3, 0.08, 3.0)
WORKLOADS = (LEGITKA, ARMOR)


class Pattern(NamedTuple):
    """Streams of callers and what happens meanwhile.

    Goodput and latency are taken of arrivals between ``begin`` and ``end``;
    normal latency comes back after ``calm``.
    """

    name: str
    streams: tuple
    seconds: float
    begin: float
    end: float
    calm: float = 0.0
    events: tuple = ()
    others: str = ""


def _step(base, peak, begin, end):
    return lambda t: peak if begin <= t < end else base


def _always(rate):
    return lambda t: rate


def make_patterns(workload):
    """Return the patterns for a workload, by name."""
    w = workload
    full = w.capacity_per_s
    callers = Stream(
        "caller", _always(0.7 * full), work_s=w.work_s, deadline_s=w.deadline_s
    )
    patterns = [
        Pattern("steady 70%", (callers,), 40, 5, 40),
        _make_burst(callers, full),
        _make_hot_caller(callers, full),
        Pattern("hot key", (callers._replace(hot_key_share=0.5),), 30, 5, 30),
        _make_slow(callers, full),
        _make_long(w),
        *(_make_overload(callers, full, times) for times in (1.2, 2, 5)),
        _make_cold(
            callers, full, "cold zone, all at once", _step(0, 0.7 * full, 5, 99)
        ),
        _make_cold(callers, full, "cold zone, 10% a step", _make_ramp(0.7 * full)),
        _make_restarted(callers, full),
        _make_stopped(callers),
        _make_retries(callers, full),
        _make_return(callers, full),
        _make_payments(w, full),
        _make_crashes(callers, full),
    ]
    return {pattern.name: pattern for pattern in patterns}


def _make_burst(callers, full):
    rate = _step(0.7 * full, 3.5 * full, 10, 20)
    return Pattern("burst 5x 10 s", (callers._replace(rate=rate),), 40, 10, 20, 20)


def _make_hot_caller(callers, full):
    hot = callers._replace(group="hot", rate=_always(0.35 * full), callers=1)
    others = callers._replace(rate=_always(0.665 * full), callers=19)
    streams = (others, hot)
    return Pattern("hot caller 10x", streams, 40, 5, 40, others="caller")


def _make_slow(callers, full):
    def slow_down(run):
        run.upstreams[0].times = 10.0

    streams = (callers._replace(rate=_always(0.55 * full)),)
    events = ((10, slow_down),)
    return Pattern("slow upstream 10x", streams, 40, 10, 40, events=events)


def _make_long(workload):
    short_s, long_s = workload.work_s / 2, workload.work_s * 20
    slots = workload.upstreams * SLOTS
    rate = 0.7 * slots / (0.9 * short_s + 0.1 * long_s)
    short = Stream(
        "short", _always(0.9 * rate), work_s=short_s, deadline_s=10, keys=500
    )
    long = Stream(
        "long",
        _always(0.1 * rate),
        work_s=long_s,
        deadline_s=10,
        keys=50,
        spread="narrow",
    )
    streams = (short, long)
    return Pattern("long among short", streams, 120, 30, 120, others="short")


def _make_overload(callers, full, times):
    rate = _step(0.7 * full, times * full, 10, 30)
    streams = (callers._replace(rate=rate),)
    return Pattern(f"overload {times}x", streams, 45, 12, 30, 30)


def _make_ramp(most):
    return lambda t: most * min(10, max(0, int(t / 5))) / 10


def _make_cold(callers, full, name, rate):
    def cool(run):
        for upstream in run.upstreams:
            upstream.cold_left = COLD_REQUESTS
            arbiter = getattr(run.design, "arbiter", None)
            if arbiter:
                arbiter.note_cold(upstream.id, 5.0)

    streams = (callers._replace(rate=rate),)
    return Pattern(name, streams, 70, 5, 70, 5, events=((5, cool),))


def _make_restarted(callers, full):
    def set_usable(run, usable):
        arbiter = getattr(run.design, "arbiter", None)
        if arbiter:
            now = run.clock.now
            run.design.take(arbiter.set_usable("u0", usable, now))
            if usable:
                run.design.take(arbiter.note_cold("u0", now))

    def stop(run):
        run.upstreams[0].down_until = 12.0
        run.upstreams[0].cold_left = COLD_REQUESTS
        set_usable(run, False)

    events = ((10, stop), (12, lambda run: set_usable(run, True)))
    streams = (callers._replace(rate=_always(0.55 * full)),)
    return Pattern("restarted upstream", streams, 30, 12, 18, events=events)


def _make_stopped(callers):
    def stop_reports(run):
        run.design.reports_stop = True

    events = ((10, stop_reports),)
    return Pattern("reports stop", (callers,), 40, 10, 40, events=events)


def _make_retries(callers, full):
    rate = _step(0.85 * full, 2 * full, 10, 15)
    pressing = callers._replace(rate=rate, retries=4, obeys=False, pause_s=0.2)
    return Pattern("callers retry", (pressing,), 60, 10, 60, 15)


def _make_return(callers, full):
    def stop(run):
        for upstream in run.upstreams:
            upstream.down_until = 20.0

    rate = _always(0.7 * full)
    back = callers._replace(rate=rate, retries=8, pause_s=1.0)
    return Pattern("all come back", (back,), 80, 20, 80, 20, events=((10, stop),))


def _make_payments(workload, full):
    pay = Stream("pay", _always(0.3 * full), work_s=workload.work_s, priority=0)
    bulk = Stream("bulk", _always(3 * full), work_s=workload.work_s, priority=2)
    return Pattern("payments in overload", (pay, bulk), 30, 5, 30, others="pay")


def _make_crashes(callers, full):
    bad = callers._replace(
        group="bad",
        rate=_step(0, 1.0, 10, 20),
        callers=1,
        hot_key_share=1.0,
        retries=5,
        crashes=True,
    )
    streams = (callers._replace(rate=_always(0.5 * full)), bad)
    return Pattern("crashing request", streams, 40, 10, 40, others="caller")
