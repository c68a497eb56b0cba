"""Validates and authorizes callers' requests and applies rate limits.

A request that is denied here has not run: it has no route, an unknown key, or
its workspace's allotment is used up. ``gateway.chooser`` selects the upstream
of an admitted request.
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
    AccessDecision,
    find_access,
    read_key,
)
from godwitlanding.decisions.patience import Patience
from godwitlanding.decisions.retryafter import get_token_retry_s
from godwitlanding.decisions.routes import Splitter, find_route
from godwitlanding.gateway.attempt import AdmittedRequest, make_fingerprint

# Network time between caller and VM, 8 ms each way, plus processing here.
CALLER_OVERHEAD_S = 0.02
# A request that is retried after a refusal has waited for longer than this.
MIN_WAITED_S = 0.03
# Default Retry-After in seconds.
NOT_READY_RETRY_S = 0.5
# A VM that can read the route, or a corrected configuration, may serve it.
UNREADABLE_ROUTE_RETRY_S = 0.5


class Denial(NamedTuple):
    """Why a request is not admitted.

    ``retry_after_s`` is 0 if a retry will not be admitted either.
    """

    code: Code
    status: int
    retry_after_s: float = 0.0


class ConfigFreshness(NamedTuple):
    """Checks whether configuration changes reach this VM."""

    # Whether the configuration in force is known to be the newest version.
    is_fresh: Callable[[], bool]
    # Whether API keys may still be accepted, given the configuration's age.
    may_trust_keys: Callable[[], bool]


class Admission(Service):
    """Admits callers' requests as ``AdmittedRequest``, or denies them."""

    name = "admission"
    needs = ("registry", "peers")

    def __init__(self, names, budget, allotments, freshness):
        self._names = names
        self._budget = budget
        self._allotments = allotments
        self._freshness = freshness
        self._splitter = Splitter()
        self._patience_by_route = {}
        self._registry = None
        self._peers = None

    async def start(self, kernel):
        """Look up the services that this one uses."""
        self._registry = kernel.get("registry")
        self._peers = kernel.get("peers")
        self._registry.on_config.append(self._apply_workspaces)

    def admit(self, exchange):
        """Return ``Ok(AdmittedRequest)`` or ``Err(Denial)`` for a request."""
        authorized = self._authorize(exchange)
        if authorized.is_err():
            return authorized
        request = self._make_request(exchange, *authorized.unwrap())
        if request.allowed_regions == frozenset():
            # Route and workspace have no allowed region in common.
            return Err(Denial(Code.NO_REGION, 503, NOT_READY_RETRY_S))
        return self._charge(request)

    def admit_relayed(self, exchange, relayed):
        """Return ``Ok`` or ``Err`` for a request that another VM admitted.

        ``relayed`` are its ``RelayFields``. That VM has charged the request,
        counted it as load and picked its service.
        """
        authorized = self._authorize(exchange)
        if authorized.is_err():
            return authorized
        route, key, workspace = authorized.unwrap()
        begun_at = exchange.begun_at
        wait_s = exchange.get_deadline_s(self._names.deadline_ms, route.timeout_s)
        request = self._fill_request(
            exchange,
            route,
            key,
            workspace,
            service=relayed.service,
            deadline_at=begun_at + wait_s,
            target_at=begun_at + relayed.target_s,
            respond_by=begun_at + min(wait_s, route.timeout_s),
            came_back=relayed.came_back,
        )
        return Ok(request)

    def _authorize(self, exchange):
        """Return ``Ok((route, key, workspace))`` or ``Err(Denial)``."""
        config = self._registry.config
        if config is None or not self._registry.has_upstreams:
            return Err(Denial(Code.NOT_READY, 503, NOT_READY_RETRY_S))
        request_id = exchange.get_header(self._names.request_id)
        if not request_id or not exchange.get_header(b"host"):
            return Err(Denial(Code.MALFORMED_REQUEST, 400))
        target = exchange.target.decode("latin-1")
        route = find_route(config, exchange.get_host_name(), target)
        if route is None:
            self._log_unknown("admission:unknown_route", request_id)
            return Err(self._deny_unknown(Code.UNKNOWN_SERVICE, 404))
        if not route.parts:
            return Err(Denial(Code.ROUTE_UNREADABLE, 503, UNREADABLE_ROUTE_RETRY_S))
        key = read_key(exchange.get_headers(self._names.authorization))
        access = find_access(config, route, key)
        if access.decision is AccessDecision.UNKNOWN_KEY:
            key_digest = make_key_digest(key)
            self._log_unknown("admission:unknown_key", request_id, key=key_digest)
            return Err(self._deny_unknown(Code.UNKNOWN_KEY, 401))
        workspace = access.workspace
        if workspace and not self._freshness.may_trust_keys():
            return Err(Denial(Code.OUT_OF_TOUCH, 503, NOT_READY_RETRY_S))
        return Ok((route, key, workspace))

    def is_still_authorized(self, request):
        """Return whether the request's API key has not been revoked since."""
        access = find_access(self._registry.config, request.route, request.api_key)
        return access.decision is AccessDecision.GRANTED

    def _deny_unknown(self, code, status):
        if self._freshness.is_fresh():
            return Denial(code, status)
        # A newer configuration may contain the route or key.
        return Denial(Code.NOT_READY, 503, NOT_READY_RETRY_S)

    def _make_request(self, exchange, route, key, workspace):
        started_at = exchange.begun_at
        wait_s = exchange.get_deadline_s(self._names.deadline_ms, route.timeout_s)
        waited_s = self._get_waited_s(route, wait_s)
        return self._fill_request(
            exchange,
            route,
            key,
            workspace,
            service="",
            deadline_at=started_at + wait_s,
            target_at=started_at
            + route.target_latency_s
            - waited_s
            - CALLER_OVERHEAD_S,
            respond_by=started_at + min(wait_s, route.timeout_s),
            came_back=waited_s > MIN_WAITED_S,
        )

    def _fill_request(self, exchange, route, key, workspace, **fields):
        object_key = (
            exchange.get_header(self._names.affinity_key) if route.sticky else b""
        )
        return AdmittedRequest(
            request_id=exchange.get_header(self._names.request_id),
            route=route,
            key=object_key.decode("latin-1"),
            fingerprint=make_fingerprint(exchange, exchange.get_header(b"host")),
            api_key=key,
            workspace=workspace,
            strips_authorization=self._registry.config.workspace_by_key is not None,
            **fields,
        )

    def _charge(self, request):
        """Charge the request to its workspace's allotment, or deny it."""
        now = asyncio.get_running_loop().time()
        if request.workspace:
            wait_s = self._allotments.take(request.workspace, now, request.came_back)
            if wait_s:
                return Err(self._deny_over_allotment(request, wait_s, now))
        # Requests over the allotment do not count as load for planning.
        service = self._splitter.pick(request.route)
        self._peers.note_arrival(service)
        self._budget.note_request(service, now)
        return Ok(request._replace(service=service))

    def _deny_over_allotment(self, request, wait_s, now):
        left_s = request.deadline_at - now
        retry_after_s = get_token_retry_s(wait_s, left_s, random.random())
        level, part_per_s = self._allotments.get_state(request.workspace)
        log_message(
            "admission:over_allotment",
            request=request.request_id.decode("latin-1"),
            workspace=request.workspace.name,
            rate_per_s=request.workspace.rate_per_s,
            level=round(level, 2),
            part_per_s=round(part_per_s, 2),
            came_back=request.came_back,
            retry_after_s=retry_after_s,
            **self._get_config_age(now),
        )
        return Denial(Code.ALLOTMENT_SPENT, 429, retry_after_s)

    def _log_unknown(self, message_type, request_id, **fields):
        log_message(
            message_type,
            request=request_id.decode("latin-1"),
            **fields,
            fresh=self._freshness.is_fresh(),
            **self._get_config_age(asyncio.get_running_loop().time()),
        )

    def _get_config_age(self, now):
        registry = self._registry
        return {
            "config": registry.config.version,
            "config_age_s": round(now - registry.config_seen_at, 2),
        }

    def _get_waited_s(self, route, wait_s):
        # The latency target of a retried request includes the time since the
        # first attempt.
        patience = self._patience_by_route.get(route.name)
        if patience is None:
            patience = self._patience_by_route[route.name] = Patience()
        patience.note(wait_s)
        return patience.get_waited_s(wait_s)

    def _apply_workspaces(self, config):
        workspaces = set((config.workspace_by_key or {}).values())
        now = asyncio.get_running_loop().time()
        self._allotments.set_workspaces(workspaces, now)


def make_key_digest(key):
    """Return a short digest of an API key for log lines.

    The key itself is never logged.
    """
    return f"{xxhash.xxh3_64_intdigest(key) & 0xFFFFFF:06x}" if key else ""
