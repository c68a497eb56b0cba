"""Acquires permits from the arbiters of the zone and releases them."""

import asyncio

from result import Err

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.kernel import Service
from godwitlanding.base.messages import (
    OUTCOME_UNUSED,
    Acquire,
    Granted,
    PassOn,
    Refused,
    Release,
    Withdraw,
)
from godwitlanding.base.tasks import Tasks
from godwitlanding.daemons.holdings import HeldPermits, Spill
from godwitlanding.daemons.view import MEMBERS_KIND

# Pause before asking all arbiters again: the replacement of an arbiter has to
# collect the open permits first.
NO_ARBITER_WAIT_S = 0.1
RELEASE_FLUSH_S = 1.0
_RETRY_CODES = (
    Code.PEER_UNREACHABLE,
    Code.CALL_TIMEOUT,
    Code.NO_ARBITER,
    Code.STALE_ARBITER,
    Code.NOT_READY,
    Code.STOPPING,
    Code.HANDLER_FAILED,
    Code.UNEXPECTED_MESSAGE,
)


class PermitClient(Service):
    """Acquires a permit for each request from the zone's arbiter."""

    name = "permits"
    needs = ("feed",)

    def __init__(self, context):
        self.held_permits = HeldPermits(context.settings["permit_start_s"])
        self._context = context
        self._counters = context.counters
        self._port = context.settings["zone_port"]
        self._calls_by_vm = {}
        # Within this time another member replaces a failed arbiter. Waiting
        # longer than that would only delay the refusal.
        self._failover_s = (
            context.settings["member_timeout_s"] + context.settings["loan_s"]
        )
        self._is_stopped = False
        self._tasks = Tasks()

    async def start(self, kernel):
        """Look up the feed, whose connections are shared."""
        self._feed = kernel.get("feed")
        self._context.replica.listen(self._apply_state)

    async def stop(self):
        """Send the pending releases, within a time limit."""
        self._is_stopped = True
        await self._tasks.wait(RELEASE_FLUSH_S)
        await self._tasks.stop()

    def get_status(self):
        """Return the number of open permits."""
        return {"open": len(self.held_permits)}

    async def acquire(self, request, excluded=(), attempt=0, may_pass_on=True):
        """Return a ``Permit``, a ``Spill`` or a ``Refusal``.

        ``attempt`` distinguishes the acquires of one request.
        """
        loop = asyncio.get_running_loop()
        tried = set()
        give_up_deadline = loop.time() + self._failover_s
        while True:
            requested_at = loop.time()
            remaining_s = request.deadline - requested_at
            if remaining_s <= 0:
                return make_refusal(Code.DEADLINE_UNREACHABLE, 1.0)
            vm = self._choose_arbiter(request.service.name, tried)
            if vm is None:
                is_late = remaining_s <= request.service.work_s + NO_ARBITER_WAIT_S
                if is_late or requested_at >= give_up_deadline:
                    return make_refusal(Code.NO_ARBITER, 1.0)
                tried.clear()
                await asyncio.sleep(NO_ARBITER_WAIT_S)
                continue
            message = Acquire(
                request.service.name,
                f"{request.id}-{attempt}",
                request.caller,
                request.service.priority,
                remaining_s,
                request.fingerprint,
                tuple(excluded),
                request.from_zone,
                attempt,
                may_pass_on,
            )
            answer = await self._send_acquire(vm, message, remaining_s)
            final_answer = self._handle_answer(answer, message, vm, requested_at)
            if final_answer is not None:
                return final_answer
            tried.add(vm)

    def answer_holdings(self, holdings):
        """Return the open permits that a new arbiter requests."""
        return self.held_permits.answer(holdings, asyncio.get_running_loop().time())

    def release(self, permit, outcome, took_s=0.0, fingerprint=0):
        """Release a permit and report the request's outcome."""
        self.held_permits.end(permit)
        self._send(
            permit.arbiter_address,
            Release(
                permit.permit_id,
                permit.upstream,
                permit.arbiter,
                outcome,
                took_s,
                fingerprint,
            ),
        )

    def end_spill(self, spill):
        """Notify the arbiter that a forwarded request has ended."""
        self._send(spill.arbiter_address, Withdraw(spill.service, spill.ask_id))

    def _choose_arbiter(self, service, tried):
        for vm in self._get_arbiters(service):
            if vm not in tried and self._feed.view.get_address(vm):
                return vm
        return None

    def _get_address(self, vm):
        return f"{self._feed.view.get_address(vm)}:{self._port}"

    async def _send_acquire(self, vm, message, timeout_s):
        address = self._get_address(vm)
        connected = await self._feed.pool.get_channel(address)
        if connected.is_err():
            return connected
        call = connected.unwrap().start_call(message, timeout_s)
        calls = self._calls_by_vm.setdefault(vm, {})
        calls[call] = (message, self._is_arbiter(vm, message.service))
        try:
            return await asyncio.shield(call)
        except asyncio.CancelledError:
            # The caller has disconnected. A grant that is already on its way
            # is released, or its slot would stay idle until it expires.
            self._send(address, Withdraw(message.service, message.request_id))
            call.add_done_callback(lambda call: self._return_grant(call, address))
            raise
        finally:
            del calls[call]

    def _handle_answer(self, answer, acquire_message, vm, requested_at):
        """Return the result of an acquire, ``None`` to ask another arbiter."""
        if answer.is_err():
            refusal = answer.unwrap_err()
            if refusal.code not in _RETRY_CODES:
                return refusal
            self._counters.add("arbiter_asked_again", reason=refusal.code.name)
            return None
        message = answer.unwrap()
        if isinstance(message, Granted):
            return self._handle_granted(message, vm, requested_at)
        if isinstance(message, Refused):
            return make_refusal(
                Code(message.code), message.retry_after_s, message.detail
            )
        if isinstance(message, PassOn):
            return Spill(
                message.availability_zone,
                requested_at + message.valid_s,
                self._get_address(vm),
                acquire_message.service,
                acquire_message.request_id,
            )
        return make_refusal(Code.UNEXPECTED_MESSAGE)

    def _handle_granted(self, granted, vm, requested_at):
        now = asyncio.get_running_loop().time()
        address = self._get_address(vm)
        accepted = self.held_permits.accept(granted, requested_at, address, now)
        if accepted.is_ok():
            if granted.waited_s > 0:
                self._counters.add("requests_waited")
            return accepted.unwrap()
        self._counters.add("permits_returned", reason=accepted.unwrap_err())
        self._release_unused(granted, address)
        return None

    def _release_unused(self, granted, address):
        self._send(
            address,
            Release(
                granted.permit_id, granted.upstream, granted.arbiter, OUTCOME_UNUSED
            ),
        )

    def _return_grant(self, call, address):
        answer = call.result().ok()
        if isinstance(answer, Granted):
            self._counters.add("permits_returned", reason="caller_gone")
            self._release_unused(answer, address)

    def _send(self, address, message):
        # A request that is cancelled when the process ends has no event loop
        # to send its release on. The arbiter frees the slot at its deadline.
        if self._is_stopped:
            return
        channel = self._feed.pool.find_open_channel(address)
        if channel:
            channel.send(message)
        else:
            self._tasks.run(self._feed.pool.send(address, message))

    def _apply_state(self, state):
        """Move waiting requests on when their arbiter has been replaced.

        A paused arbiter keeps its connections open but sends no responses.
        Its requests would wait until their deadlines although another
        member has already replaced it.
        """
        if state.kind != MEMBERS_KIND:
            return
        for vm, calls in self._calls_by_vm.items():
            for call, (message, was_arbiter) in list(calls.items()):
                if was_arbiter and not self._is_arbiter(vm, message.service):
                    self._abandon_call(vm, call, message)

    def _abandon_call(self, vm, call, message):
        if not call.done():
            call.set_result(Err(make_refusal(Code.STALE_ARBITER)))
        withdraw = Withdraw(message.service, message.request_id)
        self._send(self._get_address(vm), withdraw)

    def _is_arbiter(self, vm, service):
        return vm in self._get_arbiters(service)[:1]

    def _get_arbiters(self, service):
        return self._feed.view.get_zone().arbiters_by_service.get(service, ())
