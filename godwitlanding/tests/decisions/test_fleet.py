"""Tests which VMs callers are directed to."""

import pytest

from godwitlanding.decisions.fleet import (
    IDLE_PEER_TIMEOUT_S,
    MIN_CARRIERS,
    PEER_TIMEOUT_S,
    Capacity,
    choose_addresses,
    pick_carriers,
)
from godwitlanding.decisions.retryafter import get_retry_after_s
from godwitlanding.tests.support_fleet import make_fleet, make_gossip_message, make_peer

OWN = make_peer("own")
HIGH_CAPACITY = Capacity(100.0, 2.15)
LOW_CAPACITY = Capacity(5.0, 0.43)
MEDIUM_CAPACITY = Capacity(20.0, 0.43)


@pytest.mark.parametrize(
    ("messages", "is_own_usable", "expected"),
    [
        pytest.param([], True, ["own:1"], id="alone"),
        pytest.param([make_gossip_message("a")], True, ["a:1", "own:1"], id="both"),
        pytest.param(
            [make_gossip_message("a", ready=False)], True, ["own:1"], id="not ready"
        ),
        pytest.param(
            [make_gossip_message("a", leaving=True)], True, ["own:1"], id="leaving"
        ),
        pytest.param([make_gossip_message("a")], False, ["a:1"], id="this VM stops"),
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
            id="only another region is left",
        ),
        pytest.param([], False, [], id="no VM"),
    ],
)
def test_choose_addresses(messages, is_own_usable, expected):
    fleet = make_fleet(*messages)
    own = OWN if is_own_usable else None
    assert choose_addresses(own, fleet, "r") == expected


def make_group(prefix, count, capacity):
    return [make_peer(f"{prefix}{n}", capacity=capacity) for n in range(count)]


# High- and low-capacity VMs of a region, requests a second, and the number of
# carriers.
GROUPS = (
    pytest.param(6, 14, 100, 6, id="low-capacity VMs in reserve"),
    pytest.param(0, 8, 100, 8, id="few equal VMs"),
    pytest.param(0, 80, 100, MIN_CARRIERS, id="many equal VMs"),
    pytest.param(80, 0, 100, MIN_CARRIERS, id="many high-capacity VMs"),
    pytest.param(0, 80, 500, 30, id="many equal VMs, higher load"),
    pytest.param(2, 4, 100, 2, id="two high-capacity VMs are enough"),
    pytest.param(1, 14, 100, 6, id="a single one could be lost"),
    pytest.param(2, 50, 2000, 52, id="high-capacity VMs cannot carry the load"),
    pytest.param(0, 0, 100, 0, id="no VM"),
)


@pytest.mark.parametrize(
    ("high_capacity", "low_capacity", "rate_per_s", "carrier_count"), GROUPS
)
def test_as_many_vms_are_picked_as_carry_the_load(
    high_capacity, low_capacity, rate_per_s, carrier_count
):
    # A third of the VMs have links of 100 Mbit/s, the others of 5 Mbit/s.
    # Callers that are directed to the latter wait a quarter of a second longer
    # for an answer of 90 KB, and for small answers queued behind it. And all
    # other VMs have to send their in-progress counts to each VM that is named.
    peers = make_group("s", high_capacity, HIGH_CAPACITY) + make_group(
        "w", low_capacity, LOW_CAPACITY
    )
    chosen = pick_carriers(peers, rate_per_s)
    assert len(chosen) == carrier_count
    first = {peer.vm for peer in chosen[:high_capacity]}
    assert all(name.startswith("s") for name in first)


@pytest.mark.parametrize(
    ("lost", "carrier_count"), [(0, 9), (3, 6), (6, 3), (7, 13), (9, 13)]
)
def test_low_capacity_vms_replace_lost_high_capacity_ones(lost, carrier_count):
    # A region of 65 VMs loses its high-capacity VMs one after the other at 735
    # requests a second. Two of them could carry that, but not a burst; callers
    # pick evenly, so a low-capacity VM beside them gets the same load.
    high_capacity = make_group("s", 9, HIGH_CAPACITY)[lost:]
    peers = high_capacity + make_group("w", 56, MEDIUM_CAPACITY)
    assert len(pick_carriers(peers, 735.0)) == carrier_count


@pytest.mark.parametrize(
    "capacity",
    [
        pytest.param(Capacity(100.0, 0.4), id="slow processor"),
        pytest.param(Capacity(20.0, 2.15), id="slow link"),
    ],
)
def test_capacity_of_a_vm_is_that_of_its_bottleneck(capacity):
    peers = make_group("s", 4, HIGH_CAPACITY) + [make_peer("w", capacity=capacity)]
    names = sorted(peer.vm for peer in pick_carriers(peers, 100.0))
    assert names == ["s0", "s1", "s2", "s3"]


def test_own_callers_count_as_load():
    fleet = make_fleet(
        *(make_gossip_message(f"w{n}", capacity=LOW_CAPACITY) for n in range(40)),
        make_gossip_message("w40", capacity=LOW_CAPACITY, rate_by_service={"s": 100.0}),
    )
    own = OWN._replace(capacity=LOW_CAPACITY)
    assert len(choose_addresses(own, fleet, "r")) == MIN_CARRIERS
    fleet.own_rate_per_s = 100.0
    assert len(choose_addresses(own, fleet, "r")) == 12


def test_loss_of_a_carrier_keeps_the_other_carriers():
    peers = make_group("w", 80, LOW_CAPACITY)
    before = {peer.vm for peer in pick_carriers(peers, 100.0)}
    lost = min(before)
    left = [peer for peer in peers if peer.vm != lost]
    after = {peer.vm for peer in pick_carriers(left, 100.0)}
    assert before - after == {lost}
    assert len(after - before) == 1


def test_low_capacity_vms_are_named_after_loss_of_the_others():
    # All high-capacity VMs of a region lose power. Callers of the region must
    # not be directed to other regions while its low-capacity VMs are idle.
    messages = [make_gossip_message(f"s{n}", capacity=HIGH_CAPACITY) for n in range(3)]
    messages += [
        make_gossip_message("w", capacity=LOW_CAPACITY),
        make_gossip_message("v", capacity=LOW_CAPACITY),
    ]
    fleet = make_fleet(*messages)
    assert choose_addresses(None, fleet, "r") == ["s0:1", "s1:1", "s2:1"]
    for n in range(3):
        fleet.receive(make_gossip_message(f"s{n}", sequence=2, ready=False), "", 0.1)
    assert choose_addresses(None, fleet, "r") == ["v:1", "w:1"]


def test_silent_vm_is_no_longer_named():
    # A VM loses power without a message. Callers that are directed to it would
    # wait a second for a connection, again and again.
    fleet = make_fleet(make_gossip_message("a"))
    assert fleet.drop_silent(PEER_TIMEOUT_S - 0.1) == []
    assert [peer.vm for peer in fleet.drop_silent(PEER_TIMEOUT_S + 0.1)] == ["a"]
    assert fleet.get_usable("r") == []


def test_inactive_vm_has_a_longer_timeout():
    # An inactive VM sends a message once in a round only. If it were dropped
    # in between, it would be missing when the carriers are lost.
    fleet = make_fleet(make_gossip_message("a", active=False))
    assert fleet.drop_silent(IDLE_PEER_TIMEOUT_S - 0.1) == []
    assert [peer.vm for peer in fleet.drop_silent(IDLE_PEER_TIMEOUT_S + 0.1)] == ["a"]


@pytest.mark.parametrize(
    ("changes", "is_accepted"),
    [
        pytest.param({"sequence": 4}, False, id="reordered"),
        pytest.param({"sequence": 5}, False, id="duplicate"),
        pytest.param({"sequence": 6}, True, id="newer"),
        pytest.param({"sequence": 1, "incarnation": 2}, True, id="restarted"),
    ],
)
def test_delayed_datagram_does_not_override_a_newer_one(changes, is_accepted):
    # A VM announces that it is leaving, and an older datagram arrives
    # afterwards. If that were applied, callers would be directed to a VM that
    # is about to stop.
    fleet = make_fleet(make_gossip_message("a", sequence=5, leaving=True))
    assert fleet.receive(make_gossip_message("a", **changes), "a:1", 0.1) is is_accepted
    assert bool(fleet.get_usable("r")) is is_accepted


@pytest.mark.parametrize("time_left_s", [0.05, 0.5, 2.0])
@pytest.mark.parametrize("draw", [0.0, 0.5, 1.0])
def test_retry_after_is_within_a_third_of_the_time_left(time_left_s, draw):
    retry_after_s = get_retry_after_s(time_left_s, 0.1, draw)
    assert 0 <= retry_after_s <= time_left_s / 3
