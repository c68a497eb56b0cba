"""A TCP proxy that simulates a network link with faults."""

import asyncio
import socket

from godwitlanding.tests.standins.listener import reset

_READ_BYTES = 65536


class Link:
    """Forwards connections from ``address`` to ``target``.

    ``mode`` is one of

    - ``open``: forward all data.
    - ``delayed``: delay each piece of data by ``delay_s``.
    - ``silent``: forward no data and no end of file. They are held back and
      forwarded when the link is open again.
    - ``deaf_up``: drop the data sent to the target.
    - ``deaf_down``: drop the data sent by the target.

    With ``buffer_bytes``, its socket buffers have this size, so that the
    target notices that the other side does not read.
    """

    def __init__(self, address, target, buffer_bytes=0):
        self.address = address
        self.target = target
        self._buffer_bytes = buffer_bytes
        self.mode = "open"
        self.delay_s = 0.0
        self._server = None
        self._writers = set()
        self._opened = asyncio.Event()
        self._opened.set()

    async def start(self):
        """Start listening."""
        self._server = await asyncio.start_server(self._proxy, *self.address)
        return self

    def stop(self):
        """Stop listening and reset all connections."""
        self._server.close()
        self._opened.set()
        self.reset()

    def set_mode(self, mode, delay_s=0.0):
        """Change the mode, also for open connections."""
        self.mode = mode
        self.delay_s = delay_s
        if mode == "silent":
            self._opened.clear()
        else:
            self._opened.set()

    def reset(self):
        """Reset every open connection, on both sides."""
        for writer in list(self._writers):
            reset(writer.transport)

    async def _proxy(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._opened.wait()
            target_streams = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer.transport)
            self._writers.discard(writer)
            return
        self._writers.add(target_streams[1])
        self._bound_buffers(writer, target_streams[1])
        try:
            await asyncio.gather(
                self._forward(reader, target_streams[1], "deaf_up"),
                self._forward(target_streams[0], writer, "deaf_down"),
            )
        except OSError:
            reset(writer.transport)
            reset(target_streams[1].transport)
        finally:
            self._writers -= {writer, target_streams[1]}

    def _bound_buffers(self, *writers):
        if not self._buffer_bytes:
            return
        for writer in writers:
            sock = writer.get_extra_info("socket")
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                sock.setsockopt(socket.SOL_SOCKET, option, self._buffer_bytes)

    async def _forward(self, reader, writer, loss_mode):
        while data := await reader.read(_READ_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._opened.wait()
            if self.mode != loss_mode:
                writer.write(data)
                await writer.drain()
        await self._opened.wait()
        if writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()
