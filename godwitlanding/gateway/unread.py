"""Counts the responses that a caller has not read, and finds unread ones."""

from godwitlanding.decisions.bytebudget import Hold

# Time without any byte taken by the caller after which it is cut off.
# Upstreams do the same after some seconds. A caller that reads takes far more:
# its share of a link of 5 Mbit/s fills the send buffer several times.
UNREAD_S = 5.0
# Send and receive buffer of a caller's socket in bytes. It exceeds what fits
# into a round trip of 2 ms at 100 Mbit/s (25 KB). The kernel would let the
# buffers grow to megabytes, which are part of the memory of the VM and which
# hide from the VM that a caller does not read.
SOCKET_BUFFER_BYTES = 64 << 10
# A streamed response is not read on while this much of it is unsent.
STREAM_BUFFER_BYTES = 64 << 10


class UnreadOutput:
    """The bytes of responses that a connection holds."""

    def __init__(self, budget, now):
        self._hold = Hold(budget)
        self._sent_total = 0
        self._sent_at = now

    @property
    def held_bytes(self):
        """Return the bytes that are counted now."""
        return self._hold.held_bytes

    def update(self, held_bytes):
        """Set the bytes of responses in memory."""
        self._hold.set(held_bytes)

    def get_unread_s(self, sent_total, unsent_bytes, now):
        """Return the seconds for which the caller has taken nothing.

        ``sent_total`` is the number of bytes that the socket has accepted so
        far; while it grows, the caller reads.
        """
        if not unsent_bytes or sent_total != self._sent_total:
            self._sent_total = sent_total
            self._sent_at = now
        return now - self._sent_at

    def release(self):
        """Give back everything when the connection has ended."""
        self._hold.release()
