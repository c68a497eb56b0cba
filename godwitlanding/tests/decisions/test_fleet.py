"""Which VMs callers are told to use."""

import pytest

from godwitlanding.decisions.fleet import (
    IDLE_SILENT_S,
    MIN_CARRIERS,
    PEER_TIMEOUT_S,
    Capacity,
    choose_addresses,
    pick_carriers,
)
from godwitlanding.decisions.retryafter import get_retry_after_s
from godwitlanding.tests.support_fleet import make_fleet, make_gossip_message, make_peer

OWN = make_peer("own")
STRONG = Capacity(100.0, 2.15)
WEAK = Capacity(5.0, 0.43)
MIDDLING = Capacity(20.0, 0.43)


@pytest.mark.parametrize(
    ("bulletins", "own_usable", "expected"),
    [
        pytest.param([], True, ["own:1"], id="alone"),
        pytest.param([make_gossip_message("a")], True, ["a:1", "own:1"], id="both"),
        pytest.param(
            [make_gossip_message("a", ready=False)], True, ["own:1"], id="not ready"
        ),
        pytest.param(
            [make_gossip_message("a", leaving=True)], True, ["own:1"], id="leaving"
        ),
        pytest.param([make_gossip_message("a")], False, ["a:1"], id="this one stops"),
        pytest.param(
            [make_gossip_message("a"), make_gossip_message("b", region="far")],
            True,
            ["a:1", "own:1"],
            id="own region only",
        ),
        pytest.param(
            [make_gossip_message("b", region="far")],
            False,
            ["b:1"],
            id="nobody else is left",
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


# Strong and weak VMs of a region, requests a second, and how many are named.
GROUPS = (
    pytest.param(6, 14, 100, 6, id="weak ones in reserve"),
    pytest.param(0, 8, 100, 8, id="few alike"),
    pytest.param(0, 80, 100, MIN_CARRIERS, id="many alike"),
    pytest.param(80, 0, 100, MIN_CARRIERS, id="many strong ones"),
    pytest.param(0, 80, 500, 30, id="many alike with more to carry"),
    pytest.param(2, 4, 100, 2, id="two strong ones are enough"),
    pytest.param(1, 14, 100, 6, id="one alone could be lost"),
    pytest.param(2, 50, 2000, 52, id="strong ones cannot carry it"),
    pytest.param(0, 0, 100, 0, id="nobody"),
)


@pytest.mark.parametrize(("strong", "weak", "rate_per_s", "named"), GROUPS)
def test_as_many_are_named_as_carry_the_load(strong, weak, rate_per_s, named):
    # A third of the VMs have links of 100 Mbit/s, the others of 5. Callers
    # that are sent to those wait a quarter of a second longer for an answer
    # of 90 KB, and for small ones behind it. And each VM that is named has to
    # be told by all others what those have in progress.
    peers = make_group("s", strong, STRONG) + make_group("w", weak, WEAK)
    chosen = pick_carriers(peers, rate_per_s)
    assert len(chosen) == named
    first = {peer.vm for peer in chosen[:strong]}
    assert all(name.startswith("s") for name in first)


@pytest.mark.parametrize(("lost", "named"), [(0, 9), (3, 6), (6, 3), (7, 13), (9, 13)])
def test_weak_ones_carry_what_is_left_of_the_strong_cannot(lost, named):
    # A region of 65 VMs loses its strong ones one after the other while 735
    # requests a second arrive. Two of them could carry that, but not a burst;
    # callers pick evenly, so a weak one beside them gets as much as they do.
    strong = make_group("s", 9, STRONG)[lost:]
    peers = strong + make_group("w", 56, MIDDLING)
    assert len(pick_carriers(peers, 735.0)) == named


@pytest.mark.parametrize(
    "capacity",
    [
        pytest.param(Capacity(100.0, 0.4), id="slow processor"),
        pytest.param(Capacity(20.0, 2.15), id="slow link"),
    ],
)
def test_a_vm_is_as_strong_as_its_weaker_part(capacity):
    peers = make_group("s", 4, STRONG) + [make_peer("w", capacity=capacity)]
    names = sorted(peer.vm for peer in pick_carriers(peers, 100.0))
    assert names == ["s0", "s1", "s2", "s3"]


def test_own_callers_count_as_load():
    fleet = make_fleet(
        *(make_gossip_message(f"w{n}", capacity=WEAK) for n in range(40)),
        make_gossip_message("w40", capacity=WEAK, rate_by_service={"s": 100.0}),
    )
    own = OWN._replace(capacity=WEAK)
    assert len(choose_addresses(own, fleet, "r")) == MIN_CARRIERS
    fleet.own_rate_per_s = 100.0
    assert len(choose_addresses(own, fleet, "r")) == 12


def test_loss_of_a_carrier_moves_no_callers_of_the_others():
    peers = make_group("w", 80, WEAK)
    before = {peer.vm for peer in pick_carriers(peers, 100.0)}
    lost = min(before)
    left = [peer for peer in peers if peer.vm != lost]
    after = {peer.vm for peer in pick_carriers(left, 100.0)}
    assert before - after == {lost}
    assert len(after - before) == 1


def test_weak_vms_are_named_when_the_strong_ones_are_lost():
    # All strong VMs of a region lose their power. Callers of that region
    # would be sent far away while the weak ones there are idle.
    bulletins = [make_gossip_message(f"s{n}", capacity=STRONG) for n in range(3)]
    bulletins += [
        make_gossip_message("w", capacity=WEAK),
        make_gossip_message("v", capacity=WEAK),
    ]
    fleet = make_fleet(*bulletins)
    assert choose_addresses(None, fleet, "r") == ["s0:1", "s1:1", "s2:1"]
    for n in range(3):
        fleet.hear(make_gossip_message(f"s{n}", sequence=2, ready=False), "", 0.1)
    assert choose_addresses(None, fleet, "r") == ["v:1", "w:1"]


def test_silent_vm_is_named_no_longer():
    # A VM loses its power and says nothing. Callers that are sent to it wait
    # a second for a connection, again and again.
    fleet = make_fleet(make_gossip_message("a"))
    assert fleet.drop_silent(PEER_TIMEOUT_S - 0.1) == []
    assert [peer.vm for peer in fleet.drop_silent(PEER_TIMEOUT_S + 0.1)] == ["a"]
    assert fleet.get_usable("r") == []


def test_vm_that_carries_nothing_may_be_silent_for_longer():
    # It is heard once in a round only. Taken for dead in between, it would be
    # missing when those that carry the requests are lost.
    fleet = make_fleet(make_gossip_message("a", active=False))
    assert fleet.drop_silent(IDLE_SILENT_S - 0.1) == []
    assert [peer.vm for peer in fleet.drop_silent(IDLE_SILENT_S + 0.1)] == ["a"]


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
    fleet = make_fleet(make_gossip_message("a", sequence=5, leaving=True))
    assert fleet.hear(make_gossip_message("a", **late), "a:1", 0.1) is taken
    assert bool(fleet.get_usable("r")) is taken


@pytest.mark.parametrize("time_left_s", [0.05, 0.5, 2.0])
@pytest.mark.parametrize("draw", [0.0, 0.5, 1.0])
def test_retry_after_is_a_time_that_callers_honour(time_left_s, draw):
    retry_after_s = get_retry_after_s(time_left_s, 0.1, draw)
    assert 0 <= retry_after_s <= time_left_s / 3
