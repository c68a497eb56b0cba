"""The contract of a licensed upstream, as its stand-in keeps it."""

import asyncio
import json

import aiohttp
import pytest

from godwitlanding.base.config import Upstream
from godwitlanding.base.httpclient import make_session
from godwitlanding.tests.standins.bodies import is_intact, make_bundle
from godwitlanding.tests.standins.licensed import Executions, LicensedUpstream
from godwitlanding.tests.standins.listener import Listener, reset
from godwitlanding.tests.tools.network import find_free_port

HOST = "127.0.10.250"
ADDRESS = f"{HOST}:{find_free_port(HOST)}"
WORK_S = 0.01


class Bench:
    """One upstream and a session to it."""

    def __init__(self):
        self.executions = Executions()
        description = Upstream("up-1", ADDRESS, "a", 3, "status")
        self.upstream = LicensedUpstream(description, WORK_S, self.executions)
        self.session = make_session(100, base_url=f"http://{ADDRESS}")

    async def get(self, path, **headers):
        """Return status, headers and body of a GET."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        async with self.session.get(path, headers=named) as answer:
            return answer.status, answer.headers, await answer.read()

    async def wait_for(self, is_true):
        """Wait until the upstream has come to a state."""
        for _ in range(500):
            if is_true():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the upstream did not come to the state expected")


@pytest.fixture
async def bench():
    made = Bench()
    await made.upstream.start()
    yield made
    await made.session.close()
    made.upstream.stop()


async def test_answer_is_whole_and_its_own(bench):
    status, _, body = await bench.get("/x?id=r1")
    assert status == 200
    assert is_intact(body, "r1")
    assert not is_intact(body, "r2")
    assert not is_intact(body[:-5], "r1")


async def test_excess_over_the_slots_is_counted(bench):
    answers = [bench.get(f"/x?id=r{n}&ms=100") for n in range(5)]
    assert {status for status, _, _ in await asyncio.gather(*answers)} == {200}
    stats = bench.upstream.get_stats()
    assert (stats["most_busy"], stats["over_slots"], stats["busy"]) == (5, 2, 0)


@pytest.mark.parametrize(
    ("switches", "refused"),
    [({"draining": True}, "draining"), ({"shed_share": 1.0}, "shed")],
)
async def test_refusal_means_not_run(bench, switches, refused):
    bench.upstream.change(switches)
    async with bench.session.post("/x?id=r1") as answer:
        assert answer.status == 503
        assert answer.headers["Upstream-Refused"] == refused
    assert bench.executions.count_by_id["r1"] == 0


@pytest.mark.parametrize(
    ("switches", "status", "state"),
    [
        ({}, 200, "ready"),
        ({"cold_s": 60.0}, 200, "cold"),
        ({"draining": True}, 503, "draining"),
        ({"draining": True, "health": "always_ok"}, 200, "ready"),
        ({"draining": True, "health_lag_s": 60.0}, 200, "ready"),
        ({"health": "always_bad"}, 503, "failing"),
    ],
)
async def test_health_may_lag_or_lie(bench, switches, status, state):
    bench.upstream.change({})
    bench.upstream.change(switches)
    answer = await bench.get("/healthz")
    assert (answer[0], json.loads(answer[2])["state"]) == (status, state)


async def test_load_may_lie(bench):
    work = asyncio.ensure_future(bench.get("/x?id=r1&ms=200"))
    await bench.wait_for(lambda: bench.upstream.busy == 1)
    assert (await bench.get("/load"))[2] == b'{"busy": 1, "slots": 3}'
    bench.upstream.change({"load_lie": 0})
    assert (await bench.get("/load"))[2] == b'{"busy": 0, "slots": 3}'
    await work


async def test_disconnect_frees_the_slot(bench):
    work = asyncio.ensure_future(bench.get("/x?id=r1&ms=60000"))
    await bench.wait_for(lambda: bench.upstream.busy == 1)
    work.cancel()
    await bench.wait_for(lambda: bench.upstream.busy == 0)
    assert bench.upstream.get_stats()["cut"] == 1


async def test_deadline_ends_the_work(bench):
    status, _, _ = await bench.get("/x?id=r1&ms=60000", Request_Deadline="0.05")
    assert status == 504
    assert bench.upstream.get_stats()["expired"] == 1


async def test_poison_crashes_and_the_upstream_comes_back(bench):
    """A request crashes the process that runs it.

    All requests in progress there break off, and for a while nothing
    listens.
    """
    bench.upstream.change({"down_s": 0.3})
    other = asyncio.ensure_future(bench.get("/x?id=r1&ms=60000"))
    await bench.wait_for(lambda: bench.upstream.busy == 1)
    with pytest.raises(aiohttp.ClientError):
        await bench.get("/x?id=r2&poison=1")
    with pytest.raises(aiohttp.ClientError):
        await other
    with pytest.raises(aiohttp.ClientConnectorError):
        await bench.get("/x?id=r3")
    await bench.wait_for(lambda: bench.upstream.is_listening)
    assert (await bench.get("/x?id=r4"))[0] == 200
    stats = bench.upstream.get_stats()
    assert (stats["poisoned"], stats["crashes"], stats["busy"]) == (1, 1, 0)


@pytest.mark.parametrize("query", ["id=r1", "bundle=roof&bytes=100000"])
async def test_truncated_answer_is_seen_as_broken(bench, query):
    """The upstream's process breaks off half-way through an answer."""
    bench.upstream.change({"truncate_next": 1})
    with pytest.raises(aiohttp.ClientPayloadError):
        await bench.get(f"/x?{query}")
    assert (await bench.get(f"/x?{query}"))[0] == 200


async def test_download_goes_on_from_where_it_broke(bench):
    path = "/x?bundle=roof&bytes=100000&id=r1"
    whole = make_bundle("roof", 100_000)
    status, headers, body = await bench.get(path)
    assert (status, body) == (200, whole)
    etag = headers["ETag"]
    ranged = {"Range": "bytes=40000-", "If_Range": etag}
    status, headers, body = await bench.get(path, **ranged)
    assert (status, body) == (206, whole[40000:])
    assert headers["Content-Range"] == "bytes 40000-99999/100000"
    status, _, body = await bench.get(path, Range="bytes=9-", If_Range='"old"')
    assert (status, body) == (200, whole)


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
async def test_session_sends_a_request_once(method):
    """A kept connection breaks after a request was sent on it.

    The HTTP library's habit is to send an idempotent method again by
    itself: a request that crashes upstreams would crash them twice, and a
    PUT would run twice.
    """
    paths = []

    async def answer(scope, receive, send):
        paths.append(scope["path"])
        if scope["path"] == "/breaks":
            reset(scope["state"]["transport"])
            return
        await send({"type": "http.response.start", "status": 204})
        await send({"type": "http.response.body"})

    host, _, port = ADDRESS.rpartition(":")
    listener = Listener(answer, host, int(port))
    await listener.start()
    async with make_session(100, base_url=f"http://{ADDRESS}") as session:
        async with session.request(method, "/first"):
            pass
        with pytest.raises(aiohttp.ClientError):
            async with session.request(method, "/breaks"):
                pass
    listener.crash()
    assert paths == ["/first", "/breaks"]
