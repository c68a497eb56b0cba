"""Runs claimed requests to completion even if the caller disconnects."""

import asyncio
from typing import Protocol

from godwitlanding.base.codes import RUN_NO, Code, make_refusal
from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import Tasks
from godwitlanding.daemons.responsewriter import ResponseRecorder, replay
from godwitlanding.daemons.services.requestexecutor import Guard


class ClaimRecord(Protocol):
    """Stores a claim and its outcome."""

    async def confirm(self):
        """Return ``None`` once the request may be sent, else a refusal."""

    def withdraw(self):
        """Remove the claim of a request that was certainly not run."""

    def finish(self, outcome):
        """Store the outcome; ``None`` if it is unknown."""


class ClaimGuard(Guard):
    """Allows dispatch only after the claim has been recorded.

    ``is_confirmed`` is true once bytes may have been sent to an upstream.
    """

    def __init__(self, record, confirm_timeout_s):
        self.is_confirmed = False
        self._record = record
        self._confirm_timeout_s = confirm_timeout_s

    async def confirm(self):
        """Wait for the record, at most as long as a slot may stay idle."""
        try:
            async with asyncio.timeout(self._confirm_timeout_s):
                refusal = await self._record.confirm()
        except TimeoutError:
            refusal = make_refusal(Code.JOURNAL_UNAVAILABLE, 1.0)
        self.is_confirmed = self.is_confirmed or refusal is None
        return refusal


class ClaimRunner(Service):
    """Executes claimed requests in tasks that outlive the connection."""

    name = "once"
    needs = ("carrier",)

    def __init__(self, context):
        self._counters = context.counters
        self._confirm_timeout_s = context.settings["permit_start_s"]
        self._tasks = Tasks()
        self._running = set()

    async def start(self, kernel):
        """Look up the request executor."""
        self._executor = kernel.get("carrier")

    async def stop(self):
        """Wait for the running requests; each ends by its deadline."""
        if self._running:
            await asyncio.wait(self._running)

    def get_status(self):
        """Return the number of running requests."""
        return {"running": len(self._running)}

    async def run(self, request, response_writer, record):
        """Run a new claim; return the ``Refusal``, or ``None``.

        If the caller disconnects before the request may have been sent, the
        request is cancelled. Afterwards it runs on, so that its outcome is
        known when the caller submits it again.
        """
        guard = ClaimGuard(record, self._confirm_timeout_s)
        recorder = ResponseRecorder(response_writer)
        task = self._tasks.run(self._execute(request, recorder, guard, record))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        try:
            refusal = await asyncio.shield(task)
        except asyncio.CancelledError:
            if not guard.is_confirmed:
                task.cancel()
            raise
        if refusal is None:
            await recorder.deliver()
        return refusal

    async def _execute(self, request, recorder, guard, record):
        refusal = None
        is_known = False
        try:
            refusal = await self._executor.execute(request, recorder, guard)
            is_known = refusal is None or refusal.run == RUN_NO
        finally:
            if not guard.is_confirmed or (is_known and refusal):
                record.withdraw()
            else:
                record.finish(recorder.make_outcome() if is_known else None)
        if refusal and not guard.is_confirmed:
            return refusal._replace(run=RUN_NO)
        return refusal


async def replay_response(submitted, response_writer):
    """Send the stored response of a finished claim again.

    Returns a ``Refusal`` if the response body was not stored, else ``None``.
    """
    if submitted.body is None:
        detail = f"the upstream answered {submitted.status}"
        return make_refusal(Code.ANSWER_NOT_KEPT, detail=detail)
    await replay(submitted, response_writer)
    return None
