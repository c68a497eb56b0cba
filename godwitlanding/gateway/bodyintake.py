"""Reads the bodies of a connection's requests within the byte budget.

A body that does not fit waits unread: the connection is not read, so the
caller's sending stops. If there is still no room after ``MAX_PAUSE_S``, the
request is refused and the rest of its body is read and dropped, so that the
connection can be used on. Where that would take long, or where the caller may
not send the body at all, the connection closes after the refusal instead.
"""

import asyncio

from godwitlanding.base.codes import Code
from godwitlanding.decisions.bytebudget import Hold
from godwitlanding.decisions.stopschedule import STOPPING_RETRY_S

# Uploads that wait for longer are served late, and keep those behind them
# waiting.
MAX_PAUSE_S = 0.1
# The largest body (360 KB) is dropped at the speed of the caller's link.
MAX_DROP_BYTES = 1_000_000
# A body of 360 KB takes 0.6 s over the slowest link of 5 Mbit/s. A caller
# that needs longer than this to send the rest shares its link with many.
MAX_DROP_S = 5.0
# A reservation of an upload that is not used for so long is cancelled at
# the next check, at most a second later. A lost packet delays an upload by
# less than half a second.
STALL_S = 0.5
# Reserved for a body of unknown length, as for the mean upload.
UNKNOWN_LENGTH_BYTES = 60_000


class BodyIntake:
    """The intake of the bodies of one connection, one after the other."""

    def __init__(self, connection, held, front):
        self._connection = connection
        self._held = held
        self._budget = held.budget
        self._front = front
        self._loop = asyncio.get_running_loop()
        self._exchange = None
        self._need_bytes = 0
        self._left_bytes = None
        self._may_drop = True
        self._began_at = 0.0
        self._data_at = 0.0
        self._pause_timer = None
        self._deadline_timer = None
        self._dropped_bytes = 0
        self.is_dropping = False

    def begin(self, exchange):
        """Decide on a request whose header has been read."""
        now = self._loop.time()
        length = _get_length(exchange)
        self._exchange = exchange
        exchange.hold = Hold(self._budget)
        self._began_at = self._data_at = now
        self._left_bytes = length
        expects_continue = exchange.get_header(b"expect").lower() == b"100-continue"
        self._may_drop = length is not None and not expects_continue
        if length == 0:
            self._need_bytes = 0
            if self._budget.is_full:
                self._refuse()
            return
        body_bytes = UNKNOWN_LENGTH_BYTES if length is None else length
        if not self._budget.can_ever_hold(body_bytes):
            self._connection.refuse_and_close(413, "the body is larger than the budget")
            return
        self._need_bytes = body_bytes
        deadline_at = exchange.begun_at + self._front.get_body_s(exchange)
        if not self._front.may_read_body(deadline_at):
            self._drop_body(Code.STOPPING, STOPPING_RETRY_S)
            return
        self._deadline_timer = self._loop.call_at(deadline_at, self._end_at_deadline)
        if exchange.hold.reserve(self._need_bytes):
            self._connection.send_continue(exchange)
            return
        self._held.wait(self)
        self._connection.pause_reading(self)
        self._pause_timer = self._loop.call_later(MAX_PAUSE_S, self._refuse)

    def receive(self, data):
        """Take or drop bytes of the body that were read."""
        if self._left_bytes is not None:
            self._left_bytes -= len(data)
        self._data_at = self._loop.time()
        if self.is_dropping:
            self._dropped_bytes += len(data)
            if self._dropped_bytes > MAX_DROP_BYTES:
                self._connection.close_after_responses()
        elif self._exchange.hold.grow(len(data)):
            self._exchange.body += data
        else:
            self._refuse()

    def complete(self):
        """End the body; return whether its request is to be handled."""
        if self._pause_timer and not self._budget.covers_reservations():
            # What was read before the pause was the whole body, which takes
            # the room of bodies that are under way.
            self._refuse()
        is_accepted = not self.is_dropping
        self._stop_timers()
        if is_accepted:
            # A body of unknown length may be shorter than what was reserved.
            self._exchange.hold.cancel_reservation()
        self._exchange = None
        self.is_dropping = False
        return is_accepted

    def try_again(self):
        """Let a paused body in if there is room; return whether there is."""
        # What was read before the pause is held already.
        hold = self._exchange.hold
        if not hold.reserve(max(0, self._need_bytes - hold.held_bytes)):
            return False
        self._pause_timer.cancel()
        self._pause_timer = None
        self._data_at = self._loop.time()
        self._connection.resume_reading(self)
        self._connection.send_continue(self._exchange)
        return True

    def is_reading(self):
        """Return whether a body arrives, of a request that may run."""
        if self._exchange is None or self.is_dropping:
            return False
        return self._loop.time() - self._data_at <= STALL_S

    def check_stalled(self, now):
        """Cancel the reservation of an upload that sends nothing."""
        if self._exchange and now - self._data_at > STALL_S:
            self._exchange.hold.cancel_reservation()

    def end(self):
        """Give back what is held for a body that has not been read whole."""
        self._stop_timers()
        if self._exchange and self._exchange.hold:
            self._exchange.hold.release()
        self._exchange = None

    def _refuse(self):
        exchange = self._exchange
        now = self._loop.time()
        request_id = self._front.get_request_id(exchange)
        waited_s = now - self._began_at
        self._held.note_refused(request_id, self._need_bytes, waited_s, now)
        left_s = exchange.begun_at + self._front.get_body_s(exchange) - now
        retry_after_s = self._held.get_retry_after_s(max(0.0, left_s))
        self._drop_body(Code.BYTES_HELD, retry_after_s)

    def _drop_body(self, code, retry_after_s):
        """Refuse the request; drop what arrives of its body."""
        exchange = self._exchange
        self._stop_timers()
        exchange.hold.release()
        exchange.body = bytearray()
        self.is_dropping = True
        self._dropped_bytes = 0
        if not self._may_drop or self._left_bytes > MAX_DROP_BYTES:
            exchange.keep_alive = False
        else:
            self._deadline_timer = self._loop.call_later(MAX_DROP_S, self._end_dropping)
        self._connection.refuse_unread(exchange, code, retry_after_s)

    def _end_dropping(self):
        self._connection.close_after_responses()

    def _end_at_deadline(self):
        exchange = self._exchange
        self._stop_timers()
        took_s = self._loop.time() - exchange.begun_at
        request_id = self._front.get_request_id(exchange)
        self._held.note_stalled(request_id, len(exchange.body), took_s)
        exchange.hold.release()
        exchange.body = bytearray()
        self._connection.refuse_and_close(408, "the body did not arrive in time")

    def _stop_timers(self):
        if self._pause_timer:
            self._pause_timer.cancel()
            self._pause_timer = None
            self._held.stop_waiting(self)
            self._connection.resume_reading(self)
        if self._deadline_timer:
            self._deadline_timer.cancel()
            self._deadline_timer = None


def _get_length(exchange):
    """Return the length of a request's body, ``None`` if it is unknown."""
    if exchange.get_header(b"transfer-encoding"):
        return None
    length = exchange.get_header(b"content-length")
    return int(length) if length.isdigit() else 0
