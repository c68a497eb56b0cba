"""An HTTP server that can crash and restart within one process.

uvicorn's own server runs until its process ends. A stand-in that hosts many
upstreams must be able to crash one of them, that is, refuse new connections
to it and reset the open ones, while the other upstreams keep serving.
"""

import asyncio
import socket
import struct

from uvicorn import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
KEEP_ALIVE_S = 60
BACKLOG = 512


class _Protocol(HttpToolsProtocol):
    """Passes its transport to the app, which can then reset it."""

    def on_message_begin(self):
        super().on_message_begin()
        self.scope["state"]["transport"] = self.transport


class Listener:
    """Serves an ASGI app on ``host:port``."""

    def __init__(self, app, host, port):
        self._config = Config(
            app,
            loop="asyncio",
            http=_Protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_keep_alive=KEEP_ALIVE_S,
        )
        self._config.load()
        self._state = ServerState()
        self._host = host
        self._port = port
        self._server = None

    @property
    def is_open(self):
        """Tell whether the server is listening."""
        return self._server is not None

    async def start(self):
        """Start listening; raises ``OSError`` if the port is not available."""

        def make_protocol():
            return _Protocol(self._config, self._state, {})

        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            make_protocol, self._host, self._port, backlog=BACKLOG
        )

    def crash(self):
        """Stop listening and reset every connection."""
        if self._server:
            self._server.close()
            self._server = None
        for connection in list(self._state.connections):
            reset(connection.transport)


def reset(transport):
    """Abort a connection so that the peer sees a reset, not an end of file."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
