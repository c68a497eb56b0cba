"""Counts the bytes that a VM holds for its callers, and bounds them.

Load pattern: a link is saturated, or many callers upload at once or do not
read their responses. Each request then holds its body and its response for
longer, and a VM with 200 MB of memory is killed by a few hundred of them,
with every other request that it was serving.

The limit is derived from the memory of the VM. An idle process takes
``IDLE_BYTES``; the process as a whole is to stay below ``MEMORY_SHARE``, since
the kernel's socket buffers, the log and temporary copies are not counted.
``OVERHEAD`` is what a counted byte costs: byte arrays are allocated up to an
eighth larger than their content, up to twice as large after their start was
sent, and freed memory is not all reused.

Back-pressure comes before refusal. A body is let in while what is held and
what is reserved stays below ``TIGHT_SHARE`` of the limit. The rest is for
responses: an upstream has done the work for these, so they are always taken
(``add``), and requests are refused in their place.

Room for a body is reserved before it is read. Without reservations, bodies
that arrive at the same time are all let in, and many are refused halfway after
their bytes have crossed the link (``docs/design/bytes_held.rst``). A
reservation is cancelled while its upload stalls, so that callers that announce
much and send nothing do not keep others out. The copy of a body in the write
buffer towards its upstream is counted while it exists, but not reserved: it
lasts for a moment, and reserving it until the request ends would leave half
of the budget unused.
"""

MEMORY_SHARE = 0.6
IDLE_BYTES = 65_000_000
OVERHEAD = 1.5
# A smaller budget would not hold ten of the largest uploads (360 KB).
MIN_LIMIT_BYTES = 8_000_000
TIGHT_SHARE = 0.75


def get_limit_bytes(memory_mb):
    """Return the budget of a VM with ``memory_mb`` megabytes of memory.

    >>> get_limit_bytes(200)
    36666666
    """
    room_bytes = memory_mb * 1_000_000 * MEMORY_SHARE - IDLE_BYTES
    return max(MIN_LIMIT_BYTES, int(room_bytes / OVERHEAD))


class ByteBudget:
    """The bytes held and reserved, of at most ``limit_bytes``.

    ``on_eased`` is called when bytes or reservations are given back.
    """

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.reserved_bytes = 0
        self.on_eased = None

    @property
    def is_tight(self):
        """Return whether bodies have to wait and responses are streamed."""
        return self.held_bytes >= TIGHT_SHARE * self.limit_bytes

    @property
    def is_full(self):
        """Return whether requests without a body are refused too."""
        return self.held_bytes >= self.limit_bytes

    def take(self, count):
        """Take bytes if they fit within the limit; return whether they did."""
        if self.held_bytes + count > self.limit_bytes:
            return False
        self.held_bytes += count
        return True

    def add(self, count):
        """Take bytes that are in memory already, even beyond the limit."""
        self.held_bytes += count

    def give_back(self, count):
        """Give back bytes that were taken or added."""
        self.held_bytes -= count
        if count and self.on_eased:
            self.on_eased()

    def can_ever_hold(self, body_bytes):
        """Return whether a body of this size fits when nothing is held."""
        return body_bytes <= TIGHT_SHARE * self.limit_bytes

    def covers_reservations(self):
        """Return whether all that is reserved still fits within the limit."""
        return self.held_bytes + self.reserved_bytes <= self.limit_bytes

    def reserve(self, count):
        """Reserve room for bytes to come; return whether there is room."""
        expected_bytes = self.held_bytes + self.reserved_bytes + count
        if expected_bytes > TIGHT_SHARE * self.limit_bytes:
            return False
        self.reserved_bytes += count
        return True

    def cancel_reservation(self, count):
        """Cancel a reservation, or the part of it that was taken."""
        self.reserved_bytes -= count
        if count and self.on_eased:
            self.on_eased()


class Hold:
    """What one holder has taken from a budget and has reserved in it.

    >>> budget = ByteBudget(1000)
    >>> hold = Hold(budget)
    >>> hold.set(300)
    >>> hold.release()
    >>> budget.held_bytes
    0
    """

    __slots__ = ("_budget", "held_bytes", "reserved_bytes")

    def __init__(self, budget):
        self._budget = budget
        self.held_bytes = 0
        self.reserved_bytes = 0

    def set(self, count):
        """Set the bytes held, which are in memory already."""
        change = count - self.held_bytes
        if not change:
            return
        self.held_bytes = count
        if change > 0:
            self._budget.add(change)
        else:
            self._budget.give_back(-change)

    def reserve(self, count):
        """Ask for room for bytes to come; return whether there is room."""
        if not self._budget.reserve(count):
            return False
        self.reserved_bytes += count
        return True

    def cancel_reservation(self):
        """Cancel what is left of the reservation."""
        count, self.reserved_bytes = self.reserved_bytes, 0
        self._budget.cancel_reservation(count)

    def grow(self, count):
        """Take bytes of a body, if they fit; return whether they did."""
        if not self._budget.take(count):
            return False
        self.held_bytes += count
        fulfilled = min(count, self.reserved_bytes)
        self.reserved_bytes -= fulfilled
        self._budget.reserved_bytes -= fulfilled
        return True

    def release(self):
        """Give back everything; may be called more than once."""
        self.cancel_reservation()
        self.set(0)
