"""Models of upstreams and of the connections to them, without sockets."""

import asyncio
import re
from collections import Counter, OrderedDict, deque

from godwitlanding.gateway.upstream import Response, UpstreamError, UpstreamFailure
from godwitlanding.platform.headers import HEADER_NAMES

_KEY = re.compile(rb"(?i)godwitlanding-affinity-key: ([^\r]*)")


class UpstreamModel:
    """An upstream with slots, a queue, an object cache and load reports."""

    def __init__(self, shape, rng):
        self._shape = shape
        self._rng = rng
        self._cached_keys = OrderedDict()
        self._running = 0
        self._waiting = deque()
        self.limit_per_s = None
        self.leaving = False
        self.arrived_at = []

    async def handle(self, data):
        """Return the ``Response`` to a request."""
        self.arrived_at.append(_now())
        if self._running + len(self._waiting) >= 4 * self._shape.slots:
            extra = [(HEADER_NAMES.not_executed, b"1")]
            return self._make_response(503, extra)
        if self._running >= self._shape.slots:
            slot_granted = asyncio.get_running_loop().create_future()
            self._waiting.append(slot_granted)
            await slot_granted
        else:
            self._running += 1
        try:
            await asyncio.sleep(self._draw_work_s(data))
        finally:
            if self._waiting:
                self._waiting.popleft().set_result(None)
            else:
                self._running -= 1
        return self._make_response(200, [(HEADER_NAMES.signature, b"proof")])

    def _draw_work_s(self, data):
        match = _KEY.search(data)
        key = match.group(1) if match else b""
        work_s = self._shape.cold_s
        if key in self._cached_keys:
            work_s = self._shape.warm_s
        if key:
            self._cached_keys[key] = None
            self._cached_keys.move_to_end(key)
            if len(self._cached_keys) > self._shape.cache_size:
                self._cached_keys.popitem(last=False)
        return work_s * self._rng.lognormvariate(0.0, 0.15)

    def _make_response(self, status, headers):
        report = b"%d,%d,%d" % (self._running, len(self._waiting), self._shape.slots)
        headers = [*headers, (b"godwitlanding-load-report", report)]
        if self.limit_per_s is not None:
            headers.append((b"server-limit", b"%g" % self.limit_per_s))
        if self.leaving:
            headers.append((b"server-leaving", b"1"))
        return Response(status, headers, b"body", False)


class PoolModel:
    """Replaces the connection pool of one VM and delays each message."""

    def __init__(self, fleet, zone):
        self._fleet = fleet
        self._zone = zone
        self._idle = Counter()

    def take(self, upstream, is_idempotent):
        if not self._idle[upstream]:
            return None
        self._idle[upstream] -= 1
        return ConnectionModel(self._fleet, self._zone, upstream)

    async def connect(self, upstream, address, timeout_s):
        one_way_delay_s = self._fleet.get_one_way_delay_s(self._zone, upstream)
        if 2 * one_way_delay_s > timeout_s:
            await asyncio.sleep(timeout_s)
            raise UpstreamError(UpstreamFailure.CONNECT)
        await asyncio.sleep(2 * one_way_delay_s)
        return ConnectionModel(self._fleet, self._zone, upstream)

    def give_back(self, upstream, connection):
        self._idle[upstream] += 1

    def forget(self, upstream):
        self._idle.pop(upstream, None)

    def trim(self):
        pass

    def close(self):
        self._idle.clear()


class ConnectionModel:
    """A connection from a zone to one upstream, with its network delay."""

    def __init__(self, fleet, zone, upstream):
        self._model = fleet.upstream_by_id[upstream]
        self._one_way_delay_s = fleet.get_one_way_delay_s(zone, upstream)

    async def send(self, data, request_id, without_body, sink):
        await asyncio.sleep(self._one_way_delay_s)
        response = await self._model.handle(data)
        await asyncio.sleep(self._one_way_delay_s)
        return response

    def abort(self):
        pass


def _now():
    return asyncio.get_running_loop().time()
