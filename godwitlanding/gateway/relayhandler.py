"""Makes attempts for requests that other VMs relay through this one.

Each is a single attempt at an upstream; its outcome goes back in a header,
and the VM that relays decides what follows.
"""

import asyncio

from eliot import log_message

from godwitlanding.base.codes import Code
from godwitlanding.base.kernel import Service
from godwitlanding.decisions.stopschedule import StopSchedule
from godwitlanding.gateway.attempt import Outcome
from godwitlanding.gateway.chooser import Rejection
from godwitlanding.gateway.exchange import select_headers
from godwitlanding.gateway.front import Front
from godwitlanding.gateway.relaymessages import (
    MAX_ADDED_BYTES,
    RelayResult,
    make_result_headers,
    read_fields,
)
from godwitlanding.gateway.stream import StreamSink

# Requests of other VMs that are in progress here at once. It is about what a
# VM can carry beside its own callers when most of a region is cut off.
MAX_IN_PROGRESS = 128
_DROPPED_HEADERS = frozenset((b"content-length",))


class RelayHandler(Service):
    """Handles requests that were admitted by VMs that are cut off."""

    name = "relayhandler"
    needs = ("admission", "chooser", "courier", "reach")

    def __init__(self, names, poison, counters):
        self._names = names
        self._poison = poison
        self._counters = counters
        self._tasks = set()
        self._admission = None
        self._chooser = None
        self._upstream_client = None
        self._reach = None
        self.stop_schedule = StopSchedule()

    async def start(self, kernel):
        """Look up the services that this one uses."""
        self._admission = kernel.get("admission")
        self._chooser = kernel.get("chooser")
        self._upstream_client = kernel.get("courier")
        self._reach = kernel.get("reach")

    def get_in_progress(self):
        """Return the number of requests in progress."""
        return len(self._tasks)

    def take(self, exchange):
        """Start to handle a request and return the task that does."""
        task = asyncio.get_running_loop().create_task(self._handle_safely(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def refuse_unread(self, exchange, code, retry_after_s):
        """Refuse a request whose body has no room here."""
        self._respond(exchange, RelayResult(Outcome.UNREACHED, code.name))

    def note_unreadable(self, exchange, status, reason):
        """Log a request that could not be parsed."""
        log_message("relay:unreadable", status=status, reason=reason)

    async def _handle_safely(self, exchange):
        try:
            await self._handle(exchange)
        except asyncio.CancelledError:
            pass
        except Exception as error:
            # Whether the request was sent is not known here.
            log_message("relay:failed", level="error", error=repr(error))
            if exchange.answered:
                exchange.abort()
            else:
                self._respond(exchange, RelayResult(Outcome.UNKNOWN, "failed"))

    async def _handle(self, exchange):
        try:
            fields = read_fields(exchange)
        except ValueError as error:
            log_message("relay:unreadable", status=0, reason=str(error))
            self._respond(exchange, RelayResult(Outcome.REJECTED, "unreadable"))
            return
        if len(self._tasks) > MAX_IN_PROGRESS:
            self._respond(exchange, RelayResult(Outcome.UNREACHED, "no room"))
            return
        admission_result = self._admission.admit_relayed(exchange, fields)
        if admission_result.is_err():
            code = admission_result.unwrap_err().code
            self._respond(exchange, RelayResult(Outcome.REJECTED, code.name))
            return
        request = admission_result.unwrap()
        if request.is_idempotent:
            # The relaying VM closes the connection when its caller leaves.
            exchange.on_gone = asyncio.current_task().cancel
        try:
            async with asyncio.timeout_at(request.respond_by):
                await self._attempt(exchange, request, fields)
        except TimeoutError:
            if exchange.answered:
                exchange.abort()
            else:
                self._respond(exchange, RelayResult(Outcome.UNKNOWN, "timeout"))

    async def _attempt(self, exchange, request, fields):
        now = asyncio.get_running_loop().time()
        if not self._poison.may_send(request.fingerprint, now):
            self._respond(exchange, RelayResult(Outcome.REJECTED, "stopped"))
            return
        choice = self._chooser.choose(request, set(fields.tried), now)
        if isinstance(choice, Rejection):
            # This VM may just have been cut off itself, which says nothing of
            # the service; the request may go to yet another VM.
            await self._reach.settle()
            is_cut_off = self._reach.is_cut_off()
            outcome = Outcome.UNREACHED if is_cut_off else Outcome.REJECTED
            self._respond(exchange, RelayResult(outcome, choice.reason))
            return
        finish_s = self._chooser.get_finish_s(request, choice)
        if not self.stop_schedule.may_accept(request.respond_by, finish_s, now):
            self._respond(exchange, RelayResult(Outcome.UNREACHED, Code.STOPPING.name))
            return
        result = RelayResult(Outcome.GIVEN_UP, "", choice.upstream.id)
        sink = StreamSink(
            exchange, lambda response: self._make_headers(response, result)
        )
        self._poison.begin(request.fingerprint)
        try:
            outcome, response, detail = await self._upstream_client.send(
                exchange, request, choice, sink
            )
            result = result._replace(outcome=outcome, detail=detail)
        finally:
            self._poison.end(request.fingerprint)
            self._log(request, result)
        if response is None:
            self._respond(exchange, result)
        elif response.is_stream:
            sink.begin(response, request.deadline_at)
        else:
            headers = self._make_headers(response, result)
            exchange.respond(response.status, headers, response.body)

    def _make_headers(self, response, result):
        headers = select_headers(response.headers, _DROPPED_HEADERS)
        return headers + make_result_headers(result)

    def _respond(self, exchange, result):
        """Respond without a response of an upstream."""
        if exchange.gone:
            return
        request_id = exchange.get_header(self._names.request_id)
        headers = [(self._names.request_id, request_id), *make_result_headers(result)]
        exchange.respond(503, headers, b"")
        self._counters.add("relayed_unserved", outcome=result.outcome.name)

    def _log(self, request, result):
        log_message(
            "relay:attempt",
            request=request.request_id.decode("latin-1"),
            service=request.service,
            upstream=result.upstream,
            outcome=result.outcome.value,
            detail=result.detail,
            in_progress=len(self._tasks),
        )


class RelayListener(Front):
    """The listening socket for requests that other VMs relay."""

    name = "relaylistener"
    needs = ("relayhandler", "peers", "registry")
    handler_name = "relayhandler"

    async def stop(self):
        """Stop listening and wait for the requests in progress.

        The front has begun the schedule, and other VMs know since then that
        this one is leaving.
        """
        self.close_after_response = True
        await self._finish()

    def _apply_limits(self, config):
        super()._apply_limits(config)
        max_header_bytes = self.limits.max_header_bytes + MAX_ADDED_BYTES
        self.limits = self.limits._replace(max_header_bytes=max_header_bytes)
