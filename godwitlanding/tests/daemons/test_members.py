"""What a member of a zone requests after the heartbeats of others."""

import asyncio

import pytest
from result import Ok

from godwitlanding.base.messages import Heartbeat, State, VersionOf
from godwitlanding.daemons.daemon import make_context
from godwitlanding.daemons.services.members import Members
from godwitlanding.tests.daemons.support_entry import make_settings

pytestmark = pytest.mark.looptime

HEARTBEAT = Heartbeat("b", "i-b", versions=(VersionOf("config", "main", 7),))


class SlowChannel:
    """A connection on which an answer takes ``took_s``."""

    def __init__(self, took_s):
        self.calls = 0
        self._took_s = took_s

    async def call(self, message, timeout_s):
        self.calls += 1
        await asyncio.sleep(self._took_s)
        return Ok(State("config", "main", 7, b"{}"))


async def test_object_is_requested_once_while_it_is_arriving():
    # Guards against a large object that is requested again with every
    # heartbeat of every member while it is on its way.
    context = make_context("zone", make_settings("127.0.0.1"))
    members = Members(context)
    channel = SlowChannel(took_s=2.0)
    heartbeats = []
    for _ in range(10):
        heartbeats.append(
            asyncio.create_task(members._fetch_missing(channel, HEARTBEAT))
        )
        await asyncio.sleep(0.3)
    await asyncio.gather(*heartbeats)
    assert context.replica.get_version("config", "main") == 7
    assert channel.calls == 1
