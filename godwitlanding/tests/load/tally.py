"""Counts the results of requests, as callers see them."""

import asyncio
from collections import Counter
from typing import NamedTuple


class RequestResult(NamedTuple):
    """A request's outcome: complete, refused, unknown, lost or wrong."""

    outcome: str
    reason: str = ""


class RequestEnd(NamedTuple):
    """The result of a request and the loop time ``at`` which it ended."""

    at: float
    service: str
    result: RequestResult


class Tally:
    """Counts, latencies and request ids by service and outcome."""

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
        """Count a started request."""
        self.sent_by_service[service] += 1
        self.in_progress += 1

    def end(self, service, result, began, request_id):
        """Record the result of a request that ``begin`` counted."""
        now = asyncio.get_running_loop().time()
        self.in_progress -= 1
        self.count_by_result[service, result] += 1
        self.ids_by_outcome.setdefault((service, result.outcome), []).append(request_id)
        self.ends.append(RequestEnd(now, service, result))
        if result.outcome == "complete":
            self.latencies_by_service.setdefault(service, []).append(now - began)

    def count_retry(self, service, reason):
        """Count a retry of a request by its caller."""
        self.retries[service, reason] += 1

    def count_cut(self, service, url, reason):
        """Count a response that broke off at a VM that was not killed."""
        self.cuts[service, url, reason] += 1

    def count(self, outcome, service=None):
        """Return the number of requests with an outcome, by default of all."""
        return sum(
            number
            for (name, result), number in self.count_by_result.items()
            if result.outcome == outcome and service in (None, name)
        )

    def count_sent(self):
        """Return the number of started requests."""
        return sum(self.sent_by_service.values())

    def get_latency_s(self, service, quantile):
        """Return a quantile (0 to 1) of the latencies of complete requests."""
        latencies = sorted(self.latencies_by_service.get(service, ()))
        if not latencies:
            return 0.0
        return latencies[min(len(latencies) - 1, int(len(latencies) * quantile))]
