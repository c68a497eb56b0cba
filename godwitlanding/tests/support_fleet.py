"""Factories for gossip messages, peers and fleets in tests."""

from godwitlanding.decisions.fleet import Capacity, Fleet, Peer
from godwitlanding.gateway.gossipmessage import GossipMessage

CAPACITY = Capacity(1000.0, 0.86)


def make_gossip_message(vm, **changes):
    """Return the message of a VM in service, with ``changes``."""
    message = GossipMessage(
        vm=vm,
        incarnation=1,
        sequence=1,
        region="r",
        ready=True,
        leaving=False,
        active=True,
        capacity=CAPACITY,
        count_by_number={},
        rate_by_service={},
        crashes=(),
        digests=(),
        reads=False,
        failed=False,
        changed_at=(),
    )
    return message._replace(**changes)


def make_peer(vm, **changes):
    """Return the ``Peer`` of a VM in service, with ``changes``."""
    peer = Peer(
        vm=vm,
        address=f"{vm}:1",
        region="r",
        incarnation=1,
        sequence=1,
        ready=True,
        leaving=False,
        capacity=CAPACITY,
        busy=True,
        active=True,
        rate_by_service={},
        reads=False,
        failed=False,
        changed_at=(),
        received_at=0.0,
    )
    return peer._replace(**changes)


def make_fleet(*messages):
    """Return a fleet that has received ``messages``."""
    fleet = Fleet()
    for message in messages:
        fleet.receive(message, f"{message.vm}:1", 0.0)
    return fleet
