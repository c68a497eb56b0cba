"""Builds and keeps the digests that regions exchange instead of VM states.

Load pattern: 60 VMs in three regions, 2,000 in 25 regions two years on. A VM
needs little information about another region: its request rate, where to
direct callers if the own region is lost, and which requests crash upstreams.
If every VM sent its state to every other, each would have to send two thousand
datagrams, or be silent for ten seconds. So the first VMs of a region, its
*representatives*, send one digest to a few VMs of each other region, which
forward it to the VMs of their own region in their own gossip messages. With
two representatives and two targets each time, any single one of them may be
lost.
"""

from typing import NamedTuple

from godwitlanding.base.rendezvous import rank
from godwitlanding.decisions.fleet import find_high_capacity, pick_carriers
from godwitlanding.decisions.objectmap import CacheEntry
from godwitlanding.decisions.ratelimit import LimitedUpstream
from godwitlanding.decisions.reach import Reach, select_in_touch
from godwitlanding.decisions.tally import AskedRate

REPRESENTATIVES = 2
# Number of VMs of another region that a representative sends a digest to while
# none there has sent it a digest; after that it sends to that VM, and now and
# then to another one at random.
TARGETS = 2
# Interval between two digests; the shares of regions change by 0.04 a second
# at the most.
DIGEST_INTERVAL_S = 0.5
# A digest received from its own region is forwarded for this long, twice the
# interval; a digest that is not renewed is dropped after three times that.
FORWARD_S = 1.0
DIGEST_TIMEOUT_S = 3.0
# Limits the digests in one gossip message, so that it fits in one packet; with
# more regions they take turns.
MAX_FORWARDED = 4
MAX_CARRIERS = 16


SUCCEEDED = 0


class Crash(NamedTuple):
    """A request that was running on an upstream when the upstream crashed."""

    fingerprint: int
    # Number of the upstream's start (see ``decisions.occupancy``), or
    # ``SUCCEEDED``: the request, which was a suspect, has succeeded since.
    upstream: int
    age_s: float = 0.0


class Digest(NamedTuple):
    """The state of a region as seen by its representatives."""

    region: str
    # Number of VMs that serve callers, and addresses of those that carry the
    # most requests.
    vms: int
    carriers: tuple[str, ...]
    # Requests a second from callers of the region.
    rate_by_service: dict[str, float]
    crashes: tuple[Crash, ...]
    # IP address of a VM that knows the store's state, and the revisions that
    # it has reached, by kind in alphabetical order.
    source: str
    changed_at: tuple[int, ...]
    # Objects recently sent to upstreams.
    met: tuple[CacheEntry, ...] = ()
    # Demand of the region's callers by workspace; in every other digest.
    asked: tuple[AskedRate, ...] = ()
    # Upstreams of the region that have announced a limit.
    limited: tuple[LimitedUpstream, ...] = ()
    # Numbers of upstreams that are leaving but are not marked so in the store.
    leaving_upstreams: tuple[int, ...] = ()
    # ``CUT_OFF`` if all its VMs are cut off from upstreams.
    reach: Reach = Reach.UNKNOWN


def pick_representatives(peers):
    """Return the names of the VMs that represent a region, given its VMs.

    VMs with a high capacity come first, and every VM that knows the same peers
    picks the same ones.
    """
    usable = [peer for peer in peers if peer.ready and not peer.leaving]
    names = [peer.vm for peer in find_high_capacity(usable)]
    return rank("representative", names)[:REPRESENTATIVES]


def make_digest(region, peers, crashes, met=(), asked=()):
    """Return the digest of a region, given its VMs (at least one)."""
    usable = [peer for peer in peers if peer.ready and not peer.leaving]
    rate_by_service = {}
    for peer in peers:
        for service, rate in peer.rate_by_service.items():
            rate_by_service[service] = rate_by_service.get(service, 0.0) + rate
    in_touch = select_in_touch(usable)
    carriers = pick_carriers(in_touch, sum(rate_by_service.values()))
    addresses = sorted(peer.address for peer in carriers)
    source = max(peers, key=lambda peer: (peer.reads, peer.changed_at))
    return Digest(
        region=region,
        vms=len(usable),
        carriers=tuple(addresses[:MAX_CARRIERS]),
        rate_by_service=rate_by_service,
        crashes=tuple(crashes),
        source=source.host,
        changed_at=source.changed_at,
        met=tuple(met),
        asked=tuple(asked),
        reach=min((peer.reach for peer in in_touch), default=Reach.UNKNOWN),
    )


class Digests:
    """The latest digest of each other region.

    ``now`` is the time in seconds on one clock in every call.
    """

    def __init__(self, region):
        self._region = region
        self._received_at_by_region = {}
        self._direct_received_at_by_region = {}
        self._forward_offset = 0
        self.digest_by_region = {}

    def receive(self, digest, is_direct, now):
        """Store a digest; ``is_direct`` if that region sent it itself."""
        if digest.region == self._region:
            return
        self.digest_by_region[digest.region] = digest
        self._received_at_by_region[digest.region] = now
        if is_direct:
            self._direct_received_at_by_region[digest.region] = now

    def get_forwarded(self, now):
        """Return the digests that this VM forwards to its own region."""
        regions = sorted(
            region
            for region, received_at in self._direct_received_at_by_region.items()
            if now - received_at <= FORWARD_S
        )
        if len(regions) > MAX_FORWARDED:
            begin = self._forward_offset % len(regions)
            regions = (regions + regions)[begin : begin + MAX_FORWARDED]
            self._forward_offset += MAX_FORWARDED
        return tuple(self.digest_by_region[region] for region in regions)

    def drop_silent(self, now):
        """Drop and return the regions whose digests are no longer renewed."""
        silent = [
            region
            for region, received_at in self._received_at_by_region.items()
            if now - received_at > DIGEST_TIMEOUT_S
        ]
        for region in silent:
            del self.digest_by_region[region]
            del self._received_at_by_region[region]
            self._direct_received_at_by_region.pop(region, None)
        return silent

    def get_carriers(self, regions=None, in_touch=False):
        """Return the addresses of the carriers of ``regions``, or of all.

        With ``in_touch``, only of regions that reach upstreams.
        """
        return [
            address
            for region, digest in self.digest_by_region.items()
            if regions is None or region in regions
            if not (in_touch and digest.reach is Reach.CUT_OFF)
            for address in digest.carriers
        ]
