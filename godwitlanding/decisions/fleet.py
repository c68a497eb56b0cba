"""Keeps the known VMs and selects those that callers are directed to.

Load pattern: VMs are killed, restarted one after another, added and
partitioned while callers keep the addresses they were given for seconds. A VM
is named while its messages arrive, it reports that it is ready and it is not
leaving. Callers are directed to their own region, or to any other if no VM
there is known. The VM that answers may always name itself if it is ready: the
request proves that it can be reached.

VMs differ in capacity: a response of 90 KB takes 7 ms on a link of 100 Mbit/s
but 144 ms on one of 5 Mbit/s, once in and once out, and small responses queue
behind it. Callers pick evenly among the named VMs, so VMs with a high capacity
are named first, and the others only if the remaining high-capacity VMs cannot
carry the load.

There are many VMs: with 195 named, each would get six requests a second, send
a request to a given upstream once a minute, and would need the in-progress
counts of 64 others. So of many equal VMs only as many are named as carry three
times the load.
"""

from typing import NamedTuple

from godwitlanding.base.rendezvous import rank
from godwitlanding.decisions.reach import Reach, drop_cut_off, select_in_touch

# As in ``occupancy``: ten messages in a row are missing.
PEER_TIMEOUT_S = 1.5
# VMs that carry no requests send less often (see ``recipients``); this is
# three rounds.
IDLE_PEER_TIMEOUT_S = 5.0
MAX_ADDRESSES = 64
# A VM has a high capacity if its link and its processor reach this share of
# the best VM's: then nothing takes more than four times as long as there.
HIGH_CAPACITY_SHARE = 0.25
# With two, another is left when one of them is lost.
MIN_HIGH_CAPACITY = 2
# Of many equal VMs at least this many carry requests: three in each of three
# availability zones, of which six are left when a zone is lost.
MIN_CARRIERS = 9
# The carriers' capacity as a multiple of the present load: headroom for waves,
# for bursts, and for the loss of an availability zone.
HEADROOM_FACTOR = 3.0
# Cost of a request to a VM, including its share of the gossip messages.
REQUEST_CORE_S = 0.0025
REQUEST_MBIT = 0.1
# A VM that callers are not directed to still receives a stray request now and
# then; below this rate it is not busy.
BUSY_PER_S = 0.5


class Capacity(NamedTuple):
    """The resources of a VM for carrying traffic."""

    # In each direction.
    link_mbps: float
    # Processor time a second, in cores.
    cores: float


class Peer(NamedTuple):
    """The state of a VM from its latest message.

    ``received_at`` is a time on this process's clock.
    """

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
    # Whether it sends its state to its whole region (see ``recipients``).
    active: bool
    # Requests a second that callers send to it.
    rate_by_service: dict[str, float]
    # Whether it reads the store, and whether the store fails to answer it.
    reads: bool
    failed: bool
    # Revisions of the latest changes that it knows, by kind in alphabetical
    # order.
    changed_at: tuple[int, ...]
    received_at: float
    # Whether it reaches upstreams.
    reach: Reach = Reach.UNKNOWN

    @property
    def host(self):
        """Return the IP address in ``address``."""
        return self.address.partition(":")[0]


def make_own_peer(identity):
    """Return this VM as a ``Peer`` that accepts callers."""
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
    """The known peers, by name of the VM."""

    def __init__(self):
        self.peer_by_vm = {}
        # Rate of requests that callers send to this VM itself.
        self.own_rate_per_s = 0.0

    def receive(self, message, address, now):
        """Store a peer's state; return whether the message is newer."""
        known = self.peer_by_vm.get(message.vm)
        if known and known.incarnation == message.incarnation:
            if message.sequence <= known.sequence:
                return False
        self.peer_by_vm[message.vm] = Peer(
            message.vm,
            address,
            message.region,
            message.incarnation,
            message.sequence,
            message.ready,
            message.leaving,
            message.capacity,
            message.active
            and is_busy(message.count_by_number, message.rate_by_service),
            message.active,
            message.rate_by_service,
            message.reads,
            message.failed,
            message.changed_at,
            now,
            message.reach,
        )
        return True

    def drop_silent(self, now):
        """Drop and return the peers whose messages no longer arrive."""
        silent = [
            peer
            for peer in self.peer_by_vm.values()
            if now - peer.received_at
            > (PEER_TIMEOUT_S if peer.active else IDLE_PEER_TIMEOUT_S)
        ]
        for peer in silent:
            del self.peer_by_vm[peer.vm]
        return silent

    def get_usable(self, region):
        """Return the peers of ``region`` that callers may be directed to.

        An empty ``region`` stands for all.
        """
        return [
            peer
            for peer in self.peer_by_vm.values()
            if peer.ready and not peer.leaving and (not region or peer.region == region)
        ]

    def get_rate(self, region):
        """Return the rate of callers' requests at the peers of ``region``.

        The rate is in requests a second; an empty ``region`` stands for all.
        """
        return sum(
            sum(peer.rate_by_service.values())
            for peer in self.peer_by_vm.values()
            if not region or peer.region == region
        )


def is_busy(in_progress, rate_by_service):
    """Return whether a VM has or receives requests of callers."""
    return bool(in_progress) or sum(rate_by_service.values()) >= BUSY_PER_S


def find_high_capacity(peers):
    """Return those of ``peers`` that have a high capacity."""
    best = Capacity(
        max((peer.capacity.link_mbps for peer in peers), default=0.0),
        max((peer.capacity.cores for peer in peers), default=0.0),
    )
    return [peer for peer in peers if _has_high_capacity(peer.capacity, best)]


def pick_carriers(peers, rate_per_s):
    """Return those of ``peers`` that carry ``rate_per_s`` requests.

    Every VM that knows the same peers and rates picks the same ones, and the
    loss or addition of a peer changes no more of them than necessary.
    """
    peer_by_vm = {peer.vm: peer for peer in peers}
    high_capacity = {peer.vm for peer in find_high_capacity(peers)}
    ranked = rank("carrier", high_capacity) + rank(
        "carrier", peer_by_vm.keys() - high_capacity
    )
    min_carriers = min(MIN_CARRIERS, max(MIN_HIGH_CAPACITY, len(high_capacity)))
    carriers = []
    for vm in ranked:
        if len(carriers) >= min_carriers and _can_carry(carriers, rate_per_s):
            break
        carriers.append(peer_by_vm[vm])
    return carriers


def _has_high_capacity(capacity, best):
    return (
        capacity.link_mbps >= HIGH_CAPACITY_SHARE * best.link_mbps
        and capacity.cores >= HIGH_CAPACITY_SHARE * best.cores
    )


def _can_carry(carriers, rate_per_s):
    # Callers pick evenly, so the carrier with the lowest capacity limits the
    # load of each.
    each_per_s = HEADROOM_FACTOR * rate_per_s / len(carriers)
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
    return pick_carriers(select_in_touch(peers), rate_per_s)


def choose_addresses(own, fleet, region, digests=()):
    """Return the addresses for a caller of ``region``.

    ``digests`` are those of the other regions. Callers of a region without
    VMs, or whose VMs are all cut off from upstreams, are directed to VMs of
    other regions that are in touch.
    """
    home = get_carriers(own, fleet, region)
    home_digests = [digest for digest in digests if digest.region == region]
    addresses = _get_addresses(drop_cut_off(home), drop_cut_off(home_digests))
    if not addresses:
        others = get_carriers(own, fleet, "")
        addresses = (
            _get_addresses(drop_cut_off(others), drop_cut_off(digests))
            or _get_addresses(home, home_digests)
            or _get_addresses(others, digests)
        )
    return sorted(addresses)[:MAX_ADDRESSES]


def _get_addresses(peers, digests):
    addresses = {peer.address for peer in peers}
    return addresses.union(*(digest.carriers for digest in digests))
