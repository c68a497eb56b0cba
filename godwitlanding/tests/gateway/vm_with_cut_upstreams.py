"""A ``godwit-vm`` whose links to upstreams are cut as a file tells.

The file has the suffix ``.cut`` and holds the mode as JSON; without it no link
is cut. Links to the store and to callers are never affected; gossip messages
are lost as in ``soak.vm_with_bad_links``.

- ``hang``: nothing passes in either direction, and connecting times out.
- ``reset``: open connections are reset, and connecting is refused.
- ``refuse``: open connections live on, and connecting is refused.
"""

import asyncio
import json
import sys
import weakref
from pathlib import Path

from godwitlanding import vm
from godwitlanding.gateway.datagrams import DatagramSocket
from godwitlanding.gateway.upstream import (
    UpstreamConnection,
    UpstreamError,
    UpstreamFailure,
    UpstreamPool,
)
from godwitlanding.tests.gateway.world import WORKER_PORT
from godwitlanding.tests.soak import vm_with_bad_links

SUFFIX = ".cut"
POLL_INTERVAL_S = 0.02
# As the system does: unacknowledged data ends a connection after the user
# timeout, silence ends an idle one by its keep-alive probes.
USER_TIMEOUT_S = 0.9
KEEPALIVE_S = 3.0


class CutLinks:
    """The current mode, and the open connections to upstreams."""

    def __init__(self, path):
        self._path = path
        self._connections = weakref.WeakSet()
        self.mode = ""

    async def follow_file(self):
        """Apply each change of the mode; runs until it is cancelled."""
        while True:
            mode = self._read_mode()
            if mode != self.mode:
                self.mode = mode
                self._cut_connections()
            await asyncio.sleep(POLL_INTERVAL_S)

    def add(self, connection):
        """Register a connection to an upstream."""
        self._connections.add(connection)

    def lose(self, connection, error):
        """End a connection as the system does after an error."""
        if connection.is_open:
            connection.connection_lost(error)
            connection.abort()

    def _read_mode(self):
        try:
            return json.loads(self._path.read_text())
        except (OSError, ValueError):
            return ""

    def _cut_connections(self):
        loop = asyncio.get_running_loop()
        for connection in list(self._connections):
            if self.mode == "reset":
                self.lose(connection, ConnectionResetError())
            elif self.mode == "hang":
                loop.call_later(KEEPALIVE_S, self._lose_silent, connection)

    def _lose_silent(self, connection):
        if self.mode == "hang":
            self.lose(connection, TimeoutError())


def install(links):
    """Let all connections to upstreams follow ``links``."""
    original_connect = UpstreamPool.connect
    original_send = UpstreamConnection.send
    original_data_received = UpstreamConnection.data_received

    async def connect(self, upstream, address, timeout_s):
        if address[1] != WORKER_PORT:
            return await original_connect(self, upstream, address, timeout_s)
        if links.mode:
            await asyncio.sleep(timeout_s if links.mode == "hang" else 0.0)
            raise UpstreamError(UpstreamFailure.CONNECT, f"cut: {links.mode}")
        connection = await original_connect(self, upstream, address, timeout_s)
        links.add(connection)
        connection.goes_to_upstream = True
        return connection

    def send(self, data, *arguments):
        is_cut = links.mode == "hang" and getattr(self, "goes_to_upstream", False)
        if is_cut:
            loop = asyncio.get_running_loop()
            loop.call_later(USER_TIMEOUT_S, links.lose, self, TimeoutError())
        return original_send(self, b"" if is_cut else data, *arguments)

    def data_received(self, data):
        if links.mode == "hang" and getattr(self, "goes_to_upstream", False):
            return
        original_data_received(self, data)

    UpstreamPool.connect = connect
    UpstreamConnection.send = send
    UpstreamConnection.data_received = data_received


def main():
    """Run the program with links that can be cut."""
    path = Path(sys.argv[sys.argv.index("--settings") + 1]).with_suffix(SUFFIX)
    links = CutLinks(path)
    install(links)
    lossy_path = path.with_suffix(vm_with_bad_links.SUFFIX)
    DatagramSocket.send = vm_with_bad_links.make_lossy_send(
        DatagramSocket.send, lossy_path
    )
    original_init = UpstreamPool.__init__
    tasks = []

    def init(self, *arguments, **keywords):
        original_init(self, *arguments, **keywords)
        if not tasks:
            loop = asyncio.get_running_loop()
            tasks.append(loop.create_task(links.follow_file()))

    UpstreamPool.__init__ = init
    return vm.main()


if __name__ == "__main__":
    sys.exit(main())
