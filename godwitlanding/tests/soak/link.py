"""A loopback proxy that stands for a link, with faults to turn on."""

import asyncio

from godwitlanding.tests.standins.listener import reset

_READ_BYTES = 65536


class Link:
    """Passes connections at ``address`` on to ``target``.

    ``mode`` is ``open``, ``delayed`` (each piece by ``delay_s``), ``silent``
    (nothing passes, nothing ends) or cut one way: ``deaf_up`` loses what is
    sent to the target, ``deaf_down`` what comes back. What was held up by a
    silent link passes when it is open again.
    """

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.mode = "open"
        self.delay_s = 0.0
        self._server = None
        self._writers = set()
        self._opened = asyncio.Event()
        self._opened.set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._pass_on, *self.address)
        return self

    def stop(self):
        """Listen no longer and reset what is open."""
        self._server.close()
        self._opened.set()
        self.reset()

    def set_mode(self, mode, delay_s=0.0):
        """Change how the link behaves, also for open connections."""
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

    async def _pass_on(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._opened.wait()
            upward = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer.transport)
            self._writers.discard(writer)
            return
        self._writers.add(upward[1])
        try:
            await asyncio.gather(
                self._pump(reader, upward[1], "deaf_up"),
                self._pump(upward[0], writer, "deaf_down"),
            )
        except OSError:
            reset(writer.transport)
            reset(upward[1].transport)
        finally:
            self._writers -= {writer, upward[1]}

    async def _pump(self, reader, writer, deaf):
        while data := await reader.read(_READ_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._opened.wait()
            if self.mode != deaf:
                writer.write(data)
                await writer.drain()
        await self._opened.wait()
        if writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()
