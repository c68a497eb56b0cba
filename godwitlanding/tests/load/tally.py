"""What callers received, counted by them."""

import asyncio
from collections import Counter
from typing import NamedTuple


class RequestResult(NamedTuple):
    """How a request ended: complete, refused, unknown, lost or wrong."""

    outcome: str
    reason: str = ""


class End(NamedTuple):
    """When a request ended, on the loop's clock, and how."""

    at: float
    service: str
    result: RequestResult


class Tally:
    """Counts by service, with latencies and the ids behind each outcome."""

    def __init__(self):
        self.sent_by_service = Counter()
        self.count_by_result = Counter()
        self.retries = Counter()
        self.cuts = Counter()
        self.latencies_by_service = {}
        self.ids_by_outcome = {}
        self.ends = []
        self.in_progress = 0

    def begin(self, service):
        """Note that a request was begun."""
        self.sent_by_service[service] += 1
        self.in_progress += 1

    def end(self, service, result, began, request_id):
        """Note how a request ended."""
        now = asyncio.get_running_loop().time()
        self.in_progress -= 1
        self.count_by_result[service, result] += 1
        self.ids_by_outcome.setdefault((service, result.outcome), []).append(request_id)
        self.ends.append(End(now, service, result))
        if result.outcome == "complete":
            self.latencies_by_service.setdefault(service, []).append(now - began)

    def note_retry(self, service, reason):
        """Note that a caller sent a request again."""
        self.retries[service, reason] += 1

    def note_cut(self, service, url, how):
        """Note an answer that broke off at a VM which nobody killed."""
        self.cuts[service, url, how] += 1

    def count(self, outcome, service=None):
        """Return how many requests ended so, of one service or of all."""
        return sum(
            number
            for (name, result), number in self.count_by_result.items()
            if result.outcome == outcome and service in (None, name)
        )

    def count_sent(self):
        """Return how many requests were begun."""
        return sum(self.sent_by_service.values())

    def get_latency_s(self, service, share):
        """Return a percentile of the complete requests' latencies."""
        latencies = sorted(self.latencies_by_service.get(service, ()))
        if not latencies:
            return 0.0
        return latencies[min(len(latencies) - 1, int(len(latencies) * share))]
