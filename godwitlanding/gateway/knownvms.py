"""Tracks the VMs that exist, by the store's list and by received messages.

A VM that was just added may be listed before it sends a message, and one that
was removed from the list may still send some. A VM is *reachable* while its
messages arrive.
"""

import asyncio
from typing import NamedTuple

from eliot import log_message

from godwitlanding.decisions.fleet import get_carriers
from godwitlanding.decisions.reachability import Reachability
from godwitlanding.gateway.remotetargets import RemoteTargets, get_hosts

# The reachable share is logged when it has changed by more than this.
LOG_CHANGE = 0.05


class ListedVm(NamedTuple):
    """A VM as the store lists it."""

    host: str
    region: str


class KnownVms:
    """VMs that messages may be sent to; hosts are IP addresses."""

    def __init__(self, region, fleet, digests):
        self._region = region
        self._fleet = fleet
        self._digests = digests
        self._remote_targets = RemoteTargets(digests)
        self._listed_by_vm = {}
        self._reachability = Reachability()
        self._logged_share = 1.0

    def put(self, vm, listed):
        """Add a VM that the store lists; return whether it has changed."""
        if self._listed_by_vm.get(vm) == listed:
            return False
        self._listed_by_vm[vm] = listed
        return True

    def remove(self, vm):
        """Remove a VM that the store no longer lists."""
        self._listed_by_vm.pop(vm, None)

    def count(self):
        """Return the number of other VMs, listed or reachable.

        It may be too high, as it includes VMs that were just removed.
        """
        return len(self._listed_by_vm.keys() | self._fleet.peer_by_vm.keys())

    def receive_message(self, message):
        """Handle a message from a VM of this region."""
        self._reachability.note(message.vm, message.carries, message.heard, _now())

    def count_reachable(self):
        """Return the number of reachable VMs of this region with this one."""
        return self._reachability.count_reachable(_now())

    def compute_share(self, carries_requests):
        """Return the share of the region's VMs that is reachable.

        ``carries_requests`` is whether this VM carries requests itself.
        """
        listed = self.get_region_names()
        share = self._reachability.get_share(listed, carries_requests, _now())
        if abs(share - self._logged_share) > LOG_CHANGE:
            self._logged_share = share
            log_message(
                "neighbours:quorum",
                share=round(share, 3),
                heard=self.count_reachable(),
                listed=len(listed),
            )
        return share

    def get_region_peers(self):
        """Return the reachable VMs of this region as ``Peer`` objects."""
        peers = self._fleet.peer_by_vm.values()
        return [peer for peer in peers if peer.region == self._region]

    def get_region_names(self):
        """Return the names of this region's VMs that the store lists."""
        listed = self._listed_by_vm.items()
        return {vm for vm, row in listed if row.region == self._region}

    def get_region_hosts(self):
        """Return the hosts of this region's VMs, listed or reachable."""
        listed = self._listed_by_vm.values()
        hosts = {vm.host for vm in listed if vm.region == self._region}
        hosts.update(peer.host for peer in self.get_region_peers())
        return hosts

    def get_active_hosts(self):
        """Return the hosts of this region's VMs that are active."""
        return {peer.host for peer in self.get_region_peers() if peer.active}

    def get_busy_hosts(self):
        """Return the hosts of this region's VMs that carry requests."""
        # VMs that callers are directed to are included, since they may get
        # requests at any moment.
        carriers = get_carriers(None, self._fleet, self._region)
        hosts = {peer.host for peer in carriers}
        hosts.update(peer.host for peer in self.get_region_peers() if peer.busy)
        return list(hosts)

    def get_remote_carriers(self, regions=None):
        """Return the hosts that carry requests in ``regions`` (``None``: all).

        Hosts of this VM's own region are not included.
        """
        return get_hosts(self._digests.get_carriers(regions))

    def note_sender(self, region, host):
        """Record the VM of another region that a digest was received from."""
        self._remote_targets.note_sender(region, host)

    def pick_remote_targets(self):
        """Return the hosts to send this region's digest to."""
        hosts_by_region = {}
        for listed in self._listed_by_vm.values():
            if listed.region != self._region:
                hosts_by_region.setdefault(listed.region, []).append(listed.host)
        return self._remote_targets.pick(hosts_by_region)


def _now():
    return asyncio.get_running_loop().time()
