"""A small discrete-event load driver: callers, one zone, one service.

Not a simulator of a cluster: there are arrivals, upstreams with slots, a
design that decides where each request goes, and what the callers received.
Time is virtual and random numbers are seeded, so that a run repeats.
"""

from collections import deque
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple
from zlib import crc32

OK = "ok"
REFUSED = "refused"
LATE = "late"
FAILED = "failed"
CRASHED = "crashed"

# Two entry VMs a zone; within the zone a message takes 0.2 ms one way, a
# fifth of what the users state between their zones.
VMS = 2
ZONE_DELAY_S = 0.0002
COLD_REQUESTS = 60
COLD_TIMES = 5.0
CRASH_S = 5.0


class Job:
    """A try of a request, on its way through the zone."""

    __slots__ = (
        "id caller group arrived deadline work_s fingerprint priority crashes "
        "tries started answered cancelled vm excluded twin permit_id"
    ).split()

    def __init__(self, **values):
        self.started = None
        self.answered = None
        self.cancelled = False
        self.excluded = frozenset()
        self.twin = None
        self.permit_id = None
        for name, value in values.items():
            setattr(self, name, value)


class Received(NamedTuple):
    """What a caller received for one try; times in seconds."""

    group: str
    arrived: float
    took_s: float
    waited_s: float
    kind: str
    work_s: float
    tries: int


class Clock:
    """Virtual time and what is due when."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._sequence = 0

    def at(self, time, function, *arguments):
        """Call the function at ``time``, at once if that has passed."""
        self._sequence += 1
        entry = (max(time, self.now), self._sequence, function, arguments)
        heappush(self._heap, entry)

    def run(self, end):
        """Run everything due before ``end``."""
        while self._heap and self._heap[0][0] < end:
            self.now, _, function, arguments = heappop(self._heap)
            function(*arguments)


class UpstreamModel:
    """Runs ``slots`` requests at once and lets the others wait at it."""

    def __init__(self, id, clock, slots=3):
        self.id = id
        self.slots = slots
        self.times = 1.0
        self.cold_left = 0
        self.down_until = 0.0
        self.most_assigned = 0
        self.crashes = 0
        self._clock = clock
        self._running = {}
        self._waiting = deque()
        self._waiting_count = 0

    @property
    def assigned(self):
        """Return how many requests it has been sent and not finished."""
        return len(self._running) + self._waiting_count

    def send(self, job, done):
        """Take a request; ``done(job, kind)`` is called when it ends."""
        if self._clock.now < self.down_until:
            self._clock.at(self._clock.now + 0.001, done, job, FAILED)
            return
        self._waiting.append((job, done))
        self._waiting_count += 1
        self.most_assigned = max(self.most_assigned, self.assigned)
        self._start_waiting()

    def cancel(self, job):
        """Stop work whose caller has gone."""
        if self._running.pop(job, None):
            self._start_waiting()
        elif job.started is None and not job.cancelled:
            self._waiting_count -= 1
        job.cancelled = True

    def _start_waiting(self):
        while self._waiting and len(self._running) < self.slots:
            job, done = self._waiting.popleft()
            if job.cancelled:
                continue
            self._waiting_count -= 1
            self._running[job] = done
            if job.started is None:
                job.started = self._clock.now
            work_s = job.work_s * self.times * self._get_cold_times()
            if job.crashes:
                self._clock.at(self._clock.now + 0.01, self._crash, job)
            else:
                self._clock.at(self._clock.now + work_s, self._end, job, done)

    def _get_cold_times(self):
        if not self.cold_left:
            return 1.0
        self.cold_left -= 1
        share = (self.cold_left / COLD_REQUESTS) * len(self._running) / self.slots
        return 1.0 + (COLD_TIMES - 1.0) * share

    def _end(self, job, done):
        if self._running.get(job) is done:
            del self._running[job]
            self._start_waiting()
            done(job, OK)

    def _crash(self, job):
        if job not in self._running:
            return
        self.crashes += 1
        self.down_until = self._clock.now + CRASH_S
        waiting = [item for item in self._waiting if not item[0].cancelled]
        lost = [*self._running.items(), *waiting]
        self._running.clear()
        self._waiting.clear()
        self._waiting_count = 0
        for other, done in lost:
            done(other, CRASHED)


class Stream(NamedTuple):
    """One kind of callers: ``rate(t)`` in requests a second.

    ``retries`` is how often a caller tries again; ``obeys`` whether it
    waits as long as it was told, else it waits ``pause_s``.
    """

    group: str
    rate: object
    callers: int = 20
    work_s: float = 0.05
    spread: str = "exponential"
    deadline_s: float = 2.0
    priority: int = 1
    keys: int = 0
    hot_key_share: float = 0.0
    retries: int = 0
    obeys: bool = True
    pause_s: float = 0.2
    crashes: bool = False


class Run:
    """One run of a design under a pattern."""

    def __init__(self, make_design, streams, upstreams=4, seed=1, events=()):
        self.clock = Clock()
        self.random = Random(seed)
        self.received = []
        self.upstreams = [
            UpstreamModel(f"u{index}", self.clock) for index in range(upstreams)
        ]
        self.design = make_design(self)
        self._streams = streams
        self._jobs = 0
        for time, function in events:
            self.clock.at(time, function, self)

    def run(self, seconds):
        """Drive all streams for ``seconds``, then let what is left end."""
        for stream in self._streams:
            self._schedule_next(stream, seconds)
        self.clock.run(seconds + 60.0)
        return self.received

    def answer(self, job, kind, retry_after_s=0.0):
        """Give a caller its answer; the first one counts."""
        if job.answered:
            return
        job.answered = kind
        now = self.clock.now
        started = now if job.started is None else job.started
        stream = job.group
        self.received.append(
            Received(
                stream.group,
                job.arrived,
                now - job.arrived,
                started - job.arrived,
                kind,
                job.work_s,
                job.tries,
            )
        )
        if kind != OK and job.tries < stream.retries:
            self._schedule_retry(job, stream, retry_after_s)

    def _schedule_retry(self, job, stream, retry_after_s):
        pause_s = retry_after_s if stream.obeys and retry_after_s else stream.pause_s
        again = Job(
            id=job.id + "+",
            caller=job.caller,
            group=stream,
            arrived=self.clock.now + pause_s,
            deadline=self.clock.now + pause_s + stream.deadline_s,
            work_s=job.work_s,
            fingerprint=job.fingerprint,
            priority=job.priority,
            crashes=job.crashes,
            tries=job.tries + 1,
            vm=self.random.randrange(VMS),
        )
        self.clock.at(again.arrived, self._submit, again)

    def _schedule_next(self, stream, end):
        rate = stream.rate(self.clock.now)
        if rate <= 0:
            next_time = self.clock.now + 0.1
            if next_time < end:
                self.clock.at(next_time, self._schedule_next, stream, end)
            return
        time = self.clock.now + self.random.expovariate(rate)
        if time < end:
            self.clock.at(time, self._arrive, stream, end)

    def _arrive(self, stream, end):
        self._submit(self._make_job(stream))
        self._schedule_next(stream, end)

    def _make_job(self, stream):
        now = self.clock.now
        self._jobs += 1
        fingerprint = self._pick_key(stream)
        return Job(
            id=f"j{self._jobs}",
            caller=f"{stream.group}{self.random.randrange(stream.callers)}",
            group=stream,
            arrived=now,
            deadline=now + stream.deadline_s,
            work_s=self._draw_work(stream),
            fingerprint=fingerprint,
            priority=stream.priority,
            crashes=stream.crashes,
            tries=0,
            vm=self.random.randrange(VMS),
        )

    def _pick_key(self, stream):
        base = crc32(stream.group.encode()) * 1_000_000
        if self.random.random() < stream.hot_key_share:
            return base + 1
        if stream.keys:
            return base + 2 + self.random.randrange(stream.keys)
        return base + 1000 + self._jobs

    def _draw_work(self, stream):
        if stream.spread == "exponential":
            return self.random.expovariate(1 / stream.work_s)
        return stream.work_s * self.random.uniform(0.8, 1.2)

    def _submit(self, job):
        self.clock.at(job.deadline, self._expire, job)
        self.design.submit(job)

    def _expire(self, job):
        if not job.answered:
            self.answer(job, LATE)
            self.design.cancel(job)
