"""A discrete-event simulation of callers and upstreams in one zone.

It does not simulate a whole cluster, only arrivals for one service, upstreams
with slots, a design that assigns requests to upstreams, and the results that
callers receive. Time is virtual and random numbers are seeded, so that runs
are reproducible.
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

# Two entry VMs per zone. A message within the zone takes 0.2 ms one way, a
# fifth of the delay that users state between their zones.
VMS = 2
ZONE_DELAY_S = 0.0002
COLD_REQUESTS = 60
COLD_SLOWDOWN = 5.0
CRASH_DOWNTIME_S = 5.0


class Job:
    """One attempt of a request; ``hedge_peer`` is its hedged duplicate."""

    __slots__ = (
        "id caller stream arrived deadline work_s fingerprint priority "
        "crashes_upstream retry_count started answered cancelled vm excluded "
        "hedge_peer permit_id"
    ).split()

    def __init__(self, **values):
        self.started = None
        self.answered = None
        self.cancelled = False
        self.excluded = frozenset()
        self.hedge_peer = None
        self.permit_id = None
        for name, value in values.items():
            setattr(self, name, value)


class AttemptResult(NamedTuple):
    """The result of one attempt, as its caller sees it; times in seconds."""

    group: str
    arrived: float
    took_s: float
    waited_s: float
    outcome: str
    work_s: float
    retry_count: int


class Clock:
    """Virtual time and a queue of scheduled calls."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._sequence = 0

    def schedule(self, time, function, *arguments):
        """Call ``function`` at ``time``, or now if that is in the past."""
        self._sequence += 1
        entry = (max(time, self.now), self._sequence, function, arguments)
        heappush(self._heap, entry)

    def run(self, end):
        """Run all calls that are due before ``end``."""
        while self._heap and self._heap[0][0] < end:
            self.now, _, function, arguments = heappop(self._heap)
            function(*arguments)


class SlotUpstream:
    """An upstream that runs ``slots`` requests at once and queues others."""

    def __init__(self, id, clock, slots=3):
        self.id = id
        self.slots = slots
        self.slowdown = 1.0
        self.cold_requests_left = 0
        self.down_until = 0.0
        self.most_assigned = 0
        self.crashes = 0
        self._clock = clock
        self._running = {}
        self._waiting = deque()
        self._waiting_count = 0

    @property
    def assigned(self):
        """Return the number of requests that are running or queued."""
        return len(self._running) + self._waiting_count

    def send(self, job, done):
        """Accept a request; call ``done(job, outcome)`` when it ends."""
        if self._clock.now < self.down_until:
            self._clock.schedule(self._clock.now + 0.001, done, job, FAILED)
            return
        self._waiting.append((job, done))
        self._waiting_count += 1
        self.most_assigned = max(self.most_assigned, self.assigned)
        self._start_waiting()

    def cancel(self, job):
        """Stop or dequeue a request whose caller no longer waits."""
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
            work_s = job.work_s * self.slowdown * self._get_cold_slowdown()
            if job.crashes_upstream:
                self._clock.schedule(self._clock.now + 0.01, self._crash, job)
            else:
                self._clock.schedule(self._clock.now + work_s, self._end, job, done)

    def _get_cold_slowdown(self):
        if not self.cold_requests_left:
            return 1.0
        self.cold_requests_left -= 1
        share = (
            (self.cold_requests_left / COLD_REQUESTS) * len(self._running) / self.slots
        )
        return 1.0 + (COLD_SLOWDOWN - 1.0) * share

    def _end(self, job, done):
        if self._running.get(job) is done:
            del self._running[job]
            self._start_waiting()
            done(job, OK)

    def _crash(self, job):
        if job not in self._running:
            return
        self.crashes += 1
        self.down_until = self._clock.now + CRASH_DOWNTIME_S
        waiting = [item for item in self._waiting if not item[0].cancelled]
        dropped = [*self._running.items(), *waiting]
        self._running.clear()
        self._waiting.clear()
        self._waiting_count = 0
        for other, done in dropped:
            done(other, CRASHED)


class Stream(NamedTuple):
    """A stream of similar requests; ``rate(t)`` is in requests per second.

    ``max_retries`` is the number of retries of each caller. A caller waits
    for the Retry-After time if ``honors_retry_after`` is set, else for
    ``retry_delay_s``. ``key_count`` is the number of keys besides the hot
    one; 0 gives each request its own key.
    """

    group: str
    rate: object
    callers: int = 20
    work_s: float = 0.05
    distribution: str = "exponential"
    deadline_s: float = 2.0
    priority: int = 1
    key_count: int = 0
    hot_key_share: float = 0.0
    max_retries: int = 0
    honors_retry_after: bool = True
    retry_delay_s: float = 0.2
    crashes_upstream: bool = False


class Run:
    """One simulation of a design under streams of requests."""

    def __init__(self, make_design, streams, upstreams=4, seed=1, events=()):
        self.clock = Clock()
        self.random = Random(seed)
        self.received = []
        self.upstreams = [
            SlotUpstream(f"u{index}", self.clock) for index in range(upstreams)
        ]
        self.design = make_design(self)
        self._streams = streams
        self._job_count = 0
        for time, function in events:
            self.clock.schedule(time, function, self)

    def run(self, seconds):
        """Send all streams for ``seconds``, then let open requests end."""
        for stream in self._streams:
            self._schedule_next(stream, seconds)
        self.clock.run(seconds + 60.0)
        return self.received

    def answer(self, job, outcome, retry_after_s=0.0):
        """Record an attempt's first result and schedule a retry if due."""
        if job.answered:
            return
        job.answered = outcome
        now = self.clock.now
        started = now if job.started is None else job.started
        stream = job.stream
        self.received.append(
            AttemptResult(
                stream.group,
                job.arrived,
                now - job.arrived,
                started - job.arrived,
                outcome,
                job.work_s,
                job.retry_count,
            )
        )
        if outcome != OK and job.retry_count < stream.max_retries:
            self._schedule_retry(job, stream, retry_after_s)

    def _schedule_retry(self, job, stream, retry_after_s):
        retry_delay_s = (
            retry_after_s
            if stream.honors_retry_after and retry_after_s
            else stream.retry_delay_s
        )
        retry = Job(
            id=job.id + "+",
            caller=job.caller,
            stream=stream,
            arrived=self.clock.now + retry_delay_s,
            deadline=self.clock.now + retry_delay_s + stream.deadline_s,
            work_s=job.work_s,
            fingerprint=job.fingerprint,
            priority=job.priority,
            crashes_upstream=job.crashes_upstream,
            retry_count=job.retry_count + 1,
            vm=self.random.randrange(VMS),
        )
        self.clock.schedule(retry.arrived, self._submit, retry)

    def _schedule_next(self, stream, end):
        rate = stream.rate(self.clock.now)
        if rate <= 0:
            next_time = self.clock.now + 0.1
            if next_time < end:
                self.clock.schedule(next_time, self._schedule_next, stream, end)
            return
        time = self.clock.now + self.random.expovariate(rate)
        if time < end:
            self.clock.schedule(time, self._arrive, stream, end)

    def _arrive(self, stream, end):
        self._submit(self._make_job(stream))
        self._schedule_next(stream, end)

    def _make_job(self, stream):
        now = self.clock.now
        self._job_count += 1
        fingerprint = self._pick_key(stream)
        return Job(
            id=f"j{self._job_count}",
            caller=f"{stream.group}{self.random.randrange(stream.callers)}",
            stream=stream,
            arrived=now,
            deadline=now + stream.deadline_s,
            work_s=self._draw_work(stream),
            fingerprint=fingerprint,
            priority=stream.priority,
            crashes_upstream=stream.crashes_upstream,
            retry_count=0,
            vm=self.random.randrange(VMS),
        )

    def _pick_key(self, stream):
        base = crc32(stream.group.encode()) * 1_000_000
        if self.random.random() < stream.hot_key_share:
            return base + 1
        if stream.key_count:
            return base + 2 + self.random.randrange(stream.key_count)
        return base + 1000 + self._job_count

    def _draw_work(self, stream):
        if stream.distribution == "exponential":
            return self.random.expovariate(1 / stream.work_s)
        return stream.work_s * self.random.uniform(0.8, 1.2)

    def _submit(self, job):
        self.clock.schedule(job.deadline, self._expire, job)
        self.design.submit(job)

    def _expire(self, job):
        if not job.answered:
            self.answer(job, LATE)
            self.design.cancel(job)
