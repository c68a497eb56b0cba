"""Tests that heartbeats have few versions and rotate through all."""

import pytest

from godwitlanding.base.messages import State
from godwitlanding.daemons.versions import ROTATING_PER_HEARTBEAT, choose_versions

FEW = [State(kind, "main", 7, b"") for kind in ("config", "plan", "secret")]


def make_blocks(count):
    return [State("blocks", f"piece-{n:04}", n + 1, b"") for n in range(count)]


@pytest.mark.parametrize("count", [0, 1, 2, 3, 4, 50, 1000])
def test_every_object_is_listed_in_turn(count):
    """The push of a piece to one member is lost.

    The member detects it by the versions in heartbeats. If a piece were
    never listed, its callers would be directed to a wrong zone permanently.
    """
    states = FEW + make_blocks(count)
    listed = set()
    for turn in range(-(-count // ROTATING_PER_HEARTBEAT)):
        rows = choose_versions(states, turn)
        assert len(rows) <= len(FEW) + ROTATING_PER_HEARTBEAT
        assert {row.kind for row in rows} >= {"config", "plan", "secret"}
        listed |= {row.name for row in rows if row.kind == "blocks"}
    assert len(listed) == count


def test_summaries_are_not_listed():
    rows = choose_versions([State("summary", "za", 1, b""), *FEW], 0)
    assert len(rows) == len(FEW)
