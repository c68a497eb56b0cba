"""Runs claimed work to its end, whoever leaves meanwhile."""

import asyncio
from typing import Protocol

from godwitlanding.base.codes import RUN_NO, Code, make_refusal
from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import Tasks
from godwitlanding.daemons.responsewriter import ResponseRecorder, replay
from godwitlanding.daemons.services.requestexecutor import Guard


class ClaimRecord(Protocol):
    """Where a claim and its outcome are kept."""

    async def confirm(self):
        """Return ``None`` once the work may be sent, else a refusal."""

    def withdraw(self):
        """The work was certainly not run."""

    def finish(self, outcome):
        """Keep the outcome; ``None`` where it is not known."""


class ClaimGuard(Guard):
    """Lets work be dispatched only once its claim is recorded.

    ``is_confirmed`` tells that bytes may have gone to an upstream.
    """

    def __init__(self, record, confirm_timeout_s):
        self.is_confirmed = False
        self._record = record
        self._confirm_timeout_s = confirm_timeout_s

    async def confirm(self):
        """Wait for the record, for no longer than a slot may idle."""
        try:
            async with asyncio.timeout(self._confirm_timeout_s):
                refusal = await self._record.confirm()
        except TimeoutError:
            refusal = make_refusal(Code.JOURNAL_UNAVAILABLE, 1.0)
        self.is_confirmed = self.is_confirmed or refusal is None
        return refusal


class ClaimRunner(Service):
    """Carries claimed work in tasks that outlive their callers."""

    name = "once"
    needs = ("carrier",)

    def __init__(self, context):
        self._counters = context.counters
        self._confirm_timeout_s = context.settings["permit_start_s"]
        self._tasks = Tasks()
        self._running = set()

    async def start(self, kernel):
        """Find the carrier."""
        self._carrier = kernel.get("carrier")

    async def stop(self):
        """Wait for the work in progress, each bounded by its deadline."""
        if self._running:
            await asyncio.wait(self._running)

    def get_status(self):
        """Return the number of pieces of work in progress."""
        return {"running": len(self._running)}

    async def run(self, request, sink, record):
        """Run a new claim; return the ``Refusal`` to give, if any.

        A caller that leaves before the work may have been sent takes it
        along; later the work goes on, so that its outcome is known when
        the caller presses again.
        """
        guard = ClaimGuard(record, self._confirm_timeout_s)
        recorder = ResponseRecorder(sink)
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
            refusal = await self._carrier.execute(request, recorder, guard)
            is_known = refusal is None or refusal.run == RUN_NO
        finally:
            if not guard.is_confirmed or (is_known and refusal):
                record.withdraw()
            else:
                record.finish(recorder.make_outcome() if is_known else None)
        if refusal and not guard.is_confirmed:
            return refusal._replace(run=RUN_NO)
        return refusal


async def replay_response(submitted, sink):
    """Answer a press whose work is done; return the ``Refusal``, if any."""
    if submitted.body is None:
        detail = f"the upstream answered {submitted.status}"
        return make_refusal(Code.ANSWER_NOT_KEPT, detail=detail)
    await replay(submitted, sink)
    return None
