"""The way of one request: route, upstream, attempts, one final answer."""

import asyncio
import random

from eliot import log_message

from godwitlanding.base.codes import ROW_BY_CODE, Code
from godwitlanding.base.kernel import Service
from godwitlanding.decisions.retryafter import get_retry_after_s
from godwitlanding.gateway.attempt import Charge, Outcome
from godwitlanding.gateway.chooser import Rejection
from godwitlanding.gateway.exchange import select_headers
from godwitlanding.gateway.stream import StreamSink

# Upstreams that refuse or cannot be reached are passed over this often; the
# promise of at most one run does not hang on it.
MAX_SENDS = 4
_DROPPED = frozenset((b"content-length",))
# With a refusal for want of a key HTTP asks for the scheme.
_ASK_FOR_KEY = ((b"www-authenticate", b"Bearer"),)


class RequestHandler(Service):
    """Takes requests from callers' connections and answers each once."""

    name = "carrier"
    needs = ("registry", "admission", "chooser", "courier")

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
        self._courier = None
        self.get_vm_count = lambda: 1

    async def start(self, kernel):
        """Learn where the other services are."""
        self._registry = kernel.get("registry")
        self._admission = kernel.get("admission")
        self._chooser = kernel.get("chooser")
        self._courier = kernel.get("courier")

    def get_in_progress(self):
        """Return the number of requests without an answer."""
        return len(self._tasks)

    def take(self, exchange):
        """Begin the work of a request; it is answered in any case."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._carry_safely(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry_safely(self, exchange):
        try:
            await self._carry(exchange)
        except asyncio.CancelledError:
            self._note(exchange, "gone", 0)
        except Exception as error:
            # An error of ours must not leave the caller without an answer.
            # Whether it was sent is not known here.
            log_message("carrier:failed", level="error", error=repr(error))
            if exchange.answered:
                exchange.break_off()
            else:
                self._refuse(exchange, Code.HANDLER_FAILED, 502)

    async def _carry(self, exchange):
        admitted = self._admission.admit(exchange)
        if admitted.is_err():
            self._deny(exchange, admitted.unwrap_err())
            return
        work = admitted.unwrap()
        charge = Charge(self._allotments, work.workspace)
        if work.is_idempotent:
            # Nobody waits for the answer, so the slot is for somebody else.
            exchange.on_gone = asyncio.current_task().cancel
        try:
            async with asyncio.timeout_at(work.answer_by):
                await self._attempt_until_answered(exchange, work, charge)
        except TimeoutError:
            if exchange.answered:
                exchange.break_off()
            else:
                self._refuse(exchange, Code.UPSTREAM_TIMEOUT, 504, work)
        finally:
            charge.release(asyncio.get_running_loop().time())

    async def _attempt_until_answered(self, exchange, work, charge):
        loop = asyncio.get_running_loop()
        tried = set()
        runs = 0
        last = None
        for sends in range(MAX_SENDS):
            now = loop.time()
            if self._is_poison(work, now):
                self._refuse_after(exchange, work, Code.POISON_REQUEST, last)
                return
            if runs >= work.route.max_attempts:
                break
            if sends and not self._admission.still_holds(work):
                self._refuse_key(exchange, work, runs)
                return
            choice = self._chooser.choose(work, tried, now)
            if isinstance(choice, Rejection):
                self._note_rejection(work, choice)
                break
            if sends and not self._may_repeat(work, last, now):
                break
            tried.add(choice.upstream.id)
            sink = StreamSink(exchange, self._make_headers)
            charge.begin(now)
            try:
                outcome, answer, detail = await self._courier.send(
                    exchange, work, choice, sink
                )
            except asyncio.CancelledError:
                # The caller has left or the time is over; which upstream had
                # the request is known only here.
                charge.note_outcome(Outcome.GIVEN_UP)
                took_s = loop.time() - now
                self._note_attempt(work, choice, Outcome.GIVEN_UP, None, "", took_s)
                raise
            took_s = loop.time() - now
            self._note_attempt(work, choice, outcome, answer, detail, took_s)
            charge.note_outcome(outcome)
            last = (outcome, answer)
            if outcome is Outcome.ANSWERED:
                self._pass_on(exchange, work, answer, sink)
                return
            if outcome is Outcome.NOT_RUN:
                now = loop.time()
                if self._chooser.may_try_again(work.service, choice.upstream, now):
                    tried.discard(choice.upstream.id)
            if outcome in (Outcome.FAILED, Outcome.UNKNOWN):
                runs += 1
                if not work.is_idempotent:
                    break
        self._give_up(exchange, work, last, runs)

    def _may_repeat(self, work, last, now):
        if last[0] is Outcome.UNREACHED:
            # Nothing arrived, so nothing is repeated.
            return True
        if self._budget.take(work.service, self.get_vm_count(), now):
            self._counters.add("retries", reason=last[0].name)
            return True
        self._counters.add("retries_denied", reason=last[0].name)
        log_message(
            "carrier:retry_denied",
            request=work.request_id.decode("latin-1"),
            service=work.service,
            reason=last[0].name,
            vms=self.get_vm_count(),
        )
        return False

    def _is_poison(self, work, now):
        return self._poison.is_stopped(work.fingerprint, now)

    def _give_up(self, exchange, work, last, runs):
        outcome, answer = last or (None, None)
        if outcome is Outcome.FAILED:
            self._pass_on(exchange, work, answer, None)
        elif runs:
            self._refuse(exchange, Code.UPSTREAM_FAILED, 502, work)
        else:
            code = Code.DEADLINE_UNREACHABLE if last is None else Code.UPSTREAM_SHED
            self._refuse_after(exchange, work, code, last)

    def _refuse_key(self, exchange, work, runs):
        """The key was taken away while the request was on its way."""
        if runs:
            self._refuse(exchange, Code.UPSTREAM_FAILED, 502, work)
        else:
            self._refuse(exchange, Code.UNKNOWN_KEY, 401, work, _ASK_FOR_KEY)

    def _deny(self, exchange, denial):
        extra = _ASK_FOR_KEY if denial.status == 401 else ()
        if denial.retry_after_s:
            extra = _make_retry_after(denial.retry_after_s)
        self._refuse(exchange, denial.code, denial.status, extra=extra)

    def _refuse_after(self, exchange, work, code, last):
        if last and last[0] in (Outcome.FAILED, Outcome.UNKNOWN):
            self._refuse(exchange, code, 502, work)
            return
        now = asyncio.get_running_loop().time()
        turnover_s = self._chooser.get_turnover_s(work, now)
        left_s = work.deadline_at - now
        retry_after_s = get_retry_after_s(left_s, turnover_s, random.random())
        self._refuse_later(exchange, code, retry_after_s, work)

    def _pass_on(self, exchange, work, answer, sink):
        if answer.is_stream:
            sink.begin(answer)
            return
        headers = self._make_headers(answer)
        exchange.answer(answer.status, headers, answer.body)
        self._note(exchange, "answered", answer.status, work)

    def _make_headers(self, answer):
        return select_headers(answer.headers, _DROPPED)

    def _refuse_later(self, exchange, code, retry_after_s, work=None):
        """Refuse what has not run, with when to come back."""
        extra = _make_retry_after(retry_after_s)
        self._refuse(exchange, code, 503, work, extra)

    def _refuse(self, exchange, code, status, work=None, extra=()):
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
        exchange.answer(status, headers, body)
        self._counters.add("requests_refused", code=code.name)
        self._note(exchange, code.name, status, work)

    def note_unreadable(self, exchange, status, reason):
        """A connection could not go on reading."""
        self._counters.add("requests_refused", code=Code.MALFORMED_REQUEST.name)
        log_message("carrier:unreadable", status=status, reason=reason)

    def _note_rejection(self, work, rejection):
        fields = {}
        if rejection.placement:
            candidate = rejection.placement.candidate
            fields = {
                "best": candidate.upstream,
                "expected_s": round(rejection.placement.finish_s, 3),
                "wait_s": round(rejection.placement.wait_s, 3),
                "occupied": round(candidate.occupied, 2),
                "slots": candidate.slots,
                "failure_share": round(candidate.failure_share, 2),
            }
        log_message(
            "carrier:rejected",
            request=work.request_id.decode("latin-1"),
            service=work.service,
            workspace=work.workspace_name,
            key=work.key,
            reason=rejection.reason,
            to_target_s=round(rejection.to_target_s, 3),
            came_back=work.came_back,
            config=self._registry.config.version,
            vms=self.get_vm_count(),
            **fields,
        )

    def _note_attempt(self, work, choice, outcome, answer, detail, took_s):
        log_message(
            "carrier:attempt",
            request=work.request_id.decode("latin-1"),
            upstream=choice.upstream.id,
            service=work.service,
            expected_s=round(choice.finish_s, 3),
            wait_s=round(choice.wait_s, 3),
            occupied=round(choice.occupied, 2),
            report_age_s=_round(choice.report_age_s),
            why=choice.why.value,
            warmth=choice.warmth.value,
            depth=choice.depth,
            config=self._registry.config.version,
            key=work.key,
            workspace=work.workspace_name,
            took_s=round(took_s, 4),
            outcome=outcome.value,
            status=answer.status if answer else 0,
            detail=detail,
        )

    def _note(self, exchange, outcome, status, work=None):
        now = asyncio.get_running_loop().time()
        took_s = now - exchange.begun_at
        self._counters.record("request_seconds", took_s, outcome=outcome)
        log_message(
            "carrier:done",
            request=exchange.get_header(self._names.request_id).decode("latin-1"),
            route=work.route.name if work else "",
            outcome=outcome,
            status=status,
            took_s=round(took_s, 4),
            left_s=round(work.deadline_at - now, 3) if work else 0,
        )


def _make_retry_after(seconds):
    return ((b"retry-after", b"%.3f" % seconds),)


def _round(seconds):
    return None if seconds is None else round(seconds, 3)
