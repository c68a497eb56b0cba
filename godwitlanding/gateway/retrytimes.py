"""Tells refused callers when to return.

Where callers contend for slots, the times are booked (``decisions.returns``);
elsewhere they are drawn as before (``decisions.retryafter``). Callers contend
if the configuration has workspaces, or if routes of the same service have
different priorities.
"""

import asyncio
import random

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.decisions.retryafter import (
    MAX_SHARE_OF_TIME_LEFT,
    MIN_RETRY_AFTER_S,
    get_retry_after_s,
)
from godwitlanding.decisions.returns import Returns
from godwitlanding.decisions.routes import get_contended_priorities


class RetryTimes(Service):
    """Chooses the ``Retry-After`` of refused requests.

    Bookings are kept in memory only. After a restart nothing is booked, and
    until the first responses the times are drawn from the whole range.
    """

    name = "retrytimes"
    needs = ("registry", "chooser")

    def __init__(self, counters, rng=random):
        self._counters = counters
        self._rng = rng
        self._returns = Returns(rng)
        self._registry = None
        self._chooser = None
        self._contended_services = frozenset()

    async def start(self, kernel):
        """Look up the services that this one uses."""
        self._registry = kernel.get("registry")
        self._chooser = kernel.get("chooser")
        self._registry.on_config.append(self._apply_config)
        if self._registry.config:
            self._apply_config(self._registry.config)

    def is_contended(self, service):
        """Return whether returns to the service are booked."""
        return service in self._contended_services

    def note_completed(self, service, now):
        """Count a response, after which a slot of the service is free."""
        if service in self._contended_services:
            self._returns.note_completed(service, now)

    def get_retry_after_s(self, request):
        """Return the seconds after which a refused caller should return."""
        now = asyncio.get_running_loop().time()
        turnover_s = self._chooser.get_turnover_s(request, now)
        # A body that arrives slowly may end after the caller's deadline.
        left_s = max(0.0, request.deadline_at - now)
        if request.service not in self._contended_services:
            return get_retry_after_s(left_s, turnover_s, self._rng.random())
        booking = self._returns.book(
            request.service,
            request.route.priority,
            now,
            max(MIN_RETRY_AFTER_S, turnover_s),
            MAX_SHARE_OF_TIME_LEFT * left_s,
        )
        self._record(request, booking, turnover_s, left_s)
        return round(booking.wait_s, 3)

    def _record(self, request, booking, turnover_s, left_s):
        self._counters.add(
            "returns_booked",
            service=request.service,
            room="yes" if booking.has_room else "no",
        )
        if request.came_back:
            self._counters.add(
                "returns_refused",
                service=request.service,
                priority=request.route.priority,
            )
        log_message(
            "retrytimes:booked",
            request=request.request_id.decode("latin-1"),
            service=request.service,
            priority=request.route.priority,
            came_back=request.came_back,
            has_room=booking.has_room,
            retry_after_s=round(booking.wait_s, 3),
            rate_per_s=round(booking.rate_per_s, 2),
            rate_age_s=round(booking.rate_age_s, 3),
            turnover_s=round(turnover_s, 3),
            left_s=round(left_s, 3),
        )

    def _apply_config(self, config):
        self._contended_services = frozenset(get_contended_priorities(config))
        self._returns.keep_services(self._contended_services)
