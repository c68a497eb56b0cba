"""Models of upstreams and of the connections to them, without sockets."""

import asyncio
import random
import re
from collections import Counter, OrderedDict, deque

from godwitlanding.gateway.upstream import Response, UpstreamError, UpstreamFailure
from godwitlanding.platform.headers import HEADER_NAMES

_KEY = re.compile(rb"(?i)godwitlanding-affinity-key: ([^\r]*)")


class Spells:
    """The slow periods of one machine, drawn from a generator of its own.

    Over time, ``shape.spell_share`` of the time lies in slow periods, which
    last ``shape.spell_s`` (shortest, longest) and take ``spell_factor`` times
    as long for the same work.
    """

    def __init__(self, shape, rng):
        self._shape = shape
        self._rng = rng
        self._is_slow = rng.random() < shape.spell_share
        self._until = 0.0
        if shape.spell_share:
            self._until = self._draw_s() * rng.random()

    def get_pace(self, now):
        """Return the factor on work times at ``now``, which never falls."""
        while self._shape.spell_share and now >= self._until:
            self._is_slow = not self._is_slow
            self._until += self._draw_s()
        return self._shape.spell_factor if self._is_slow else 1.0

    async def work(self, work_s):
        """Sleep for work that takes ``work_s`` at the usual pace."""
        while True:
            now = _now()
            pace = self.get_pace(now)
            if not self._shape.spell_share or now + work_s * pace <= self._until:
                await asyncio.sleep(work_s * pace)
                return
            period_s = self._until - now
            await asyncio.sleep(period_s)
            work_s -= period_s / pace

    def _draw_s(self):
        if self._is_slow:
            return self._rng.uniform(*self._shape.spell_s)
        mean_spell_s = sum(self._shape.spell_s) / 2
        share = self._shape.spell_share
        return self._rng.expovariate(share / ((1.0 - share) * mean_spell_s))


class UpstreamModel:
    """An upstream with slots, a queue, an object cache and load reports."""

    def __init__(self, shape, rng, seed=0):
        self._shape = shape
        self._rng = rng
        # Separate generators, so that runs without slow periods and long
        # requests draw the same numbers as before these were added.
        self._long_rng = random.Random(f"long {seed}")
        self.spells = Spells(shape, random.Random(f"spells {seed}"))
        # Replaces the reported pace, for upstreams that report a wrong one.
        self.report_pace = lambda pace: b"%d" % round(100 * pace)
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
            await self.spells.work(self._draw_work_s(data))
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
        if self._long_rng.random() < self._shape.long_share:
            work_s *= self._shape.long_factor
        return work_s * self._rng.lognormvariate(0.0, 0.15)

    def _make_response(self, status, headers):
        report = b"%d,%d,%d" % (self._running, len(self._waiting), self._shape.slots)
        if self._shape.reports_pace:
            report += b"," + self.report_pace(self.spells.get_pace(_now()))
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

    def take(self, upstream, is_idempotent, request_id=b""):
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

    async def send(self, data, request_id, without_body, sink, respond_by):
        await asyncio.sleep(self._one_way_delay_s)
        response = await self._model.handle(data)
        await asyncio.sleep(self._one_way_delay_s)
        return response

    def abort(self):
        pass


def _now():
    return asyncio.get_running_loop().time()
