"""Listens for callers and drains their connections at shutdown.

A planned shutdown takes these steps, so that no request is cut off. The VM
announces that it is leaving, so that no directory returns its address. It
keeps serving callers that still use an earlier directory response, and refuses
requests that may not end in time (see ``decisions.stopschedule``). Then each
connection closes after its next response, and idle connections are closed.
Then the listening socket is closed. The process ends when no request is in
progress, and in any case before it is killed.
"""

import asyncio

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.decisions.routes import Limits, find_route
from godwitlanding.decisions.stopschedule import StopSchedule
from godwitlanding.gateway.caller import IDLE_GRACE_S, CallerConnection

BACKLOG = 1024
_POLL_INTERVAL_S = 0.02
# Time for callers to close their side of the connections at the end of a stop.
# A round trip to another region takes 0.13 s.
CLOSE_S = 0.15
# Requests that are logged when the end of the process cuts them off.
MAX_LOGGED_CUTS = 20
# Time for the body of a request that has no route, and will be refused.
DEFAULT_BODY_S = 5.0


class Front(Service):
    """The listening socket for callers and its connections.

    ``stop_s`` is the time in seconds between the stop signal and the kill.
    ``names`` are the header names and ``held_bytes`` is a ``HeldBytes``; both
    may be ``None`` where bytes are not counted. The front begins the
    ``stop_schedule``, which it shares with whatever accepts requests.
    """

    name = "front"
    needs = ("carrier", "peers", "registry", "relaylistener")
    # The service that handles its requests.
    handler_name = "carrier"

    def __init__(
        self, address, stop_s, names=None, held_bytes=None, stop_schedule=None
    ):
        self._address = address
        self._names = names
        self.held_bytes = held_bytes
        self.stop_s = stop_s
        self._stop_schedule = stop_schedule or StopSchedule()
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
        schedule = self._stop_schedule
        schedule.begin(_now(), self.stop_s)
        self._peers.leave()
        await self._wait_until(schedule.close_at)
        self.close_after_response = True
        while _now() < schedule.refuse_at:
            self._close_idle()
            await self._wait_until(min(schedule.refuse_at, _now() + 0.25))
        await self._finish()

    async def _finish(self):
        """Stop listening; end when no request is in progress."""
        began_at = _now()
        end_at = self._stop_schedule.end_at
        self._server.close()
        while self._is_busy() and _now() < end_at:
            self._close_idle()
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._log_stopped(began_at)
        for connection in list(self._connections):
            connection.close_if_unused()
        closed_by = min(end_at, _now() + CLOSE_S)
        while self._connections and _now() < closed_by:
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _log_stopped(self, began_at):
        now = _now()
        cut = [
            (self.get_request_id(exchange), exchange.begun_at)
            for connection in self._connections
            for exchange in connection.get_unanswered()
        ]
        log_message(
            "front:stopped",
            closed_for_s=round(now - began_at, 3),
            left_s=round(self._stop_schedule.end_at - now, 3),
            in_progress=self._request_handler.get_in_progress(),
            connections=len(self._connections),
            unanswered=len(cut),
        )
        for request_id, begun_at in cut[:MAX_LOGGED_CUTS]:
            log_message(
                "front:cut",
                level="warning",
                request=request_id,
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

    def refuse_unread(self, exchange, code, retry_after_s):
        """Refuse a request of which the body has not been read."""
        self._request_handler.refuse_unread(exchange, code, retry_after_s)

    def may_read_body(self, respond_by):
        """Return whether a request may end after its body has been read.

        ``respond_by`` is when its caller gets a response in any case.
        """
        return self._stop_schedule.may_accept(respond_by, 0.0, _now())

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
        its socket may be small; it would be cut off at the end. The first
        request of a new connection may be in transit.
        """
        if self._request_handler.get_in_progress():
            return True
        return any(
            connection.is_busy() or connection.awaits_first_request()
            for connection in self._connections
        )

    def _close_idle(self):
        for connection in list(self._connections):
            connection.close_if_idle()

    async def _wait_until(self, deadline):
        while (left_s := deadline - _now()) > 0:
            await asyncio.sleep(min(left_s, 0.25))


def _now():
    return asyncio.get_running_loop().time()
