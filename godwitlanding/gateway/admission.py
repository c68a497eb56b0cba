"""Reads a caller's request and decides whether it is let in at all.

What is refused here has not run: no route, an unknown key, an allotment that
is used up. Which upstream takes the rest is decided by ``gateway.chooser``.
"""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

import xxhash
from eliot import log_message
from result import Err, Ok

from godwitlanding.base.codes import Code
from godwitlanding.base.kernel import Service
from godwitlanding.decisions.access import (
    Verdict,
    find_access,
    read_key,
)
from godwitlanding.decisions.patience import Patience
from godwitlanding.decisions.retryafter import get_token_retry_s
from godwitlanding.decisions.routes import Splitter, find_route
from godwitlanding.gateway.attempt import Work, make_fingerprint

# The way between caller and VM and back, 8 ms each, and our own work.
CALLER_DISTANCE_S = 0.02
# Callers that come back have waited for longer than this.
MIN_WAITED_S = 0.03
# A caller that is told nothing better comes back after this time.
NOT_READY_RETRY_S = 0.5


class Denial(NamedTuple):
    """Why a request is not let in; ``retry_after_s`` 0 where it never will."""

    code: Code
    status: int
    retry_after_s: float = 0.0


class ConfigFreshness(NamedTuple):
    """Tells whether changes of the configuration reach this VM."""

    # Whether no version newer than the one in force can have been missed.
    is_fresh: Callable[[], bool]
    # Whether keys may still be believed, however old the configuration is.
    may_trust_keys: Callable[[], bool]


class Admission(Service):
    """Makes ``Work`` of the requests that are let in."""

    name = "admission"
    needs = ("registry", "peers")

    def __init__(self, names, budget, allotments, reach):
        self._names = names
        self._budget = budget
        self._allotments = allotments
        self._reach = reach
        self._splitter = Splitter()
        self._patience_by_route = {}
        self._registry = None
        self._peers = None

    async def start(self, kernel):
        """Learn where the other services are."""
        self._registry = kernel.get("registry")
        self._peers = kernel.get("peers")
        self._registry.on_config.append(self._take_workspaces)

    def admit(self, exchange):
        """Return ``Ok(Work)`` or ``Err(Denial)`` for a caller's request."""
        config = self._registry.config
        if config is None or not self._registry.has_upstreams:
            return Err(Denial(Code.NOT_READY, 503, NOT_READY_RETRY_S))
        request_id = exchange.get_header(self._names.request_id)
        host = exchange.get_header(b"host")
        if not request_id or not host:
            return Err(Denial(Code.MALFORMED_REQUEST, 400))
        host_name = host.decode("latin-1").lower().partition(":")[0]
        target = exchange.target.decode("latin-1")
        route = find_route(config, host_name, target)
        if route is None:
            self._note_unknown("admission:unknown_route", request_id)
            return Err(self._deny_unknown(Code.UNKNOWN_SERVICE, 404))
        key = read_key(exchange.get_headers(self._names.authorization))
        access = find_access(config, route, key)
        if access.verdict is Verdict.UNKNOWN_KEY:
            key_print = make_key_print(key)
            self._note_unknown("admission:unknown_key", request_id, key=key_print)
            return Err(self._deny_unknown(Code.UNKNOWN_KEY, 401))
        workspace = access.workspace
        if workspace and not self._reach.may_trust_keys():
            return Err(Denial(Code.OUT_OF_TOUCH, 503, NOT_READY_RETRY_S))
        work = self._make_work(exchange, route, key, workspace)
        if work.allowed_regions == frozenset():
            # Route and workspace allow no region in common.
            return Err(Denial(Code.NO_REGION, 503, NOT_READY_RETRY_S))
        return self._charge(work)

    def still_holds(self, work):
        """Tell whether a request's key has not been taken away meanwhile."""
        access = find_access(self._registry.config, work.route, work.api_key)
        return access.verdict is Verdict.GRANTED

    def _deny_unknown(self, code, status):
        if self._reach.is_fresh():
            return Denial(code, status)
        # A newer configuration may know it.
        return Denial(Code.NOT_READY, 503, NOT_READY_RETRY_S)

    def _make_work(self, exchange, route, key, workspace):
        begun = exchange.begun_at
        wait_s = route.timeout_s
        deadline = exchange.get_header(self._names.deadline_ms)
        if deadline.isdigit():
            wait_s = int(deadline) / 1000
        waited_s = self._get_waited_s(route, wait_s)
        about = exchange.get_header(self._names.affinity_key) if route.sticky else b""
        return Work(
            request_id=exchange.get_header(self._names.request_id),
            route=route,
            service="",
            key=about.decode("latin-1"),
            fingerprint=make_fingerprint(exchange, exchange.get_header(b"host")),
            deadline_at=begun + wait_s,
            target_at=begun + route.target_latency_s - waited_s - CALLER_DISTANCE_S,
            answer_by=begun + min(wait_s, route.timeout_s),
            came_back=waited_s > MIN_WAITED_S,
            api_key=key,
            workspace=workspace,
            hides_key=self._registry.config.workspace_by_key is not None,
        )

    def _charge(self, work):
        """Let the request in if its workspace may send one more."""
        now = asyncio.get_running_loop().time()
        if work.workspace:
            wait_s = self._allotments.take(work.workspace, now, work.came_back)
            if wait_s:
                return Err(self._deny_spent(work, wait_s, now))
        # What is over an allotment is no load that anybody has to plan for.
        service = self._splitter.pick(work.route)
        self._peers.note_arrival(service)
        self._budget.note_request(service, now)
        return Ok(work._replace(service=service))

    def _deny_spent(self, work, wait_s, now):
        left_s = work.deadline_at - now
        retry_after_s = get_token_retry_s(wait_s, left_s, random.random())
        level, part_per_s = self._allotments.get_state(work.workspace)
        log_message(
            "admission:over_allotment",
            request=work.request_id.decode("latin-1"),
            workspace=work.workspace.name,
            rate_per_s=work.workspace.rate_per_s,
            level=round(level, 2),
            part_per_s=round(part_per_s, 2),
            came_back=work.came_back,
            retry_after_s=retry_after_s,
            **self._get_config_age(now),
        )
        return Denial(Code.ALLOTMENT_SPENT, 429, retry_after_s)

    def _note_unknown(self, message_type, request_id, **fields):
        log_message(
            message_type,
            request=request_id.decode("latin-1"),
            **fields,
            fresh=self._reach.is_fresh(),
            **self._get_config_age(asyncio.get_running_loop().time()),
        )

    def _get_config_age(self, now):
        registry = self._registry
        return {
            "config": registry.config.version,
            "config_age_s": round(now - registry.config_seen_at, 2),
        }

    def _get_waited_s(self, route, wait_s):
        # The target of a caller that came back is that much nearer.
        patience = self._patience_by_route.get(route.name)
        if patience is None:
            patience = self._patience_by_route[route.name] = Patience()
        patience.note(wait_s)
        return patience.get_waited_s(wait_s)

    def _take_workspaces(self, config):
        workspaces = set((config.workspace_by_key or {}).values())
        now = asyncio.get_running_loop().time()
        self._allotments.set_workspaces(workspaces, now)


def make_key_print(key):
    """Return a short name for a key, which stands in no log line itself."""
    return f"{xxhash.xxh3_64_intdigest(key) & 0xFFFFFF:06x}" if key else ""
