"""Picks the VMs of other regions that receive this region's digest."""

import random

from godwitlanding.decisions.digest import TARGETS

# In each region, the VM from which a digest was last received is sent every
# digest, and one more VM is sent one digest in this many. Recipients forward a
# digest to their whole region, so one more VM each time would flood it.
SPREAD_EVERY = 4


def get_hosts(addresses):
    """Return the IP addresses of ``host:port`` addresses."""
    return [address.partition(":")[0] for address in addresses]


class RemoteTargets:
    """Picks targets by the regions' digests and the senders of those."""

    def __init__(self, digests):
        self._digests = digests
        self._sender_by_region = {}
        self._turn = 0

    def note_sender(self, region, host):
        """Record the VM that a digest was received from."""
        self._sender_by_region[region] = host

    def pick(self, hosts_by_region):
        """Return a few hosts of each region, given all that are listed.

        Carriers are preferred where they are known, since they send to all
        VMs of their region.
        """
        self._turn += 1
        targets = []
        for region, listed in hosts_by_region.items():
            carriers = get_hosts(self._digests.get_carriers({region}))
            hosts = [host for host in carriers if host in listed] or listed
            targets.extend(self._pick_in(region, hosts))
        return targets

    def _pick_in(self, region, hosts):
        sender = self._sender_by_region.get(region)
        if sender not in hosts:
            return {random.choice(hosts) for _ in range(TARGETS)}
        if self._turn % SPREAD_EVERY:
            return {sender}
        others = [host for host in hosts if host != sender]
        return {sender, random.choice(others)} if others else {sender}
