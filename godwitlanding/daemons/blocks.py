"""Caller blocks: which site the block of a caller's address belongs to.

Pure: no network and no clock. The table answers the pattern of 900
look-ups a second on each node against 3.2 million blocks, of which a few
change at a time. Packed arrays (4 bytes start, 2 bytes group) hold it in 19
MB, cut into pieces so that a change moves the bytes of one piece only.
``docs/CAPACITY.md`` has the measurements.

A block reaches from its start to the start of the next one. Group 0 is no
site; group ``n`` is the ``n``-th site of the marker.

>>> table = BlockTable([make_piece([(0, 0), (167772160, 1)])])
>>> table.find(parse_address("10.0.0.7"))
1
"""

import socket
from array import array
from bisect import bisect_left, bisect_right
from typing import NamedTuple

START = "I"
GROUP = "H"
NO_GROUP = 0
LAST_ADDRESS = 2**32 - 1
# One piece is decoded in one go: 65,536 blocks keep the event loop for 3 ms
# as measured, so that look-ups wait no longer than that.
BLOCKS_IN_PIECE = 65_536


class Piece(NamedTuple):
    """A run of blocks, sorted by their starts."""

    starts: array
    groups: array


class BlockChange(NamedTuple):
    """Addresses ``first`` to ``last`` belong to ``group`` from now on."""

    first: int
    last: int
    group: int


def parse_address(text):
    """Return the number of an IPv4 address, ``None`` where it is none."""
    try:
        return int.from_bytes(socket.inet_pton(socket.AF_INET, text), "big")
    except (OSError, ValueError):
        return None


def make_piece(blocks):
    """Return the piece of ``(start, group)`` pairs in order."""
    return Piece(
        array(START, (start for start, _ in blocks)),
        array(GROUP, (group for _, group in blocks)),
    )


def split_piece(piece, size=BLOCKS_IN_PIECE):
    """Return a piece as a list of pieces of at most ``size`` blocks."""
    return [
        Piece(piece.starts[at : at + size], piece.groups[at : at + size])
        for at in range(0, len(piece.starts), size)
    ]


class BlockTable:
    """The blocks of all callers, found by binary search."""

    def __init__(self, pieces):
        """Take pieces that follow one another in the order of addresses."""
        self.pieces = list(pieces)
        self._first_starts = [piece.starts[0] for piece in self.pieces]
        in_order = all(
            before.starts[-1] < after.starts[0]
            for before, after in zip(self.pieces, self.pieces[1:])
        )
        if not in_order:
            raise ValueError("the pieces overlap or are out of order")

    def __len__(self):
        return sum(len(piece.starts) for piece in self.pieces)

    def find(self, address):
        """Return the group of an address."""
        index = bisect_right(self._first_starts, address) - 1
        if index < 0:
            return NO_GROUP
        piece = self.pieces[index]
        return piece.groups[bisect_right(piece.starts, address) - 1]

    def apply(self, change):
        """Set the group of a range of addresses."""
        first = change.first
        while first <= change.last:
            index = max(0, bisect_right(self._first_starts, first) - 1)
            last = min(change.last, self._get_last(index))
            self._set(index, BlockChange(first, last, change.group))
            first = last + 1

    def _get_last(self, index):
        if index + 1 < len(self.pieces):
            return self._first_starts[index + 1] - 1
        return LAST_ADDRESS

    def _set(self, index, change):
        starts, groups = self.pieces[index]
        begin = bisect_left(starts, change.first)
        end = bisect_right(starts, change.last)
        is_one_block = end == begin + 1 and starts[begin] == change.first
        ends_there = change.last == self._get_next_start(index, end) - 1
        if is_one_block and ends_there:
            groups[begin] = change.group
            return
        after = groups[end - 1] if end else NO_GROUP
        new_starts = array(START, [change.first])
        new_groups = array(GROUP, [change.group])
        if not ends_there:
            new_starts.append(change.last + 1)
            new_groups.append(after)
        starts[begin:end] = new_starts
        groups[begin:end] = new_groups
        self._first_starts[index] = starts[0]

    def _get_next_start(self, index, position):
        starts = self.pieces[index].starts
        if position < len(starts):
            return starts[position]
        return self._get_last(index) + 1
