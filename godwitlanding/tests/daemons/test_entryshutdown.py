"""Tests the graceful stop of an entry process."""

import asyncio

import aiohttp
import pytest

from godwitlanding.base.headers import DEADLINE
from godwitlanding.tests.daemons.support_entry import (
    ADDRESS,
    EntryHarness,
    make_raw_response,
    wait_until,
)
from godwitlanding.tests.daemons.test_entry import fetch


async def test_stop_interrupts_no_request():
    """An entry process is stopped under load, as in a planned replacement.

    A running download is completed, and a caller with a cached ``steer``
    response, which still lists this VM, is served as before.
    """
    may_end = asyncio.Event()

    async def serve(writer, head, body):
        response = make_raw_response(head, b"x" * 200_000)
        writer.write(response[:-5])
        if "bundle" in head:
            await may_end.wait()
        writer.write(response[-5:])

    sleep_durations = asyncio.Queue()
    drain_ended = asyncio.Event()

    async def sleep(duration_s):
        await sleep_durations.put(duration_s)
        await drain_ended.wait()

    async with EntryHarness(
        ADDRESS, [serve], steer_max_age_s=5.0, summary_s=2.0
    ) as harness:
        harness.kernel.get("linger")._sleep = sleep
        download = asyncio.ensure_future(fetch(harness, "/s/passes/bundle"))
        await wait_until(lambda: harness.upstreams[0].heads)
        stop = asyncio.ensure_future(harness.kernel.stop())
        assert await sleep_durations.get() >= 7.0
        await wait_until(lambda: harness.zone.heartbeats)
        assert harness.zone.heartbeats[0].leaving
        status, headers, body = await fetch(harness)
        assert (status, headers["Connection"]) == (200, "close")
        drain_ended.set()
        server = harness.kernel.get("server")
        await wait_until(lambda: server._server.should_exit)
        assert not stop.done()
        may_end.set()
        assert len((await download)[2]) == 200_000
        await stop
        with pytest.raises(aiohttp.ClientConnectorError):
            await fetch(harness)


@pytest.mark.parametrize(
    ("deadline_s", "status"), [("0.5", 200), ("5", 503)], ids=["ends", "may not end"]
)
async def test_leaving_process_refuses_what_may_not_end(deadline_s, status):
    # Guards against requests that run and are cut off by the end of the stop.
    async def serve(writer, head, body):
        writer.write(make_raw_response(head, b"x"))

    async with EntryHarness(ADDRESS, [serve], stop_limit_s=3.0) as harness:
        harness.kernel.get("linger")._sleep = lambda seconds: asyncio.sleep(0.5)
        stop = asyncio.ensure_future(harness.kernel.stop())
        await wait_until(lambda: harness.kernel.get("requests").is_leaving)
        headers = {DEADLINE: deadline_s}
        result, headers, _ = await fetch(harness, headers=headers)
        assert result == status
        assert len(harness.upstreams[0].heads) == (status == 200)
        await stop


async def test_stop_ends_at_its_limit():
    """A request that does not end must not block the stop forever."""

    async def hang(writer, head, body):
        await asyncio.sleep(60)

    async with EntryHarness(ADDRESS, [hang], stop_limit_s=0.5) as harness:
        request = asyncio.ensure_future(fetch(harness, "/s/passes/x"))
        await wait_until(lambda: harness.upstreams[0].heads)
        await asyncio.wait_for(harness.kernel.stop(), 10)
        assert not request.done()
        request.cancel()
