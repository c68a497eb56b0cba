"""Small pages: where to connect, whether this VM serves, its metrics.

Served by the protocol that callers' requests come by (``gateway.caller``),
so that a process has one server: uvicorn and starlette would take 5.6 of its
33 MB, which is dear on small VMs, and a quarter of the time of its start, in
which callers wait after a power cut.
"""

import asyncio
from typing import NamedTuple
from urllib.parse import parse_qsl

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.decisions.routes import Limits
from godwitlanding.gateway.caller import CallerConnection

BACKLOG = 512
# Askers keep connections for the seconds between two questions.
IDLE_S = 15.0


class Page(NamedTuple):
    """What is answered to a question."""

    status: int
    content_type: str
    body: bytes


class PageServer(Service):
    """Serves pages at an address; answers take no time.

    ``page_by_path`` has a function for each path that takes the query's
    fields by name and returns a ``Page``.
    """

    def __init__(self, name, address, page_by_path, needs=()):
        self.name = name
        self.needs = needs
        self._address = address
        self._page_by_path = page_by_path
        self._server = None
        self._connections = set()
        self.limits = Limits()
        self.closes = False

    async def start(self, kernel):
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), *self._address, backlog=BACKLOG
        )

    async def stop(self):
        """Listen no longer."""
        self._server.close()
        for connection in list(self._connections):
            connection.reset()

    # What connections ask of their front.

    def get_idle_s(self):
        """Return the seconds after which an idle connection is closed."""
        return IDLE_S

    def add(self, connection):
        """Somebody has connected."""
        self._connections.add(connection)

    def remove(self, connection):
        """A connection has ended."""
        self._connections.discard(connection)

    def note_unreadable(self, exchange, status, reason):
        """A connection could not go on reading."""
        log_message("pages:unreadable", server=self.name, reason=reason)

    def take(self, exchange):
        """Answer a question."""
        path, _, query = exchange.target.decode("latin-1").partition("?")
        make_page = self._page_by_path.get(path)
        if make_page is None:
            page = Page(404, "text/plain", b"")
        else:
            page = make_page(dict(parse_qsl(query)))
        headers = [(b"content-type", page.content_type.encode())]
        exchange.answer(page.status, headers, page.body)
