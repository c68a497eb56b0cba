"""What a region tells the others, in place of each of its VMs.

Load pattern: 60 VMs in three regions, 2,000 in 25 two years on. What a VM
needs of another region is little: how much arrives there, whom callers may
be sent to if the own region is lost, and which requests crash upstreams.
Each VM telling each other, a VM would send two thousand datagrams or be
silent for ten seconds. So the first VMs of a region, its *representatives*,
send one digest to a few VMs of each other region, and those pass it on to
their neighbours with their own bulletins. Two representatives and two
targets each time bear the loss of any one.
"""

from typing import NamedTuple

from godwitlanding.base.rendezvous import rank
from godwitlanding.decisions.fleet import find_strong, pick_carriers
from godwitlanding.decisions.objectmap import CacheEntry
from godwitlanding.decisions.ratelimit import LimitedUpstream
from godwitlanding.decisions.tally import AskedRate

REPRESENTATIVES = 2
# VMs of another region that a representative tells each time while none there
# has told it anything; then that one, and another at random now and then.
TARGETS = 2
# Between two digests; shares of regions move by 4 in 100 a second.
DIGEST_INTERVAL_S = 0.5
# A digest that was heard from outside is passed on for this long, twice the
# pause, and one that is not renewed is dropped after three times that.
PASSED_ON_S = 1.0
SILENT_S = 3.0
# Digests in one bulletin, so that it stays within one packet; with more
# regions they take turns.
MAX_PASSED_ON = 4
MAX_CARRIERS = 16


class Crash(NamedTuple):
    """A request, by its fingerprint, that ran on an upstream as it crashed."""

    fingerprint: int
    upstream: str


class Digest(NamedTuple):
    """A region as its representatives see it."""

    region: str
    # VMs that serve callers, and where those are found that carry most.
    vms: int
    carriers: tuple[str, ...]
    # Requests a second of callers there.
    rate_by_service: dict[str, float]
    crashes: tuple[Crash, ...]
    # IP number of a VM that knows the store's state, and up to which
    # revision, by kind in alphabetical order.
    source: str
    changed_at: tuple[int, ...]
    # Which upstreams got which objects lately.
    met: tuple[CacheEntry, ...] = ()
    # What the region's callers ask for, by workspace; in every other digest.
    asked: tuple[AskedRate, ...] = ()
    # Its upstreams that have named a limit.
    limited: tuple[LimitedUpstream, ...] = ()
    # Numbers of upstreams that leave, though the store does not say so.
    leaving_upstreams: tuple[int, ...] = ()


def pick_representatives(peers):
    """Return the names of the VMs that speak for a region, given its VMs.

    Strong VMs come first, and every VM that hears the same peers picks the
    same ones.
    """
    usable = [peer for peer in peers if peer.ready and not peer.leaving]
    names = [peer.vm for peer in find_strong(usable)]
    return rank("representative", names)[:REPRESENTATIVES]


def make_digest(region, peers, crashes, met=(), asked=()):
    """Return the digest of a region, given its VMs, one at the least."""
    usable = [peer for peer in peers if peer.ready and not peer.leaving]
    rate_by_service = {}
    for peer in peers:
        for service, rate in peer.rate_by_service.items():
            rate_by_service[service] = rate_by_service.get(service, 0.0) + rate
    carriers = pick_carriers(usable, sum(rate_by_service.values()))
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
    )


class Digests:
    """The newest digest of each other region; ``now`` is one clock's."""

    def __init__(self, region):
        self._region = region
        self._heard_at_by_region = {}
        self._direct_at_by_region = {}
        self._turn = 0
        self.digest_by_region = {}

    def hear(self, digest, is_direct, now):
        """Take a digest; ``is_direct``: from that region itself."""
        if digest.region == self._region:
            return
        self.digest_by_region[digest.region] = digest
        self._heard_at_by_region[digest.region] = now
        if is_direct:
            self._direct_at_by_region[digest.region] = now

    def get_forwarded(self, now):
        """Return the digests that this VM passes on to its neighbours."""
        regions = sorted(
            region
            for region, heard_at in self._direct_at_by_region.items()
            if now - heard_at <= PASSED_ON_S
        )
        if len(regions) > MAX_PASSED_ON:
            begin = self._turn % len(regions)
            regions = (regions + regions)[begin : begin + MAX_PASSED_ON]
            self._turn += MAX_PASSED_ON
        return tuple(self.digest_by_region[region] for region in regions)

    def drop_silent(self, now):
        """Forget and return the regions of which nothing is heard."""
        silent = [
            region
            for region, heard_at in self._heard_at_by_region.items()
            if now - heard_at > SILENT_S
        ]
        for region in silent:
            del self.digest_by_region[region]
            del self._heard_at_by_region[region]
            self._direct_at_by_region.pop(region, None)
        return silent

    def get_carriers(self, regions=None):
        """Return the addresses of VMs that carry the requests of regions."""
        return [
            address
            for region, digest in self.digest_by_region.items()
            if regions is None or region in regions
            for address in digest.carriers
        ]
