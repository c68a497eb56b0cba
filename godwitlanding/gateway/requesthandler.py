"""Handles a caller's request: admission, attempts, one final response."""

import asyncio
from functools import partial

from eliot import log_message

from godwitlanding.base.codes import ROW_BY_CODE, Code
from godwitlanding.base.kernel import Service
from godwitlanding.decisions.stopschedule import STOPPING_RETRY_S, StopSchedule
from godwitlanding.gateway.attempt import Charge, Outcome
from godwitlanding.gateway.attemptlog import (
    AttemptEnd,
    log_attempt,
    log_rejection,
    log_relayed,
)
from godwitlanding.gateway.chooser import Rejection
from godwitlanding.gateway.contention import Result
from godwitlanding.gateway.crashgossip import format_fingerprint
from godwitlanding.gateway.exchange import select_headers
from godwitlanding.gateway.relay import RelayTarget
from godwitlanding.gateway.relaymessages import RESPONSE_HEADERS, RelayResult
from godwitlanding.gateway.stream import StreamSink

# How often a request is sent, including attempts that an upstream refuses or
# that do not reach it. At-most-once execution does not depend on this limit.
MAX_SENDS = 4
_DROPPED_HEADERS = RESPONSE_HEADERS | {b"content-length"}
# HTTP requires a challenge with status 401.
_BEARER_CHALLENGE = ((b"www-authenticate", b"Bearer"),)


class RequestHandler(Service):
    """Handles requests of callers' connections and responds to each once.

    Its service name and the prefix of its log messages are "carrier".
    """

    name = "carrier"
    needs = (
        "registry",
        "admission",
        "chooser",
        "courier",
        "contention",
        "retrytimes",
        "relay",
    )

    def __init__(self, names, budget, poison, allotments, counters):
        self._names = names
        self._budget = budget
        self._poison = poison
        self._allotments = allotments
        self._counters = counters
        self._tasks = set()
        self._registry = None
        self._admission = None
        self._chooser = None
        self._upstream_client = None
        self._contention = None
        self._retry_times = None
        self._relay = None
        self.get_vm_count = lambda: 1
        self.stop_schedule = StopSchedule()

    async def start(self, kernel):
        """Look up the services that this one uses."""
        self._registry = kernel.get("registry")
        self._admission = kernel.get("admission")
        self._chooser = kernel.get("chooser")
        self._upstream_client = kernel.get("courier")
        self._contention = kernel.get("contention")
        self._retry_times = kernel.get("retrytimes")
        self._relay = kernel.get("relay")

    def get_in_progress(self):
        """Return the number of requests in progress."""
        return len(self._tasks)

    def take(self, exchange):
        """Start to handle a request and return the task that does.

        The request gets a response in any case.
        """
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._handle_safely(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def refuse_unread(self, exchange, code, retry_after_s):
        """Refuse a request before its body has been read."""
        self._refuse_with_retry(exchange, code, retry_after_s)

    async def _handle_safely(self, exchange):
        try:
            await self._handle(exchange)
        except asyncio.CancelledError:
            self._log_done(exchange, "gone", 0)
        except Exception as error:
            # An internal error must not leave the caller without a response.
            # Whether the request was sent is not known here.
            log_message("carrier:failed", level="error", error=repr(error))
            if exchange.answered:
                exchange.abort()
            else:
                self._refuse(exchange, Code.HANDLER_FAILED, 502)

    async def _handle(self, exchange):
        admission_result = self._admission.admit(exchange)
        if admission_result.is_err():
            self._deny(exchange, admission_result.unwrap_err())
            return
        request = admission_result.unwrap()
        charge = Charge(self._allotments, request.workspace)
        now = asyncio.get_running_loop().time()
        denial = self._contention.admit(request, now)
        if denial:
            charge.release(now)
            self._refuse_with_retry(
                exchange, denial.reason, denial.retry_after_s, request
            )
            return
        if request.is_idempotent:
            # When the caller disconnects, no one waits for the response, so
            # the request is cancelled to free the upstream's slot.
            exchange.on_gone = asyncio.current_task().cancel
        try:
            async with asyncio.timeout_at(request.respond_by):
                await self._attempt_until_answered(exchange, request, charge)
        except TimeoutError:
            if exchange.answered:
                exchange.abort()
            else:
                self._note_result(request, Result.LATE)
                self._refuse(exchange, Code.UPSTREAM_TIMEOUT, 504, request)
        finally:
            charge.release(asyncio.get_running_loop().time())

    async def _attempt_until_answered(self, exchange, request, charge):
        loop = asyncio.get_running_loop()
        tried = set()
        runs = 0
        last = rejection = None
        for sends in range(MAX_SENDS):
            now = loop.time()
            if not self._poison.may_send(request.fingerprint, now):
                self._refuse_poison(exchange, request, runs, now)
                return
            if runs >= request.route.max_attempts:
                break
            if sends and not self._admission.is_still_authorized(request):
                self._refuse_revoked_key(exchange, request, runs)
                return
            choice = self._relay.choose_target(request, tried)
            if choice is None:
                choice = self._chooser.choose(request, tried, now)
            if isinstance(choice, Rejection):
                log_rejection(
                    request, choice, self._registry.config, self.get_vm_count()
                )
                rejection = choice
                break
            if not self._may_end(choice, request, now):
                self._refuse_stopping(exchange, request, runs)
                return
            if sends and not self._may_repeat(request, last, now):
                break
            sink = StreamSink(exchange, self._make_headers)
            charge.begin(now)
            self._poison.begin(request.fingerprint)
            try:
                outcome, response = await self._send(
                    choice, exchange, request, tried, sink
                )
            except asyncio.CancelledError:
                charge.note_outcome(Outcome.GIVEN_UP)
                raise
            finally:
                self._poison.end(request.fingerprint)
            charge.note_outcome(outcome)
            last = (outcome, response)
            if outcome is Outcome.ANSWERED:
                is_late = loop.time() > request.target_at
                self._note_result(request, Result.LATE if is_late else Result.IN_TIME)
                self._retry_times.note_completed(request.service, loop.time())
                self._forward(exchange, request, response, sink)
                return
            if outcome is Outcome.REJECTED:
                break
            if outcome is Outcome.UNREACHED:
                await self._relay.settle()
            if outcome in (Outcome.FAILED, Outcome.UNKNOWN):
                runs += 1
                if not request.is_idempotent:
                    break
        if not runs and _is_for_lack_of_slots(last, rejection):
            self._note_result(request, Result.REFUSED)
        self._give_up(exchange, request, last, runs)

    async def _send(self, choice, exchange, request, tried, sink):
        """Make one attempt; return ``(Outcome, Response or None)``.

        What it was sent to is added to ``tried``, unless it may be sent there
        again.
        """
        begun_at = asyncio.get_running_loop().time()
        if isinstance(choice, RelayTarget):
            return await self._send_through(choice, exchange, request, tried, sink)
        upstream = choice.upstream
        tried.add(upstream.id)
        try:
            outcome, response, detail = await self._upstream_client.send(
                exchange, request, choice, sink
            )
        except asyncio.CancelledError:
            # The caller has disconnected or the time limit has passed.
            # Which upstream had the request is known only here.
            self._log_attempt(request, choice, Outcome.GIVEN_UP, None, "", begun_at)
            raise
        now = asyncio.get_running_loop().time()
        self._log_attempt(request, choice, outcome, response, detail, begun_at)
        if outcome is Outcome.NOT_RUN:
            if self._chooser.may_try_again(request.service, upstream, now):
                tried.discard(upstream.id)
        return outcome, response

    async def _send_through(self, target, exchange, request, tried, sink):
        """Make one attempt through another VM, as ``_send``."""
        begun_at = asyncio.get_running_loop().time()
        result = RelayResult(Outcome.GIVEN_UP)
        response = None
        try:
            result, response = await self._relay.send(
                exchange, request, target, tried, sink
            )
        finally:
            took_s = asyncio.get_running_loop().time() - begun_at
            log_relayed(request, target, result, took_s)
        tried.add(result.upstream or target.host)
        return result.outcome, response

    def _note_result(self, request, result):
        now = asyncio.get_running_loop().time()
        self._contention.note_result(request, result, now)

    def _may_repeat(self, request, last, now):
        if last[0] is Outcome.UNREACHED:
            # The request was not sent, so this is no repeat.
            return True
        vms = self.get_vm_count()
        is_allowed = self._budget.take(request.service, vms, now)
        reason = last[0].name
        if is_allowed:
            self._counters.add("retries", reason=reason)
        else:
            self._counters.add("retries_denied", reason=reason)
        log_message(
            "carrier:retry" if is_allowed else "carrier:retry_denied",
            request=request.request_id.decode("latin-1"),
            service=request.service,
            reason=reason,
            vms=vms,
            **self._budget.get_counts(request.service, now)._asdict(),
        )
        return is_allowed

    def _may_end(self, choice, request, now):
        """Return whether an attempt may end before this VM does."""
        schedule = self.stop_schedule
        if not schedule.is_begun:
            return True
        finish_s = self._chooser.get_finish_s(request, choice)
        if schedule.may_accept(request.respond_by, finish_s, now):
            return True
        log_message(
            "carrier:stopping",
            request=request.request_id.decode("latin-1"),
            finish_s=round(finish_s, 3),
            respond_in_s=round(request.respond_by - now, 3),
            end_in_s=round(schedule.end_at - now, 3),
        )
        return False

    def _refuse_stopping(self, exchange, request, runs):
        exchange.connection.close_after_responses()
        self._refuse_after_attempt(
            exchange, request, Code.STOPPING, runs, STOPPING_RETRY_S
        )

    def _refuse_poison(self, exchange, request, runs, now):
        fingerprint = request.fingerprint
        is_stopped = self._poison.is_stopped(fingerprint, now)
        log_message(
            "carrier:poison",
            request=request.request_id.decode("latin-1"),
            fingerprint=format_fingerprint(fingerprint),
            crashes=self._poison.count_crashes(fingerprint, now),
            stopped=is_stopped,
        )
        wait_s = self._poison.get_retry_after_s(fingerprint, now) if is_stopped else 0.0
        self._refuse_after_attempt(exchange, request, Code.POISON_REQUEST, runs, wait_s)

    def _give_up(self, exchange, request, last, runs):
        outcome, response = last or (None, None)
        if outcome is Outcome.FAILED:
            self._forward(exchange, request, response, None)
        elif runs:
            self._refuse(exchange, Code.UPSTREAM_FAILED, 502, request)
        else:
            is_shed = last is not None and outcome is not Outcome.REJECTED
            code = Code.UPSTREAM_SHED if is_shed else Code.DEADLINE_UNREACHABLE
            self._refuse_after_attempt(exchange, request, code, runs)

    def _refuse_revoked_key(self, exchange, request, runs):
        """Refuse a request whose API key was revoked between attempts."""
        if runs:
            self._refuse(exchange, Code.UPSTREAM_FAILED, 502, request)
        else:
            self._refuse(exchange, Code.UNKNOWN_KEY, 401, request, _BEARER_CHALLENGE)

    def _deny(self, exchange, denial):
        extra = _BEARER_CHALLENGE if denial.status == 401 else ()
        if denial.retry_after_s:
            extra = _make_retry_after(denial.retry_after_s)
        self._refuse(exchange, denial.code, denial.status, extra=extra)

    def _refuse_after_attempt(self, exchange, request, code, runs, retry_after_s=0.0):
        if runs:
            self._refuse(exchange, code, 502, request)
            return
        retry_after_s = retry_after_s or self._retry_times.get_retry_after_s(request)
        self._refuse_with_retry(exchange, code, retry_after_s, request)

    def _forward(self, exchange, request, response, sink):
        if response.is_stream:
            sink.on_expired = partial(self._note_expired, request)
            sink.begin(response, request.deadline_at)
            return
        headers = self._make_headers(response)
        exchange.respond(response.status, headers, response.body)
        self._log_done(exchange, "answered", response.status, request)

    def _note_expired(self, request):
        self._counters.add("streams_expired")
        log_message(
            "carrier:stream_expired",
            request=request.request_id.decode("latin-1"),
            service=request.service,
        )

    def _make_headers(self, response):
        return select_headers(response.headers, _DROPPED_HEADERS)

    def _refuse_with_retry(self, exchange, code, retry_after_s, request=None):
        """Refuse a request that has not run, with a Retry-After header."""
        extra = _make_retry_after(retry_after_s)
        self._refuse(exchange, code, 503, request, extra)

    def _refuse(self, exchange, code, status, request=None, extra=()):
        if exchange.gone:
            return
        headers = [
            (b"content-type", b"text/plain"),
            (b"cache-control", b"no-store"),
            *extra,
        ]
        request_id = exchange.get_header(self._names.request_id)
        if request_id:
            headers.append((self._names.request_id, request_id))
        body = f"{code.value} {ROW_BY_CODE[code].title}\n".encode()
        exchange.respond(status, headers, body)
        self._counters.add("requests_refused", code=code.name)
        self._log_done(exchange, code.name, status, request)

    def note_unreadable(self, exchange, status, reason):
        """Count and log a request that could not be parsed."""
        self._counters.add("requests_refused", code=Code.MALFORMED_REQUEST.name)
        log_message("carrier:unreadable", status=status, reason=reason)

    def _log_attempt(self, request, choice, outcome, response, detail, begun_at):
        took_s = asyncio.get_running_loop().time() - begun_at
        status = response.status if response else 0
        end = AttemptEnd(outcome, status, detail, took_s)
        log_attempt(request, choice, end, self._registry.config)

    def _log_done(self, exchange, outcome, status, request=None):
        now = asyncio.get_running_loop().time()
        took_s = now - exchange.begun_at
        self._counters.record("request_seconds", took_s, outcome=outcome)
        log_message(
            "carrier:done",
            request=exchange.get_header(self._names.request_id).decode("latin-1"),
            route=request.route.name if request else "",
            outcome=outcome,
            status=status,
            took_s=round(took_s, 4),
            left_s=round(request.deadline_at - now, 3) if request else 0,
        )


def _is_for_lack_of_slots(last, rejection):
    """Return whether a request that has not run was refused for lack of slots.

    ``last`` is its last attempt, ``rejection`` that of a further one. After
    all upstreams of a small region have shed it, none is left to reject it as
    full.
    """
    if rejection and rejection.reason.startswith("full"):
        return True
    return last is not None and last[0] in (Outcome.NOT_RUN, Outcome.REJECTED)


def _make_retry_after(seconds):
    return ((b"retry-after", b"%.3f" % seconds),)
