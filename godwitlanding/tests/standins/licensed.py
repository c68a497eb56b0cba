"""A simulated licensed upstream with slots, faults and counters.

It runs requests even beyond its slots and counts the excess, because a
stand-in that refused them would hide that the system under test exceeded the
limit.
"""

import asyncio
import random
from collections import Counter

from godwitlanding.tests.standins.bodies import make_body, make_bundle, make_etag
from godwitlanding.tests.standins.listener import Listener, reset
from godwitlanding.tests.standins.upstreamfaults import UpstreamFaults
from godwitlanding.tests.standins.workrequest import (
    DeadlineExceeded,
    Interrupted,
    WorkRequest,
    read_body,
    sleep_unless_disconnected,
    wait_for_disconnect,
)

CHUNK_BYTES = 16_384
COUNTS = (
    "begun",
    "finished",
    "cut",
    "lost_in_crash",
    "expired",
    "shed",
    "refused_draining",
    "over_slots",
    "begun_after_drain",
    "crashes",
    "poisoned",
)


class Executions:
    """Counts how often each non-idempotent request ran on all upstreams."""

    def __init__(self):
        self.count_by_id = Counter()
        self.count_by_key = Counter()

    def record(self, request_id, key):
        """Count one run of a non-idempotent request."""
        self.count_by_id[request_id] += 1
        if key:
            self.count_by_key[key] += 1


class LicensedUpstream:
    """An ASGI app that behaves like a licensed upstream.

    ``work_s`` is the mean working time of a request that names none.
    """

    def __init__(self, upstream, work_s, executions, seed=0):
        self.id = upstream.id
        self.faults = UpstreamFaults()
        self.counts = Counter()
        self.busy = 0
        self.most_busy = 0
        self.last_sent_after_drain_s = 0.0
        self._slots = upstream.slots
        self._work_s = work_s
        self._executions = executions
        self._random = random.Random(f"{seed} {upstream.id}")
        self._drained_at = None
        self._started_at = 0.0
        self._load_history = []
        self._health_history = []
        host, _, port = upstream.address.rpartition(":")
        self._listener = Listener(self, host, int(port))
        self._restart = None

    @property
    def is_listening(self):
        """Tell whether the upstream accepts connections."""
        return self._listener.is_open

    async def start(self):
        """Start listening; the cold-start period begins."""
        self._started_at = asyncio.get_running_loop().time()
        await self._listener.start()

    def crash(self, down_s):
        """Reset all connections and stay down for ``down_s``."""
        self.counts["crashes"] += 1
        self._listener.crash()
        self._restart = asyncio.ensure_future(self._start_later(down_s))

    def stop(self):
        """Stop without a later restart."""
        if self._restart:
            self._restart.cancel()
        self._listener.crash()

    def change(self, values):
        """Set the given faults."""
        was_draining = self.faults.draining
        self.faults.change(values)
        if self.faults.draining and not was_draining:
            self._drained_at = asyncio.get_running_loop().time()
        self._record_state()

    def get_stats(self):
        """Return the counters and the number of busy slots."""
        counts = {name: self.counts[name] for name in COUNTS}
        return {
            **counts,
            "busy": self.busy,
            "most_busy": self.most_busy,
            "slots": self._slots,
            "last_sent_after_drain_s": round(self.last_sent_after_drain_s, 3),
        }

    async def __call__(self, scope, receive, send):
        """Respond to a request."""
        if scope["path"] == "/healthz":
            await self._respond_health(send)
        elif scope["path"] == "/load":
            await self._respond_load(send)
        else:
            await self._respond_work(scope, receive, send)

    async def _respond_health(self, send):
        self._record_state()
        mode = self.faults.health
        if mode == "hang":
            await asyncio.sleep(60)
        state = _get_delayed(self._health_history, self.faults.health_lag_s)
        if mode == "always_ok":
            state = "ready"
        if mode == "always_bad":
            state = "failing"
        status = 200 if state in ("ready", "cold") else 503
        await _respond(send, status, b'{"state": "%s"}' % state.encode())

    async def _respond_load(self, send):
        busy = _get_delayed(self._load_history, self.faults.load_lag_s) or 0
        if self.faults.load_lie >= 0:
            busy = self.faults.load_lie
        body = b'{"busy": %d, "slots": %d}' % (busy, self._slots)
        await _respond(send, 200, body)

    async def _respond_work(self, scope, receive, send):
        refusal = self._get_refusal()
        if refusal:
            await _respond(send, 503, b"", [(b"upstream-refused", refusal)])
            return
        work = WorkRequest(scope)
        # The slot is occupied before the body arrives, because the licence
        # counts a request from its first byte.
        self._occupy_slot()
        try:
            await self._run(work, receive, send)
        except Interrupted:
            count_name = "cut" if self._listener.is_open else "lost_in_crash"
            self.counts[count_name] += 1
        except DeadlineExceeded:
            self._free_slot(work)
            self.counts["expired"] += 1
            await _respond(send, 504, b"")
        finally:
            self._free_slot(work)

    async def _run(self, work, receive, send):
        await read_body(receive)
        if work.method not in ("GET", "HEAD"):
            self._executions.record(work.id, work.key)
        if work.is_poison:
            self.counts["poisoned"] += 1
            self.crash(self.faults.down_s)
            raise Interrupted
        disconnected = asyncio.ensure_future(wait_for_disconnect(receive))
        try:
            await self._do_work(work, disconnected)
            await self._send_response(work, send, disconnected)
        finally:
            disconnected.cancel()

    async def _do_work(self, work, disconnected):
        work_s = self._draw_work_s(work)
        deadline_s = work_s if work.deadline_s is None else work.deadline_s
        await sleep_unless_disconnected(disconnected, min(work_s, deadline_s))
        if work_s > deadline_s:
            raise DeadlineExceeded

    async def _send_response(self, work, send, disconnected):
        status, headers, body = self._make_response(work)
        headers.append((b"content-length", str(len(body)).encode()))
        headers.append((b"request-id", work.request_id.encode()))
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        if self.faults.truncate_next > 0:
            self.faults.truncate_next -= 1
            await send(_make_chunk(body[: len(body) // 2], more=True))
            reset(work.transport)
            raise Interrupted
        if self.faults.late_s:
            await sleep_unless_disconnected(disconnected, self.faults.late_s)
        for start in range(0, len(body) - CHUNK_BYTES, CHUNK_BYTES):
            await send(_make_chunk(body[start : start + CHUNK_BYTES], more=True))
            await sleep_unless_disconnected(disconnected, work.chunk_s)
        last = max(0, len(body) - 1) // CHUNK_BYTES * CHUNK_BYTES
        # The slot is freed when the work is done, before the peer can have
        # read the last byte.
        self._free_slot(work)
        self.counts["finished"] += 1
        await send(_make_chunk(body[last:], more=False))

    def _make_response(self, work):
        if not work.bundle:
            headers = [(b"content-type", b"application/json")]
            return 200, headers, make_body(work.id, self.id)
        bundle = make_bundle(work.bundle, work.size_bytes)
        etag = make_etag(bundle)
        headers = [
            (b"content-type", b"application/octet-stream"),
            (b"accept-ranges", b"bytes"),
            (b"etag", etag.encode()),
        ]
        start = work.read_range_start(etag)
        if start is None or start >= len(bundle):
            return 200, headers, bundle
        end = len(bundle) - 1
        content_range = f"bytes {start}-{end}/{len(bundle)}".encode()
        headers.append((b"content-range", content_range))
        return 206, headers, bundle[start:]

    def _get_refusal(self):
        if self.faults.draining and self.faults.refuses_when_draining:
            self.counts["refused_draining"] += 1
            self._record_sent_after_drain()
            return b"draining"
        if self._random.random() < self.faults.shed_share:
            self.counts["shed"] += 1
            return b"shed"
        return None

    def _occupy_slot(self):
        self.busy += 1
        self.most_busy = max(self.most_busy, self.busy)
        self.counts["begun"] += 1
        if self.busy > self._slots:
            self.counts["over_slots"] += 1
        if self.faults.draining:
            self.counts["begun_after_drain"] += 1
            self._record_sent_after_drain()
        self._record_state()

    def _free_slot(self, work):
        if not work.slot_freed:
            work.slot_freed = True
            self.busy -= 1
            self._record_state()

    def _draw_work_s(self, work):
        if work.work_s is not None:
            mean_s = work.work_s
        else:
            mean_s = self._work_s * self._random.uniform(0.5, 1.5)
        now = asyncio.get_running_loop().time()
        cold_share = self._get_cold_share(now)
        cold_factor = 1 + (self.faults.cold_factor - 1) * cold_share
        return mean_s * self.faults.slow_factor * cold_factor

    def _record_sent_after_drain(self):
        now = asyncio.get_running_loop().time()
        self.last_sent_after_drain_s = now - self._drained_at

    def _get_cold_share(self, now):
        remaining_s = self._started_at + self.faults.cold_s - now
        return max(0.0, remaining_s) / (self.faults.cold_s or 1.0)

    def _record_state(self):
        now = asyncio.get_running_loop().time()
        state = "draining" if self.faults.draining else "ready"
        if state == "ready" and self._get_cold_share(now) > 0:
            state = "cold"
        for history, value in (
            (self._load_history, self.busy),
            (self._health_history, state),
        ):
            if not history or history[-1][1] != value:
                history.append((now, value))
            del history[:-1000]

    async def _start_later(self, down_s):
        await asyncio.sleep(down_s)
        self._started_at = asyncio.get_running_loop().time()
        await self._listener.start()


def _make_chunk(body, more):
    return {"type": "http.response.body", "body": body, "more_body": more}


async def _respond(send, status, body, headers=()):
    length = (b"content-length", str(len(body)).encode())
    start = {"status": status, "headers": [length, *headers]}
    await send({"type": "http.response.start", **start})
    await send(_make_chunk(body, more=False))


def _get_delayed(history, lag_s):
    """Return the value of ``lag_s`` ago, else the oldest, else ``None``."""
    now = asyncio.get_running_loop().time()
    visible = [value for set_at, value in history if set_at <= now - lag_s]
    return visible[-1] if visible else (history[0][1] if history else None)
