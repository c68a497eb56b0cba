"""Encodes caller blocks as objects of the platform and loads them.

Pure: no network and no clock. The table is far larger than the platform's
largest value, and only a few of its millions of blocks change at a time.
Rewriting it for each change would send megabytes to every node. Each change
is therefore stored as a delta object. From time to time the pieces that
deltas changed are rewritten, and the marker names the last delta that is
folded into them.

``piece-NNNN``
    a run of blocks, packed, with its generation;
``delta-NNNNNNNN``
    changes, numbered without gaps from 1;
``marker``
    JSON: the pieces with their generations, the number of the last delta
    folded into them, and the sites by group with their origin zones.

Starts are stored as differences and then deflated, since neighbouring
blocks are similar. The copies kept in memory for other members take a fifth
of the packed size.
"""

import base64
import json
import struct
import zlib
from array import array
from itertools import accumulate
from typing import NamedTuple

from godwitlanding.daemons.blocks import GROUP, START, BlockChange, BlockTable, Piece

BLOCKS_KIND = "blocks"
MARKER_NAME = "marker"
PIECE_PREFIX = "piece-"
DELTA_PREFIX = "delta-"

_HEAD = struct.Struct("<4sII")
_PIECE_MAGIC = b"GWP1"
_DELTA_MAGIC = b"GWD1"
_COMPRESSION_LEVEL = 6
# A valid piece has at most one megabyte packed; objects above the limit are
# rejected.
_MAX_PACKED_BYTES = 8_000_000


class Site(NamedTuple):
    """A site of callers and the origin zone whose weights apply to them."""

    name: str
    availability_zone: str


class Marker(NamedTuple):
    """The pieces of a complete table and the last delta folded into them."""

    generation_by_piece: dict[str, int]
    folded: int
    sites: tuple[Site, ...]


def format_piece(piece, generation):
    """Return the object value of a piece."""
    differences = array(START, piece.starts[:1])
    differences.extend(b - a for a, b in zip(piece.starts, piece.starts[1:]))
    columns = _split_columns(differences) + _split_columns(piece.groups)
    return _pack(_PIECE_MAGIC, generation, len(piece.starts), columns)


def parse_piece(body):
    """Return ``(generation, piece)``; raises ``ValueError``."""
    generation, count, columns = _unpack(_PIECE_MAGIC, body, 6)
    differences = _join_columns(START, columns[: 4 * count], count)
    try:
        starts = array(START, accumulate(differences))
    except OverflowError as error:
        raise ValueError("a block starts after the last IPv4 address") from error
    groups = _join_columns(GROUP, columns[4 * count :], count)
    return generation, Piece(starts, groups)


def format_delta(number, changes):
    """Return the object value of the delta ``number``."""
    columns = b"".join(
        _split_columns(array(code, column))
        for code, column in zip((START, START, GROUP), zip(*changes))
    )
    return _pack(_DELTA_MAGIC, number, len(changes), columns)


def parse_delta(body):
    """Return ``(number, changes)``; raises ``ValueError``."""
    number, count, columns = _unpack(_DELTA_MAGIC, body, 10)
    firsts = _join_columns(START, columns[: 4 * count], count)
    lasts = _join_columns(START, columns[4 * count : 8 * count], count)
    groups = _join_columns(GROUP, columns[8 * count :], count)
    return number, tuple(map(BlockChange, firsts, lasts, groups))


def format_marker(marker):
    """Return the object value of the marker."""
    return json.dumps(marker._asdict()).encode()


def parse_marker(body):
    """Return the ``Marker``; raises ``ValueError``."""
    try:
        value = json.loads(body)
        sites = tuple(Site(*site) for site in value["sites"])
        return Marker(value["generation_by_piece"], value["folded"], sites)
    except (KeyError, TypeError) as error:
        raise ValueError(f"invalid marker: {error}") from error


def make_objects(pieces, sites, generation=1, folded=0):
    """Return ``{name: value}`` of all pieces and their marker."""
    names = [f"{PIECE_PREFIX}{index:04}" for index in range(len(pieces))]
    objects = {
        name: format_piece(piece, generation) for name, piece in zip(names, pieces)
    }
    marker = Marker(dict.fromkeys(names, generation), folded, tuple(sites))
    objects[MARKER_NAME] = format_marker(marker)
    return objects


class BlockLoader:
    """Assembles a table from objects that arrive in any order.

    The current table is used until the next one is complete, so that no
    look-up uses an incomplete table.
    """

    def __init__(self):
        self.table = None
        self.sites = ()
        self.applied = 0
        self._marker = None
        self._assembled_marker = None
        self._piece_by_key = {}
        self._delta_by_number = {}

    @property
    def is_loading(self):
        """Tell whether objects have arrived but no complete table yet."""
        has_parts = self._piece_by_key or self._marker
        return self.table is None and bool(has_parts)

    def offer(self, name, body):
        """Add an object; return whether it changed the table.

        Raises ``ValueError`` if the object can't be decoded.
        """
        if name == MARKER_NAME:
            self._marker = parse_marker(body)
            return self._assemble()
        if name.startswith(PIECE_PREFIX):
            generation, piece = parse_piece(body)
            self._piece_by_key[name, generation] = piece
            return self._assemble()
        if name.startswith(DELTA_PREFIX):
            number, _ = parse_delta(body)
            # Kept encoded: ten deltas of 10,000 blocks took 13 MB as tuples.
            self._delta_by_number[number] = body
            return self._apply_deltas()
        raise ValueError(f"unknown name of a caller blocks object: {name!r}")

    def _assemble(self):
        if self._marker is None or self._marker is self._assembled_marker:
            return False
        keys = self._marker.generation_by_piece.items()
        if not all(key in self._piece_by_key for key in keys):
            return False
        self.table = BlockTable(self._piece_by_key[key] for key in keys)
        self.sites = self._marker.sites
        self._assembled_marker = self._marker
        self._drop_older_pieces()
        self.applied = self._marker.folded
        for number in [n for n in self._delta_by_number if n <= self.applied]:
            del self._delta_by_number[number]
        self._apply_deltas()
        return True

    def _drop_older_pieces(self):
        # Newer pieces are kept until the marker that names them arrives.
        generations = self._marker.generation_by_piece
        for name, generation in list(self._piece_by_key):
            if generation < generations.get(name, generation + 1):
                del self._piece_by_key[name, generation]

    def _apply_deltas(self):
        # Deltas are applied in order. An earlier delta applied last would
        # overwrite a later one on the same block, and nodes would differ
        # permanently.
        changed = False
        if self.table is None:
            return changed
        while self.applied + 1 in self._delta_by_number:
            self.applied += 1
            _, changes = parse_delta(self._delta_by_number[self.applied])
            for change in changes:
                self.table.apply(change)
            changed = True
        return changed


def _split_columns(values):
    # High bytes hardly differ and compress well when they are adjacent.
    data = values.tobytes()
    size = values.itemsize
    return b"".join(data[at::size] for at in range(size))


def _join_columns(code, columns, count):
    values = array(code)
    size = values.itemsize
    data = bytearray(len(columns))
    for at in range(size):
        data[at::size] = columns[at * count : (at + 1) * count]
    values.frombytes(data)
    return values


def _pack(magic, number, count, columns):
    head = _HEAD.pack(magic, number, count)
    return base64.b64encode(head + zlib.compress(columns, _COMPRESSION_LEVEL))


def _unpack(magic, body, row_bytes):
    try:
        data = base64.b64decode(body, validate=True)
        found, number, count = _HEAD.unpack_from(data)
        inflater = zlib.decompressobj()
        columns = inflater.decompress(data[_HEAD.size :], _MAX_PACKED_BYTES)
    except (struct.error, zlib.error) as error:
        raise ValueError(f"invalid caller blocks object: {error}") from error
    is_complete = inflater.eof and len(columns) == count * row_bytes
    if found != magic or not count or not is_complete:
        raise ValueError("caller blocks object with an invalid header or size")
    return number, count, columns
