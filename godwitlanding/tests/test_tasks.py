"""Background loops end when their service stops."""

import asyncio
import contextlib

import pytest

from godwitlanding.tasks import Tasks


@pytest.mark.looptime
async def test_loop_that_loses_a_cancellation_ends_all_the_same():
    """A loop's wait ends in the same moment in which the process stops.

    asyncio.wait_for then returns as if nothing had been cancelled, the loop
    goes on, and whoever stops the process waits for ever.
    """
    tasks = Tasks()

    async def lose_the_first():
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(3600)
        await asyncio.sleep(3600)

    tasks.run(lose_the_first())
    await asyncio.sleep(1)
    async with asyncio.timeout(60):
        await tasks.stop()
