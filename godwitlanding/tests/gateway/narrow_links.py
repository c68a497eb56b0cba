"""Links of limited bandwidth between real VMs, and from them to the store.

Each VM has one bandwidth in each direction. All its connections share it, as
on a machine's own network link.
"""

import asyncio
import random
import socket

from godwitlanding.tests.standins.listener import reset

# Offset of the port on which a VM listens for peers; the link listens on the
# port that the peers know.
PORT_OFFSET = 20
_CHUNK_BYTES = 4096
_SOCKET_BUFFER_BYTES = 16 << 10
# A lost packet holds up a connection until it is sent again.
RESEND_S = 0.2
_MBIT_BYTES = 125_000


class Bandwidth:
    """One direction of a VM's link; data passes in the order of its arrival.

    ``share_taken`` is the share that other data takes, such as responses to
    callers. ``loss_share`` is the share of lost packets.
    """

    def __init__(self, mbps, share_taken=0.0, loss_share=0.0):
        self._bytes_per_s = mbps * _MBIT_BYTES * (1 - share_taken)
        self._free_at = 0.0
        self._loss_share = loss_share
        self.passed_bytes = 0

    async def carry(self, count):
        """Wait until ``count`` bytes have passed."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(self._free_at, now) + count / self._bytes_per_s
        self.passed_bytes += count
        await asyncio.sleep(self._free_at - now)
        if random.random() < self._loss_share:
            await asyncio.sleep(RESEND_S)


class LinkEnd:
    """A VM's link: the bandwidths for what it sends and what it receives."""

    def __init__(self, mbps, share_taken=0.0, loss_share=0.0):
        self.sent = Bandwidth(mbps, share_taken, loss_share)
        self.received = Bandwidth(mbps, share_taken, loss_share)


UNLIMITED = LinkEnd(10_000.0)


class NarrowLink:
    """Forwards connections from ``address`` to ``target``.

    ``target_end`` is the ``LinkEnd`` of the target, and ``end_by_host`` has
    those of the hosts that connect.
    """

    def __init__(self, address, target, target_end, end_by_host):
        self._address = address
        self._target = target
        self._target_end = target_end
        self._end_by_host = end_by_host
        self._server = None
        self._writers = set()

    async def start(self):
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, *self._address)
        return self

    def stop(self):
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            reset(writer.transport)

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            reset(writer.transport)
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        for each in (writer, target_writer):
            _bound_buffers(each)
        host = writer.get_extra_info("peername")[0]
        end = self._end_by_host.get(host, UNLIMITED)
        try:
            await asyncio.gather(
                _forward(reader, target_writer, end.sent, self._target_end.received),
                _forward(target_reader, writer, self._target_end.sent, end.received),
            )
        except (OSError, asyncio.CancelledError):
            # The streams report a cancelled connection as an error.
            reset(writer.transport)
            reset(target_writer.transport)
        finally:
            self._writers -= {writer, target_writer}


def _bound_buffers(writer):
    writer.transport.set_write_buffer_limits(high=0)
    sock = writer.get_extra_info("socket")
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES)


async def _forward(reader, writer, *bandwidths):
    while data := await reader.read(_CHUNK_BYTES):
        for bandwidth in bandwidths:
            await bandwidth.carry(len(data))
        writer.write(data)
        await writer.drain()
    if writer.can_write_eof() and not writer.is_closing():
        writer.write_eof()
