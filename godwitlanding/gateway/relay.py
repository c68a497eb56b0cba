"""Passes requests on through other VMs while this VM reaches no upstream.

Callers keep the address of a VM for seconds after directories have stopped
naming it, and a whole region may be cut off. A VM that is cut off therefore
sends an admitted request to one that is in touch, which makes a single
attempt and never passes it on itself. All else stays here: the number of
attempts, the retry budget, the workspace's allotment and the deadline.
"""

import asyncio
import math
import random
from typing import NamedTuple

from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import Tasks
from godwitlanding.decisions.fleet import get_carriers
from godwitlanding.decisions.reach import Reach
from godwitlanding.gateway.attempt import Outcome
from godwitlanding.gateway.distances import FAR_DISTANCE_S, REGION_DISTANCE_S
from godwitlanding.gateway.relaymessages import (
    RelayFields,
    RelayResult,
    encode_relayed,
    read_result,
)
from godwitlanding.gateway.upstream import UpstreamError

CONNECT_SLACK_S = 0.15
TRIM_INTERVAL_S = 1.0
# The listener for relayed requests uses the port after that of the gossip.
RELAY_PORT_OFFSET = 1


class RelayTarget(NamedTuple):
    """A VM to relay through; ``distance_s`` is the round trip to it."""

    host: str
    distance_s: float

    @property
    def finish_s(self):
        """Return the estimated time to a response, which only the VM knows."""
        return math.inf


class Relay(Service):
    """Sends requests to VMs that are in touch with upstreams."""

    name = "relay"
    needs = ("reach",)

    def __init__(self, identity, names, fleet, digests, pool, counters):
        self._identity = identity
        self._names = names
        self._fleet = fleet
        self._digests = digests
        self._pool = pool
        self._counters = counters
        self._reach = None
        self.tasks = Tasks()

    async def start(self, kernel):
        """Start trimming the pool."""
        self._reach = kernel.get("reach")
        self.tasks.repeat(TRIM_INTERVAL_S, self._pool.trim)

    async def stop(self):
        """Close the idle connections to other VMs."""
        await self.tasks.stop()
        self._pool.close()

    def choose_target(self, request, tried):
        """Return the ``RelayTarget`` for an attempt, or ``None``.

        There is none while this VM reaches upstreams itself, and if no VM in
        touch is known. ``tried`` holds the hosts of earlier attempts.
        """
        if not self._reach.is_cut_off():
            return None
        region = self._identity.region
        regions = request.allowed_regions
        if regions is None or region in regions:
            hosts = self._get_region_hosts() - tried
            if hosts:
                return RelayTarget(random.choice(sorted(hosts)), REGION_DISTANCE_S)
        hosts = self._get_remote_hosts(regions) - tried
        if hosts:
            return RelayTarget(random.choice(sorted(hosts)), FAR_DISTANCE_S)
        return None

    async def settle(self):
        """Wait until it is known whether this VM reaches upstreams."""
        await self._reach.settle()

    async def send(self, exchange, request, target, tried, sink):
        """Relay a request; return its ``RelayResult`` and the response.

        ``sink`` gets the rest of a response that is too long to buffer.
        """
        self._counters.add("requests_relayed")
        loop = asyncio.get_running_loop()
        connection = self._pool.take(
            target.host, request.is_idempotent, request.request_id
        )
        if connection is None:
            timeout_s = min(
                CONNECT_SLACK_S + 2 * target.distance_s,
                max(0.001, request.respond_by - loop.time()),
            )
            address = (target.host, self._identity.peer_port + RELAY_PORT_OFFSET)
            try:
                connection = await self._pool.connect(target.host, address, timeout_s)
            except UpstreamError as error:
                return RelayResult(Outcome.UNREACHED, str(error)), None
        return await self._send_over(connection, exchange, request, target, tried, sink)

    async def _send_over(self, connection, exchange, request, target, tried, sink):
        now = asyncio.get_running_loop().time()
        fields = RelayFields(
            request.service, request.target_at - now, request.came_back, tuple(tried)
        )
        left_s = min(request.deadline_at, request.respond_by) - now
        data = encode_relayed(
            exchange, self._names, fields, left_s - target.distance_s / 2
        )
        is_complete = False
        try:
            response = await connection.send(
                data,
                request.request_id,
                exchange.method == b"HEAD",
                sink,
                request.respond_by,
            )
            is_complete = True
        except UpstreamError as error:
            return RelayResult(Outcome.UNKNOWN, str(error)), None
        finally:
            if not is_complete:
                connection.abort()
        result = read_result(response)
        if not response.is_stream:
            self._pool.give_back(target.host, connection)
        elif result.outcome is not Outcome.ANSWERED:
            connection.abort()
            response = response._replace(body=b"", is_stream=False)
        return result, response

    def _get_region_hosts(self):
        region = self._identity.region
        carriers = get_carriers(None, self._fleet, region)
        in_touch = [peer for peer in carriers if peer.reach is Reach.CONNECTED]
        return {peer.host for peer in in_touch}

    def _get_remote_hosts(self, regions):
        addresses = self._digests.get_carriers(regions, in_touch=True)
        return {address.rpartition(":")[0] for address in addresses}
