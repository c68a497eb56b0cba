"""Which VMs callers are told to use."""

import pytest

from godwitlanding.decisions.comeback import get_retry_after_s
from godwitlanding.decisions.fleet import SILENT_S, Fleet, choose_addresses
from godwitlanding.gateway.bulletin import Bulletin


def make_bulletin(vm, sequence=1, incarnation=1, region="r", **changes):
    bulletin = Bulletin(vm, incarnation, sequence, region, "z", True, False, {}, {}, ())
    return bulletin._replace(**changes)


def make_fleet(*bulletins):
    fleet = Fleet()
    for bulletin in bulletins:
        fleet.hear(bulletin, f"{bulletin.vm}:1", 0.0)
    return fleet


@pytest.mark.parametrize(
    ("bulletins", "own_usable", "expected"),
    [
        pytest.param([], True, ["own:1"], id="alone"),
        pytest.param([make_bulletin("a")], True, ["a:1", "own:1"], id="both"),
        pytest.param(
            [make_bulletin("a", ready=False)], True, ["own:1"], id="not ready"
        ),
        pytest.param([make_bulletin("a", leaving=True)], True, ["own:1"], id="leaving"),
        pytest.param([make_bulletin("a")], False, ["a:1"], id="this one stops"),
        pytest.param(
            [make_bulletin("a"), make_bulletin("b", region="far")],
            True,
            ["a:1", "own:1"],
            id="own region only",
        ),
        pytest.param(
            [make_bulletin("b", region="far")], False, ["b:1"], id="nobody else is left"
        ),
        pytest.param([], False, [], id="nobody"),
    ],
)
def test_choose_addresses(bulletins, own_usable, expected):
    fleet = make_fleet(*bulletins)
    assert choose_addresses("own:1", "r", own_usable, fleet, "r") == expected


def test_silent_vm_is_named_no_longer():
    # A VM loses its power and says nothing. Callers that are sent to it wait
    # a second for a connection, again and again.
    fleet = make_fleet(make_bulletin("a"))
    assert fleet.drop_silent(SILENT_S - 0.1) == []
    assert [peer.vm for peer in fleet.drop_silent(SILENT_S + 0.1)] == ["a"]
    assert fleet.get_usable("r") == []


@pytest.mark.parametrize(
    ("late", "taken"),
    [
        pytest.param({"sequence": 4}, False, id="overtaken on the way"),
        pytest.param({"sequence": 5}, False, id="doubled"),
        pytest.param({"sequence": 6}, True, id="newer"),
        pytest.param({"sequence": 1, "incarnation": 2}, True, id="started again"),
    ],
)
def test_late_datagram_does_not_undo_a_newer_one(late, taken):
    # A VM says that it leaves, and an older datagram arrives afterwards.
    # Believed, callers would be sent to a VM that is about to end.
    fleet = make_fleet(make_bulletin("a", sequence=5, leaving=True))
    assert fleet.hear(make_bulletin("a", **late), "a:1", 0.1) is taken
    assert bool(fleet.get_usable("r")) is taken


@pytest.mark.parametrize("time_left_s", [0.05, 0.5, 2.0])
@pytest.mark.parametrize("draw", [0.0, 0.5, 1.0])
def test_retry_after_is_a_time_that_callers_honour(time_left_s, draw):
    retry_after_s = get_retry_after_s(time_left_s, 0.1, draw)
    assert 0 <= retry_after_s <= time_left_s / 3
