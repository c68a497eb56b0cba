"""Selects the VM addresses that callers of each region should use."""

from eliot import log_message

from godwitlanding.decisions.fleet import choose_addresses, make_own_peer


class Directory:
    """Returns VM addresses by caller region and logs when they change."""

    def __init__(self, identity, fleet, digests, is_ready, get_reach):
        self._own = make_own_peer(identity)
        self._fleet = fleet
        self._digests = digests
        self._is_ready = is_ready
        self._get_reach = get_reach
        self._addresses_by_region = {}

    def choose(self, region):
        """Return the addresses that a caller of ``region`` may use."""
        region = region or self._own.region
        own = None
        if self._is_ready():
            own = self._own._replace(reach=self._get_reach())
        digests = self._digests.digest_by_region.values()
        addresses = choose_addresses(own, self._fleet, region, digests)
        former = self._addresses_by_region.get(region, ())
        if addresses != former:
            self._addresses_by_region[region] = addresses
            log_message(
                "directory:named",
                region=region,
                addresses=len(addresses),
                added=sorted(set(addresses) - set(former)),
                removed=sorted(set(former) - set(addresses)),
                own=own is not None,
                usable=len(self._fleet.get_usable(region)),
                heard=len(self._fleet.peer_by_vm),
            )
        return addresses
