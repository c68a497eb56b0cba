"""Sends large messages in pieces, between which small ones are sent.

Load pattern: a configuration of hundreds of KB changes while links of 5 Mbit/s
also carry responses to callers. Sent as one frame, it delays every heartbeat
and answer behind it by seconds, so that a slow connection looks like a lost
one, and versions that follow each other quickly pile up in front of a receiver
that needs only the newest.

So a large message is deflated, sent in pieces of ``PIECE_BYTES``, and a piece
only once the connection has taken the earlier ones. Messages with the same key
are sent one after the other; of those that have not begun, only the newest
remains.
"""

import itertools
import zlib
from collections import deque

from godwitlanding.base.messages import Envelope, Piece, encode

# 26 ms on a link of 5 Mbit/s.
PIECE_BYTES = 16 << 10
# Names and configurations shrink to a fifth at the fastest level and to hardly
# less at the others.
_DEFLATE_LEVEL = 1
# Large messages that are sent at the same time over a connection.
MAX_OPEN_STREAMS = 64


class Payload:
    """An encoded message, deflated once for all of its receivers."""

    def __init__(self, data):
        self.data = data
        self._deflated = None

    def get_deflated(self):
        """Return the deflated message."""
        if self._deflated is None:
            self._deflated = zlib.compress(self.data, _DEFLATE_LEVEL)
        return self._deflated


def encode_push(message):
    """Return the ``Payload`` of a message without a response."""
    return Payload(encode(Envelope(0, False, message)))


class PieceSender:
    """Sends payloads over one connection, a frame of each key in turn.

    ``write_frame(data)`` writes a frame, and ``drain()`` waits until the
    connection accepts more. With ``in_pieces`` false, the peer reads no
    pieces, and each payload is sent as one frame.
    """

    def __init__(self, write_frame, drain):
        self._write_frame = write_frame
        self._drain = drain
        self._produce_by_key = {}
        self._frames_by_key = {}
        self._stream_ids = itertools.count(1)
        self.in_pieces = False

    def put(self, key, produce, call_id=0):
        """Send the payloads that ``produce()`` returns when their turn comes.

        It replaces what was put with the same key and has not begun.
        """
        self._produce_by_key[key] = (produce, call_id)

    def has_unsent(self):
        """Return whether anything is left to send."""
        return bool(self._produce_by_key or self._frames_by_key)

    async def run(self):
        """Send until nothing is left; raises ``OSError`` if disconnected."""
        while self.has_unsent():
            keys = [*self._frames_by_key, *self._produce_by_key]
            for key in keys[:MAX_OPEN_STREAMS]:
                await self._drain()
                self._send_frame(key)

    def _send_frame(self, key):
        frames = self._frames_by_key.get(key)
        if frames is None:
            if key not in self._produce_by_key:
                return
            produce, call_id = self._produce_by_key.pop(key)
            frames = deque()
            for payload in produce():
                frames.extend(self._make_frames(payload, call_id))
            self._frames_by_key[key] = frames
        if frames:
            self._write_frame(frames.popleft())
        if not frames:
            del self._frames_by_key[key]

    def _make_frames(self, payload, call_id):
        if not self.in_pieces or len(payload.data) <= PIECE_BYTES:
            return [payload.data]
        data = payload.get_deflated()
        stream = next(self._stream_ids)
        return [
            encode(
                Envelope(
                    0,
                    False,
                    Piece(
                        stream,
                        call_id,
                        begin + PIECE_BYTES >= len(data),
                        data[begin : begin + PIECE_BYTES],
                    ),
                )
            )
            for begin in range(0, len(data), PIECE_BYTES)
        ]


class PieceReader:
    """Joins the pieces of a connection; ``max_bytes`` limits a message."""

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._parts_by_stream = {}

    def has_incomplete(self):
        """Return whether a message has arrived in part."""
        return bool(self._parts_by_stream)

    def add(self, piece):
        """Return the message that the piece completes, ``None`` if none.

        Raises ``ValueError`` if the message is too long or not deflated.
        """
        parts = self._parts_by_stream.setdefault(piece.stream, [])
        parts.append(piece.data)
        if len(self._parts_by_stream) > MAX_OPEN_STREAMS:
            raise ValueError(f"more than {MAX_OPEN_STREAMS} messages in pieces")
        if sum(map(len, parts)) > self._max_bytes:
            raise ValueError(f"a message in pieces is over {self._max_bytes} bytes")
        if not piece.last:
            return None
        del self._parts_by_stream[piece.stream]
        return self._inflate(b"".join(parts))

    def _inflate(self, deflated):
        inflater = zlib.decompressobj()
        try:
            data = inflater.decompress(deflated, self._max_bytes)
        except zlib.error as error:
            raise ValueError(f"a message in pieces is not deflated: {error}") from None
        if not inflater.eof:
            raise ValueError(f"a message in pieces is over {self._max_bytes} bytes")
        return data
