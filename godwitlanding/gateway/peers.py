"""Exchanges gossip messages with other VMs: readiness, load and limits.

Each VM sends its full state periodically, in three kinds of messages. VMs that
carry callers' requests share upstreams, so they send each other their counts
many times a second, and a quarter as often to such VMs of other regions. The
interval grows with the number of recipients, which bounds the messages that a
VM sends and reads per second. Those VMs also send heartbeats to their whole
region twice a second; the other VMs send heartbeats only to them, and less
often (``decisions.recipients``). And a region's representatives send a digest
to the other regions (see ``decisions.digest``).
"""

import asyncio
import random

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import Tasks
from godwitlanding.decisions.digest import (
    DIGEST_INTERVAL_S,
    Digests,
    make_digest,
    pick_representatives,
)
from godwitlanding.decisions.fleet import get_carriers, is_busy, make_own_peer
from godwitlanding.decisions.reach import Reach
from godwitlanding.decisions.recipients import (
    STATE_INTERVAL_S,
    is_active,
    pick_neighbours,
    pick_recipients,
)
from godwitlanding.gateway.arrivalrates import ArrivalRates
from godwitlanding.gateway.crashgossip import URGENT_ROWS
from godwitlanding.gateway.datagrams import DatagramSocket
from godwitlanding.gateway.gossipmessage import (
    GossipMessage,
    StoreState,
    decode_message,
)
from godwitlanding.gateway.knownvms import KnownVms, ListedVm
from godwitlanding.gateway.objectgossip import ObjectGossip
from godwitlanding.gateway.urgentsender import UrgentSender

# Little changes at an upstream in less than this time.
MIN_INTERVAL_S = 0.025
# The interval grows with the number of busy peers, so that the messages that a
# VM sends and reads per second do not depend on it.
INTERVAL_PER_PEER_S = 0.0065
REMOTE_EVERY = 4
# A VM without requests of callers checks this often whether it has some.
IDLE_CHECK_S = 0.2
CHECK_INTERVAL_S = 0.25


class Peers(Service):
    """Sends and receives gossip messages.

    ``fleet`` and ``occupancy`` are updated with each message.
    """

    name = "peers"
    needs = ("registry",)

    def __init__(
        self,
        identity,
        fleet,
        occupancy,
        object_map,
        allotment_gossip,
        limit_gossip,
        crash_gossip,
    ):
        self._identity = identity
        self._allotment_gossip = allotment_gossip
        self._limit_gossip = limit_gossip
        limit_gossip.on_remote_limit = self._send_remote_limit
        self._object_gossip = ObjectGossip(object_map)
        self._fleet = fleet
        self._occupancy = occupancy
        self._crash_gossip = crash_gossip
        self._incarnation = random.getrandbits(63)
        self._sequence = 0
        self._socket = DatagramSocket(
            identity.ip, identity.peer_port, self.receive_datagram
        )
        self.tasks = Tasks()
        self._urgent_sender = UrgentSender(self.tasks, self._send_crashes)
        self._counts_turn = 0
        self._state_turn = 0
        self._check_turn = 0
        self._registry = None
        self._arrival_rates = ArrivalRates()
        self._was_busy = False
        self._is_active = True
        self._was_ready = False
        self.digests = Digests(identity.region)
        self._known_vms = KnownVms(identity.region, fleet, self.digests)
        self.is_ready = lambda: False
        self.get_reach = lambda: Reach.UNKNOWN
        self.get_store_state = lambda: StoreState(False, False, ())
        self.get_paces = tuple
        self.on_paces = lambda rows: None
        # Counts of requests for services under contention, and their receiver.
        self.get_request_counts = tuple
        self.on_request_counts = lambda message: None
        self.leaving = False

    async def start(self, kernel):
        """Open the socket and begin to send messages."""
        self._registry = kernel.get("registry")
        await self._socket.open()
        self.tasks.repeat(MIN_INTERVAL_S, self._send_counts)
        for interval_s, function in (
            (STATE_INTERVAL_S, self._send_state),
            (DIGEST_INTERVAL_S, self._send_digest),
            (CHECK_INTERVAL_S, self._check),
        ):
            self.tasks.repeat(interval_s, function, first_after_s=interval_s)

    async def stop(self):
        """Stop sending and close the socket."""
        await self.tasks.stop()
        self._socket.close()

    def get_status(self):
        """Return the names of the reachable peers."""
        return {"heard": sorted(self._fleet.peer_by_vm)}

    def note_vm(self, vm, host, availability_zone):
        """Record a VM that the store lists (``host`` ``None``: removed)."""
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
        """Record the entry of an object sent to an upstream, for the peers."""
        self._object_gossip.note(cache_entry)

    def note_crash(self, crash):
        """Send the peers a request that was running on a crashed upstream."""
        self._crash_gossip.note(crash)
        self._urgent_sender.request(to_region=True)

    def note_cleared(self, fingerprint):
        """Send the peers a suspect that has succeeded."""
        self._crash_gossip.note_cleared(fingerprint)
        self._urgent_sender.request(to_region=True)

    def count_vms(self):
        """Return the number of VMs with this one; it may be too high."""
        return 1 + self._known_vms.count()

    def get_arrival_rates(self, service):
        """Return the requests per second for a service, by region."""
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
        """Announce to every peer at once that this VM is leaving."""
        self.leaving = True
        for _ in range(2):
            self._send(self._known_vms.get_region_hosts())
            self._send(self._known_vms.get_remote_carriers())

    def receive_datagram(self, data, host):
        """Handle a datagram from a peer."""
        try:
            message = decode_message(data)
        except ValueError as error:
            log_message("peers:unreadable", level="warning", detail=str(error))
            return
        if message.vm == self._identity.vm:
            return
        now = asyncio.get_running_loop().time()
        previous = self._fleet.peer_by_vm.get(message.vm)
        address = f"{host}:{self._identity.caller_address[1]}"
        if not self._fleet.receive(message, address, now):
            return
        self._occupancy.note_peer(message.vm, message.count_by_number, now)
        is_own_region = message.region == self._identity.region
        if is_own_region:
            self._known_vms.receive_message(message)
            self._allotment_gossip.receive_message(message)
            self.on_request_counts(message)
        self._limit_gossip.receive_message(message)
        self.on_paces(message.paces)
        self._receive_leaving(message.leaving_upstreams, message.vm)
        self._receive_digests(message, host, is_own_region, now)
        self._receive_crashes(message, is_own_region)
        for cache_entry in message.met:
            self._object_gossip.note_received(cache_entry, is_own_region)
        is_new = previous is None or previous.incarnation != message.incarnation
        if is_new and is_own_region:
            log_message("peers:heard", peer=message.vm)
            # The new VM knows nothing of this one either: send to it at once.
            self._send(
                [host],
                met=self._get_initial_cache_entries(),
                limits=self._limit_gossip.get_all(),
                crashes=self._get_initial_crashes(),
                **self._allotment_gossip.get_initial_state(),
            )
        elif is_new:
            # Its whole region may have been restarted or cut off.
            crashes = self._get_initial_crashes()
            if crashes:
                self._send([host], (), crashes=crashes)

    def _get_initial_cache_entries(self):
        """Return the cache entries for a VM that has just started.

        Only the representatives send all entries; the others send none
        beyond the recent ones (``None``). If every VM of a region sent all,
        22 of them would send 350 KB at once, which takes the slowest links
        (5 Mbit/s) more than half a second.
        """
        return self._object_gossip.get_all() if self._is_representative() else None

    def _get_initial_crashes(self):
        """Return the crashes for a VM that knows none; see above."""
        return self._crash_gossip.get_all() if self._is_representative() else ()

    def _is_representative(self):
        return self._identity.vm in pick_representatives(self._get_region_peers())

    def _receive_crashes(self, message, is_own_region):
        crashes = [*message.crashes]
        for digest in message.digests:
            crashes += digest.crashes
        if self._crash_gossip.receive(crashes, message.vm):
            self._urgent_sender.request(to_region=not is_own_region)

    def _send_crashes(self, to_region):
        crashes = self._crash_gossip.get_next(URGENT_ROWS)
        if to_region:
            self._send(self._known_vms.get_region_hosts(), crashes=crashes)
        self._send_digest(crashes)

    def _receive_digests(self, message, host, is_own_region, now):
        for digest in message.digests:
            is_direct = digest.region == message.region
            self.digests.receive(digest, is_direct, now)
            self._allotment_gossip.receive_digest(digest)
            self._limit_gossip.receive_digest(digest)
            self._receive_leaving(digest.leaving_upstreams, message.vm)
            for cache_entry in digest.met:
                self._object_gossip.note_received(cache_entry, False)
        if message.digests and not is_own_region:
            self._known_vms.note_sender(message.region, host)

    def _receive_leaving(self, numbers, told_by):
        for number in numbers:
            upstream_id = self._registry.id_by_number.get(number)
            self._registry.note_leaving(upstream_id, told_by)

    def _send_counts(self):
        """Send the counts; return the seconds until they are sent again."""
        busy = self._is_busy()
        if not busy and not self._was_busy:
            return IDLE_CHECK_S
        self._was_busy = busy
        self._counts_turn += 1
        region_hosts = self._known_vms.get_busy_hosts()
        remote_hosts = self._get_sharing_hosts()
        recent = {"limits": self._limit_gossip.get_recent(), "paces": self.get_paces()}
        # Digests are left to the less frequent messages, and other regions
        # have no use for workspace counts.
        if self._counts_turn % REMOTE_EVERY:
            tallies = self._allotment_gossip.get_recent()
            self._send(region_hosts, (), tallies=tallies, **recent)
        else:
            self._send(region_hosts + remote_hosts, (), **recent)
        peers = len(region_hosts) + len(remote_hosts) / REMOTE_EVERY
        return max(MIN_INTERVAL_S, INTERVAL_PER_PEER_S * peers)

    def _send_state(self):
        self._state_turn += 1
        was_active = self._is_active
        self._is_active = self._compute_active()
        # A VM that stops being active announces it to its whole region, which
        # would otherwise consider it dead once it sends less often.
        to_whole_region = self._is_active or was_active
        tallies, tells_all = self._allotment_gossip.get_periodic_tallies()
        active_hosts = self._known_vms.get_active_hosts()
        recipients = pick_recipients(
            to_whole_region,
            self._known_vms.get_region_hosts(),
            active_hosts,
            self._state_turn,
        )
        fields = {
            "tallies": tallies,
            "tells_all": tells_all,
            "limits": self._limit_gossip.get_all(),
            "crashes": self._crash_gossip.get_periodic(
                STATE_INTERVAL_S, len(recipients)
            ),
        }
        counts = self.get_request_counts() if self._is_active else ()
        if counts:
            neighbours = pick_neighbours(self._identity.ip, active_hosts)
            self._send(neighbours, request_counts=counts, **fields)
            recipients = [host for host in recipients if host not in neighbours]
        self._send(recipients, **fields)

    def _is_busy(self):
        return self._is_active and is_busy(
            self._occupancy.get_own(), self._arrival_rates.rate_by_service
        )

    def _compute_active(self):
        region = self._identity.region
        carriers = get_carriers(self._get_own_peer(), self._fleet, region)
        names = [peer.vm for peer in carriers]
        return is_active(self._identity.vm, self._arrival_rates.get_total_rate(), names)

    def _get_sharing_hosts(self):
        """Return the carriers of other regions that share upstreams in use."""
        regions = set()
        for upstream_id in self._occupancy.get_own():
            upstream = self._registry.upstream_by_id.get(upstream_id)
            if upstream:
                regions.add(self._registry.get_region(upstream.availability_zone))
        regions.discard(self._identity.region)
        return self._known_vms.get_remote_carriers(regions)

    def _send(self, hosts, digests=None, met=None, **fields):
        hosts = list(hosts)
        if not hosts or not self._socket.is_open():
            return
        message = self._make_message(digests, met)._replace(**fields)
        self._socket.send(message, hosts)

    def is_first_representative(self):
        """Return whether this VM is its region's first representative."""
        return pick_representatives(self._get_region_peers())[:1] == [self._identity.vm]

    def _get_region_peers(self):
        region_peers = self._known_vms.get_region_peers()
        own = self._get_own_peer()
        return [*region_peers, own] if own else region_peers

    def _send_digest(self, crashes=None):
        peers = self._get_region_peers()
        if self._identity.vm not in pick_representatives(peers):
            return
        met = self._object_gossip.get_recent_of_region()
        targets = self._known_vms.pick_remote_targets()
        if crashes is None:
            crashes = self._crash_gossip.get_periodic(DIGEST_INTERVAL_S, len(targets))
        asked = self._allotment_gossip.get_asked()
        digest = make_digest(self._identity.region, peers, crashes, met, asked)
        digest = digest._replace(
            limited=self._limit_gossip.get_limited(),
            leaving_upstreams=self._registry.get_leaving_numbers(),
        )
        self._send(targets, (digest,))

    def _send_remote_limit(self, region):
        hosts = self._known_vms.get_remote_carriers({region})
        self._send(hosts, (), limits=self._limit_gossip.get_recent())

    def _get_own_peer(self):
        """Return this VM as a ``Peer``; ``None`` if it accepts no callers."""
        if not self.is_ready() or self.leaving:
            return None
        return make_own_peer(self._identity)._replace(
            rate_by_service=self._arrival_rates.rate_by_service,
            reach=self.get_reach(),
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
            # Their crashes are told by this VM itself.
            digests = tuple(
                digest._replace(crashes=())
                for digest in self.digests.get_forwarded(now)
            )
        return GossipMessage(
            vm=self._identity.vm,
            incarnation=self._incarnation,
            sequence=self._sequence,
            region=self._identity.region,
            ready=ready,
            leaving=self.leaving,
            active=self._is_active,
            capacity=self._identity.capacity,
            # An inactive VM sends so seldom that its counts would mostly be
            # outdated. Its few requests are part of the load that upstreams
            # report.
            count_by_number=(
                self._occupancy.get_own_by_number() if self._is_active else {}
            ),
            rate_by_service=self._arrival_rates.rate_by_service,
            crashes=(),
            digests=digests,
            met=met,
            heard=self._known_vms.count_reachable(),
            leaving_upstreams=self._registry.get_leaving_numbers(),
            reach=self.get_reach(),
            **self.get_store_state()._asdict(),
        )

    def _check(self):
        self._drop_silent()
        self._check_turn += 1
        share = self._known_vms.compute_share(self._is_active)
        self._allotment_gossip.update(share, self._is_active)
        self._limit_gossip.update(share, self._is_active)
        if self._check_turn % round(1 / CHECK_INTERVAL_S) == 0:
            self._arrival_rates.update()
            self._fleet.own_rate_per_s = self._arrival_rates.get_total_rate()

    def _drop_silent(self):
        now = asyncio.get_running_loop().time()
        for peer in self._fleet.drop_silent(now):
            # VMs of other regions and inactive ones send messages too seldom
            # for their silence to be worth a log line.
            if peer.region == self._identity.region and peer.active:
                log_message("peers:silent", level="warning", peer=peer.vm)
        for region in self.digests.drop_silent(now):
            log_message("peers:region_silent", level="warning", region=region)
        self._occupancy.drop_silent(now)
