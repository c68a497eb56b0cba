"""One simulated licensed upstream: its slots, faults and counts.

It runs what it is sent even over its slots and counts the excess, since a
stand-in that refused would hide that the system under test pushed it over.
"""

import asyncio
import random
from collections import Counter

from godwitlanding.tests.standins.bodies import make_body, make_bundle, make_etag
from godwitlanding.tests.standins.listener import Listener, reset
from godwitlanding.tests.standins.upstreamfaults import Switches
from godwitlanding.tests.standins.workrequest import (
    Cut,
    Expired,
    Work,
    read_body,
    sleep_unless,
    wait_until_gone,
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
    """Counts how often each piece of work ran, over all upstreams."""

    def __init__(self):
        self.count_by_id = Counter()
        self.count_by_key = Counter()

    def note(self, request_id, key):
        """Count one run of non-idempotent work."""
        self.count_by_id[request_id] += 1
        if key:
            self.count_by_key[key] += 1


class LicensedUpstream:
    """An ASGI app that behaves like a licensed upstream."""

    def __init__(self, upstream, work_s, executions, seed=0):
        self.id = upstream.id
        self.switches = Switches()
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
        """Tell whether it takes connections."""
        return self._listener.is_open

    async def start(self):
        """Listen; a cold start begins."""
        self._started_at = asyncio.get_running_loop().time()
        await self._listener.start()

    def crash(self, down_s):
        """Reset every connection and be away for ``down_s``."""
        self.counts["crashes"] += 1
        self._listener.crash()
        self._restart = asyncio.ensure_future(self._start_later(down_s))

    def stop(self):
        """End for good."""
        if self._restart:
            self._restart.cancel()
        self._listener.crash()

    def change(self, values):
        """Turn switches."""
        was_draining = self.switches.draining
        self.switches.change(values)
        if self.switches.draining and not was_draining:
            self._drained_at = asyncio.get_running_loop().time()
        self._note_state()

    def get_stats(self):
        """Return the counts as plain values."""
        counts = {name: self.counts[name] for name in COUNTS}
        return {
            **counts,
            "busy": self.busy,
            "most_busy": self.most_busy,
            "slots": self._slots,
            "last_sent_after_drain_s": round(self.last_sent_after_drain_s, 3),
        }

    async def __call__(self, scope, receive, send):
        """Answer one request."""
        if scope["path"] == "/healthz":
            await self._answer_health(send)
        elif scope["path"] == "/load":
            await self._answer_load(send)
        else:
            await self._answer_work(scope, receive, send)

    async def _answer_health(self, send):
        self._note_state()
        mode = self.switches.health
        if mode == "hang":
            await asyncio.sleep(60)
        state = _read_lagging(self._health_history, self.switches.health_lag_s)
        if mode == "always_ok":
            state = "ready"
        if mode == "always_bad":
            state = "failing"
        status = 200 if state in ("ready", "cold") else 503
        await _answer(send, status, b'{"state": "%s"}' % state.encode())

    async def _answer_load(self, send):
        busy = _read_lagging(self._load_history, self.switches.load_lag_s) or 0
        if self.switches.load_lie >= 0:
            busy = self.switches.load_lie
        body = b'{"busy": %d, "slots": %d}' % (busy, self._slots)
        await _answer(send, 200, body)

    async def _answer_work(self, scope, receive, send):
        refusal = self._find_refusal()
        if refusal:
            await _answer(send, 503, b"", [(b"upstream-refused", refusal)])
            return
        work = Work(scope)
        # Slots are taken before the body has come: the licence counts the
        # request from its first byte.
        self._begin()
        try:
            await self._run(work, receive, send)
        except Cut:
            lost = "cut" if self._listener.is_open else "lost_in_crash"
            self.counts[lost] += 1
        except Expired:
            self._end(work)
            self.counts["expired"] += 1
            await _answer(send, 504, b"")
        finally:
            self._end(work)

    async def _run(self, work, receive, send):
        await read_body(receive)
        if work.method not in ("GET", "HEAD"):
            self._executions.note(work.id, work.key)
        if work.is_poison:
            self.counts["poisoned"] += 1
            self.crash(self.switches.down_s)
            raise Cut
        gone = asyncio.ensure_future(wait_until_gone(receive))
        try:
            await self._work(work, gone)
            await self._send_answer(work, send, gone)
        finally:
            gone.cancel()

    async def _work(self, work, gone):
        work_s = self._draw_work_s(work)
        deadline_s = work_s if work.deadline_s is None else work.deadline_s
        await sleep_unless(gone, min(work_s, deadline_s))
        if work_s > deadline_s:
            raise Expired

    async def _send_answer(self, work, send, gone):
        status, headers, body = self._make_answer(work)
        headers.append((b"content-length", str(len(body)).encode()))
        headers.append((b"request-id", work.request_id.encode()))
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        if self.switches.truncate_next > 0:
            self.switches.truncate_next -= 1
            await send(_make_chunk(body[: len(body) // 2], more=True))
            reset(work.transport)
            raise Cut
        if self.switches.late_s:
            await sleep_unless(gone, self.switches.late_s)
        for start in range(0, len(body) - CHUNK_BYTES, CHUNK_BYTES):
            await send(_make_chunk(body[start : start + CHUNK_BYTES], more=True))
            await sleep_unless(gone, work.chunk_s)
        last = max(0, len(body) - 1) // CHUNK_BYTES * CHUNK_BYTES
        # The slot is free when the work is done, which is before the peer
        # can have read the last byte.
        self._end(work)
        self.counts["finished"] += 1
        await send(_make_chunk(body[last:], more=False))

    def _make_answer(self, work):
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

    def _find_refusal(self):
        if self.switches.draining and self.switches.refuses_when_draining:
            self.counts["refused_draining"] += 1
            self._note_sent_after_drain()
            return b"draining"
        if self._random.random() < self.switches.shed_share:
            self.counts["shed"] += 1
            return b"shed"
        return None

    def _begin(self):
        self.busy += 1
        self.most_busy = max(self.most_busy, self.busy)
        self.counts["begun"] += 1
        if self.busy > self._slots:
            self.counts["over_slots"] += 1
        if self.switches.draining:
            self.counts["begun_after_drain"] += 1
            self._note_sent_after_drain()
        self._note_state()

    def _end(self, work):
        if not work.ended:
            work.ended = True
            self.busy -= 1
            self._note_state()

    def _draw_work_s(self, work):
        if work.work_s is not None:
            mean_s = work.work_s
        else:
            mean_s = self._work_s * self._random.uniform(0.5, 1.5)
        now = asyncio.get_running_loop().time()
        cold_share = self._read_cold_share(now)
        cold_factor = 1 + (self.switches.cold_factor - 1) * cold_share
        return mean_s * self.switches.slow_factor * cold_factor

    def _note_sent_after_drain(self):
        now = asyncio.get_running_loop().time()
        self.last_sent_after_drain_s = now - self._drained_at

    def _read_cold_share(self, now):
        left_s = self._started_at + self.switches.cold_s - now
        return max(0.0, left_s) / (self.switches.cold_s or 1.0)

    def _note_state(self):
        now = asyncio.get_running_loop().time()
        state = "draining" if self.switches.draining else "ready"
        if state == "ready" and self._read_cold_share(now) > 0:
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


async def _answer(send, status, body, headers=()):
    length = (b"content-length", str(len(body)).encode())
    start = {"status": status, "headers": [length, *headers]}
    await send({"type": "http.response.start", **start})
    await send(_make_chunk(body, more=False))


def _read_lagging(history, lag_s):
    now = asyncio.get_running_loop().time()
    shown = [value for set_at, value in history if set_at <= now - lag_s]
    return shown[-1] if shown else (history[0][1] if history else None)
