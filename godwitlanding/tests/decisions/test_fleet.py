"""Which VMs callers are told to use."""

import pytest

from godwitlanding.decisions.comeback import get_retry_after_s
from godwitlanding.decisions.fleet import (
    SILENT_S,
    Capacity,
    choose_addresses,
    pick_strong,
)
from godwitlanding.tests.support_fleet import make_bulletin, make_fleet, make_peer

OWN = make_peer("own")
STRONG = Capacity(100.0, 2.15)
WEAK = Capacity(5.0, 0.43)


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
    own = OWN if own_usable else None
    assert choose_addresses(own, fleet, "r") == expected


def make_group(prefix, count, capacity):
    return [make_peer(f"{prefix}{n}", capacity=capacity) for n in range(count)]


# Strong and weak VMs of a region, and how many of them are named.
GROUPS = (
    pytest.param(6, 14, 6, id="weak ones in reserve"),
    pytest.param(0, 14, 14, id="all alike"),
    pytest.param(2, 4, 2, id="two strong ones are enough"),
    pytest.param(1, 14, 15, id="one alone could be lost"),
    pytest.param(2, 50, 52, id="strong ones cannot carry the half"),
    pytest.param(0, 0, 0, id="nobody"),
)


@pytest.mark.parametrize(("strong", "weak", "named"), GROUPS)
def test_strong_vms_are_named_where_they_suffice(strong, weak, named):
    # A third of the VMs have links of 100 Mbit/s, the others of 5. Callers
    # that are sent to those wait a quarter of a second longer for an answer
    # of 90 KB, and for small ones behind it.
    peers = make_group("s", strong, STRONG) + make_group("w", weak, WEAK)
    assert len(pick_strong(peers)) == named


@pytest.mark.parametrize(
    "capacity",
    [
        pytest.param(Capacity(100.0, 0.4), id="slow processor"),
        pytest.param(Capacity(20.0, 2.15), id="slow link"),
    ],
)
def test_a_vm_is_as_strong_as_its_weaker_part(capacity):
    peers = make_group("s", 4, STRONG) + [make_peer("w", capacity=capacity)]
    assert [peer.vm for peer in pick_strong(peers)] == ["s0", "s1", "s2", "s3"]


def test_weak_vms_are_named_when_the_strong_ones_are_lost():
    # All strong VMs of a region lose their power. Callers of that region
    # would be sent far away while the weak ones there are idle.
    bulletins = [make_bulletin(f"s{n}", capacity=STRONG) for n in range(3)]
    bulletins += [make_bulletin("w", capacity=WEAK), make_bulletin("v", capacity=WEAK)]
    fleet = make_fleet(*bulletins)
    assert choose_addresses(None, fleet, "r") == ["s0:1", "s1:1", "s2:1"]
    for n in range(3):
        fleet.hear(make_bulletin(f"s{n}", sequence=2, ready=False), "", 0.1)
    assert choose_addresses(None, fleet, "r") == ["v:1", "w:1"]


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
