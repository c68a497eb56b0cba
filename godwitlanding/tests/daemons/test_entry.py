"""Tests the entry process over HTTP, from caller to upstream and back."""

import asyncio

import aiohttp
import pytest

from godwitlanding.base.codes import Code
from godwitlanding.base.messages import Failure, Refused
from godwitlanding.tests.daemons.support_entry import (
    ADDRESS,
    EntryHarness,
    get_header,
    make_raw_response,
    respond_hello,
    wait_until,
)


async def fetch(harness, path="/s/status/x", method="GET", **options):
    """Send a request; return status, headers and body of the response."""
    async with aiohttp.ClientSession() as session:
        async with session.request(method, harness.url + path, **options) as response:
            return response.status, response.headers, await response.read()


async def test_request_is_forwarded_unchanged():
    async with EntryHarness(ADDRESS, [respond_hello]) as harness:
        status, headers, body = await fetch(harness, "/s/status/a%2Fb?q=1%20")
        assert (status, body) == (200, b"hello")
        head = harness.upstreams[0].heads[0]
        assert head.startswith("GET /a%2Fb?q=1%20 HTTP/1.1")
        assert get_header(head, "Request-Id") == headers["Godwit-Request-Id"]
        assert 0 < float(get_header(head, "Request-Deadline")) <= 5
        await wait_until(lambda: harness.zone.released)
        assert harness.zone.released[0].outcome == "ok"


@pytest.mark.parametrize(
    ("path", "headers", "status", "code"),
    [
        ("/s/nothing/x", {}, 404, 1001),
        ("/s/status/x", {"Godwit-Deadline": "soon"}, 400, 1002),
        ("/s/status/x", {"Godwit-Deadline": "nan"}, 400, 1002),
        ("/s/status/x", {"Godwit-Deadline": "-1"}, 400, 1002),
    ],
)
async def test_bad_request_is_refused(path, headers, status, code):
    async with EntryHarness(ADDRESS, [respond_hello]) as harness:
        response = await fetch(harness, path, headers=headers)
        assert response[0] == status
        assert f'"code":{code}'.encode() in response[2]
        assert response[1]["Godwit-Request-Id"]
        assert not harness.upstreams[0].heads


async def test_requests_over_max_connections_are_refused_with_a_code():
    """More requests arrive at once than ``max_connections`` allows.

    The surplus is refused at once with a retry time and the status "not
    run", which a plain 503 would not contain.
    """
    reached, release = asyncio.Event(), asyncio.Event()

    async def wait(writer, head, body):
        reached.set()
        await release.wait()
        writer.write(make_raw_response(head, b"hello"))

    async with EntryHarness(ADDRESS, [wait], max_connections=1) as harness:
        first = asyncio.ensure_future(fetch(harness))
        await reached.wait()
        status, headers, body = await fetch(harness)
        release.set()
        assert (status, headers["Retry-After"]) == (503, "1")
        assert b'"code":2001' in body and b'"run":"no"' in body
        assert (await first)[0] == 200


async def test_request_is_refused_early_while_no_arbiter_responds():
    """A zone has no arbiter for longer than a take-over lasts.

    A caller that waited until its deadline could not retry in another zone,
    so the request is refused once waiting longer is pointless.
    """
    async with EntryHarness(ADDRESS, [respond_hello], loan_s=0.1) as harness:
        harness.zone.answer = lambda message: Failure(Code.NO_ARBITER.value)
        status, headers, body = await fetch(harness, "/s/passes/x")
        assert b'"code":5003' in body and headers["Retry-After"] == "1"
        first, last = harness.zone.asked[0], harness.zone.asked[-1]
        assert last.remaining_s > first.remaining_s / 2


@pytest.mark.parametrize("chunked", [False, True])
async def test_too_large_body_is_refused(chunked):
    async with EntryHarness(ADDRESS, [respond_hello], max_body_bytes=1000) as harness:

        async def stream():
            yield b"x" * 2000

        data = stream() if chunked else b"x" * 2000
        status, _, body = await fetch(harness, method="PUT", data=data)
        assert (status, b'"code":1003' in body) == (413, True)
        assert not harness.zone.asked


async def test_refusal_of_the_arbiter_reaches_the_caller():
    async with EntryHarness(ADDRESS, [respond_hello]) as harness:
        harness.zone.answer = lambda message: Refused(2001, 3.0)
        status, headers, body = await fetch(harness)
        assert (status, headers["Retry-After"]) == (503, "3")
        assert b'"run":"no"' in body
        assert harness.counters.get("requests_refused", code="QUEUE_FULL") == 1


async def test_long_upload_and_download_are_streamed():
    async def echo(writer, head, body):
        writer.write(make_raw_response(head, body * 8))

    async with EntryHarness(ADDRESS, [echo]) as harness:
        data = b"0123456789abcdef" * 30_000
        status, _, body = await fetch(harness, "/s/passes/x", "PUT", data=data)
        assert (status, body == data * 8) == (200, True)


async def test_permit_is_released_when_the_caller_disconnects():
    """A caller closes its connection while its request runs upstream.

    A permit that is kept would make others wait for an idle slot.
    """

    async def hang(writer, head, body):
        await asyncio.sleep(60)

    async with EntryHarness(ADDRESS, [hang]) as harness:
        task = asyncio.ensure_future(fetch(harness))
        await wait_until(lambda: harness.upstreams[0].heads)
        task.cancel()
        await wait_until(lambda: harness.zone.released)
        assert harness.zone.released[0].outcome == "cancelled"


async def test_queued_request_is_withdrawn_when_the_caller_disconnects():
    """A queued caller disconnects; the arbiter must not grant it a slot."""
    async with EntryHarness(ADDRESS, [respond_hello]) as harness:
        harness.zone.answer = lambda message: asyncio.sleep(60)
        task = asyncio.ensure_future(fetch(harness))
        await wait_until(lambda: harness.zone.asked)
        task.cancel()
        await wait_until(lambda: harness.zone.withdrawn)
        asked, withdrawn = harness.zone.asked[0], harness.zone.withdrawn[0]
        assert withdrawn.request_id == asked.request_id
