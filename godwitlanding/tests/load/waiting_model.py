"""Models a waiting room on each VM, to compare it with refusing at once.

A request that no upstream can take now waits for at most one turnover of its
service, as long as it can still be in time. The order is by priority, then
fair by caller. ``WaitingHandler`` replaces the request handler of a VM of the
model; see ``docs/design/returns.rst`` for why the product has no waiting room.
"""

import asyncio
from typing import NamedTuple

from godwitlanding.decisions.queue import RequestQueue
from godwitlanding.gateway.chooser import Rejection
from godwitlanding.gateway.requesthandler import RequestHandler

WAKE_INTERVAL_S = 0.02
MIN_WAITING = 8


class _Ask(NamedTuple):
    """A waiting request as ``RequestQueue`` orders it."""

    priority: int
    caller: str
    request_id: bytes
    request: object
    choice: asyncio.Future


class _PreparedChooser:
    """Returns the choice made after the wait, then chooses as usual."""

    def __init__(self, chooser):
        self._chooser = chooser
        self._choice_by_id = {}

    def __getattr__(self, name):
        return getattr(self._chooser, name)

    def prepare(self, request, choice):
        self._choice_by_id[request.request_id] = choice

    def choose(self, request, tried, now):
        prepared = self._choice_by_id.pop(request.request_id, None)
        return prepared or self._chooser.choose(request, tried, now)

    def choose_again(self, request, now):
        """Choose without counting a further rejection in the moving shares."""
        shares = (
            self._chooser._overflow_share_by_service,
            self._chooser._new_home_share_by_service,
        )
        former = [share.get(request.service, 0.0) for share in shares]
        choice = self._chooser.choose(request, set(), now)
        if isinstance(choice, Rejection):
            for share, value in zip(shares, former, strict=True):
                share[request.service] = value
        return choice


class WaitingHandler(RequestHandler):
    """A request handler with a waiting room.

    ``max_turnovers`` is the longest wait as a multiple of the turnover. With
    ``only_in_time`` a request leaves the room only to an upstream where it is
    expected to be in time. ``counts`` collects what became of the requests
    that waited.
    """

    max_turnovers = 1.0
    only_in_time = False
    max_waiting = MIN_WAITING
    counts = None

    async def start(self, kernel):
        await super().start(kernel)
        self._chooser = _PreparedChooser(self._chooser)
        self._queue = RequestQueue()
        self._waker = None

    async def _attempt_until_answered(self, exchange, request, charge):
        now = _now()
        choice = self._chooser.choose(request, set(), now)
        if isinstance(choice, Rejection) and choice.reason == "full":
            choice = await self._wait(request, choice, now) or choice
        self._chooser.prepare(request, choice)
        try:
            await super()._attempt_until_answered(exchange, request, charge)
        finally:
            self._place_waiting()

    async def _wait(self, request, rejection, now):
        turnover_s = self._chooser.get_turnover_s(request, now)
        start_by = min(
            now + self.max_turnovers * turnover_s, request.target_at - turnover_s
        )
        if start_by <= now or len(self._queue) >= self.max_waiting:
            return None
        ask = _Ask(
            request.route.priority,
            request.workspace_name,
            request.request_id,
            request,
            asyncio.get_running_loop().create_future(),
        )
        self._queue.add(ask, now, start_by)
        if self._waker is None:
            self._waker = asyncio.get_running_loop().call_later(
                WAKE_INTERVAL_S, self._wake
            )
        try:
            async with asyncio.timeout_at(start_by):
                choice = await ask.choice
        except TimeoutError:
            choice = None
        finally:
            queued = self._queue.remove(request.request_id)
            if queued:
                self._queue.note_refused(queued)
        if self.counts is not None:
            self.counts["waited: placed" if choice else "waited: refused"] += 1
        return choice

    def _wake(self):
        self._waker = None
        self._place_waiting()
        if len(self._queue):
            self._waker = asyncio.get_running_loop().call_later(
                WAKE_INTERVAL_S, self._wake
            )

    def _place_waiting(self):
        skipped = []
        while queued := self._queue.get_first():
            self._queue.remove(queued.ask.request_id)
            request = queued.ask.request
            if self.only_in_time:
                request = request._replace(respond_by=request.target_at)
            choice = self._chooser.choose_again(request, _now())
            if isinstance(choice, Rejection) or queued.ask.choice.done():
                skipped.append(queued)
            else:
                self._queue.note_served(queued)
                queued.ask.choice.set_result(choice)
        for queued in skipped:
            self._queue.put_back(queued)


def _now():
    return asyncio.get_running_loop().time()
