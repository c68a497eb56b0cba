"""Which VMs of other regions are sent this region's digest."""

import random

from godwitlanding.decisions.digest import TARGETS

# Who has told something from another region is told each time, one more VM
# there every this many times. Whoever is told passes it on to its neighbours,
# so with one more each time they would hear the same from all sides.
SPREAD_EVERY = 4


def get_hosts(addresses):
    """Return the IP numbers of ``host:port`` addresses."""
    return [address.partition(":")[0] for address in addresses]


class RemoteTargets:
    """Picks them by the digests of their regions and by who told those."""

    def __init__(self, digests):
        self._digests = digests
        self._sender_by_region = {}
        self._turn = 0

    def note_sender(self, region, host):
        """A VM of another region has told this one a digest."""
        self._sender_by_region[region] = host

    def pick(self, hosts_by_region):
        """Return a few hosts of each region, given all that are listed.

        They are its carriers, as far as they are known: those tell all their
        neighbours.
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
