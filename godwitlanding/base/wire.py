"""Remote calls between processes: framed messages over TCP.

A connection starts with a ``Hello`` in each direction. After that either
side may call the other (``base.channel``).

>>> server = Server(hello, {Fetch: handle_fetch}, counters)
>>> await server.start("127.0.1.1", 7101)
>>> response = await pool.call("127.0.1.1:7101", Fetch("config", "main"), 1.0)
"""

import asyncio

from result import Err, Ok

from godwitlanding.base.channel import Channel
from godwitlanding.base.codes import Code, make_refusal

# Closed connections end within one or two iterations of the event loop.
STOP_WAIT_S = 0.5
CONNECT_TIMEOUT_S = 1.0


class Server:
    """Accepts connections and handles their calls.

    Handlers are coroutine functions ``handler(channel, message)`` that
    return the response; ``None`` is sent as ``Ack``.
    """

    def __init__(self, hello, handler_by_type, counters, on_channel=None):
        self.channels = set()
        self._hello = hello
        self._handler_by_type = handler_by_type
        self._counters = counters
        self._on_channel = on_channel
        self._server = None
        self._channel_by_task = {}

    async def start(self, host, port):
        """Start listening on ``host:port``."""
        self._server = await asyncio.start_server(self._accept, host, port)

    def get_port(self):
        """Return the port on which the server listens."""
        return self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Close the listener and every connection."""
        if self._server:
            self._server.close()
        for channel in self._channel_by_task.values():
            channel.close()
        # A task that is still reading when the event loop ends is cancelled,
        # which asyncio's streams print as an unexpected error.
        if self._channel_by_task:
            await asyncio.wait(list(self._channel_by_task), timeout=STOP_WAIT_S)

    async def _accept(self, reader, writer):
        channel = Channel(
            reader, writer, self._hello, self._handler_by_type, self._counters
        )
        task = asyncio.current_task()
        self._channel_by_task[task] = channel
        try:
            await self._serve(channel)
        finally:
            del self._channel_by_task[task]

    async def _serve(self, channel):
        handshake_result = await channel.handshake()
        if handshake_result.is_err():
            channel.close()
            return
        self.channels.add(channel)
        if self._on_channel:
            self._on_channel(channel)
        try:
            await channel.run()
        finally:
            self.channels.discard(channel)


class Pool:
    """Connects to peers by ``host:port``; keeps one connection to each."""

    def __init__(self, hello, handler_by_type, counters):
        self._hello = hello
        self._handler_by_type = handler_by_type
        self._counters = counters
        self._channel_by_address = {}
        self._dial_by_address = {}
        self._tasks = set()

    def find_open_channel(self, address):
        """Return the open channel to ``address``, or ``None``."""
        channel = self._channel_by_address.get(address)
        return channel if channel and not channel.closed.is_set() else None

    async def get_channel(self, address):
        """Return ``Ok(channel)`` to ``address``; connect if necessary."""
        channel = self.find_open_channel(address)
        if channel:
            return Ok(channel)
        dial = self._dial_by_address.get(address)
        if dial is None:
            dial = asyncio.ensure_future(self._dial(address))
            self._dial_by_address[address] = dial
            dial.add_done_callback(lambda _: self._dial_by_address.pop(address))
        # Shielded: cancelling one waiter must not fail the others.
        return await asyncio.shield(dial)

    async def call(self, address, message, timeout_s):
        """Call the peer at ``address``, as ``Channel.call`` does."""
        channel = self.find_open_channel(address)
        if channel:
            return await channel.call(message, timeout_s)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        try:
            connected = await asyncio.wait_for(self.get_channel(address), timeout_s)
        except TimeoutError:
            return Err(make_refusal(Code.PEER_UNREACHABLE))
        if connected.is_err():
            return connected
        return await connected.unwrap().call(message, max(0.0, deadline - loop.time()))

    async def send(self, address, message):
        """Send a message without a response; ``Err`` if not connected."""
        connected = await self.get_channel(address)
        if connected.is_ok():
            connected.unwrap().send(message)
        return connected

    def drop(self, address):
        """Close the connection to ``address``, if any."""
        channel = self._channel_by_address.pop(address, None)
        if channel:
            channel.close()

    async def stop(self):
        """Close every connection."""
        for address in list(self._channel_by_address):
            self.drop(address)
        dials = list(self._dial_by_address.values())
        for dial in dials:
            dial.cancel()
        await asyncio.gather(*dials, return_exceptions=True)

    async def _dial(self, address):
        host, _, port = address.rpartition(":")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError) as error:
            return Err(make_refusal(Code.PEER_UNREACHABLE, detail=str(error)))
        channel = Channel(
            reader, writer, self._hello, self._handler_by_type, self._counters
        )
        handshake_result = await channel.handshake()
        if handshake_result.is_err():
            channel.close()
            return handshake_result
        self._channel_by_address[address] = channel
        task = asyncio.ensure_future(channel.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return Ok(channel)
