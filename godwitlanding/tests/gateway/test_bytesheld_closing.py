"""Connections within a byte budget that close lose no response of theirs."""

import asyncio
import socket

import pytest

from godwitlanding.gateway import bodyintake
from godwitlanding.tests.gateway.test_bytesheld import (
    BODY,
    LIMIT_BYTES,
    STREAM_BYTES,
    Setting,
    read_response,
)

CHUNKED = b"transfer-encoding: chunked\r\n"


@pytest.mark.parametrize(
    ("sent", "rest", "extra", "length"),
    [
        pytest.param(10, b"", b"", True, id="rest never arrives"),
        pytest.param(10, b"x" * 99_990 + b"\0 garbage", b"", True, id="malformed"),
        pytest.param(0, b"5\r\nhello\r\n0\r\n\r\n", CHUNKED, False, id="chunked"),
    ],
)
async def test_refused_body_loses_no_earlier_response(
    monkeypatch, sent, rest, extra, length
):
    # Guards against a connection that closes after a refusal while earlier
    # requests of it, which were handed on, have no response yet.
    monkeypatch.setattr(bodyintake, "MAX_DROP_S", 0.3)
    async with Setting() as setting:
        connection = await setting.call("/1")
        await setting.send(connection, "/2")
        await asyncio.sleep(0.05)
        setting.budget.add(LIMIT_BYTES)
        await setting.send(connection, "/3", BODY, sent, extra, length)
        await asyncio.sleep(0.15)
        connection[1].write(rest)
        await asyncio.sleep(0.4)
        setting.budget.give_back(LIMIT_BYTES)
        setting.handler.answers.set()
        statuses = [(await read_response(connection))[0] for _ in range(3)]
        assert statuses == [200, 200, 503]
        assert setting.handler.handled == [b"/1", b"/2"]


async def test_request_after_a_refusal_that_closes_is_not_handed_on():
    # Guards against a request that runs although its response is dropped.
    async with Setting() as setting:
        connection = await setting.call("/1")
        await asyncio.sleep(0.05)
        setting.budget.add(LIMIT_BYTES)
        await setting.send(connection, "/2", BODY, 0, b"expect: 100-continue\r\n")
        await asyncio.sleep(0.15)
        setting.budget.give_back(LIMIT_BYTES)
        connection[1].write(BODY)
        await setting.send(connection, "/3")
        await asyncio.sleep(0.05)
        setting.handler.answers.set()
        statuses = [(await read_response(connection))[0] for _ in range(2)]
        assert statuses == [200, 503]
        assert await connection[0].read() == b""
        assert setting.handler.handled == [b"/1"]


async def test_stalled_body_loses_no_earlier_response():
    async with Setting() as setting:
        connection = await setting.call("/1")
        await setting.send(connection, "/2")
        await setting.send(connection, "/3", BODY, 10)
        await asyncio.sleep(1.7)
        setting.handler.answers.set()
        statuses = [(await read_response(connection))[0] for _ in range(3)]
        assert statuses == [200, 200, 408]


async def test_stream_goes_on_when_the_next_request_is_malformed():
    # Guards against an upstream's stream that stays paused for ever.
    async with Setting() as setting:
        connection = await setting.call("/long")
        await asyncio.sleep(0.3)
        connection[1].write(b"\0 garbage")
        await asyncio.sleep(0.1)
        status, _, body = await read_response(connection, 5.0)
        assert (status, len(body)) == (200, STREAM_BYTES)
        assert (await read_response(connection))[0] == 400


async def test_reservation_of_a_short_body_of_unknown_length_is_cancelled():
    # Guards against room that is kept for bytes that never come.
    async with Setting() as setting:
        body = b"5\r\nhello\r\n0\r\n\r\n"
        await setting.call("/1", body, None, CHUNKED, False)
        await asyncio.sleep(0.05)
        assert setting.handler.handled == [b"/1"]
        assert (setting.budget.held_bytes, setting.budget.reserved_bytes) == (5, 0)


@pytest.mark.parametrize("path", ["/long", "/big"])
async def test_planned_stop_does_not_cut_off_a_slow_reader(path):
    # Guards against a process that ends while it holds unsent responses.
    async with Setting() as setting:
        setting.front.stop_s = 2.0
        setting.handler.answers.set()
        connection = await setting.call(path)
        connection[1].transport.pause_reading()
        caller_socket = connection[1].get_extra_info("socket")
        caller_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        await asyncio.sleep(0.2)
        stop = asyncio.create_task(setting.front.stop())
        await asyncio.sleep(1.4)
        assert not stop.done()
        connection[1].transport.resume_reading()
        assert (await read_response(connection))[0] == 200
        async with asyncio.timeout(0.3):
            await stop


async def test_planned_stop_waits_for_a_body_under_way():
    async with Setting() as setting:
        setting.front.stop_s = 2.0
        setting.handler.answers.set()
        stop = asyncio.create_task(setting.front.stop())
        await asyncio.sleep(0.6)
        connection = await setting.call("/1", BODY, 10)
        for start in range(10, 70, 20):
            await asyncio.sleep(0.2)
            connection[1].write(BODY[start : start + 20])
        await asyncio.sleep(0.2)
        assert not stop.done()
        connection[1].write(BODY[70:])
        assert (await read_response(connection))[0] == 200
        await stop


async def test_planned_stop_does_not_wait_for_a_stalled_body():
    # Guards against a VM that restarts late because of one caller.
    async with Setting() as setting:
        setting.front.stop_s = 2.0
        await setting.call("/1", BODY, 10)
        await asyncio.sleep(0.1)
        async with asyncio.timeout(1.3):
            await setting.front.stop()
