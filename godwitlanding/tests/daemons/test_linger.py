"""The planned stop of an entry process."""

import asyncio

import aiohttp
import pytest

from godwitlanding.tests.daemons.support_entry import (
    ADDRESS,
    Bench,
    make_answer,
    wait_until,
)
from godwitlanding.tests.daemons.test_entry import fetch


async def test_stop_cuts_off_nobody():
    """An entry process is stopped under load, as in a planned replacement.

    A download that runs goes on to its end, and a caller with a cached
    answer, who knows nothing of the stop, is served as before.
    """
    may_end = asyncio.Event()

    async def serve(writer, head, body):
        answer = make_answer(head, b"x" * 200_000)
        writer.write(answer[:-5])
        if "bundle" in head:
            await may_end.wait()
        writer.write(answer[-5:])

    slept = asyncio.Queue()
    answers_ran_out = asyncio.Event()

    async def sleep(duration_s):
        await slept.put(duration_s)
        await answers_ran_out.wait()

    async with Bench(ADDRESS, [serve], steer_max_age_s=5.0, summary_s=2.0) as bench:
        bench.kernel.get("linger")._sleep = sleep
        download = asyncio.ensure_future(fetch(bench, "/s/passes/bundle"))
        await wait_until(lambda: bench.upstreams[0].heads)
        stop = asyncio.ensure_future(bench.kernel.stop())
        assert await slept.get() >= 7.0
        await wait_until(lambda: bench.zone.heartbeats)
        assert bench.zone.heartbeats[0].leaving
        status, headers, body = await fetch(bench)
        assert (status, headers["Connection"]) == (200, "close")
        answers_ran_out.set()
        server = bench.kernel.get("server")
        await wait_until(lambda: server._server.should_exit)
        assert not stop.done()
        may_end.set()
        assert len((await download)[2]) == 200_000
        await stop
        with pytest.raises(aiohttp.ClientConnectorError):
            await fetch(bench)


async def test_stop_ends_at_its_limit():
    """A request never ends; whoever stops the process waits in vain."""

    async def hang(writer, head, body):
        await asyncio.sleep(60)

    async with Bench(ADDRESS, [hang], stop_limit_s=0.5) as bench:
        request = asyncio.ensure_future(fetch(bench, "/s/passes/x"))
        await wait_until(lambda: bench.upstreams[0].heads)
        await asyncio.wait_for(bench.kernel.stop(), 10)
        assert not request.done()
        request.cancel()
