"""Stand-ins of a zone daemon and of a zone's other members."""

import asyncio

from godwitlanding.base.messages import (
    PROTOCOL_VERSION,
    Fetch,
    Heartbeat,
    Hello,
    State,
    Subscribe,
)
from godwitlanding.base.metrics import Counters
from godwitlanding.base.wire import Pool, Server

HEARTBEAT_S = 0.3


class StandinZoneDaemon:
    """A zone daemon that only pushes states to whoever subscribes."""

    def __init__(self, states, vm="vm", zone="zone"):
        self.states = list(states)
        hello = Hello(PROTOCOL_VERSION, "zone", vm, zone, "stand-in")
        handlers = {Subscribe: self._subscribe, Fetch: self._fetch}
        self.server = Server(hello, handlers, Counters())

    async def push(self, state):
        """Send a changed state to every subscriber."""
        self.states.append(state)
        for channel in self.server.channels:
            channel.send(state)

    async def _subscribe(self, channel, message):
        asyncio.ensure_future(self._push_all(channel, message.kinds))

    async def _push_all(self, channel, kinds):
        for state in list(self.states):
            if state.kind in kinds:
                channel.send(state)
                # The real daemon lets others in between two pieces as well.
                await asyncio.sleep(0.001)

    async def _fetch(self, channel, message):
        wanted = (message.kind, message.name)
        found = [s for s in self.states if (s.kind, s.name) == wanted]
        return found[-1] if found else None


class StandinPeer:
    """Another member of the zone that only sends and takes heartbeats."""

    def __init__(self, vm, address, zone, port, dials):
        self.versions = ()
        self._vm = vm
        self._address = address
        self._port = port
        self._dials = dials
        hello = Hello(PROTOCOL_VERSION, "zone", vm, zone, f"{vm}-1")
        handlers = {Heartbeat: self._take, State: self._take}
        self._server = Server(hello, handlers, Counters())
        self._pool = Pool(hello, handlers, Counters())

    async def start(self):
        """Listen and begin the heartbeats."""
        await self._server.start(self._address, self._port)
        self._task = asyncio.ensure_future(self._beat())

    async def stop(self):
        """End the heartbeats."""
        self._task.cancel()
        await self._pool.stop()
        await self._server.stop()

    async def _take(self, channel, message):
        return None

    async def _beat(self):
        while True:
            heartbeat = Heartbeat(
                self._vm,
                f"{self._vm}-1",
                False,
                self.versions,
                f"{self._vm}-entry-1",
                False,
                self._address,
            )
            await self._pool.send(self._dials, heartbeat)
            await asyncio.sleep(HEARTBEAT_S)
