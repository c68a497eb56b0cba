"""Tests of the final response after several attempts."""

import asyncio
from types import SimpleNamespace

import pytest

from godwitlanding.base.metrics import Counters
from godwitlanding.decisions.poison import STOP_S, PoisonLedger
from godwitlanding.decisions.retrybudget import RetryCounts
from godwitlanding.gateway.attempt import Outcome
from godwitlanding.gateway.chooser import Choice, ChoiceReason, Rejection
from godwitlanding.gateway.contention import Result
from godwitlanding.gateway.exchange import Exchange
from godwitlanding.gateway.requesthandler import RequestHandler
from godwitlanding.platform.headers import HEADER_NAMES
from godwitlanding.tests.gateway.test_chooser import make_request, make_route

pytestmark = pytest.mark.looptime


WORK_S = 0.3


class Setting:
    """A request handler whose attempts end with the given outcomes.

    After the last of them, the request's fingerprint is stopped, or the
    chooser rejects the request for ``reason``.
    """

    def __init__(self, outcomes, reason=None, poison=None):
        self.outcomes = list(outcomes)
        self.reason = reason
        self.results = []
        self.running = self.most_running = 0
        budget = SimpleNamespace(
            take=lambda *arguments: True,
            get_counts=lambda *arguments: RetryCounts(0, 0.0),
        )
        poison = poison or SimpleNamespace(
            is_stopped=lambda *row: True,
            may_send=lambda *row: bool(reason or self.outcomes),
            count_crashes=lambda *row: 2,
            get_retry_after_s=lambda *row: 0.0,
            begin=lambda fingerprint: None,
            end=lambda fingerprint: None,
        )
        self.handler = RequestHandler(HEADER_NAMES, budget, poison, None, Counters())
        service_by_name = {
            "registry": SimpleNamespace(config=SimpleNamespace(version=1)),
            "admission": SimpleNamespace(is_still_authorized=lambda request: True),
            "chooser": SimpleNamespace(
                choose=self.choose, may_try_again=lambda *arguments: False
            ),
            "courier": SimpleNamespace(send=self.send),
            "contention": SimpleNamespace(
                note_result=lambda request, result, now: self.results.append(result)
            ),
            "retrytimes": SimpleNamespace(get_retry_after_s=lambda request: 0.3),
            "relay": SimpleNamespace(
                choose_target=lambda request, tried: None, settle=self.settle
            ),
        }
        self.kernel = SimpleNamespace(get=service_by_name.__getitem__)

    async def attempt(self):
        """Handle a request and return its exchange."""
        await self.handler.start(self.kernel)
        connection = SimpleNamespace(
            must_close_after=lambda exchange: False, flush=lambda: None
        )
        exchange = Exchange(connection, asyncio.get_running_loop().time())
        request = make_request(route=make_route()._replace(max_attempts=3))
        charge = SimpleNamespace(
            begin=lambda now: None, note_outcome=lambda outcome: None
        )
        await self.handler._attempt_until_answered(exchange, request, charge)
        return exchange

    async def settle(self):
        pass

    def choose(self, request, tried, now):
        if not self.outcomes:
            return Rejection(self.reason, None, 0.1)
        upstream = SimpleNamespace(id=f"u{len(tried)}", slots=3)
        warmth = SimpleNamespace(value="warm")
        reason = ChoiceReason.KNOWN
        return Choice(upstream, 0.1, 0.0, 0.0, 0.0, reason, warmth, None, None)

    async def send(self, exchange, request, choice, sink):
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        await asyncio.sleep(WORK_S)
        self.running -= 1
        return self.outcomes.pop(0), None, ""


@pytest.mark.parametrize(
    ("outcomes", "status"),
    [
        ((Outcome.NOT_RUN,), 503),
        ((Outcome.UNKNOWN,), 502),
        ((Outcome.UNKNOWN, Outcome.NOT_RUN), 502),
        ((Outcome.UNKNOWN, Outcome.UNREACHED), 502),
    ],
)
async def test_stopped_request_that_may_have_run_is_not_called_not_run(
    outcomes, status
):
    # Guards against 503 after an attempt that may have run, because a later
    # one has not.
    exchange = await Setting(outcomes).attempt()
    assert exchange.out[0].startswith(b"HTTP/1.1 %d " % status)
    assert (b"retry-after" in exchange.out[0]) is (status == 503)


@pytest.mark.parametrize(
    ("outcomes", "reason", "results"),
    [
        ((), "full", [Result.REFUSED]),
        ((Outcome.UNREACHED,), "full, overflow spent", [Result.REFUSED]),
        # Both upstreams of a small region have shed the request.
        ((Outcome.NOT_RUN, Outcome.NOT_RUN), "none usable", [Result.REFUSED]),
        ((), "none usable", []),
        ((Outcome.UNREACHED,), "none usable", []),
        ((Outcome.UNKNOWN, Outcome.NOT_RUN), "full", []),
    ],
)
async def test_refusals_for_lack_of_slots_are_counted_once(outcomes, reason, results):
    # Guards against contention that is not noticed, and against the pressure
    # of upstreams that cannot be reached.
    setting = Setting(outcomes, reason)
    await setting.attempt()
    assert setting.results == results


@pytest.mark.parametrize(
    ("crashes", "retry_after"),
    [(1, b"retry-after: 0.300"), (2, b"retry-after: %.3f" % STOP_S)],
)
async def test_refused_crashing_request_is_told_when_to_come_back(crashes, retry_after):
    # Guards against callers who come back to a request that stays stopped.
    ledger = PoisonLedger()
    fingerprint = make_request().fingerprint
    for number in range(crashes):
        ledger.note_crash(fingerprint, number, 0.0)
    ledger.begin(fingerprint)
    exchange = await Setting([], "full", ledger).attempt()
    assert exchange.out[0].startswith(b"HTTP/1.1 503 ")
    assert retry_after in exchange.out[0].lower()


async def test_suspect_request_runs_one_copy_at_a_time():
    # Guards against copies that each crash an upstream before the second crash
    # is known.
    ledger = PoisonLedger()
    fingerprint = make_request().fingerprint
    ledger.note_crash(fingerprint, "u9", 0.0)
    setting = Setting([Outcome.UNKNOWN] * 4, "full", ledger)
    exchanges = await asyncio.gather(*(setting.attempt() for _ in range(4)))
    assert setting.most_running == 1
    statuses = sorted(exchange.out[0].split()[1] for exchange in exchanges)
    assert statuses == [b"502", b"503", b"503", b"503"]
