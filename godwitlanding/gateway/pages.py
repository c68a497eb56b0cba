"""HTTP server for small pages: directory, readiness and metrics.

It uses the protocol class of callers' connections (``gateway.caller``), so
that a process needs no second HTTP server. uvicorn and starlette would use
5.6 MB of the process's 33 MB, too much for small VMs, and a quarter of the
startup time, during which callers wait after a power failure.
"""

import asyncio
from typing import NamedTuple
from urllib.parse import parse_qsl

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.decisions.routes import Limits
from godwitlanding.gateway.caller import CallerConnection

BACKLOG = 512
# Clients keep connections open between two requests, some seconds apart.
IDLE_S = 15.0


class Page(NamedTuple):
    """The response to a request for a page."""

    status: int
    content_type: str
    body: bytes


class PageServer(Service):
    """Serves pages at an address.

    ``page_by_path`` maps each path to a function that takes the query
    parameters as a dictionary and returns a ``Page`` without blocking.
    """

    def __init__(self, name, address, page_by_path, needs=()):
        self.name = name
        self.needs = needs
        self._address = address
        self._page_by_path = page_by_path
        self._server = None
        self._connections = set()
        self.limits = Limits()
        self.held_bytes = None
        self.close_after_response = False

    async def start(self, kernel):
        """Start to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), *self._address, backlog=BACKLOG
        )

    async def stop(self):
        """Stop listening and reset all connections."""
        self._server.close()
        for connection in list(self._connections):
            connection.reset()

    # The interface that ``CallerConnection`` expects of its ``front``.

    def get_idle_s(self):
        """Return the seconds after which an idle connection is closed."""
        return IDLE_S

    def add(self, connection):
        """Register a new connection."""
        self._connections.add(connection)

    def remove(self, connection):
        """Unregister a closed connection."""
        self._connections.discard(connection)

    def note_unreadable(self, exchange, status, reason):
        """Log a request that could not be parsed."""
        log_message("pages:unreadable", server=self.name, reason=reason)

    def take(self, exchange):
        """Respond to a request."""
        path, _, query = exchange.target.decode("latin-1").partition("?")
        make_page = self._page_by_path.get(path)
        if make_page is None:
            page = Page(404, "text/plain", b"")
        else:
            page = make_page(dict(parse_qsl(query)))
        headers = [(b"content-type", page.content_type.encode())]
        exchange.respond(page.status, headers, page.body)
