"""Which VMs callers are told to use, from what the VMs say of themselves.

Load pattern: VMs are killed, stopped in turn, added and cut off while
callers keep their answers for seconds. A VM is named while it is heard, says
that it is ready and does not leave. Callers are sent to their own region;
where nobody there is heard, to any. The VM that answers always may name
itself if it is ready: it can be reached, for it was asked.
"""

from typing import NamedTuple

# As in ``occupancy``: ten messages in a row.
SILENT_S = 1.5
MAX_NAMED = 64


class Peer(NamedTuple):
    """A VM as it was heard last; ``heard_at`` is on this process's clock."""

    vm: str
    address: str
    region: str
    availability_zone: str
    incarnation: int
    sequence: int
    ready: bool
    leaving: bool
    heard_at: float


class Fleet:
    """The peers that were heard, by name of their VM."""

    def __init__(self):
        self.peer_by_vm = {}

    def hear(self, bulletin, address, now):
        """Take a peer's word; return whether it is new and not a late one."""
        held = self.peer_by_vm.get(bulletin.vm)
        if held and held.incarnation == bulletin.incarnation:
            if bulletin.sequence <= held.sequence:
                return False
        self.peer_by_vm[bulletin.vm] = Peer(
            bulletin.vm,
            address,
            bulletin.region,
            bulletin.availability_zone,
            bulletin.incarnation,
            bulletin.sequence,
            bulletin.ready,
            bulletin.leaving,
            now,
        )
        return True

    def drop_silent(self, now):
        """Forget and return the peers that are silent."""
        silent = [
            peer for peer in self.peer_by_vm.values() if now - peer.heard_at > SILENT_S
        ]
        for peer in silent:
            del self.peer_by_vm[peer.vm]
        return silent

    def get_usable(self, region):
        """Return the peers of ``region`` that callers may be sent to."""
        return [
            peer
            for peer in self.peer_by_vm.values()
            if peer.ready and not peer.leaving and (not region or peer.region == region)
        ]


def choose_addresses(own_address, own_region, own_usable, fleet, region):
    """Return the addresses for a caller of ``region``, best first."""
    addresses = [peer.address for peer in fleet.get_usable(region)]
    if own_usable and own_region == region:
        addresses.append(own_address)
    if not addresses:
        addresses = [peer.address for peer in fleet.get_usable("")]
        if own_usable:
            addresses.append(own_address)
    return sorted(addresses)[:MAX_NAMED]
