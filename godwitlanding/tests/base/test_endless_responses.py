"""Tests that a platform in trouble does not fill the memory of a daemon."""

import asyncio

import pytest

from godwitlanding.base import store as store_module
from godwitlanding.base.store import HttpStore
from godwitlanding.tests.memory import measure_held
from godwitlanding.tests.standins.endless import ANSWERS, EndlessServer

TIMEOUT_S = 1.0
# A copy of the body, and what is on its way.
MAX_HELD_BYTES = 3 * store_module.MAX_RESPONSE_BYTES


@pytest.mark.parametrize("name", ANSWERS)
async def test_platform_that_answers_without_end_is_given_up(name):
    # A response that goes on arriving has no time limit, and grew in memory.
    server = await EndlessServer(name).start()
    host, port = server.address
    store = HttpStore(f"http://{host}:{port}", TIMEOUT_S)
    try:
        async with asyncio.timeout(10.0):
            result, held_bytes = await measure_held(store.get("config", "main"))
    finally:
        await store.close()
        server.stop()
    assert result.is_err()
    assert held_bytes < MAX_HELD_BYTES
