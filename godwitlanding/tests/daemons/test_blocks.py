"""Tests look-ups, changes and loading of caller blocks."""

import random

import pytest

from godwitlanding.daemons.blocks import (
    LAST_ADDRESS,
    BlockChange,
    BlockTable,
    make_piece,
    parse_address,
    split_piece,
)
from godwitlanding.daemons.blockstore import (
    BlockLoader,
    Marker,
    Site,
    format_delta,
    format_marker,
    format_piece,
    make_objects,
    parse_piece,
)

SITES = (Site("pontivy", "za"), Site("vannes", "zb"))


def make_table(blocks=((0, 0), (100, 1), (200, 2), (300, 0)), size=2):
    return BlockTable(split_piece(make_piece(blocks), size))


@pytest.mark.parametrize(
    ("text", "number"),
    [
        ("0.0.0.0", 0),
        ("10.0.0.7", 0x0A000007),
        ("255.255.255.255", LAST_ADDRESS),
        ("::1", None),
        ("pensioner-17", None),
        ("10.0.0", None),
        ("10.0.0.7\0", None),
        ("", None),
    ],
)
def test_address_is_parsed(text, number):
    assert parse_address(text) == number


@pytest.mark.parametrize(
    ("address", "group"),
    [(0, 0), (99, 0), (100, 1), (199, 1), (200, 2), (299, 2), (300, 0)],
)
def test_block_ends_where_the_next_begins(address, group):
    assert make_table().find(address) == group


def test_addresses_before_the_first_block_have_no_group():
    assert make_table(((100, 1), (200, 2))).find(99) == 0


@pytest.mark.parametrize("size", [1, 3, 7, 1000])
def test_changes_agree_with_a_table_of_single_addresses(size):
    drawn = random.Random(size)
    starts = sorted(drawn.sample(range(1, 1000), 40))
    blocks = [(0, 0)] + [(start, drawn.randrange(5)) for start in starts]
    table = make_table(blocks, size)
    by_address = [table.find(address) for address in range(1100)]
    for _ in range(300):
        first = drawn.randrange(1050)
        last = min(1099, first + drawn.choice((0, 1, 5, 30, 200)))
        group = drawn.randrange(9)
        table.apply(BlockChange(first, last, group))
        by_address[first : last + 1] = [group] * (last + 1 - first)
        assert [table.find(address) for address in range(1100)] == by_address


def test_last_address_can_be_changed():
    table = make_table()
    table.apply(BlockChange(LAST_ADDRESS, LAST_ADDRESS, 7))
    assert (table.find(LAST_ADDRESS - 1), table.find(LAST_ADDRESS)) == (0, 7)


def make_parts():
    blocks = [(start * 10, start % 3) for start in range(50)]
    parts = make_objects(split_piece(make_piece(blocks), 8), SITES)
    parts["delta-00000001"] = format_delta(1, [BlockChange(100, 109, 7)])
    parts["delta-00000002"] = format_delta(2, [BlockChange(105, 119, 8)])
    return parts


@pytest.mark.parametrize("seed", range(8))
def test_parts_arrive_in_any_order(seed):
    """Pieces, deltas and the marker arrive from several peers at once.

    If deltas were applied in order of arrival, an earlier one could
    overwrite a later one, and nodes would direct a caller to different
    zones.
    """
    parts = list(make_parts().items())
    random.Random(seed).shuffle(parts)
    loader = BlockLoader()
    for name, body in parts:
        loader.offer(name, body)
    assert loader.sites == SITES
    assert not loader.is_loading
    found = [loader.table.find(address) for address in (99, 100, 105, 119, 120)]
    assert found == [0, 7, 8, 8, 0]


def test_incomplete_table_is_not_used():
    """A piece is missing, for example after a broken connection.

    With an incomplete table its callers would be treated as unlisted and
    directed to other zones.
    """
    loader = BlockLoader()
    parts = make_parts()
    missing = parts.pop("piece-0003")
    for name, body in parts.items():
        loader.offer(name, body)
    assert loader.table is None and loader.is_loading
    assert loader.offer("piece-0003", missing)
    assert loader.table is not None


def test_folding_keeps_later_deltas():
    """The writer folds in the first delta while the second is in use.

    The new piece does not contain the second delta, which must still
    apply to its callers.
    """
    loader = BlockLoader()
    for name, body in make_parts().items():
        loader.offer(name, body)
    blocks = [(start * 10, start % 3) for start in range(8, 16)]
    folded = [(s, 7 if s == 100 else g) for s, g in blocks]
    assert not loader.offer("piece-0001", format_piece(make_piece(folded), 2))
    generations = {f"piece-{n:04}": 1 for n in range(7)} | {"piece-0001": 2}
    assert loader.offer("marker", format_marker(Marker(generations, 1, SITES)))
    found = [loader.table.find(address) for address in (99, 100, 105, 119, 120)]
    assert found == [0, 7, 8, 8, 0]
    assert loader.applied == 2


@pytest.mark.parametrize(
    ("name", "body"),
    [
        ("piece-0000", b"not base64!"),
        ("piece-0000", b"AAAA"),
        ("piece-0000", format_delta(1, [BlockChange(1, 2, 3)])),
        ("piece-0000", format_piece(make_piece([(1, 1)]), 1)[:-8]),
        ("delta-00000001", b""),
        ("marker", b"[]"),
        ("marker", b"{"),
        ("other", b"{}"),
    ],
)
def test_unreadable_part_is_a_value_error(name, body):
    with pytest.raises(ValueError):
        BlockLoader().offer(name, body)


def test_piece_round_trips():
    piece = make_piece([(5, 1), (70_000, 700), (LAST_ADDRESS, 65_535)])
    assert parse_piece(format_piece(piece, 3)) == (3, piece)
