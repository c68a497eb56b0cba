"""Tests of what an attempt records about its upstream."""

import asyncio
from types import SimpleNamespace

import pytest

from godwitlanding.base.metrics import Counters
from godwitlanding.decisions.occupancy import Occupancy
from godwitlanding.decisions.poison import PoisonLedger
from godwitlanding.decisions.worktime import WorkTimes
from godwitlanding.gateway.attempt import Outcome
from godwitlanding.gateway.limitgossip import LimitGossip
from godwitlanding.gateway.paces import Paces
from godwitlanding.gateway.reachmonitor import ReachMonitor
from godwitlanding.gateway.registry import Registry, Upstream
from godwitlanding.gateway.upstream import Response, UpstreamError, UpstreamFailure
from godwitlanding.gateway.upstreamclient import (
    CRASH_CHECK_S,
    MOVED_EJECT_S,
    UpstreamClient,
)
from godwitlanding.platform.headers import HEADER_NAMES, read_self_report
from godwitlanding.tests.gateway.test_chooser import make_request

pytestmark = pytest.mark.looptime

UPSTREAM = Upstream("u0", "s", ("127.0.0.1", 1), "a1", 3, False, 0.0)


class Connection:
    """Responds to each request with the same status and headers.

    With a ``failure``, the connection is lost in place of a response.
    """

    def __init__(self, status, headers, failure=None, is_stream=False):
        self._status = status
        self._headers = headers
        self._failure = failure
        self._is_stream = is_stream

    def send(self, data, request_id, without_body, sink, respond_by):
        answered = asyncio.get_running_loop().create_future()
        if self._failure and not self._is_stream:
            answered.set_exception(UpstreamError(self._failure))
            return answered
        response = Response(self._status, self._headers, b"", self._is_stream)
        answered.set_result(response)
        return answered

    def abort(self):
        pass


class Setting:
    """An upstream client whose connections respond with ``status``."""

    def __init__(self, status, headers=()):
        self.status = status
        self.headers = list(headers)
        self.failure = None
        self.is_stream = False
        self.crashes = []
        self.forgotten = []
        self.worktimes = WorkTimes()
        learning = SimpleNamespace(note_response=lambda *response: None)
        self.ejected = set()
        self.registry = Registry({"a1": "a"})
        self.registry.put_upstream(UPSTREAM)
        self.chooser = SimpleNamespace(
            availability=SimpleNamespace(ejected=self.ejected),
            distances=SimpleNamespace(get_s=lambda zone: 0.0),
            learning=learning,
            paces=Paces(self.registry, SimpleNamespace()),
        )
        self.limit_gossip = LimitGossip(self.registry, "a", ("a",), Counters())
        self.pool = SimpleNamespace(
            take=lambda upstream, idempotent, request_id: Connection(
                self.status, self.headers, self.failure, self.is_stream
            ),
            connect=self.fail_to_connect,
            give_back=lambda upstream, connection: None,
            forget=self.forgotten.append,
            trim=lambda: None,
            close=lambda: None,
        )
        self.reaches_others = True
        self.reach = ReachMonitor(Counters())
        self.reach.reaches_any_since = self.reaches_any_since
        self.upstream_client = UpstreamClient(
            HEADER_NAMES,
            read_self_report,
            self.pool,
            Occupancy(),
            self.worktimes,
            self.limit_gossip,
            Counters(),
            PoisonLedger(),
            self.reach,
        )

    async def __aenter__(self):
        services = {
            "chooser": self.chooser,
            "registry": self.registry,
            "peers": SimpleNamespace(note_crash=self.crashes.append),
        }
        services["reach"] = self.reach
        await self.reach.start(SimpleNamespace(get=services.get))
        await self.upstream_client.start(SimpleNamespace(get=services.get))
        return self

    async def __aexit__(self, *error):
        await self.upstream_client.stop()
        await self.reach.stop()

    async def reaches_any_since(self, began_at):
        return self.reaches_others

    async def fail_to_connect(self, *arguments):
        raise UpstreamError(UpstreamFailure.CONNECT)

    async def send(self):
        self.sink = SimpleNamespace(on_failed=None)
        exchange = SimpleNamespace(method=b"GET", target=b"/", headers=[], body=b"")
        choice = SimpleNamespace(upstream=UPSTREAM, distance_s=0.0)
        outcome, _, _ = await self.upstream_client.send(
            exchange, make_request(), choice, self.sink
        )
        return outcome


async def test_upstream_whose_address_is_reused_is_ejected():
    # An upstream has ended and another service uses its address. Its entry
    # stays for seconds. Every request for an object that it knew was sent
    # there, was not run, and was refused once the retry budget was spent.
    async with Setting(421) as setting:
        assert await setting.send() is Outcome.MOVED
        assert setting.ejected == {"u0"}
        assert setting.forgotten == ["u0"]
        await asyncio.sleep(MOVED_EJECT_S + 0.1)
        assert setting.ejected == set()


@pytest.mark.parametrize("status", [500, 503])
async def test_upstream_that_failed_once_is_not_ejected(status):
    async with Setting(status) as setting:
        await setting.send()
        assert setting.ejected == set()
        assert setting.worktimes.get_failure_share("u0") > 0


@pytest.mark.parametrize(
    ("failure", "ejected", "crashes"),
    [
        (UpstreamFailure.RESET, {"u0"}, 1),
        # It crashed while it sent the response.
        (UpstreamFailure.BROKEN, {"u0"}, 1),
        # The link to it is cut.
        (UpstreamFailure.TIMEOUT, {"u0"}, 0),
        (UpstreamFailure.GARBAGE, set(), 0),
    ],
)
async def test_crash_is_noted_where_the_upstream_closed_the_connection(
    failure, ejected, crashes
):
    # Guards against crashes that go unnoticed, and against requests that are
    # stopped because of a link that is cut.
    async with Setting(200) as setting:
        setting.failure = failure
        assert await setting.send() is Outcome.UNKNOWN
        await asyncio.sleep(2 * CRASH_CHECK_S)
        assert setting.ejected == ejected
        assert len(setting.crashes) == crashes


@pytest.mark.parametrize("failure", [UpstreamFailure.RESET, UpstreamFailure.BROKEN])
async def test_lost_connection_of_a_vm_that_reaches_no_upstream_is_no_crash(failure):
    # Guards against crash reports by a VM whose own links are cut.
    async with Setting(200, [SIGNED]) as setting:
        setting.failure = failure
        setting.reaches_others = False
        assert await setting.send() is Outcome.UNKNOWN
        await asyncio.sleep(2 * CRASH_CHECK_S)
        assert not setting.crashes


async def test_crash_during_a_streamed_response_is_noted():
    # Guards against crashes that go unnoticed after a response has begun.
    async with Setting(200, [SIGNED]) as setting:
        setting.is_stream = True
        assert await setting.send() is Outcome.ANSWERED
        setting.sink.on_failed()
        await asyncio.sleep(2 * CRASH_CHECK_S)
        assert len(setting.crashes) == 1


SIGNED = (HEADER_NAMES.signature, b"proof")
LIMIT = (b"server-limit", b"2.5")


@pytest.mark.parametrize(
    ("status", "headers"),
    [(200, [SIGNED]), (500, [SIGNED]), (503, [(HEADER_NAMES.not_executed, b"1")])],
)
async def test_limit_is_read_from_every_response(status, headers):
    # Guards against ignoring a limit that is sent only with refusals.
    async with Setting(status, [*headers, LIMIT]) as setting:
        await setting.send()
        assert setting.limit_gossip.is_limited("u0")


@pytest.mark.parametrize(
    ("status", "headers", "stays_limited"),
    [
        (200, [SIGNED], False),
        (500, [SIGNED], False),
        (503, [(HEADER_NAMES.not_executed, b"1")], True),
        (503, [], True),
    ],
)
async def test_limit_holds_until_a_response_without_one(status, headers, stays_limited):
    async with Setting(200, [SIGNED, LIMIT]) as setting:
        await setting.send()
        setting.status = status
        setting.headers = headers
        await asyncio.sleep(0.1)
        await setting.send()
        assert setting.limit_gossip.is_limited("u0") is stays_limited


async def test_limit_of_another_upstream_at_the_address_is_ignored():
    # Guards against applying the limit of one upstream to another.
    async with Setting(421, [LIMIT]) as setting:
        await setting.send()
        assert not setting.limit_gossip.is_limited("u0")
