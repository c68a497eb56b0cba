"""Bulletins between VMs, as datagrams: who serves, and what is in progress.

Each VM sends its whole state again and again, at three paces. VMs that carry
callers' requests share upstreams and hear of each other's many times a
second, those of other regions a quarter as often; the pause grows with their
number, so that what a VM reads and sends a second is bounded. They also tell
their whole region twice a second that they live; the other VMs tell only
them, and less often (``decisions.audience``). And a region's representatives
send a digest to the other regions (see ``decisions.digest``).
"""

import asyncio
import random

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import start_task
from godwitlanding.decisions.audience import (
    STATE_PAUSE_S,
    is_active,
    pick_listeners,
)
from godwitlanding.decisions.digest import (
    DIGEST_PAUSE_S,
    Digests,
    make_digest,
    pick_representatives,
)
from godwitlanding.decisions.fleet import get_carriers, is_busy, make_own_peer
from godwitlanding.gateway.arrivalrates import ArrivalRates
from godwitlanding.gateway.crashgossip import CrashGossip
from godwitlanding.gateway.datagrams import DatagramSocket
from godwitlanding.gateway.gossipmessage import (
    GossipMessage,
    StoreState,
    decode_message,
)
from godwitlanding.gateway.knownvms import KnownVms, ListedVm
from godwitlanding.gateway.objectgossip import ObjectGossip

# In less than this little changes at an upstream.
MIN_INTERVAL_S = 0.025
# The pause grows with the busy peers, so that what a VM sends and reads in a
# second stays the same however many they are.
INTERVAL_PER_PEER_S = 0.0065
REMOTE_EVERY = 4
# A VM without requests of callers looks this often whether it has some.
IDLE_CHECK_S = 0.2
CHECK_INTERVAL_S = 0.25


class Peers(Service):
    """Sends and hears bulletins; holds ``fleet`` and ``occupancy`` in step."""

    name = "peers"
    needs = ("registry",)

    def __init__(
        self,
        identity,
        fleet,
        occupancy,
        on_crash,
        object_map,
        allotment_gossip,
        limit_gossip,
    ):
        self._identity = identity
        self._allotment_gossip = allotment_gossip
        self._limit_gossip = limit_gossip
        limit_gossip.on_remote_limit = self._send_remote_limit
        self._object_gossip = ObjectGossip(object_map)
        self._fleet = fleet
        self._occupancy = occupancy
        self._on_crash = on_crash
        self._incarnation = random.getrandbits(63)
        self._sequence = 0
        self._socket = DatagramSocket(identity.ip, identity.peer_port, self.hear)
        self._tasks = []
        self._registry = None
        self._crash_gossip = CrashGossip()
        self._arrival_rates = ArrivalRates()
        self._was_busy = False
        self._is_active = True
        self._was_ready = False
        self.digests = Digests(identity.region)
        self._known_vms = KnownVms(identity.region, fleet, self.digests)
        self.is_ready = lambda: False
        self.get_store_state = lambda: StoreState(False, False, ())
        self.leaving = False

    async def start(self, kernel):
        """Listen for datagrams and begin to send."""
        self._registry = kernel.get("registry")
        await self._socket.open()
        self._tasks = [
            start_task(self._send_counts_periodically()),
            start_task(self._send_state_periodically()),
            start_task(self._send_digests_periodically()),
            start_task(self._check_periodically()),
        ]

    async def stop(self):
        """Send no more."""
        for task in self._tasks:
            task.cancel()
        self._socket.close()

    def get_status(self):
        """Return the peers that are heard."""
        return {"heard": sorted(self._fleet.peer_by_vm)}

    def note_vm(self, vm, host, availability_zone):
        """The store lists a VM (``host`` ``None``: no longer)."""
        if vm == self._identity.vm:
            return
        if host is None:
            self._known_vms.remove(vm)
            return
        region = self._registry.get_region(availability_zone)
        is_new = self._known_vms.put(vm, ListedVm(host, region))
        if is_new and region == self._identity.region:
            self._send([host])

    def note_arrival(self, service):
        """Count a caller's request for a service."""
        self._arrival_rates.note(service)

    def note_cache_entry(self, cache_entry):
        """An upstream is sent an object; the peers may not know."""
        self._object_gossip.note(cache_entry)

    def note_crash(self, crash):
        """Tell the peers that a request was running on a crashed upstream."""
        self._crash_gossip.note(crash)
        self._send(self._known_vms.get_region_hosts())
        self._send_digest()

    def count_vms(self):
        """Return how many VMs there are, this one included, or more."""
        return 1 + self._known_vms.count()

    def get_arrival_rates(self, service):
        """Return the requests a second for a service by region."""
        own = self._arrival_rates.rate_by_service.get(service, 0.0)
        rates = [
            peer.rate_by_service.get(service, 0.0)
            for peer in self._known_vms.get_region_peers()
        ]
        rate_by_region = {self._identity.region: own + sum(rates)}
        for region, digest in self.digests.digest_by_region.items():
            rate_by_region[region] = digest.rate_by_service.get(service, 0.0)
        return rate_by_region

    def leave(self):
        """Tell every peer at once that this VM takes no more callers."""
        self.leaving = True
        for _ in range(2):
            self._send(self._known_vms.get_region_hosts())
            self._send(self._known_vms.get_remote_carriers())

    def hear(self, data, host):
        """Take a datagram from a peer."""
        try:
            message = decode_message(data)
        except ValueError as error:
            log_message("peers:unreadable", level="warning", detail=str(error))
            return
        if message.vm == self._identity.vm:
            return
        now = asyncio.get_running_loop().time()
        known = self._fleet.peer_by_vm.get(message.vm)
        address = f"{host}:{self._identity.caller_address[1]}"
        if not self._fleet.hear(message, address, now):
            return
        self._occupancy.note_peer(message.vm, message.count_by_number, now)
        is_own_region = message.region == self._identity.region
        if is_own_region:
            self._known_vms.hear(message)
            self._allotment_gossip.hear(message)
        self._limit_gossip.hear(message)
        self._receive_leaving(message.leaving_upstreams, message.vm)
        self._receive_digests(message, host, is_own_region, now)
        for crash in message.crashes:
            self._on_crash(crash)
        for cache_entry in message.met:
            self._object_gossip.hear(cache_entry, is_own_region)
        is_new = known is None or known.incarnation != message.incarnation
        if is_new and is_own_region:
            log_message("peers:heard", peer=message.vm)
            # It knows as little of this VM, and need not wait for its turn.
            initial_state = self._allotment_gossip.get_initial_state()
            limits = self._limit_gossip.get_all()
            self._send(
                [host],
                met=self._get_initial_cache_entries(),
                limits=limits,
                **initial_state,
            )

    def _get_initial_cache_entries(self):
        """Return what a VM that has just started is told of objects.

        All of it, by the representatives alone. If each VM of a region told
        it, 22 of them would send 350 KB at once, over half a second of the
        weakest links, which are those of 5 Mbit/s.
        """
        if self._identity.vm not in pick_representatives(self._get_region_peers()):
            return None
        return self._object_gossip.get_all()

    def _receive_digests(self, message, host, is_own_region, now):
        for digest in message.digests:
            is_direct = digest.region == message.region
            self.digests.hear(digest, is_direct, now)
            self._allotment_gossip.receive_digest(digest)
            self._limit_gossip.receive_digest(digest)
            self._receive_leaving(digest.leaving_upstreams, message.vm)
            for crash in digest.crashes:
                self._on_crash(crash)
            for cache_entry in digest.met:
                self._object_gossip.hear(cache_entry, False)
        if message.digests and not is_own_region:
            self._known_vms.note_sender(message.region, host)

    def _receive_leaving(self, numbers, told_by):
        for number in numbers:
            upstream_id = self._registry.id_by_number.get(number)
            self._registry.note_leaving(upstream_id, told_by)

    async def _send_counts_periodically(self):
        turn = 0
        while True:
            busy = self._is_busy()
            if not busy and not self._was_busy:
                await asyncio.sleep(IDLE_CHECK_S)
                continue
            self._was_busy = busy
            turn += 1
            near = self._known_vms.get_busy_hosts()
            remote_hosts = self._get_sharing_hosts()
            limits = self._limit_gossip.get_recent()
            # Digests go with what is sent more seldom, and other regions have
            # no use for counts.
            if turn % REMOTE_EVERY:
                tallies = self._allotment_gossip.get_recent()
                self._send(near, (), tallies=tallies, limits=limits)
            else:
                self._send(near + remote_hosts, (), limits=limits)
            peers = len(near) + len(remote_hosts) / REMOTE_EVERY
            await asyncio.sleep(max(MIN_INTERVAL_S, INTERVAL_PER_PEER_S * peers))

    async def _send_state_periodically(self):
        turn = 0
        while True:
            await asyncio.sleep(STATE_PAUSE_S)
            turn += 1
            was_active = self._is_active
            self._is_active = self._compute_active()
            # One that is active no longer says so to all, who would take it
            # for dead when it is heard less often.
            to_whole_region = self._is_active or was_active
            tallies, tells_all = self._allotment_gossip.get_periodic_tallies()
            self._send(
                pick_listeners(
                    to_whole_region,
                    self._known_vms.get_region_hosts(),
                    self._known_vms.get_active_hosts(),
                    turn,
                ),
                tallies=tallies,
                tells_all=tells_all,
                limits=self._limit_gossip.get_all(),
            )

    def _is_busy(self):
        return self._is_active and is_busy(
            self._occupancy.get_own(), self._arrival_rates.rate_by_service
        )

    def _compute_active(self):
        region = self._identity.region
        carriers = get_carriers(self._get_own_peer(), self._fleet, region)
        names = [peer.vm for peer in carriers]
        return is_active(self._identity.vm, self._arrival_rates.get_total_rate(), names)

    async def _send_digests_periodically(self):
        while True:
            await asyncio.sleep(DIGEST_PAUSE_S)
            self._send_digest()

    def _get_sharing_hosts(self):
        """Return the carriers of the regions whose upstreams this VM uses."""
        regions = set()
        for upstream_id in self._occupancy.get_own():
            upstream = self._registry.upstream_by_id.get(upstream_id)
            if upstream:
                regions.add(self._registry.get_region(upstream.availability_zone))
        regions.discard(self._identity.region)
        return self._known_vms.get_remote_carriers(regions)

    def _send(self, hosts, digests=None, met=None, **counts):
        hosts = list(hosts)
        if not hosts or not self._socket.is_open():
            return
        message = self._make_message(digests, met)._replace(**counts)
        self._socket.send(message, hosts)

    def is_first_representative(self):
        """Tell whether this VM is the first that speaks for its region."""
        return pick_representatives(self._get_region_peers())[:1] == [self._identity.vm]

    def _get_region_peers(self):
        near = self._known_vms.get_region_peers()
        own = self._get_own_peer()
        return [*near, own] if own else near

    def _send_digest(self):
        peers = self._get_region_peers()
        if self._identity.vm not in pick_representatives(peers):
            return
        met = self._object_gossip.get_recent_of_region()
        crashes = self._crash_gossip.get_recent()
        asked = self._allotment_gossip.get_asked()
        digest = make_digest(self._identity.region, peers, crashes, met, asked)
        digest = digest._replace(
            limited=self._limit_gossip.get_limited(),
            leaving_upstreams=self._registry.get_leaving_numbers(),
        )
        self._send(self._known_vms.pick_remote_targets(), (digest,))

    def _send_remote_limit(self, region):
        hosts = self._known_vms.get_remote_carriers({region})
        self._send(hosts, (), limits=self._limit_gossip.get_recent())

    def _get_own_peer(self):
        """Return this VM as a ``Peer``, ``None`` if it takes no callers."""
        if not self.is_ready() or self.leaving:
            return None
        return make_own_peer(self._identity)._replace(
            rate_by_service=self._arrival_rates.rate_by_service,
            **self.get_store_state()._asdict(),
        )

    def _make_message(self, digests, met):
        self._sequence += 1
        ready = self.is_ready()
        if ready != self._was_ready:
            self._was_ready = ready
            log_message("peers:ready", ready=ready, leaving=self.leaving)
        if met is None:
            met = self._object_gossip.get_recent()
        if digests is None:
            now = asyncio.get_running_loop().time()
            digests = self.digests.get_passed_on(now)
        return GossipMessage(
            vm=self._identity.vm,
            incarnation=self._incarnation,
            sequence=self._sequence,
            region=self._identity.region,
            ready=ready,
            leaving=self.leaving,
            active=self._is_active,
            capacity=self._identity.capacity,
            # Told once in a round, they would be wrong for most of it; what
            # upstreams report of their load has the strays in it.
            count_by_number=(
                self._occupancy.get_own_by_number() if self._is_active else {}
            ),
            rate_by_service=self._arrival_rates.rate_by_service,
            crashes=self._crash_gossip.get_recent(),
            digests=digests,
            met=met,
            heard=self._known_vms.count_heard(),
            leaving_upstreams=self._registry.get_leaving_numbers(),
            **self.get_store_state()._asdict(),
        )

    async def _check_periodically(self):
        turn = 0
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._drop_silent()
            turn += 1
            share = self._known_vms.compute_share(self._is_active)
            self._allotment_gossip.update(share, self._is_active)
            self._limit_gossip.update(share, self._is_active)
            if turn % round(1 / CHECK_INTERVAL_S) == 0:
                self._arrival_rates.update()
                self._fleet.own_rate_per_s = self._arrival_rates.get_total_rate()

    def _drop_silent(self):
        now = asyncio.get_running_loop().time()
        for peer in self._fleet.drop_silent(now):
            # VMs of other regions, and those that carry nothing, are heard
            # now and then only.
            if peer.region == self._identity.region and peer.active:
                log_message("peers:silent", level="warning", peer=peer.vm)
        for region in self.digests.drop_silent(now):
            log_message("peers:region_silent", level="warning", region=region)
        self._occupancy.drop_silent(now)
