"""Sends a request to one upstream and returns its response or the failure.

Also records what the response says about the upstream, and ejects upstreams
that cannot be reached.
"""

import asyncio
import math
from functools import partial

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import Tasks
from godwitlanding.decisions.digest import Crash
from godwitlanding.decisions.occupancy import get_upstream_number
from godwitlanding.gateway.attempt import Outcome, classify_response, make_request_bytes
from godwitlanding.gateway.crashgossip import format_fingerprint
from godwitlanding.gateway.upstream import UpstreamError, UpstreamFailure

# Opening a connection takes one round trip and a millisecond. A lost packet
# costs a second, so another upstream is tried before that.
CONNECT_ROUND_TRIPS = 2.0
CONNECT_SLACK_S = 0.15
# A lost connection may mean that the upstream crashed. After this time,
# whether a new connection can be opened shows it.
CRASH_CHECK_S = 0.05
# A link that is cut ends connections by a timeout, and so does not show that
# the upstream crashed; one that has crashed closes them.
_CLOSED_BY_UPSTREAM = frozenset((UpstreamFailure.RESET, UpstreamFailure.BROKEN))
_CONNECTION_LOST = _CLOSED_BY_UPSTREAM | {UpstreamFailure.TIMEOUT}
TRIM_INTERVAL_S = 1.0
FIRST_EJECT_S = 0.3
MAX_EJECT_S = 3.0
# The entry of an upstream whose address is now used by another one expires
# after three heartbeats of 1.5 s, slightly later during a store outage.
MOVED_EJECT_S = 6.0
# Responses with these outcomes carry all status headers. A response that
# refuses a request may omit headers that the upstream sent before.
_EXECUTED = frozenset((Outcome.ANSWERED, Outcome.FAILED))


class _Ejection:
    """Marks one ejection of an upstream, ``at`` a time on the loop's clock."""

    def __init__(self, at):
        self.at = at


class UpstreamClient(Service):
    """Sends requests to upstreams and tracks which can be reached.

    Its service name and the prefix of its log messages are "courier".
    """

    name = "courier"
    needs = ("registry", "chooser", "peers", "reach")

    def __init__(
        self,
        names,
        read_self_report,
        pool,
        occupancy,
        worktimes,
        limit_gossip,
        counters,
        poison,
        reach,
        held_bytes=None,
    ):
        self._names = names
        self._read_self_report = read_self_report
        self._pool = pool
        self._occupancy = occupancy
        self._worktimes = worktimes
        self._limit_gossip = limit_gossip
        self._counters = counters
        self._poison = poison
        self._reach = reach
        reach.connect = self._probe
        reach.on_restored.append(self._readmit_since)
        self._held_bytes = held_bytes
        self._chooser = None
        self._registry = None
        self._peers = None
        self._ejection_by_upstream = {}
        self.tasks = Tasks()

    async def start(self, kernel):
        """Subscribe to removed upstreams and start trimming the pool."""
        self._chooser = kernel.get("chooser")
        self._registry = kernel.get("registry")
        self._peers = kernel.get("peers")
        self._registry.on_upstream_gone.append(self._forget)
        self._chooser.paces.export(self._counters)
        if self._held_bytes:
            self._chooser.availability.has_room = self._held_bytes.has_room
        self.tasks.repeat(TRIM_INTERVAL_S, self._pool.trim)

    async def stop(self):
        """Cancel the background tasks and close idle connections."""
        await self.tasks.stop()
        self._pool.close()

    async def send(self, exchange, request, choice, sink):
        """Send a request; return ``(Outcome, Response or None, detail)``.

        ``sink`` gets the rest of a response that is too long to buffer.
        Without a response by ``request.respond_by``, the caller's timeout
        cancels this coroutine.
        """
        upstream = choice.upstream
        loop = asyncio.get_running_loop()
        connection = self._pool.take(
            upstream.id, request.is_idempotent, request.request_id
        )
        if connection is None:
            started_at = loop.time()
            try:
                connection = await self._connect(
                    upstream, request.respond_by - started_at
                )
            except UpstreamError as error:
                self._worktimes.note_failure(request.service, upstream.id)
                self._chooser.learning.note_unreached(request, choice)
                self._eject(upstream)
                return Outcome.UNREACHED, None, str(error)
            self._chooser.distances.note(upstream, loop.time() - started_at)
        return await self._send_over(connection, exchange, request, choice, sink)

    async def _connect(self, upstream, max_s=math.inf):
        """Open a connection within ``max_s`` seconds."""
        distance_s = self._chooser.distances.get_s(upstream.availability_zone)
        timeout_s = CONNECT_SLACK_S + CONNECT_ROUND_TRIPS * distance_s
        try:
            connection = await self._pool.connect(
                upstream.id, upstream.address, min(timeout_s, max(0.001, max_s))
            )
        except UpstreamError:
            self._reach.note_failed(upstream.id)
            raise
        self._reach.note_connected()
        return connection

    async def _probe(self, upstream):
        """Open a connection for later requests, if that is possible."""
        try:
            connection = await self._connect(upstream)
        except UpstreamError:
            return
        self._pool.give_back(upstream.id, connection)

    async def _send_over(self, connection, exchange, request, choice, sink):
        upstream = choice.upstream
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        left_s = min(request.deadline_at, request.respond_by) - sent_at
        data = make_request_bytes(
            exchange, request, self._names, upstream.id, left_s - choice.distance_s / 2
        )
        self._occupancy.begin(upstream.id)
        is_complete = False
        size = len(data)
        if self._held_bytes:
            self._held_bytes.note_sent(upstream.id, size)
        try:
            answered = connection.send(
                data,
                request.request_id,
                exchange.method == b"HEAD",
                sink,
                request.respond_by,
            )
            # The copy of the body is not needed while the upstream works.
            del data
            response = await answered
            is_complete = True
        except UpstreamError as error:
            self._worktimes.note_failure(request.service, upstream.id)
            if error.failure in _CONNECTION_LOST:
                self._note_lost(upstream, request, error.failure)
            return Outcome.UNKNOWN, None, str(error)
        finally:
            self._occupancy.end(upstream.id)
            if self._held_bytes:
                self._held_bytes.note_ended(upstream.id, size)
            if not is_complete:
                connection.abort()
        outcome = classify_response(response, self._names)
        self._record_response(
            upstream, request, choice, response, outcome, loop.time() - sent_at
        )
        if not response.is_stream:
            self._pool.give_back(upstream.id, connection)
        elif outcome is not Outcome.ANSWERED:
            # The rest would be buffered to its end, as no caller gets it.
            connection.abort()
            response = response._replace(body=b"", is_stream=False)
        else:
            sink.on_failed = partial(
                self._note_lost, upstream, request, UpstreamFailure.BROKEN
            )
        return outcome, response, ""

    def _record_response(self, upstream, request, choice, response, outcome, took_s):
        now = asyncio.get_running_loop().time()
        pace = None
        if outcome is not Outcome.MOVED:
            pace = self._record_report(upstream, response, outcome, now)
        if outcome is Outcome.ANSWERED:
            work_s = took_s - choice.distance_s
            measured = self._chooser.paces.note_response(
                request, choice, work_s, pace, now
            )
            self._chooser.learning.note_response(request, choice, measured.work_s)
            if measured.is_short:
                self._counters.record(
                    "short_work_seconds", work_s, service=request.service
                )
            if self._poison.note_success(request.fingerprint, now):
                self._peers.note_cleared(request.fingerprint)
        elif outcome is Outcome.MOVED:
            self._eject_moved(upstream)
        else:
            self._worktimes.note_failure(request.service, upstream.id)

    def _record_report(self, upstream, response, outcome, now):
        """Record an upstream's status; return its pace, or ``None``."""
        report = self._read_self_report(response.status, response.headers)
        if report.in_progress is not None:
            self._occupancy.note_report(upstream.id, report.in_progress, now)
        if report.cold_s is not None:
            self._registry.note_cold(upstream.id, report.cold_s, now)
        if report.pause_s is not None:
            self._record_pause(upstream, report.pause_s, now)
        if report.leaving:
            self._registry.note_leaving(upstream.id)
        if report.limit_per_s is not None or outcome in _EXECUTED:
            self._limit_gossip.note_response(upstream, report.limit_per_s)
        if report.pace is not None:
            self._chooser.paces.note_report(upstream, report.pace, now)
        return report.pace

    def _record_pause(self, upstream, pause_s, now):
        self._chooser.availability.pauses.note(upstream.id, pause_s, now)
        self._counters.add("upstream_pauses")
        log_message("courier:pause", upstream=upstream.id, pause_s=pause_s)

    def _note_lost(self, upstream, request, failure):
        """Check whether an upstream has crashed when a connection is lost."""
        log_message(
            "courier:lost",
            request=request.request_id.decode("latin-1"),
            upstream=upstream.id,
            fingerprint=format_fingerprint(request.fingerprint),
            failure=failure.value,
        )
        if failure in _CLOSED_BY_UPSTREAM:
            self._poison.begin_check(request.fingerprint)
        self.tasks.run(self._check_crash(upstream, request.fingerprint, failure))

    async def _check_crash(self, upstream, fingerprint, failure):
        try:
            await self._check_reachable(upstream, fingerprint, failure)
        finally:
            if failure in _CLOSED_BY_UPSTREAM:
                self._poison.end_check(fingerprint)

    async def _check_reachable(self, upstream, fingerprint, failure):
        await asyncio.sleep(CRASH_CHECK_S)
        if upstream.id not in self._registry.upstream_by_id:
            return
        began_at = asyncio.get_running_loop().time()
        try:
            connection = await self._connect(upstream)
        except UpstreamError:
            if not await self._reach.reaches_any_since(began_at):
                # The links of this VM are cut, which says nothing of the
                # upstream and must not stop the request at all VMs.
                self._log_checked("courier:cut_off", upstream, fingerprint)
            elif failure in _CLOSED_BY_UPSTREAM:
                self._log_checked("courier:crash", upstream, fingerprint)
                number = get_upstream_number(upstream.incarnation)
                self._peers.note_crash(Crash(fingerprint, number))
            else:
                self._log_checked("courier:silent", upstream, fingerprint)
            self._eject(upstream)
            return
        self._log_checked("courier:alive", upstream, fingerprint)
        self._pool.give_back(upstream.id, connection)

    def _log_checked(self, message_type, upstream, fingerprint):
        log_message(
            message_type,
            upstream=upstream.id,
            fingerprint=format_fingerprint(fingerprint),
        )

    def _eject(self, upstream):
        if upstream.id in self._chooser.availability.ejected:
            return
        self._chooser.availability.ejected.add(upstream.id)
        self._counters.add("upstreams_ejected")
        log_message(
            "courier:ejected",
            level="warning",
            upstream=upstream.id,
            ejected=len(self._chooser.availability.ejected),
            listed=len(self._registry.upstream_by_id),
            connected_s=self._reach.get_connected_age_s(),
        )
        ejection = _Ejection(asyncio.get_running_loop().time())
        self._ejection_by_upstream[upstream.id] = ejection
        self.tasks.keep_running(self._probe_until_reachable, upstream, ejection)

    def _eject_moved(self, upstream):
        # Connections can still be opened, and the entry stays until it
        # expires. Each request for an object that the upstream knew would fail
        # there, use a retry, and be refused once the retry budget is spent.
        if upstream.id in self._chooser.availability.ejected:
            return
        self._chooser.availability.ejected.add(upstream.id)
        self._counters.add("upstreams_ejected")
        log_message("courier:moved", level="warning", upstream=upstream.id)
        self._pool.forget(upstream.id)
        self.tasks.run(self._readmit(upstream.id, MOVED_EJECT_S))

    async def _readmit(self, upstream_id, after_s):
        await asyncio.sleep(after_s)
        self._chooser.availability.ejected.discard(upstream_id)

    def _readmit_since(self, failing_since):
        """Readmit what was ejected because this VM was cut off.

        The failures of that time were not those of the upstreams. Each one is
        connected to again when a request needs it, not all at once.
        """
        readmitted = [
            upstream_id
            for upstream_id, ejection in self._ejection_by_upstream.items()
            if ejection.at >= failing_since
        ]
        for upstream_id in readmitted:
            del self._ejection_by_upstream[upstream_id]
            self._chooser.availability.ejected.discard(upstream_id)
            self._worktimes.forget_failures(upstream_id)
        log_message("courier:readmitted", upstreams=len(readmitted))

    async def _probe_until_reachable(self, upstream, ejection):
        pause_s = FIRST_EJECT_S
        while True:
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_EJECT_S, pause_s * 2)
            if self._ejection_by_upstream.get(upstream.id) is not ejection:
                return
            try:
                connection = await self._connect(upstream)
            except UpstreamError:
                continue
            self._pool.give_back(upstream.id, connection)
            if self._ejection_by_upstream.get(upstream.id) is not ejection:
                return
            del self._ejection_by_upstream[upstream.id]
            now = asyncio.get_running_loop().time()
            self._registry.note_reached_again(upstream.id, now)
            self._chooser.availability.ejected.discard(upstream.id)
            log_message("courier:reachable", upstream=upstream.id)
            return

    def _forget(self, upstream_id):
        self._ejection_by_upstream.pop(upstream_id, None)
        self._pool.forget(upstream_id)
        self._limit_gossip.forget(upstream_id)
        self._chooser.forget(upstream_id)
        self._occupancy.forget(upstream_id)
