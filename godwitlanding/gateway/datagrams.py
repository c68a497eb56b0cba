"""Sends and receives gossip messages as UDP datagrams."""

import asyncio

from eliot import log_message

from godwitlanding.gateway.gossipmessage import MAX_DATAGRAM_BYTES, encode_message


class DatagramSocket:
    """A UDP socket; calls ``on_datagram(data, host)`` for each datagram."""

    def __init__(self, ip, port, on_datagram):
        self._address = (ip, port)
        self._on_datagram = on_datagram
        self._transport = None

    async def open(self):
        """Bind the socket and begin to receive."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._on_datagram), local_addr=self._address
        )

    def is_open(self):
        """Return whether the socket has been opened."""
        return self._transport is not None

    def close(self):
        """Close the socket."""
        self._transport.close()

    def send(self, message, hosts):
        """Send a message to ``hosts``, on the port that all VMs share."""
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
        # The host of a stopped process answers that the port is closed. Its
        # silence is detected elsewhere, so the error is ignored.
        pass
