"""Maps a caller's IPv4 address to the site of its address block.

Pure: no network and no clock. The table is built for 900 look-ups a second
on each node in 3.2 million blocks, of which a few change at a time. Packed
arrays (4 bytes for the start, 2 bytes for the group) take 19 MB. They are
split into pieces so that a change moves the bytes of one piece only.
``docs/CAPACITY.md`` has the measurements.

A block ends where the next one starts. Group 0 means no site; group ``n``
is the ``n``-th site of the marker.

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
# A piece is decoded in one go. 65,536 blocks block the event loop for 3 ms,
# which is the longest delay of a look-up.
BLOCKS_IN_PIECE = 65_536


class Piece(NamedTuple):
    """A contiguous run of blocks, sorted by start address."""

    starts: array
    groups: array


class BlockChange(NamedTuple):
    """Assigns the addresses ``first`` to ``last`` to ``group``."""

    first: int
    last: int
    group: int


def parse_address(text):
    """Return an IPv4 address as a number, ``None`` if it is invalid."""
    try:
        return int.from_bytes(socket.inet_pton(socket.AF_INET, text), "big")
    except (OSError, ValueError):
        return None


def make_piece(blocks):
    """Return a piece of ``(start, group)`` pairs sorted by start."""
    return Piece(
        array(START, (start for start, _ in blocks)),
        array(GROUP, (group for _, group in blocks)),
    )


def split_piece(piece, size=BLOCKS_IN_PIECE):
    """Split a piece into pieces of at most ``size`` blocks."""
    return [
        Piece(piece.starts[at : at + size], piece.groups[at : at + size])
        for at in range(0, len(piece.starts), size)
    ]


class BlockTable:
    """The blocks of all callers, with look-up by binary search."""

    def __init__(self, pieces):
        """Create a table from pieces in ascending order of addresses."""
        self.pieces = list(pieces)
        self._first_starts = [piece.starts[0] for piece in self.pieces]
        in_order = all(
            before.starts[-1] < after.starts[0]
            for before, after in zip(self.pieces, self.pieces[1:])
        )
        if not in_order:
            raise ValueError("the pieces overlap or are not sorted by address")

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
        """Apply a ``BlockChange`` to the table."""
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
