"""Listens for callers, and ends their connections when the process stops.

A planned stop goes in this order, so that it cuts off nobody: the VM says
that it leaves, so that no directory names it; callers whose answers are
still in use are served on; then each answer ends its connection and idle
connections are closed; then nothing new is accepted; and the process ends
when nothing is in progress, before it is killed.
"""

import asyncio

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.decisions.routes import Limits
from godwitlanding.gateway.caller import IDLE_GRACE_S, CallerConnection

BACKLOG = 1024
# Shares of the time until the process is killed. Callers hear within 1 s
# (their answers' lifetime) that the VM leaves, those that keep answers three
# times as long within 3 s, which is half of 6 s.
CLOSE_AT_SHARE = 0.35
REFUSE_AT_SHARE = 0.52
END_AT_SHARE = 0.92
_LOOK_S = 0.02


class Front(Service):
    """The listening socket of callers and their connections."""

    name = "front"
    needs = ("carrier", "peers", "registry")

    def __init__(self, address, stop_s):
        self._address = address
        self.stop_s = stop_s
        self._server = None
        self._connections = set()
        self._carrier = None
        self._peers = None
        self._former_idle_s = 0.0
        self._former_until = 0.0
        self.limits = Limits()
        self.closes = False

    async def start(self, kernel):
        """Listen at once; requests are refused until enough is known."""
        self._carrier = kernel.get("carrier")
        self._peers = kernel.get("peers")
        kernel.get("registry").on_config.append(self._take_limits)
        loop = asyncio.get_running_loop()
        host, port = self._address
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=BACKLOG
        )

    async def stop(self):
        """Serve until callers have gone elsewhere; see the module."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        self._peers.leave()
        await self._wait_until(begun + CLOSE_AT_SHARE * self.stop_s)
        self.closes = True
        self._end_idle()
        await self._wait_until(begun + REFUSE_AT_SHARE * self.stop_s)
        self._server.close()
        while loop.time() < begun + END_AT_SHARE * self.stop_s:
            if not self._carrier.get_in_progress():
                break
            await asyncio.sleep(_LOOK_S)
        log_message("front:stopped", in_progress=self._carrier.get_in_progress())

    def is_listening(self):
        """Tell whether callers can connect."""
        return self._server is not None and self._server.is_serving()

    def get_status(self):
        """Return the number of callers' connections."""
        return {"connections": len(self._connections)}

    def get_idle_s(self):
        """Return the seconds after which an idle connection is closed."""
        idle_s = self.limits.idle_timeout_s
        if asyncio.get_running_loop().time() < self._former_until:
            idle_s = max(idle_s, self._former_idle_s)
        return idle_s

    def add(self, connection):
        """A caller has connected."""
        self._connections.add(connection)

    def remove(self, connection):
        """A caller's connection has ended."""
        self._connections.discard(connection)

    def take(self, exchange):
        """Hand a request on."""
        self._carrier.take(exchange)

    def note_unreadable(self, exchange, status, reason):
        """A connection could not go on reading."""
        self._carrier.note_unreadable(exchange, status, reason)

    def _take_limits(self, config):
        former = self.limits
        self.limits = config.limits
        if former.idle_timeout_s > self.limits.idle_timeout_s:
            self._former_idle_s = former.idle_timeout_s
            now = asyncio.get_running_loop().time()
            self._former_until = now + former.idle_timeout_s + IDLE_GRACE_S

    def _end_idle(self):
        for connection in list(self._connections):
            connection.end_if_idle()

    async def _wait_until(self, moment):
        while (left_s := moment - asyncio.get_running_loop().time()) > 0:
            await asyncio.sleep(min(left_s, 0.25))
