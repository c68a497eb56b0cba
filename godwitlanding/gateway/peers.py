"""Bulletins between VMs, as datagrams: who serves, and what is in progress.

Each VM sends its whole state again and again. Peers of its own region share
its upstreams and hear it often; those of other regions a quarter as often.
The pause grows with the number of peers, so that what a VM has to read and
send a second is bounded however many there are.
"""

import asyncio
import random

from eliot import log_message

from godwitlanding.gateway.bulletin import (
    MAX_DATAGRAM_BYTES,
    Bulletin,
    decode_bulletin,
    encode_bulletin,
)
from godwitlanding.kernel import Service

# Work lasts a quarter of a second at the least; in a tenth of that little
# changes at an upstream.
NEAR_PAUSE_S = 0.025
# With this pause for each peer a VM sends and reads 200 datagrams a second
# at the most, about 2 % of a core.
PAUSE_EACH_PEER_S = 0.005
FAR_TIMES = 4
# Crashes are told for this long, so that datagrams that are lost do no harm.
TELL_CRASH_S = 3.0
MAX_CRASHES = 20
# Weight of the newest second in the rate of arrivals: about the last three
# seconds count, a twelfth of the waves that the load comes in.
_RATE_WEIGHT = 0.3


class Peers(Service):
    """Sends and hears bulletins; holds ``fleet`` and ``occupancy`` in step."""

    name = "peers"
    needs = ("registry",)

    def __init__(self, identity, fleet, occupancy, on_crash):
        self._identity = identity
        self._fleet = fleet
        self._occupancy = occupancy
        self._on_crash = on_crash
        self._incarnation = random.getrandbits(63)
        self._sequence = 0
        self._transport = None
        self._tasks = []
        self._host_by_vm = {}
        self._crashes = []
        self._arrived_by_service = {}
        self._rate_by_service = {}
        self._rate_by_service_by_vm = {}
        self.is_ready = lambda: False
        self.leaving = False
        self._was_ready = False

    async def start(self, kernel):
        """Listen for datagrams and begin to send."""
        loop = asyncio.get_running_loop()
        address = (self._identity.ip, self._identity.peer_port)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Listener(self), local_addr=address
        )
        self._tasks = [
            asyncio.create_task(self._send_often()),
            asyncio.create_task(self._look_each_second()),
        ]

    async def stop(self):
        """Say goodbye and stop."""
        for task in self._tasks:
            task.cancel()
        self._transport.close()

    def get_status(self):
        """Return the peers that are heard."""
        return {"heard": sorted(self._fleet.peer_by_vm)}

    def note_vm(self, vm, host):
        """The store lists a VM (``None``: no longer) at an IP number."""
        if vm == self._identity.vm:
            return
        if host is None:
            self._host_by_vm.pop(vm, None)
        else:
            self._host_by_vm[vm] = host

    def note_arrival(self, service):
        """Count a caller's request for a service."""
        count = self._arrived_by_service.get(service, 0)
        self._arrived_by_service[service] = count + 1

    def note_crash(self, crash):
        """Tell the peers that a request was running on a crashed upstream."""
        loop = asyncio.get_running_loop()
        self._crashes.append((loop.time() + TELL_CRASH_S, crash))
        del self._crashes[:-MAX_CRASHES]

    def get_rates(self, service):
        """Return the requests a second for a service by region."""
        own = self._rate_by_service.get(service, 0.0)
        rate_by_region = {self._identity.region: own}
        for vm, peer in self._fleet.peer_by_vm.items():
            rate = self._rate_by_service_by_vm.get(vm, {}).get(service, 0.0)
            held = rate_by_region.get(peer.region, 0.0)
            rate_by_region[peer.region] = held + rate
        return rate_by_region

    def leave(self):
        """Tell every peer at once that this VM takes no more callers."""
        self.leaving = True
        for _ in range(2):
            self._send(self._host_by_vm)

    def hear(self, data, host):
        """Take a datagram from a peer."""
        try:
            bulletin = decode_bulletin(data)
        except ValueError as error:
            log_message("peers:unreadable", level="warning", detail=str(error))
            return
        if bulletin.vm == self._identity.vm:
            return
        now = asyncio.get_running_loop().time()
        known = bulletin.vm in self._fleet.peer_by_vm
        address = f"{host}:{self._identity.caller_address[1]}"
        if not self._fleet.hear(bulletin, address, now):
            return
        if not known:
            log_message("peers:heard", peer=bulletin.vm, region=bulletin.region)
        # A peer that the store did not tell of is answered all the same.
        self._host_by_vm.setdefault(bulletin.vm, host)
        self._occupancy.note_peer(bulletin.vm, bulletin.count_by_upstream, now)
        self._rate_by_service_by_vm[bulletin.vm] = bulletin.rate_by_service
        for crash in bulletin.crashes:
            self._on_crash(crash)

    async def _send_often(self):
        turn = 0
        while True:
            near = max(NEAR_PAUSE_S, PAUSE_EACH_PEER_S * len(self._host_by_vm))
            await asyncio.sleep(near)
            turn += 1
            hosts = self._host_by_vm
            if turn % FAR_TIMES:
                hosts = self._get_near()
            self._send(hosts)

    def _get_near(self):
        region = self._identity.region
        peer_by_vm = self._fleet.peer_by_vm
        return {
            vm: host
            for vm, host in self._host_by_vm.items()
            if vm in peer_by_vm and peer_by_vm[vm].region == region
        }

    def _send(self, host_by_vm):
        data = encode_bulletin(self._make_bulletin())
        if len(data) > MAX_DATAGRAM_BYTES:
            log_message("peers:too_long", level="error", bytes=len(data))
            return
        for host in host_by_vm.values():
            self._transport.sendto(data, (host, self._identity.peer_port))

    def _make_bulletin(self):
        self._sequence += 1
        ready = self.is_ready()
        if ready != self._was_ready:
            self._was_ready = ready
            log_message("peers:ready", ready=ready, leaving=self.leaving)
        now = asyncio.get_running_loop().time()
        self._crashes = [row for row in self._crashes if row[0] > now]
        return Bulletin(
            self._identity.vm,
            self._incarnation,
            self._sequence,
            self._identity.region,
            self._identity.availability_zone,
            ready,
            self.leaving,
            self._occupancy.get_own(),
            self._rate_by_service,
            tuple(crash for _, crash in self._crashes),
            self._identity.capacity,
        )

    async def _look_each_second(self):
        turn = 0
        while True:
            await asyncio.sleep(0.25)
            now = asyncio.get_running_loop().time()
            for peer in self._fleet.drop_silent(now):
                self._rate_by_service_by_vm.pop(peer.vm, None)
                log_message(
                    "peers:silent", level="warning", peer=peer.vm, region=peer.region
                )
            self._occupancy.drop_silent(now)
            turn += 1
            if turn % 4 == 0:
                self._update_rates()

    def _update_rates(self):
        for service in self._arrived_by_service.keys() | self._rate_by_service.keys():
            seen = self._arrived_by_service.get(service, 0)
            held = self._rate_by_service.get(service, seen)
            rate = held + _RATE_WEIGHT * (seen - held)
            self._rate_by_service[service] = rate
        self._arrived_by_service = {}


class _Listener(asyncio.DatagramProtocol):
    def __init__(self, peers):
        self._peers = peers

    def datagram_received(self, data, address):
        self._peers.hear(data, address[0])

    def error_received(self, error):
        # A peer whose process is down answers that its port is closed; that
        # it is silent is noticed anyway.
        pass
