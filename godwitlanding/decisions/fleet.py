"""Which VMs callers are told to use, from what the VMs say of themselves.

Load pattern: VMs are killed, stopped in turn, added and cut off while
callers keep their answers for seconds. A VM is named while it is heard, says
that it is ready and does not leave. Callers are sent to their own region;
where nobody there is heard, to any. The VM that answers always may name
itself if it is ready: it can be reached, for it was asked.

VMs are unlike: on links of 100 Mbit/s an answer of 90 KB takes 7 ms, on
links of 5 it takes 144, twice, and small answers wait behind it. Callers
pick evenly among the VMs that are named, so the strong VMs are named first,
and the weak ones only where the strong ones that are left cannot carry the
load.

VMs are many: of 195 each would get six requests a second, see an upstream
once a minute, and have to be told by 64 others what those have in progress.
So of many alike only as many are named as carry three times the load.
"""

from typing import NamedTuple

from godwitlanding.base.rendezvous import rank

# As in ``occupancy``: ten messages in a row.
PEER_TIMEOUT_S = 1.5
# VMs that carry nothing are heard less often (``audience``): three rounds.
IDLE_SILENT_S = 5.0
MAX_NAMED = 64
# A VM is strong if link and processor are this share of the best VM's: then
# nothing takes more than four times as long as there.
STRONG_SHARE = 0.25
# There is another one when one of them is lost.
MIN_STRONG = 2
# Of many alike this many carry at the least: three in each of three
# availability zones, of which six are left when a zone is lost.
MIN_CARRIERS = 9
# What those who carry must be able to carry, in present loads: for waves, for
# bursts, and for the loss of a zone.
SPARE_TIMES = 3.0
# What a request takes of a VM, its part of the bulletins included.
REQUEST_CORE_S = 0.0025
REQUEST_MBIT = 0.1
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
    # Whether it carries requests of callers now.
    busy: bool
    # Whether it tells its whole region that it lives (see ``audience``).
    active: bool
    # Requests a second that callers send to it.
    rate_by_service: dict[str, float]
    # Whether it reads the store, and whether the store does not answer it.
    reads: bool
    failed: bool
    # Revisions of the last changes that it knows, by kind in alphabetical
    # order.
    changed_at: tuple[int, ...]
    received_at: float

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
        active=True,
        rate_by_service={},
        reads=False,
        failed=False,
        changed_at=(),
        received_at=0.0,
    )


class Fleet:
    """The peers that were heard, by name of their VM."""

    def __init__(self):
        self.peer_by_vm = {}
        # Requests that callers send to this VM itself.
        self.own_rate_per_s = 0.0

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
            bulletin.active
            and is_busy(bulletin.count_by_number, bulletin.rate_by_service),
            bulletin.active,
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
            peer
            for peer in self.peer_by_vm.values()
            if now - peer.received_at
            > (PEER_TIMEOUT_S if peer.active else IDLE_SILENT_S)
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

    def get_rate(self, region):
        """Return the requests a second that the peers of ``region`` get."""
        return sum(
            sum(peer.rate_by_service.values())
            for peer in self.peer_by_vm.values()
            if not region or peer.region == region
        )


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


def pick_carriers(peers, rate_per_s):
    """Return those of ``peers`` that carry ``rate_per_s`` requests.

    Every VM that hears the same peers and rates picks the same ones, and one
    that is lost or added changes no more than it must.
    """
    peer_by_vm = {peer.vm: peer for peer in peers}
    strong = {peer.vm for peer in find_strong(peers)}
    order = rank("carrier", strong) + rank("carrier", peer_by_vm.keys() - strong)
    wanted = min(MIN_CARRIERS, max(MIN_STRONG, len(strong)))
    carriers = []
    for vm in order:
        if len(carriers) >= wanted and _can_carry(carriers, rate_per_s):
            break
        carriers.append(peer_by_vm[vm])
    return carriers


def _is_strong(capacity, best):
    return (
        capacity.link_mbps >= STRONG_SHARE * best.link_mbps
        and capacity.cores >= STRONG_SHARE * best.cores
    )


def _can_carry(carriers, rate_per_s):
    # Callers pick evenly, so the weakest one bounds what each gets.
    each_per_s = SPARE_TIMES * rate_per_s / len(carriers)
    return (
        min(map(_get_link_mbps, carriers)) >= REQUEST_MBIT * each_per_s
        and min(map(_get_cores, carriers)) >= REQUEST_CORE_S * each_per_s
    )


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
    rate_per_s = fleet.get_rate(region)
    if own and region in ("", own.region):
        peers.append(own)
        rate_per_s += fleet.own_rate_per_s
    return pick_carriers(peers, rate_per_s)


def choose_addresses(own, fleet, region, elsewhere=()):
    """Return the addresses for a caller of ``region``.

    ``elsewhere`` are those that other regions name for their callers.
    """
    addresses = [peer.address for peer in get_carriers(own, fleet, region)]
    if not addresses:
        carriers = get_carriers(own, fleet, "")
        addresses = {*elsewhere, *(peer.address for peer in carriers)}
    return sorted(addresses)[:MAX_NAMED]
