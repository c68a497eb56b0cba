"""Tests the digests of regions and the choice of representatives."""

import pytest

from godwitlanding.decisions.digest import (
    DIGEST_TIMEOUT_S,
    FORWARD_S,
    MAX_FORWARDED,
    Digest,
    Digests,
    make_digest,
    pick_representatives,
)
from godwitlanding.decisions.fleet import Capacity
from godwitlanding.tests.support_fleet import make_peer

LOW_CAPACITY = Capacity(5.0, 0.4)


def make_region_digest(region, rate=1.0):
    return Digest(region, 3, (f"10.0.0.1:{region}",), {"s": rate}, (), "", ())


def test_every_vm_picks_the_same_representatives():
    peers = [make_peer(f"vm-{number}") for number in range(6)]
    first = pick_representatives(peers)
    assert len(first) == 2
    assert pick_representatives(peers[::-1]) == first


def test_lost_representative_is_replaced():
    # The representative of a region is killed. Without a replacement the other
    # regions would not know the load there, and would send requests to it.
    peers = [make_peer(f"vm-{number}") for number in range(6)]
    lost, kept = pick_representatives(peers)
    left = [peer for peer in peers if peer.vm != lost]
    assert pick_representatives(left)[0] == kept
    assert len(pick_representatives(left)) == 2


@pytest.mark.parametrize(
    "changes", [{"ready": False}, {"leaving": True}, {"capacity": LOW_CAPACITY}]
)
def test_only_usable_high_capacity_vms_represent(changes):
    peers = [make_peer(f"vm-{number}") for number in range(4)]
    peers.append(make_peer("other", **changes))
    others = [make_peer(f"vm-{number}") for number in range(4)]
    assert pick_representatives(peers) == pick_representatives(others)


def test_digest_sums_up_a_region():
    peers = [
        make_peer("a", rate_by_service={"s": 2.0, "t": 1.0}),
        make_peer("b", rate_by_service={"s": 3.0}),
        make_peer("c", ready=False, rate_by_service={"s": 0.5}),
    ]
    digest = make_digest("r", peers, ())
    assert digest.rate_by_service == {"s": 5.5, "t": 1.0}
    assert digest.vms == 2
    assert digest.carriers == ("a:1", "b:1")


def test_only_directly_received_digests_are_forwarded():
    # A digest received from a VM of the own region is not forwarded again:
    # otherwise two VMs would keep forwarding the digest of a lost region to
    # each other forever.
    digests = Digests("r")
    digests.receive(make_region_digest("q"), True, 0.0)
    digests.receive(make_region_digest("p"), False, 0.0)
    assert [digest.region for digest in digests.get_forwarded(0.1)] == ["q"]
    assert digests.get_forwarded(FORWARD_S + 0.1) == ()


def test_silent_region_is_dropped():
    digests = Digests("r")
    digests.receive(make_region_digest("q"), True, 0.0)
    assert digests.drop_silent(DIGEST_TIMEOUT_S - 0.1) == []
    assert digests.drop_silent(DIGEST_TIMEOUT_S + 0.1) == ["q"]
    assert digests.digest_by_region == {}
    assert digests.get_carriers() == []


def test_digest_of_the_own_region_is_ignored():
    digests = Digests("r")
    digests.receive(make_region_digest("r"), True, 0.0)
    assert digests.digest_by_region == {}


def test_many_regions_are_forwarded_in_turn():
    digests = Digests("r")
    names = [f"q{number}" for number in range(3 * MAX_FORWARDED - 1)]
    for name in names:
        digests.receive(make_region_digest(name), True, 0.0)
    forwarded_regions = set()
    for _ in range(3):
        forwarded = digests.get_forwarded(0.1)
        assert len(forwarded) == MAX_FORWARDED
        forwarded_regions |= {digest.region for digest in forwarded}
    assert forwarded_regions == set(names)


def test_carriers_of_some_regions():
    digests = Digests("r")
    for name in ("p", "q"):
        digests.receive(make_region_digest(name), True, 0.0)
    assert digests.get_carriers({"q"}) == ["10.0.0.1:q"]
    assert len(digests.get_carriers()) == 2
