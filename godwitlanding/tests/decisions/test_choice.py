"""Tests which callers go where, and how many move after a change."""

import pytest

from godwitlanding.base.storetypes import VmEntry
from godwitlanding.daemons.entrytargets import list_targets
from godwitlanding.daemons.view import Member
from godwitlanding.decisions.choice import (
    choose_origin,
    choose_targets,
    make_target,
    rank_targets,
    rank_zones,
)

CALLERS = [f"10.{n >> 8}.{n & 255}.7" for n in range(8000)]
# Five standard deviations of a share among that many callers.
TOLERANCE = 0.03


def make_targets(zone, count):
    return tuple(make_target(f"{zone}{n}", f"127.0.50.{n}", zone) for n in range(count))


def first_zones(weights):
    return [rank_zones(caller, "status", weights)[0] for caller in CALLERS]


@pytest.mark.parametrize(
    "weights",
    [
        {"a": 1.0},
        {"a": 0.5, "b": 0.5},
        {"a": 0.9, "b": 0.1},
        {"a": 0.6, "b": 0.3, "c": 0.1},
        {"a": 1.0, "b": 0.0},
    ],
)
def test_shares_of_callers_match_the_weights(weights):
    zones = first_zones(weights)
    for zone, weight in weights.items():
        assert zones.count(zone) / len(zones) == pytest.approx(weight, abs=TOLERANCE)


@pytest.mark.parametrize("moved", [0.01, 0.1, 0.3])
def test_shift_moves_only_its_share_and_only_in_its_direction(moved):
    """Operators shift a share of one zone's callers to another.

    If more moved, or some moved back, the target would get callers that its
    allowance does not cover and whose data its caches do not hold.
    """
    before = first_zones({"a": 0.8, "b": 0.2})
    after = first_zones({"a": 0.8 - moved, "b": 0.2 + moved})
    moves = [(old, new) for old, new in zip(before, after) if old != new]
    assert set(moves) == {("a", "b")}
    assert len(moves) / len(CALLERS) == pytest.approx(moved, abs=TOLERANCE)


def test_lost_vm_moves_only_its_own_callers():
    """A VM fails; callers that did not use it keep their VM."""
    targets = make_targets("a", 6)
    for caller in CALLERS[:500]:
        before = rank_targets(caller, targets)
        after = rank_targets(caller, targets[1:])
        assert after == [target for target in before if target != targets[0]]


@pytest.mark.parametrize("count", [2, 6, 24])
def test_callers_spread_over_a_zones_vms(count):
    targets = make_targets("a", count)
    firsts = [rank_targets(caller, targets)[0] for caller in CALLERS]
    for target in targets:
        assert firsts.count(target) == pytest.approx(len(CALLERS) / count, rel=0.3)


@pytest.mark.parametrize(
    ("zones", "counts", "expected"),
    [
        (["a", "b", "c", "d"], {"a": 6, "b": 2, "c": 2, "d": 2}, "aaabc"),
        (["a", "b"], {"a": 1, "b": 1}, "ab"),
        (["a", "b"], {"b": 2}, "bb"),
        (["a"], {}, ""),
        (["a", "b", "a", "b", "c"], {"a": 2, "b": 2, "c": 2}, "aabc"),
    ],
)
def test_choices_are_targets_of_the_zone_then_fallbacks(zones, counts, expected):
    targets = {zone: make_targets(zone, count) for zone, count in counts.items()}
    chosen = choose_targets("10.0.0.1", zones, targets)
    assert "".join(target.availability_zone for target in chosen) == expected
    assert len(set(chosen)) == len(chosen)


def test_origins_of_unlisted_callers_spread_over_all_zones():
    origins = [choose_origin(caller, ("a", "b", "c", "d")) for caller in CALLERS]
    for zone in "abcd":
        assert origins.count(zone) / len(origins) == pytest.approx(0.25, abs=TOLERANCE)
    assert choose_origin("10.0.0.1", ()) is None


VMS = (
    VmEntry("a1", "1", "a", "live"),
    VmEntry("a2", "2", "a", "live"),
    VmEntry("b1", "3", "b", "live"),
)
BOTH = (
    Member("a1", "1", "i1", True, False, True),
    Member("a2", "2", "i2", True, False, True),
)


@pytest.mark.parametrize(
    ("vms", "members", "leaving", "drained", "expected"),
    [
        (VMS, (), (), (), "a1 a2 b1"),
        (VMS, BOTH, (), (), "a1 a2 b1"),
        (VMS, BOTH, ("a1",), (), "a2 b1"),
        (VMS, BOTH, ("b1",), (), "a1 a2"),
        (VMS, BOTH, (), ("a2",), "a1 b1"),
        (VMS, (BOTH[0], BOTH[1]._replace(alive=False)), (), (), "a1 b1"),
        (VMS, (BOTH[0], BOTH[1]._replace(leaving=True)), (), (), "a1 b1"),
        (VMS, (BOTH[0], BOTH[1]._replace(entry_incarnation="")), (), (), "a1 b1"),
        (
            VMS,
            tuple(m._replace(entry_incarnation="") for m in BOTH),
            (),
            (),
            "a1 a2 b1",
        ),
        ((VMS[0]._replace(state="leaving"),) + VMS[1:], BOTH, (), (), "a2 b1"),
        ((), BOTH, (), (), "a1 a2"),
    ],
)
def test_vm_is_not_listed_once_any_source_reports_that_it_leaves(
    vms, members, leaving, drained, expected
):
    """One source reports that a VM leaves while the others still lag.

    A caller sent to that VM would be cut off.
    """
    by_zone = list_targets("a", vms, members, frozenset(leaving), frozenset(drained))
    named = [target.vm for targets in by_zone.values() for target in targets]
    assert sorted(named) == expected.split()
