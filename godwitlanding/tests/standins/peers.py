"""Stand-ins for a zone daemon and for the other members of a zone."""

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

HEARTBEAT_INTERVAL_S = 0.3


class StandinZoneDaemon:
    """A zone daemon that only sends states to its subscribers."""

    def __init__(self, states, vm="vm", zone="zone"):
        self.states = list(states)
        hello = Hello(PROTOCOL_VERSION, "zone", vm, zone, "stand-in")
        handlers = {Subscribe: self._subscribe, Fetch: self._fetch}
        self.server = Server(hello, handlers, Counters())

    async def push(self, state):
        """Add a changed state and send it to every subscriber."""
        self.states.append(state)
        for channel in self.server.channels:
            channel.send(state)

    async def _subscribe(self, channel, message):
        asyncio.ensure_future(self._push_all(channel, message.kinds))

    async def _push_all(self, channel, kinds):
        for state in list(self.states):
            if state.kind in kinds:
                channel.send(state)
                # The real daemon also yields to other tasks between states.
                await asyncio.sleep(0.001)

    async def _fetch(self, channel, message):
        key = (message.kind, message.name)
        found = [s for s in self.states if (s.kind, s.name) == key]
        return found[-1] if found else None


class StandinPeer:
    """A member of the zone that only sends and accepts heartbeats.

    ``daemon_address`` is where it sends them.
    """

    def __init__(self, vm, address, zone, port, daemon_address):
        self.versions = ()
        self._vm = vm
        self._address = address
        self._port = port
        self._daemon_address = daemon_address
        hello = Hello(PROTOCOL_VERSION, "zone", vm, zone, f"{vm}-1")
        handlers = {Heartbeat: self._ignore, State: self._ignore}
        self._server = Server(hello, handlers, Counters())
        self._pool = Pool(hello, handlers, Counters())

    async def start(self):
        """Start the server and the heartbeats."""
        await self._server.start(self._address, self._port)
        self._task = asyncio.ensure_future(self._send_heartbeats())

    async def stop(self):
        """Stop the heartbeats, the connections and the server."""
        self._task.cancel()
        await self._pool.stop()
        await self._server.stop()

    async def _ignore(self, channel, message):
        return None

    async def _send_heartbeats(self):
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
            await self._pool.send(self._daemon_address, heartbeat)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
