"""A connection between two processes of the system: calls and messages.

Frames have a length and an encoded ``Envelope``. Responses are matched to
calls by id, so late and out-of-order responses never reach the wrong call.
Large messages are sent in pieces (``base.pieces``).
"""

import asyncio
import socket
import struct
from functools import singledispatch
from typing import NamedTuple

from eliot import log_message
from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.messages import (
    Ack,
    Envelope,
    Failure,
    Hello,
    Piece,
    State,
    decode,
    encode,
)
from godwitlanding.base.pieces import PIECE_BYTES, Payload, PieceReader, PieceSender
from godwitlanding.base.tasks import start_task

_LENGTH = struct.Struct("<I")
# The platform's values are at most 1 MB; a State message adds little.
MAX_FRAME_BYTES = 1_100_000
HELLO_TIMEOUT_S = 2.0
# A connection is closed beyond this, so that a peer that does not read cannot
# exhaust the memory.
MAX_UNSENT_BYTES = 8_000_000
# A peer whose machine has lost power never resets the connection. The
# connection ends when sent data is not acknowledged for this long.
USER_TIMEOUT_MS = 3000
_READ_BYTES = 16 << 10
# What the system holds of a connection is sent before anything that is written
# now: 0.1 s on a link of 5 Mbit/s, and 4 Mbit/s between regions.
SEND_BUFFER_BYTES = 64 << 10


class _Call(NamedTuple):
    """A call that has not been answered."""

    future: asyncio.Future
    timer: asyncio.TimerHandle
    timeout_s: float


class Channel:
    """A connection between two processes; both sides can make calls."""

    def __init__(self, reader, writer, hello, handler_by_type, counters):
        self.peer = None
        self.closed = asyncio.Event()
        self._reader = reader
        self._writer = writer
        self._hello = hello._replace(accepts_pieces=True)
        self._handler_by_type = handler_by_type
        self._counters = counters
        self._call_by_id = {}
        self._tasks = set()
        self._next_id = 0
        self._piece_sender = PieceSender(self._write_frame, writer.drain)
        self._piece_reader = PieceReader(MAX_FRAME_BYTES)
        self._piece_task = None
        # Bytes of frames, also of incomplete ones, and when the last came.
        self.received_bytes = 0
        self.received_at = 0.0
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        writer.transport.set_write_buffer_limits(high=PIECE_BYTES)

    async def handshake(self):
        """Exchange hellos; return ``Ok(Hello)`` of the peer or ``Err``.

        After an ``Err`` the connection has to be closed.
        """
        self._write(Envelope(0, False, self._hello))
        try:
            envelope = await asyncio.wait_for(self._read(), HELLO_TIMEOUT_S)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError) as error:
            return Err(make_refusal(Code.PEER_UNREACHABLE, detail=str(error)))
        except ValueError as error:
            self._counters.add("wire_refused", code=Code.GARBAGE_FRAME.name)
            return Err(make_refusal(Code.GARBAGE_FRAME, detail=str(error)))
        hello = envelope.message
        if not isinstance(hello, Hello) or hello.protocol != self._hello.protocol:
            self._counters.add("wire_refused", code=Code.PROTOCOL_MISMATCH.name)
            log_message("wire:protocol_mismatch", peer=repr(hello)[:200])
            detail = f"this process speaks protocol {self._hello.protocol}"
            self._write(
                Envelope(0, True, Failure(Code.PROTOCOL_MISMATCH.value, detail))
            )
            return Err(make_refusal(Code.PROTOCOL_MISMATCH, detail=detail))
        self.peer = hello
        self._piece_sender.in_pieces = hello.accepts_pieces
        return Ok(hello)

    async def run(self):
        """Read frames until the connection ends; then fail the open calls."""
        try:
            while True:
                self._receive(await self._read())
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        except ValueError as error:
            self._counters.add("wire_refused", code=Code.GARBAGE_FRAME.name)
            log_message("wire:garbage_frame", peer=str(self.peer), error=str(error))
        finally:
            self.close()

    def is_receiving(self, within_s):
        """Return whether a part of an incomplete message came ``within_s``."""
        if not self._piece_reader.has_incomplete():
            return False
        return asyncio.get_running_loop().time() - self.received_at < within_s

    def send(self, message):
        """Send a message without a response; drop it if closed."""
        self._write(Envelope(0, False, message))

    def send_latest(self, key, produce):
        """Send messages when the connection has taken all earlier ones.

        ``produce()`` returns their ``Payload`` objects when their turn comes.
        Until then they are replaced by later ones with the same key.
        """
        if self.closed.is_set():
            return
        self._piece_sender.put(key, produce)
        self._start_pieces()

    async def call(self, message, timeout_s):
        """Return ``Ok(response)`` or ``Err(refusal)``, also on peer errors.

        The time-out begins anew with each piece of a large response.
        """
        return await self.start_call(message, timeout_s)

    def start_call(self, message, timeout_s):
        """Start a call; return a future of the result of ``call``.

        If the waiting code gives up, a callback of the future still gets a
        late result.
        """
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        if self.closed.is_set():
            future.set_result(Err(make_refusal(Code.PEER_UNREACHABLE)))
            return future
        self._next_id += 1
        call_id = self._next_id
        timer = loop.call_later(timeout_s, self._time_out_call, call_id)
        self._call_by_id[call_id] = _Call(future, timer, timeout_s)
        self._write(Envelope(call_id, False, message))
        return future

    def close(self):
        """Close the connection; fail its calls and cancel its handlers."""
        if self.closed.is_set():
            return
        self.closed.set()
        self._writer.close()
        for call_id in list(self._call_by_id):
            self._complete_call(call_id, Err(make_refusal(Code.PEER_UNREACHABLE)))
        if self._piece_task:
            self._piece_task.cancel()
        for task in self._tasks:
            task.cancel()

    async def _read(self):
        header = await self._reader.readexactly(_LENGTH.size)
        (length,) = _LENGTH.unpack(header)
        if length > MAX_FRAME_BYTES:
            self._counters.add("wire_refused", code=Code.FRAME_TOO_LARGE.name)
            raise ValueError(f"frame of {length} bytes is over {MAX_FRAME_BYTES}")
        return decode(await self._read_body(length))

    async def _read_body(self, length):
        parts = []
        left = length
        while left:
            part = await self._reader.read(min(left, _READ_BYTES))
            if not part:
                raise asyncio.IncompleteReadError(b"".join(parts), length)
            self.received_bytes += len(part)
            self.received_at = asyncio.get_running_loop().time()
            parts.append(part)
            left -= len(part)
        return b"".join(parts)

    def _write(self, envelope):
        if self.closed.is_set():
            return
        data = encode(envelope)
        if self._piece_sender.in_pieces and len(data) > PIECE_BYTES:
            payloads = (Payload(data),)
            call_id = envelope.id if envelope.answer else 0
            # Each answer belongs to a call of its own.
            is_push = not envelope.id
            key = _get_replacement_key(envelope.message) if is_push else object()
            self._piece_sender.put(key, lambda: payloads, call_id)
            self._start_pieces()
        else:
            self._write_frame(data)

    def _start_pieces(self):
        if self._piece_task is None or self._piece_task.done():
            self._piece_task = start_task(self._send_pieces())

    async def _send_pieces(self):
        try:
            await self._piece_sender.run()
        except OSError:
            # The reading side closes the channel.
            pass

    def _write_frame(self, data):
        self._writer.write(_LENGTH.pack(len(data)) + data)
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._counters.add("wire_closed", reason="peer_reads_nothing")
            self._writer.transport.abort()
            self.close()

    def _receive(self, envelope):
        if not isinstance(envelope.message, Piece):
            self._dispatch(envelope)
            return
        self._extend_call(envelope.message.call_id)
        data = self._piece_reader.add(envelope.message)
        if data is not None:
            self._dispatch(decode(data))

    def _extend_call(self, call_id):
        call = self._call_by_id.get(call_id)
        if call is None:
            return
        call.timer.cancel()
        timer = asyncio.get_running_loop().call_later(
            call.timeout_s, self._time_out_call, call_id
        )
        self._call_by_id[call_id] = call._replace(timer=timer)

    def _dispatch(self, envelope):
        if envelope.answer:
            # The call of a response after the timeout no longer exists.
            if not self._complete_call(envelope.id, _make_result(envelope.message)):
                self._counters.add("wire_dropped", reason="late_answer")
            return
        task = asyncio.ensure_future(self._handle(envelope))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _time_out_call(self, call_id):
        self._complete_call(call_id, Err(make_refusal(Code.CALL_TIMEOUT)))

    def _complete_call(self, call_id, result):
        """Set the result of a call; return whether it was still pending."""
        call = self._call_by_id.pop(call_id, None)
        if call is None:
            return False
        call.timer.cancel()
        if call.future.done():
            return False
        call.future.set_result(result)
        return True

    async def _handle(self, envelope):
        handler = self._handler_by_type.get(type(envelope.message))
        if handler is None:
            self._counters.add("wire_refused", code=Code.UNEXPECTED_MESSAGE.name)
            response = Failure(Code.UNEXPECTED_MESSAGE.value)
        else:
            response = await self._run_handler(handler, envelope.message)
        if envelope.id:
            self._write(Envelope(envelope.id, True, response or Ack()))

    async def _run_handler(self, handler, message):
        # An exception must neither end the process nor leave the sender
        # waiting until its timeout.
        try:
            return await handler(self, message)
        except Exception as error:
            self._counters.add("wire_refused", code=Code.HANDLER_FAILED.name)
            log_message(
                "wire:handler_failed",
                message=type(message).__name__,
                error=repr(error),
            )
            return Failure(Code.HANDLER_FAILED.value, repr(error))


@singledispatch
def _get_replacement_key(message):
    """Return a key; an unsent large message is replaced by the next one."""
    return object()


@_get_replacement_key.register
def _(message: State):
    return (State, message.kind, message.name)


def _make_result(response):
    if isinstance(response, Failure):
        return Err(make_refusal(_to_code(response.code), detail=response.detail))
    return Ok(response)


def _to_code(number):
    try:
        return Code(number)
    except ValueError:
        return Code.HANDLER_FAILED
