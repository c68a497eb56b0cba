"""Which VMs callers are told to use, from what the VMs say of themselves.

Load pattern: VMs are killed, stopped in turn, added and cut off while
callers keep their answers for seconds. A VM is named while it is heard, says
that it is ready and does not leave. Callers are sent to their own region;
where nobody there is heard, to any. The VM that answers always may name
itself if it is ready: it can be reached, for it was asked.

VMs are unlike: on links of 100 Mbit/s an answer of 90 KB takes 7 ms, on
links of 5 it takes 144, twice, and small answers wait behind it. Callers
pick evenly among the VMs that are named, so where the strong VMs can carry
most of what all can, only they are named. (Measured on 18 strong and 41 weak
VMs: an attempt took 0.16 s by the strong ones and 0.29 s by the others.) The
weak ones are in reserve, and are named as soon as the strong ones that are
left are too few.
"""

from typing import NamedTuple

# As in ``occupancy``: ten messages in a row.
SILENT_S = 1.5
MAX_NAMED = 64
# A VM is strong if link and processor are this share of the best VM's: then
# nothing takes more than four times as long as there.
STRONG_SHARE = 0.25
# Strong VMs alone are named if they have this share of what all have, and
# there is another one when one of them is lost.
SUFFICIENT_SHARE = 0.5
MIN_STRONG = 2
# A VM that callers are not sent to gets a stray request now and then.
BUSY_PER_S = 0.5


class Capacity(NamedTuple):
    """What a VM has to carry traffic with."""

    # Each way.
    link_mbps: float
    # Processor time a second, in cores.
    cores: float


class Peer(NamedTuple):
    """A VM as it was heard last; ``heard_at`` is on this process's clock."""

    vm: str
    address: str
    region: str
    incarnation: int
    sequence: int
    ready: bool
    leaving: bool
    capacity: Capacity
    # Whether it has requests of callers.
    busy: bool
    # Requests a second that callers send to it.
    rate_by_service: dict[str, float]
    # Whether it reads the store, and whether the store does not answer it.
    reads: bool
    failed: bool
    # Revisions of the last changes that it knows, by kind in alphabetical
    # order.
    changed_at: tuple[int, ...]
    heard_at: float

    @property
    def host(self):
        """Return the IP number of ``address``."""
        return self.address.partition(":")[0]


def make_own_peer(identity):
    """Return this VM as its peers see it when callers may be sent to it."""
    host, port = identity.caller_address
    return Peer(
        vm=identity.vm,
        address=f"{host}:{port}",
        region=identity.region,
        incarnation=0,
        sequence=0,
        ready=True,
        leaving=False,
        capacity=identity.capacity,
        busy=True,
        rate_by_service={},
        reads=False,
        failed=False,
        changed_at=(),
        heard_at=0.0,
    )


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
            bulletin.incarnation,
            bulletin.sequence,
            bulletin.ready,
            bulletin.leaving,
            bulletin.capacity,
            is_busy(bulletin.count_by_number, bulletin.rate_by_service),
            bulletin.rate_by_service,
            bulletin.reads,
            bulletin.failed,
            bulletin.changed_at,
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


def is_busy(in_progress, rate_by_service):
    """Tell whether a VM has or gets requests of callers."""
    return bool(in_progress) or sum(rate_by_service.values()) >= BUSY_PER_S


def find_strong(peers):
    """Return those of ``peers`` that are no weaker than they need be."""
    best = Capacity(
        max((peer.capacity.link_mbps for peer in peers), default=0.0),
        max((peer.capacity.cores for peer in peers), default=0.0),
    )
    return [peer for peer in peers if _is_strong(peer.capacity, best)]


def pick_strong(peers):
    """Return the strong ones of ``peers``, or all if those do not suffice."""
    strong = find_strong(peers)
    if len(strong) < MIN_STRONG or not _suffices(strong, peers):
        return peers
    return strong


def _is_strong(capacity, best):
    return (
        capacity.link_mbps >= STRONG_SHARE * best.link_mbps
        and capacity.cores >= STRONG_SHARE * best.cores
    )


def _suffices(some, peers):
    for get in (_get_link_mbps, _get_cores):
        if sum(map(get, some)) < SUFFICIENT_SHARE * sum(map(get, peers)):
            return False
    return True


def _get_link_mbps(peer):
    return peer.capacity.link_mbps


def _get_cores(peer):
    return peer.capacity.cores


def get_carriers(own, fleet, region):
    """Return the VMs of ``region`` (empty: of all) that carry its requests.

    ``own`` is this VM as a ``Peer`` if callers may be sent to it, else
    ``None``.
    """
    peers = fleet.get_usable(region)
    if own and region in ("", own.region):
        peers.append(own)
    return pick_strong(peers)


def choose_addresses(own, fleet, region, elsewhere=()):
    """Return the addresses for a caller of ``region``.

    ``elsewhere`` are those that other regions name for their callers.
    """
    addresses = [peer.address for peer in get_carriers(own, fleet, region)]
    if not addresses:
        carriers = get_carriers(own, fleet, "")
        addresses = {*elsewhere, *(peer.address for peer in carriers)}
    return sorted(addresses)[:MAX_NAMED]
