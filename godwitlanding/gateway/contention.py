"""Denies requests of contended services by priority and by workspace.

Called once for each admitted request. Services whose routes have the same
priority, in a configuration without workspaces, are not counted at all.
"""

import asyncio
from enum import Enum
from typing import NamedTuple

from eliot import log_message

from godwitlanding.base.codes import Code
from godwitlanding.base.kernel import Service
from godwitlanding.decisions.contention import Demand, FairShares
from godwitlanding.decisions.occupancy import get_upstream_number
from godwitlanding.decisions.priority import FULL_AT, Ranks, sum_counts
from godwitlanding.decisions.requestcounts import INTERVAL_S, Counts, RequestCounts
from godwitlanding.decisions.routes import get_contended_priorities

# The counts of requests in progress change with each gossip message, at most
# every 25 ms. They are added up only for a service under pressure.
FILL_INTERVAL_S = 0.025
# Log lines with the inputs of a denial; each denial also has a line
# ``carrier:done`` with its code.
MAX_LINES_PER_S = 20
# Everything has decayed after this time without a request.
MAX_ELAPSED_S = 60.0
MAX_SHOWN = 8

_ASKED = Counts(asked=1)
_ASKED_FIRST = Counts(asked=1, first=1)
_PRESSED = Counts(pressed=1)
_DENIED = Counts(denied=1)
_IN_TIME = Counts(in_time=1)


class Result(Enum):
    """How a request ended, for the counts of contention."""

    IN_TIME = "in_time"
    LATE = "late"
    # Refused for lack of slots.
    REFUSED = "refused"


class ContentionDenial(NamedTuple):
    """Why a request is denied, and when its caller may return."""

    reason: Code
    retry_after_s: float


class _Service:
    """A service for which contention is tracked."""

    def __init__(self, name, priorities):
        self.name = name
        self.number = get_upstream_number(name)
        self.priorities = priorities
        self.is_ranked = len(priorities) > 1
        self.shares = FairShares()
        self.fill = 0.0
        self.fill_at = -1.0

    def get_key(self, request):
        """Return the service's number and the request's priority."""
        return (self.number, request.route.priority)


class Contention(Service):
    """Tracks the pressure on services and denies what must give way."""

    name = "contention"
    needs = ("registry", "chooser", "peers", "retrytimes")

    def __init__(self, fill, allotments, counters):
        self._fill = fill
        self._allotments = allotments
        self._counts = RequestCounts()
        self._ranks = Ranks(self._counts)
        self._service_by_name = {}
        self._has_workspaces = False
        self._update_at = 0.0
        self._updated_at = 0.0
        self._logged_second = 0
        self._lines = self._unlogged = 0
        self._registry = None
        self._chooser = None
        self._retry_times = None
        # A counter with labels would take 15 us for each request.
        counters.observe("contention_requests", self._get_requests)
        counters.observe("contention_fill", self._get_fills)
        counters.observe("contention_served", self._get_served)
        counters.observe("contention_workspace_share", self._get_workspace_shares)

    async def start(self, kernel):
        """Follow the configuration and the counts of peers."""
        self._registry = kernel.get("registry")
        self._chooser = kernel.get("chooser")
        self._retry_times = kernel.get("retrytimes")
        peers = kernel.get("peers")
        peers.get_request_counts = self._counts.get_rows
        peers.on_request_counts = self._receive_counts
        self._registry.on_config.append(self.apply_config)
        if self._registry.config:
            self.apply_config(self._registry.config)

    def apply_config(self, config):
        """Track the services that a configuration calls for; drop others."""
        self._has_workspaces = config.workspace_by_key is not None
        former = self._service_by_name
        self._service_by_name = {}
        for name, priorities in get_contended_priorities(config).items():
            service = _Service(name, frozenset(priorities))
            if name in former and self._has_workspaces:
                service.shares = former[name].shares
            self._service_by_name[name] = service
        services = self._service_by_name.values()
        self._counts.set_keys(
            (service.number, priority)
            for service in services
            for priority in service.priorities
        )
        self._ranks.set_priorities(
            {s.number: s.priorities for s in services if s.is_ranked}
        )

    def admit(self, request, now):
        """Return ``None`` or a ``ContentionDenial``."""
        service = self._service_by_name.get(request.service)
        if service is None:
            return None
        if now >= self._update_at:
            self._update(now)
        key = service.get_key(request)
        self._counts.note(key, _ASKED if request.came_back else _ASKED_FIRST)
        reason = self._find_reason(service, request, now)
        if reason is None:
            return None
        self._counts.note(key, _DENIED)
        retry_after_s = self._retry_times.get_retry_after_s(request)
        self._log(service, request, reason, retry_after_s, now)
        return ContentionDenial(reason, retry_after_s)

    def note_result(self, request, result, now):
        """Count how an admitted request has ended."""
        service = self._service_by_name.get(request.service)
        if service is None:
            return
        counts = _IN_TIME if result is Result.IN_TIME else _PRESSED
        self._counts.note(service.get_key(request), counts)

    def get_status(self):
        """Return fill and admitted shares by service."""
        return {
            service.name: {
                "fill": round(service.fill, 2),
                "served_share": round(service.shares.served_share, 3),
                "limited_workspaces": len(service.shares.share_by_workspace),
            }
            for service in self._service_by_name.values()
        }

    def _receive_counts(self, message):
        if message.request_counts:
            self._counts.receive(
                message.vm, message.incarnation, message.request_counts, _now()
            )

    def _find_reason(self, service, request, now):
        # The reasons are checked before the fill, which costs more.
        priority = request.route.priority
        if service.is_ranked and self._ranks.is_limited(service.number, priority):
            if self._is_full(service, now):
                if not self._ranks.admits_at_full(service.number, priority):
                    return Code.OUTRANKED
        if not service.shares.share_by_workspace or not request.workspace:
            return None
        if service.shares.admits(request.workspace.name):
            return None
        return Code.OVER_SHARE if self._is_full(service, now) else None

    def _is_full(self, service, now):
        if now - service.fill_at >= FILL_INTERVAL_S:
            service.fill = self._fill.measure(
                service.name, self._registry, self._chooser, now
            )
            service.fill_at = now
        return service.fill >= FULL_AT

    def _update(self, now):
        elapsed_s = min(MAX_ELAPSED_S, now - self._updated_at)
        self._updated_at = now
        self._update_at = now + INTERVAL_S
        self._counts.update(now)
        self._ranks.update(elapsed_s)
        if not self._has_workspaces:
            return
        for service in self._service_by_name.values():
            recent = sum_counts(
                self._counts.get_recent((service.number, priority))
                for priority in service.priorities
            )
            service.shares.update(recent, self._get_demands, elapsed_s)

    def _get_demands(self):
        return {
            name: Demand(min(row["asked_per_s"], row["part_per_s"]), row["rate_per_s"])
            for name, row in self._allotments.get_status().items()
        }

    def _get_fields(self, service, request, now):
        fields = {
            "priority": request.route.priority,
            "fill": round(service.fill, 2),
            "fill_age_s": round(now - service.fill_at, 3),
            "counts_age_s": round(now - self._updated_at, 3),
            "peers": self._counts.count_peers(),
            "served_share": round(service.shares.served_share, 3),
        }
        if service.is_ranked:
            state = self._ranks.get_state(*service.get_key(request))
            fields["urgent_asked"] = state.urgent.asked
            fields["urgent_pressed"] = state.urgent.pressed
            fields["urgent_served"] = round(state.urgent_served, 3)
            fields["served"] = round(state.served, 3)
            fields["level"] = round(state.level, 3)
        if request.workspace:
            share = service.shares.share_by_workspace.get(request.workspace.name, 1.0)
            fields["workspace_share"] = round(share, 3)
        return fields

    def _log(self, service, request, reason, retry_after_s, now):
        if int(now) != self._logged_second:
            self._logged_second = int(now)
            self._lines = 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_S:
            self._unlogged += 1
            return
        log_message(
            "contention:denied",
            request=request.request_id.decode("latin-1"),
            reason=reason.name,
            service=request.service,
            workspace=request.workspace_name,
            came_back=request.came_back,
            retry_after_s=retry_after_s,
            unlogged=self._unlogged,
            **self._get_fields(service, request, now),
        )
        self._unlogged = 0

    def _get_requests(self):
        name_by_number = {s.number: s.name for s in self._service_by_name.values()}
        return {
            f"{name_by_number[number]}/{priority}/{field}": count
            for (number, priority), counts in self._counts.get_totals().items()
            for field, count in counts._asdict().items()
        }

    def _get_fills(self):
        return {name: s.fill for name, s in self._service_by_name.items()}

    def _get_served(self):
        return {
            f"{service.name}/{priority}": self._ranks.get_state(
                service.number, priority
            ).served
            for service in self._service_by_name.values()
            if service.is_ranked
            for priority in service.priorities
        }

    def _get_workspace_shares(self):
        """Return the least admitted share of the most limited workspaces."""
        share_by_workspace = {}
        for service in self._service_by_name.values():
            for name, share in service.shares.share_by_workspace.items():
                share_by_workspace[name] = min(share, share_by_workspace.get(name, 1.0))
        order = sorted(share_by_workspace, key=share_by_workspace.get)
        return {name: share_by_workspace[name] for name in order[:MAX_SHOWN]}


def _now():
    return asyncio.get_running_loop().time()
