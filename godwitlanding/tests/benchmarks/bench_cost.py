"""Measures the CPU cost of one arbiter decision.

The cost is shown by queue length and number of upstreams, in four
situations: all slots busy and a queue of the given length, where each round
releases a permit and adds a request; no queue, where each round grants and
releases one permit; a full queue, where each request is refused at once; and
no usable upstream, where each request is refused as well.
"""

import sys
from time import perf_counter

from godwitlanding.base.messages import OUTCOME_OK
from godwitlanding.daemons.arbiter import Arbiter, Ask, Grant

QUEUE_LENGTHS = (10, 100, 1_000, 10_000)
UPSTREAM_COUNTS = (10, 100, 1_000)
SLOTS = 3
ROUNDS = 2_000
REPEATS = 5
CALLERS = 50
UNLIMITED_S = 1e7


class _ArbiterBenchmark:
    """An arbiter with the permits that it has granted so far."""

    def __init__(self, upstreams):
        self.now = 0.0
        self.arbiter = Arbiter("bench", work_s=0.05)
        self.permits = []
        self._request_count = 0
        for index in range(upstreams):
            self.arbiter.set_loan(f"u{index}", SLOTS, UNLIMITED_S, 0.0)

    def acquire(self, remaining_s=UNLIMITED_S):
        self._request_count += 1
        ask = Ask(
            f"r{self._request_count}",
            f"c{self._request_count % CALLERS}",
            1,
            self.now + remaining_s,
            self._request_count % 1000 + 1,
        )
        self.collect_permits(self.arbiter.acquire(ask, self.now))

    def release(self):
        permit_id = self.permits.pop(0)
        self.collect_permits(
            self.arbiter.release(permit_id, OUTCOME_OK, 0.05, self.now)
        )

    def collect_permits(self, decisions):
        for decision in decisions:
            if isinstance(decision.outcome, Grant):
                self.permits.append(decision.outcome.permit_id)

    def measure_step_us(self, step, decision_count):
        """Return the microseconds per decision in the fastest repeat."""
        best_s = UNLIMITED_S
        for _ in range(REPEATS):
            began = perf_counter()
            for _ in range(ROUNDS):
                self.now += 1e-4
                step()
            best_s = min(best_s, perf_counter() - began)
        return best_s / ROUNDS / decision_count * 1e6


def measure_queued(upstreams, queue):
    """Return the cost in microseconds with ``queue`` queued requests."""
    bench = _ArbiterBenchmark(upstreams)
    for _ in range(upstreams * SLOTS + queue):
        bench.acquire()

    def step():
        bench.release()
        bench.acquire()

    return bench.measure_step_us(step, 2)


def measure_idle(upstreams):
    """Return the cost in microseconds of a decision without a queue."""
    bench = _ArbiterBenchmark(upstreams)

    def step():
        bench.acquire()
        bench.release()

    return bench.measure_step_us(step, 2)


def measure_refused(upstreams):
    """Return the cost in microseconds of a refusal at a full queue."""
    bench = _ArbiterBenchmark(upstreams)
    for _ in range(upstreams * SLOTS):
        bench.acquire()
    for _ in range(upstreams * SLOTS * 20):
        bench.acquire(2.0)
    return bench.measure_step_us(lambda: bench.acquire(1.0), 1)


def measure_drained(upstreams):
    """Return microseconds of a refusal if no upstream is usable."""
    bench = _ArbiterBenchmark(upstreams)
    for index in range(upstreams):
        bench.arbiter.set_usable(f"u{index}", False, 0.0)
    return bench.measure_step_us(lambda: bench.acquire(1.0), 1)


def print_costs(stream):
    """Print the cost table to ``stream``."""
    print("\nMicroseconds of a decision, queue by upstreams", file=stream)
    print(f"{'queue':>8}" + "".join(f"{u:>9}" for u in UPSTREAM_COUNTS), file=stream)
    for queue in QUEUE_LENGTHS:
        costs = [measure_queued(upstreams, queue) for upstreams in UPSTREAM_COUNTS]
        row = "".join(f"{cost:>9.1f}" for cost in costs)
        print(f"{queue:>8}{row}", file=stream)
    for name, measure in (
        ("none", measure_idle),
        ("refused", measure_refused),
        ("drained", measure_drained),
    ):
        row = "".join(f"{measure(upstreams):>9.1f}" for upstreams in UPSTREAM_COUNTS)
        print(f"{name:>8}{row}", file=stream)


if __name__ == "__main__":
    print_costs(sys.stdout)
