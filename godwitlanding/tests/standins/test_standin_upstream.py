"""Tests that the simulated licensed upstream follows the upstream API."""

import asyncio
import json

import aiohttp
import pytest

from godwitlanding.base.config import UpstreamConfig
from godwitlanding.base.httpclient import make_session
from godwitlanding.tests.standins.bodies import is_intact, make_bundle
from godwitlanding.tests.standins.licensed import Executions, LicensedUpstream
from godwitlanding.tests.standins.listener import Listener, reset
from godwitlanding.tests.tools.network import find_free_port

HOST = "127.0.10.250"
ADDRESS = f"{HOST}:{find_free_port(HOST)}"
WORK_S = 0.01


class UpstreamHarness:
    """A simulated upstream and a client session to it."""

    def __init__(self):
        self.executions = Executions()
        description = UpstreamConfig("up-1", ADDRESS, "a", 3, "status")
        self.upstream = LicensedUpstream(description, WORK_S, self.executions)
        self.session = make_session(100, base_url=f"http://{ADDRESS}")

    async def get(self, path, **headers):
        """Return the status, headers and body of a GET."""
        renamed_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        async with self.session.get(path, headers=renamed_headers) as response:
            return response.status, response.headers, await response.read()

    async def wait_for(self, is_true):
        """Wait until ``is_true`` returns true."""
        for _ in range(500):
            if is_true():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the upstream did not reach the expected state within 5 s")


@pytest.fixture
async def harness():
    created = UpstreamHarness()
    await created.upstream.start()
    yield created
    await created.session.close()
    created.upstream.stop()


async def test_response_is_complete_and_matches_the_request(harness):
    status, _, body = await harness.get("/x?id=r1")
    assert status == 200
    assert is_intact(body, "r1")
    assert not is_intact(body, "r2")
    assert not is_intact(body[:-5], "r1")


async def test_excess_over_the_slots_is_counted(harness):
    responses = [harness.get(f"/x?id=r{n}&ms=100") for n in range(5)]
    assert {status for status, _, _ in await asyncio.gather(*responses)} == {200}
    stats = harness.upstream.get_stats()
    assert (stats["most_busy"], stats["over_slots"], stats["busy"]) == (5, 2, 0)


@pytest.mark.parametrize(
    ("faults", "reason"),
    [({"draining": True}, "draining"), ({"shed_share": 1.0}, "shed")],
)
async def test_refusal_means_not_run(harness, faults, reason):
    harness.upstream.change(faults)
    async with harness.session.post("/x?id=r1") as response:
        assert response.status == 503
        assert response.headers["Upstream-Refused"] == reason
    assert harness.executions.count_by_id["r1"] == 0


@pytest.mark.parametrize(
    ("faults", "status", "state"),
    [
        ({}, 200, "ready"),
        ({"cold_s": 60.0}, 200, "cold"),
        ({"draining": True}, 503, "draining"),
        ({"draining": True, "health": "always_ok"}, 200, "ready"),
        ({"draining": True, "health_lag_s": 60.0}, 200, "ready"),
        ({"health": "always_bad"}, 503, "failing"),
    ],
)
async def test_health_may_be_delayed_or_wrong(harness, faults, status, state):
    harness.upstream.change({})
    harness.upstream.change(faults)
    response = await harness.get("/healthz")
    assert (response[0], json.loads(response[2])["state"]) == (status, state)


async def test_load_may_be_wrong(harness):
    work = asyncio.ensure_future(harness.get("/x?id=r1&ms=200"))
    await harness.wait_for(lambda: harness.upstream.busy == 1)
    assert (await harness.get("/load"))[2] == b'{"busy": 1, "slots": 3}'
    harness.upstream.change({"load_lie": 0})
    assert (await harness.get("/load"))[2] == b'{"busy": 0, "slots": 3}'
    await work


async def test_disconnect_frees_the_slot(harness):
    work = asyncio.ensure_future(harness.get("/x?id=r1&ms=60000"))
    await harness.wait_for(lambda: harness.upstream.busy == 1)
    work.cancel()
    await harness.wait_for(lambda: harness.upstream.busy == 0)
    assert harness.upstream.get_stats()["cut"] == 1


async def test_deadline_ends_the_work(harness):
    status, _, _ = await harness.get("/x?id=r1&ms=60000", Request_Deadline="0.05")
    assert status == 504
    assert harness.upstream.get_stats()["expired"] == 1


async def test_poison_request_crashes_the_upstream_which_restarts(harness):
    """A request crashes the upstream that runs it.

    All requests in progress there fail, and the upstream accepts no
    connections until it restarts.
    """
    harness.upstream.change({"down_s": 0.3})
    other = asyncio.ensure_future(harness.get("/x?id=r1&ms=60000"))
    await harness.wait_for(lambda: harness.upstream.busy == 1)
    with pytest.raises(aiohttp.ClientError):
        await harness.get("/x?id=r2&poison=1")
    with pytest.raises(aiohttp.ClientError):
        await other
    with pytest.raises(aiohttp.ClientConnectorError):
        await harness.get("/x?id=r3")
    await harness.wait_for(lambda: harness.upstream.is_listening)
    assert (await harness.get("/x?id=r4"))[0] == 200
    stats = harness.upstream.get_stats()
    assert (stats["poisoned"], stats["crashes"], stats["busy"]) == (1, 1, 0)


@pytest.mark.parametrize("query", ["id=r1", "bundle=roof&bytes=100000"])
async def test_truncated_response_is_detected(harness, query):
    """The upstream resets the connection half-way through a response."""
    harness.upstream.change({"truncate_next": 1})
    with pytest.raises(aiohttp.ClientPayloadError):
        await harness.get(f"/x?{query}")
    assert (await harness.get(f"/x?{query}"))[0] == 200


async def test_download_resumes_after_an_interruption(harness):
    path = "/x?bundle=roof&bytes=100000&id=r1"
    bundle = make_bundle("roof", 100_000)
    status, headers, body = await harness.get(path)
    assert (status, body) == (200, bundle)
    etag = headers["ETag"]
    range_headers = {"Range": "bytes=40000-", "If_Range": etag}
    status, headers, body = await harness.get(path, **range_headers)
    assert (status, body) == (206, bundle[40000:])
    assert headers["Content-Range"] == "bytes 40000-99999/100000"
    status, _, body = await harness.get(path, Range="bytes=9-", If_Range='"old"')
    assert (status, body) == (200, bundle)


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
async def test_session_sends_a_request_once(method):
    """A kept-alive connection is reset after a request was sent on it.

    By default the HTTP library resends idempotent methods by itself. A
    request that crashes upstreams would then crash two of them, and a PUT
    would run twice.
    """
    paths = []

    async def response(scope, receive, send):
        paths.append(scope["path"])
        if scope["path"] == "/breaks":
            reset(scope["state"]["transport"])
            return
        await send({"type": "http.response.start", "status": 204})
        await send({"type": "http.response.body"})

    host, _, port = ADDRESS.rpartition(":")
    listener = Listener(response, host, int(port))
    await listener.start()
    async with make_session(100, base_url=f"http://{ADDRESS}") as session:
        async with session.request(method, "/first"):
            pass
        with pytest.raises(aiohttp.ClientError):
            async with session.request(method, "/breaks"):
                pass
    listener.crash()
    assert paths == ["/first", "/breaks"]
