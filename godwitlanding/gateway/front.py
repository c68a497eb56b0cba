"""Listens for callers and drains their connections at shutdown.

A planned shutdown takes these steps, so that no request is cut off. The VM
announces that it is leaving, so that no directory returns its address. It
keeps serving callers that still use an earlier directory response. Then each
connection closes after its next response, and idle connections are closed.
Then the listening socket is closed. The process ends when no request is in
progress, and in any case before it is killed.
"""

import asyncio

from eliot import log_message

from godwitlanding.base.codes import Code
from godwitlanding.base.kernel import Service
from godwitlanding.decisions.routes import Limits, find_route
from godwitlanding.gateway.caller import IDLE_GRACE_S, CallerConnection

BACKLOG = 1024
# Shares of the time until the process is killed. Callers learn within 1 s (the
# lifetime of a directory response) that the VM is leaving. Those that keep a
# response three times as long learn it within 3 s, half of a 6 s timeout.
CLOSE_AT_SHARE = 0.35
REFUSE_AT_SHARE = 0.52
END_AT_SHARE = 0.92
_POLL_INTERVAL_S = 0.02
# Requests that are logged when the end of the process cuts them off.
MAX_LOGGED_CUTS = 20
# Time for the body of a request that has no route, and will be refused.
DEFAULT_BODY_S = 5.0


class Front(Service):
    """The listening socket for callers and its connections.

    ``stop_s`` is the time in seconds between the stop signal and the kill.
    ``names`` are the header names and ``held_bytes`` is a ``HeldBytes``; both
    may be ``None`` where bytes are not counted.
    """

    name = "front"
    needs = ("carrier", "peers", "registry", "relaylistener")
    # The service that handles its requests.
    handler_name = "carrier"

    def __init__(self, address, stop_s, names=None, held_bytes=None):
        self._address = address
        self._names = names
        self.held_bytes = held_bytes
        self.stop_s = stop_s
        self._server = None
        self._connections = set()
        self._request_handler = None
        self._peers = None
        self._registry = None
        self._previous_idle_s = 0.0
        self._previous_idle_until = 0.0
        self.limits = Limits()
        self.close_after_response = False

    async def start(self, kernel):
        """Start to listen; requests are refused until the VM is ready."""
        self._request_handler = kernel.get(self.handler_name)
        self._peers = kernel.get("peers")
        self._registry = kernel.get("registry")
        self._registry.on_config.append(self._apply_limits)
        loop = asyncio.get_running_loop()
        host, port = self._address
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=BACKLOG
        )

    async def stop(self):
        """Drain connections; see the module docstring for the steps."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._peers.leave()
        await self._wait_until(started_at + CLOSE_AT_SHARE * self.stop_s)
        self.close_after_response = True
        self._close_idle()
        await self._wait_until(started_at + REFUSE_AT_SHARE * self.stop_s)
        self._server.close()
        while loop.time() < started_at + END_AT_SHARE * self.stop_s:
            if not self._is_busy():
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._log_stopped(started_at)

    def _log_stopped(self, started_at):
        now = asyncio.get_running_loop().time()
        cut = [
            (self.get_request_id(exchange), exchange.begun_at)
            for connection in self._connections
            for exchange in connection.get_unanswered()
        ]
        log_message(
            "front:stopped",
            after_s=round(now - started_at, 3),
            in_progress=self._request_handler.get_in_progress(),
            connections=len(self._connections),
            unanswered=len(cut),
        )
        for request_id, begun_at in cut[:MAX_LOGGED_CUTS]:
            log_message(
                "front:cut",
                level="warning",
                request=request_id,
                taken_s=round(begun_at - started_at, 3),
                age_s=round(now - begun_at, 3),
            )

    def is_listening(self):
        """Return whether callers can connect."""
        return self._server is not None and self._server.is_serving()

    def get_status(self):
        """Return the number of callers' connections."""
        return {"connections": len(self._connections)}

    def get_idle_s(self):
        """Return the seconds after which an idle connection is closed."""
        idle_s = self.limits.idle_timeout_s
        if asyncio.get_running_loop().time() < self._previous_idle_until:
            idle_s = max(idle_s, self._previous_idle_s)
        return idle_s

    def add(self, connection):
        """Register a new connection."""
        self._connections.add(connection)

    def remove(self, connection):
        """Unregister a closed connection."""
        self._connections.discard(connection)

    def take(self, exchange):
        """Pass a request to the request handler."""
        task = self._request_handler.take(exchange)
        if exchange.hold:
            # An attempt may need the body until the request has ended, also
            # after its caller has disconnected.
            task.add_done_callback(lambda _: exchange.hold.release())

    def refuse_held(self, exchange, retry_after_s):
        """Refuse a request of which the body has not been read."""
        self._request_handler.refuse_unread(exchange, Code.BYTES_HELD, retry_after_s)

    def get_request_id(self, exchange):
        """Return the caller's id of a request as text."""
        return exchange.get_header(self._names.request_id).decode("latin-1")

    def get_body_s(self, exchange):
        """Return the seconds within which a request gets its response.

        This is the caller's deadline, but at most the timeout of the route.
        """
        config = self._registry.config
        target = exchange.target.decode("latin-1")
        host_name = exchange.get_host_name()
        route = find_route(config, host_name, target) if config else None
        timeout_s = route.timeout_s if route else DEFAULT_BODY_S
        deadline_s = exchange.get_deadline_s(self._names.deadline_ms, timeout_s)
        return min(timeout_s, deadline_s)

    def note_unreadable(self, exchange, status, reason):
        """Record a request that could not be parsed."""
        self._request_handler.note_unreadable(exchange, status, reason)

    def _apply_limits(self, config):
        previous = self.limits
        self.limits = config.limits
        if previous.idle_timeout_s > self.limits.idle_timeout_s:
            self._previous_idle_s = previous.idle_timeout_s
            now = asyncio.get_running_loop().time()
            self._previous_idle_until = now + previous.idle_timeout_s + IDLE_GRACE_S

    def _is_busy(self):
        """Return whether requests are in progress or responses are unsent.

        The process holds what a slow caller has not read, since the buffers of
        its socket may be small; it would be cut off at the end.
        """
        if self._request_handler.get_in_progress():
            return True
        return any(connection.is_busy() for connection in self._connections)

    def _close_idle(self):
        for connection in list(self._connections):
            connection.close_if_idle()

    async def _wait_until(self, deadline):
        while (left_s := deadline - asyncio.get_running_loop().time()) > 0:
            await asyncio.sleep(min(left_s, 0.25))
