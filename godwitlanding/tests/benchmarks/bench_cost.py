"""What one decision of the arbiter costs, by queue length and upstreams.

Three situations: all slots busy and a queue of that length, where each
round ends a permit and adds a request; no queue, where each round grants a
request and ends it; a full queue, where each request is refused at once.
"""

import sys
from time import perf_counter

from godwitlanding.base.messages import OUTCOME_OK
from godwitlanding.daemons.arbiter import Arbiter, Ask, Grant

QUEUES = (10, 100, 1_000, 10_000)
UPSTREAMS = (10, 100, 1_000)
SLOTS = 3
ROUNDS = 2_000
REPEATS = 5
CALLERS = 50
FAR_S = 1e7


class _Bench:
    def __init__(self, upstreams):
        self.now = 0.0
        self.arbiter = Arbiter("bench", work_s=0.05)
        self.permits = []
        self._asked = 0
        for index in range(upstreams):
            self.arbiter.set_loan(f"u{index}", SLOTS, FAR_S, 0.0)

    def ask(self, remaining_s=FAR_S):
        self._asked += 1
        ask = Ask(
            f"r{self._asked}",
            f"c{self._asked % CALLERS}",
            1,
            self.now + remaining_s,
            self._asked % 1000 + 1,
        )
        self.take(self.arbiter.acquire(ask, self.now))

    def release(self):
        permit_id = self.permits.pop(0)
        self.take(self.arbiter.release(permit_id, OUTCOME_OK, 0.05, self.now))

    def take(self, decisions):
        for decision in decisions:
            if isinstance(decision.outcome, Grant):
                self.permits.append(decision.outcome.permit_id)

    def time(self, step, decisions):
        """Return the microseconds of a decision, the best of the repeats."""
        best_s = FAR_S
        for _ in range(REPEATS):
            began = perf_counter()
            for _ in range(ROUNDS):
                self.now += 1e-4
                step()
            best_s = min(best_s, perf_counter() - began)
        return best_s / ROUNDS / decisions * 1e6


def measure_queued(upstreams, queue):
    """Return the cost of a decision with a queue of that length."""
    bench = _Bench(upstreams)
    for _ in range(upstreams * SLOTS + queue):
        bench.ask()

    def step():
        bench.release()
        bench.ask()

    return bench.time(step, 2)


def measure_idle(upstreams):
    """Return the cost of a decision without a queue."""
    bench = _Bench(upstreams)

    def step():
        bench.ask()
        bench.release()

    return bench.time(step, 2)


def measure_refused(upstreams):
    """Return the cost of a refusal at a full queue."""
    bench = _Bench(upstreams)
    for _ in range(upstreams * SLOTS):
        bench.ask()
    for _ in range(upstreams * SLOTS * 20):
        bench.ask(2.0)
    return bench.time(lambda: bench.ask(1.0), 1)


def measure_drained(upstreams):
    """Return the cost of a refusal where every upstream is out."""
    bench = _Bench(upstreams)
    for index in range(upstreams):
        bench.arbiter.set_usable(f"u{index}", False, 0.0)
    return bench.time(lambda: bench.ask(1.0), 1)


def print_costs(stream):
    """Print the tables of costs."""
    print("\nMicroseconds of a decision, queue by upstreams", file=stream)
    print(f"{'queue':>8}" + "".join(f"{u:>9}" for u in UPSTREAMS), file=stream)
    for queue in QUEUES:
        costs = [measure_queued(upstreams, queue) for upstreams in UPSTREAMS]
        row = "".join(f"{cost:>9.1f}" for cost in costs)
        print(f"{queue:>8}{row}", file=stream)
    for name, measure in (
        ("none", measure_idle),
        ("refused", measure_refused),
        ("drained", measure_drained),
    ):
        row = "".join(f"{measure(upstreams):>9.1f}" for upstreams in UPSTREAMS)
        print(f"{name:>8}{row}", file=stream)


if __name__ == "__main__":
    print_costs(sys.stdout)
