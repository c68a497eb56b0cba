"""Sends one request to one upstream and brings its answer, or says why not."""

import asyncio
import math

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import start_task
from godwitlanding.decisions.digest import Crash
from godwitlanding.gateway.attempt import Outcome, judge, make_request_bytes
from godwitlanding.gateway.upstream import Failure, UpstreamError

# Opening a connection takes a way there and back and a millisecond; a lost
# packet costs a second, and another upstream is tried before that.
CONNECT_TRIPS = 2.0
CONNECT_SLACK_S = 0.15
# A reset may be the upstream's own crash: whether a new connection opens
# tells, a moment later.
CRASH_CHECK_S = 0.05
FIRST_EJECT_S = 0.3
MAX_EJECT_S = 3.0
# The entry of an upstream whose address another one has lapses after three
# heartbeats of 1.5 s, and a little more in an outage of the store.
MOVED_EJECT_S = 6.0
# Answers that tell everything; one that turns a request away may leave out
# what the upstream said before.
_RAN = frozenset((Outcome.ANSWERED, Outcome.FAILED))


class UpstreamClient(Service):
    """Connections, attempts, and upstreams that cannot be reached."""

    name = "courier"
    needs = ("registry", "chooser", "peers")

    def __init__(
        self,
        names,
        read_self_report,
        pool,
        occupancy,
        worktimes,
        limits,
        counters,
        poison,
    ):
        self._names = names
        self._read_self_report = read_self_report
        self._pool = pool
        self._occupancy = occupancy
        self._worktimes = worktimes
        self._limits = limits
        self._counters = counters
        self._poison = poison
        self._chooser = None
        self._registry = None
        self._peers = None
        self._tasks = set()

    async def start(self, kernel):
        """Learn of upstreams that are gone."""
        self._chooser = kernel.get("chooser")
        self._registry = kernel.get("registry")
        self._peers = kernel.get("peers")
        self._registry.on_upstream_gone.append(self._forget)
        self._spawn(self._trim_often())

    async def stop(self):
        """Close idle connections."""
        for task in self._tasks:
            task.cancel()
        self._pool.close()

    async def send(self, exchange, work, choice, sink):
        """Send and wait; return ``(Outcome, Answer or None, detail)``.

        Raises ``TimeoutError`` when the answer is due and there is none.
        """
        upstream = choice.upstream
        loop = asyncio.get_running_loop()
        connection = self._pool.take(upstream.id, work.is_idempotent)
        if connection is None:
            begun = loop.time()
            try:
                connection = await self._connect(upstream, work.answer_by - begun)
            except UpstreamError as error:
                self._worktimes.note_failure(work.service, upstream.id)
                self._chooser.learning.note_unreached(work, choice)
                self._eject(upstream)
                return Outcome.UNREACHED, None, str(error)
            self._chooser.distances.note(upstream, loop.time() - begun)
        return await self._send_on(connection, exchange, work, choice, sink)

    async def _connect(self, upstream, most_s=math.inf):
        """Open a connection, waiting ``most_s`` at the most."""
        distance_s = self._chooser.distances.get_s(upstream.availability_zone)
        timeout_s = CONNECT_SLACK_S + CONNECT_TRIPS * distance_s
        return await self._pool.connect(
            upstream.id, upstream.address, min(timeout_s, max(0.001, most_s))
        )

    async def _send_on(self, connection, exchange, work, choice, sink):
        upstream = choice.upstream
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        left_s = min(work.deadline_at, work.answer_by) - sent_at
        data = make_request_bytes(
            exchange, work, self._names, upstream.id, left_s - choice.distance_s / 2
        )
        self._occupancy.begin(upstream.id)
        whole = False
        try:
            answer = await connection.send(
                data, work.request_id, exchange.method == b"HEAD", sink
            )
            whole = True
        except UpstreamError as error:
            self._worktimes.note_failure(work.service, upstream.id)
            if error.failure is Failure.RESET:
                self._spawn(self._check_crash(upstream, work.fingerprint))
            return Outcome.UNKNOWN, None, str(error)
        finally:
            self._occupancy.end(upstream.id)
            if not whole:
                connection.abort()
        outcome = judge(answer, self._names)
        self._learn(upstream, work, choice, answer, outcome, loop.time() - sent_at)
        if not answer.is_stream:
            self._pool.give_back(upstream.id, connection)
        return outcome, answer, ""

    def _learn(self, upstream, work, choice, answer, outcome, took_s):
        now = asyncio.get_running_loop().time()
        if outcome is not Outcome.MOVED:
            self._note_report(upstream, answer, outcome, now)
        if outcome is Outcome.ANSWERED:
            work_s = max(0.001, took_s - choice.distance_s)
            self._chooser.learning.note_answer(work, choice, work_s)
            self._poison.note_success(work.fingerprint, now)
        elif outcome is Outcome.MOVED:
            self._eject_moved(upstream)
        else:
            self._worktimes.note_failure(work.service, upstream.id)

    def _note_report(self, upstream, answer, outcome, now):
        report = self._read_self_report(answer.status, answer.headers)
        if report.in_progress is not None:
            self._occupancy.note_report(upstream.id, report.in_progress, now)
        if report.cold_s is not None:
            self._registry.note_cold(upstream.id, report.cold_s, now)
        if report.pause_s is not None:
            self._note_pause(upstream, report.pause_s, now)
        if report.leaving:
            self._registry.note_leaving(upstream.id)
        if report.limit_per_s is not None or outcome in _RAN:
            self._limits.note_answer(upstream, report.limit_per_s)

    def _note_pause(self, upstream, pause_s, now):
        self._chooser.availability.pauses.note(upstream.id, pause_s, now)
        self._counters.add("upstream_pauses")
        log_message("courier:pause", upstream=upstream.id, pause_s=pause_s)

    async def _check_crash(self, upstream, fingerprint):
        await asyncio.sleep(CRASH_CHECK_S)
        if upstream.id not in self._registry.upstream_by_id:
            return
        try:
            connection = await self._connect(upstream)
        except UpstreamError:
            now = asyncio.get_running_loop().time()
            crashed = upstream.incarnation
            crashes = self._poison.note_crash(fingerprint, crashed, now)
            self._peers.note_crash(Crash(fingerprint, crashed))
            log_message(
                "courier:crash",
                level="warning",
                upstream=upstream.id,
                fingerprint=fingerprint,
                crashes=crashes,
            )
            self._eject(upstream)
            return
        self._pool.give_back(upstream.id, connection)

    def _eject(self, upstream):
        if upstream.id in self._chooser.availability.ejected:
            return
        self._chooser.availability.ejected.add(upstream.id)
        self._counters.add("upstreams_ejected")
        log_message("courier:ejected", level="warning", upstream=upstream.id)
        self._spawn(self._try_again(upstream))

    def _eject_moved(self, upstream):
        # Connections open there as before, and its entry stands until it
        # lapses. Each request for an object that it knew would make the trip
        # for nothing and spend a retry, and be refused once those are spent.
        if upstream.id in self._chooser.availability.ejected:
            return
        self._chooser.availability.ejected.add(upstream.id)
        self._counters.add("upstreams_ejected")
        log_message("courier:moved", level="warning", upstream=upstream.id)
        self._pool.forget(upstream.id)
        self._spawn(self._readmit(upstream.id, MOVED_EJECT_S))

    async def _readmit(self, upstream_id, after_s):
        await asyncio.sleep(after_s)
        self._chooser.availability.ejected.discard(upstream_id)

    async def _try_again(self, upstream):
        pause_s = FIRST_EJECT_S
        while True:
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_EJECT_S, pause_s * 2)
            if upstream.id not in self._registry.upstream_by_id:
                return
            try:
                connection = await self._connect(upstream)
            except UpstreamError:
                continue
            self._pool.give_back(upstream.id, connection)
            now = asyncio.get_running_loop().time()
            self._registry.note_reached_again(upstream.id, now)
            self._chooser.availability.ejected.discard(upstream.id)
            log_message("courier:reachable", upstream=upstream.id)
            return

    def _forget(self, upstream_id):
        self._pool.forget(upstream_id)
        self._limits.forget(upstream_id)
        self._chooser.forget(upstream_id)
        self._occupancy.forget(upstream_id)

    async def _trim_often(self):
        while True:
            await asyncio.sleep(1.0)
            self._pool.trim()

    def _spawn(self, coroutine):
        task = start_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
