"""Checks that the local demo system starts and prints its addresses."""

import asyncio
from pathlib import Path

from godwitlanding.tests.tools.network import claim_test_network
from godwitlanding.tests.tools.play import play

SAMPLE = Path(__file__).parent / "data/small.json5"


async def test_play_starts_and_prints_the_addresses(capsys):
    end = asyncio.Event()
    end.set()
    await play(SAMPLE, claim_test_network(), end)
    printed = capsys.readouterr().out
    assert "ready" in printed
    assert "/v1/steer/status" in printed
