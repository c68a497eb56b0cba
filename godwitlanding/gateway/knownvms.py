"""Which VMs there are, by the store's list and by what is heard of them.

*Near* are those of this VM's own region. A VM that has just been added may
be listed and not yet heard, one that was removed may be heard still.
"""

import asyncio
from typing import NamedTuple

from eliot import log_message

from godwitlanding.decisions.fleet import get_carriers
from godwitlanding.decisions.quorum import Quorum
from godwitlanding.gateway.remotetargets import RemoteTargets, get_hosts

# The share of the region is logged when it has changed by more than this.
LOG_CHANGE = 0.05


class ListedVm(NamedTuple):
    """A VM as the store lists it."""

    host: str
    region: str


class KnownVms:
    """The VMs that this one may tell something; hosts are IP numbers."""

    def __init__(self, region, fleet, digests):
        self._region = region
        self._fleet = fleet
        self._digests = digests
        self._remote_targets = RemoteTargets(digests)
        self._listed_by_vm = {}
        self._quorum = Quorum()
        self._logged_share = 1.0

    def put(self, vm, listed):
        """The store lists a VM; return whether that is new."""
        if self._listed_by_vm.get(vm) == listed:
            return False
        self._listed_by_vm[vm] = listed
        return True

    def remove(self, vm):
        """The store lists a VM no longer."""
        self._listed_by_vm.pop(vm, None)

    def count(self):
        """Return how many VMs there are beside this one, or more."""
        return len(self._listed_by_vm.keys() | self._fleet.peer_by_vm.keys())

    def hear(self, message):
        """Take a bulletin from a near VM."""
        self._quorum.note(message.vm, message.carries, message.heard, _now())

    def count_heard(self):
        """Return how many near VMs are heard, this one included."""
        return self._quorum.count_heard(_now())

    def compute_share(self, carries_requests):
        """Return the share of the region's VMs that is heard.

        ``own_carries`` tells whether this VM carries requests itself.
        """
        listed = self.get_region_names()
        share = self._quorum.get_share(listed, carries_requests, _now())
        if abs(share - self._logged_share) > LOG_CHANGE:
            self._logged_share = share
            log_message(
                "neighbours:quorum",
                share=round(share, 3),
                heard=self.count_heard(),
                listed=len(listed),
            )
        return share

    def get_region_peers(self):
        """Return the near VMs that are heard, as ``Peer``."""
        peers = self._fleet.peer_by_vm.values()
        return [peer for peer in peers if peer.region == self._region]

    def get_region_names(self):
        """Return the names of the near VMs that the store lists."""
        listed = self._listed_by_vm.items()
        return {vm for vm, row in listed if row.region == self._region}

    def get_region_hosts(self):
        """Return the hosts of all near VMs."""
        listed = self._listed_by_vm.values()
        hosts = {vm.host for vm in listed if vm.region == self._region}
        hosts.update(peer.host for peer in self.get_region_peers())
        return hosts

    def get_active_hosts(self):
        """Return the hosts of near VMs that tell their region they live."""
        return {peer.host for peer in self.get_region_peers() if peer.active}

    def get_busy_hosts(self):
        """Return the hosts of near VMs that carry requests of callers."""
        # Those that callers are sent to may be busy the next moment.
        carriers = get_carriers(None, self._fleet, self._region)
        hosts = {peer.host for peer in carriers}
        hosts.update(peer.host for peer in self.get_region_peers() if peer.busy)
        return list(hosts)

    def get_remote_carriers(self, regions=None):
        """Return the hosts that carry requests in ``regions``, or in all."""
        return get_hosts(self._digests.get_carriers(regions))

    def note_sender(self, region, host):
        """A VM of another region has told this one a digest."""
        self._remote_targets.note_sender(region, host)

    def pick_remote_targets(self):
        """Return the hosts that are sent this region's digest."""
        hosts_by_region = {}
        for listed in self._listed_by_vm.values():
            if listed.region != self._region:
                hosts_by_region.setdefault(listed.region, []).append(listed.host)
        return self._remote_targets.pick(hosts_by_region)


def _now():
    return asyncio.get_running_loop().time()
