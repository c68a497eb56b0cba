"""Sends and receives the datagrams between VMs."""

import asyncio

from eliot import log_message

from godwitlanding.gateway.gossipmessage import MAX_DATAGRAM_BYTES, encode_message


class DatagramSocket:
    """A socket for bulletins; ``hear(data, host)`` takes what arrives."""

    def __init__(self, ip, port, on_datagram):
        self._address = (ip, port)
        self._on_datagram = on_datagram
        self._transport = None

    async def open(self):
        """Listen."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._on_datagram), local_addr=self._address
        )

    def is_open(self):
        """Tell whether it has been opened."""
        return self._transport is not None

    def close(self):
        """Listen no longer."""
        self._transport.close()

    def send(self, message, hosts):
        """Send a bulletin to some hosts; the port is the same everywhere."""
        data = encode_message(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            log_message("peers:too_long", level="error", bytes=len(data))
            return
        _, port = self._address
        for host in hosts:
            self._transport.sendto(data, (host, port))


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, on_datagram):
        self._on_datagram = on_datagram

    def datagram_received(self, data, address):
        self._on_datagram(data, address[0])

    def error_received(self, error):
        # A peer whose process is down answers that its port is closed; that
        # it is silent is noticed anyway.
        pass
