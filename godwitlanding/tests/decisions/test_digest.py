"""What regions tell each other, and who does."""

import pytest

from godwitlanding.decisions.digest import (
    MAX_PASSED_ON,
    PASSED_ON_S,
    SILENT_S,
    Digest,
    Digests,
    make_digest,
    pick_representatives,
)
from godwitlanding.decisions.fleet import Capacity
from godwitlanding.tests.support_fleet import make_peer

WEAK = Capacity(5.0, 0.4)


def make_region(region, rate=1.0):
    return Digest(region, 3, (f"10.0.0.1:{region}",), {"s": rate}, (), "", ())


def test_every_vm_picks_the_same_representatives():
    peers = [make_peer(f"vm-{number}") for number in range(6)]
    first = pick_representatives(peers)
    assert len(first) == 2
    assert pick_representatives(peers[::-1]) == first


def test_lost_representative_is_replaced():
    # The VM that speaks for a region is killed. If nobody took its place the
    # other regions would not know of the load there, and send work to it.
    peers = [make_peer(f"vm-{number}") for number in range(6)]
    lost, kept = pick_representatives(peers)
    left = [peer for peer in peers if peer.vm != lost]
    assert pick_representatives(left)[0] == kept
    assert len(pick_representatives(left)) == 2


@pytest.mark.parametrize(
    "changes", [{"ready": False}, {"leaving": True}, {"capacity": WEAK}]
)
def test_only_strong_vms_in_service_speak(changes):
    peers = [make_peer(f"vm-{number}") for number in range(4)]
    peers.append(make_peer("other", **changes))
    others = [make_peer(f"vm-{number}") for number in range(4)]
    assert pick_representatives(peers) == pick_representatives(others)


def test_digest_adds_up_a_region():
    peers = [
        make_peer("a", rate_by_service={"s": 2.0, "t": 1.0}),
        make_peer("b", rate_by_service={"s": 3.0}),
        make_peer("c", ready=False, rate_by_service={"s": 0.5}),
    ]
    digest = make_digest("r", peers, ())
    assert digest.rate_by_service == {"s": 5.5, "t": 1.0}
    assert digest.vms == 2
    assert digest.carriers == ("a:1", "b:1")


def test_digest_is_passed_on_by_those_who_have_it_from_outside():
    # What was heard from a neighbour is not passed on again: two VMs would
    # tell each other of a lost region for ever.
    digests = Digests("r")
    digests.hear(make_region("q"), True, 0.0)
    digests.hear(make_region("p"), False, 0.0)
    assert [digest.region for digest in digests.get_forwarded(0.1)] == ["q"]
    assert digests.get_forwarded(PASSED_ON_S + 0.1) == ()


def test_silent_region_is_forgotten():
    digests = Digests("r")
    digests.hear(make_region("q"), True, 0.0)
    assert digests.drop_silent(SILENT_S - 0.1) == []
    assert digests.drop_silent(SILENT_S + 0.1) == ["q"]
    assert digests.digest_by_region == {}
    assert digests.get_carriers() == []


def test_own_region_is_known_better():
    digests = Digests("r")
    digests.hear(make_region("r"), True, 0.0)
    assert digests.digest_by_region == {}


def test_many_regions_take_turns():
    digests = Digests("r")
    names = [f"q{number}" for number in range(3 * MAX_PASSED_ON - 1)]
    for name in names:
        digests.hear(make_region(name), True, 0.0)
    told = set()
    for _ in range(3):
        passed_on = digests.get_forwarded(0.1)
        assert len(passed_on) == MAX_PASSED_ON
        told |= {digest.region for digest in passed_on}
    assert told == set(names)


def test_carriers_of_some_regions():
    digests = Digests("r")
    for name in ("p", "q"):
        digests.hear(make_region(name), True, 0.0)
    assert digests.get_carriers({"q"}) == ["10.0.0.1:q"]
    assert len(digests.get_carriers()) == 2
