"""How many requests each upstream has, as one VM of several can know it.

Load pattern: a few VMs share upstreams of three slots each, and each learns
from an answer what the load was when the answer left. At 30 requests a
second a VM, that is about half a second ago, longer than the work itself:
two VMs find the same upstream idle and both fill it.

So each VM tells its peers many times a second how many requests it has at
each upstream. What an upstream reports beyond the sum comes from VMs that
cannot be heard (cut off, just started); it is believed for
``REPORT_FADES_S`` and fades meanwhile.

The older a peer's count, the further it is off; and a report that is believed
for longer than the work lasts adds requests that are not there any more.
"""

import xxhash

# Twice the work on an object that is known, after which three quarters of
# what a report speaks of have ended.
REPORT_DECAY_S = 0.3
# A peer that was not heard for this long no longer counts: its process has
# ended, or the network lost several of its messages in a row.
PEER_TIMEOUT_S = 1.5


def get_upstream_number(upstream):
    """Return the 32-bit number by which VMs name an upstream to each other.

    Two of 350 upstreams share a number once in 70,000 fleets; they would
    count as busier than they are.
    """
    return xxhash.xxh32_intdigest(upstream.encode())


class _Load:
    def __init__(self, upstream):
        self.number = get_upstream_number(upstream)
        self.own = 0
        self.unattributed = 0
        self.reported_at = 0.0


class Occupancy:
    """Requests in progress by upstream; ``now`` is seconds of one clock."""

    def __init__(self):
        self._load_by_upstream = {}
        self._count_by_number_by_peer = {}
        self._updated_at_by_peer = {}
        self._total_by_number = {}

    def begin(self, upstream):
        """Count a request of this process."""
        self._get(upstream).own += 1

    def end(self, upstream):
        """A request of this process is over."""
        self._get(upstream).own -= 1

    def note_report(self, upstream, total, now):
        """Take the upstream's own count of running and waiting requests."""
        load = self._get(upstream)
        known = load.own + self._total_by_number.get(load.number, 0)
        load.unattributed = max(0, total - known)
        load.reported_at = now

    def note_peer(self, peer, count_by_number, now):
        """Take what a peer says it has at each upstream."""
        self._updated_at_by_peer[peer] = now
        former = self._count_by_number_by_peer.get(peer, {})
        if count_by_number == former:
            return
        self._count_by_number_by_peer[peer] = count_by_number
        self._update_total(former, count_by_number)

    def drop_silent(self, now):
        """Forget peers that were not heard for ``PEER_SILENT_S``."""
        silent = [
            peer
            for peer, updated_at in self._updated_at_by_peer.items()
            if now - updated_at > PEER_TIMEOUT_S
        ]
        for peer in silent:
            del self._updated_at_by_peer[peer]
            self._update_total(self._count_by_number_by_peer.pop(peer, {}), {})

    def get(self, upstream, now):
        """Return the requests that the upstream probably has."""
        load = self._load_by_upstream.get(upstream)
        if load is None:
            return self._total_by_number.get(get_upstream_number(upstream), 0)
        total = self._total_by_number.get(load.number, 0)
        left = 1.0 - (now - load.reported_at) / REPORT_DECAY_S
        return load.own + total + load.unattributed * max(0.0, left)

    def get_report_age_s(self, upstream, now):
        """Return the seconds since the upstream's last own report.

        ``None`` where it has made none.
        """
        load = self._load_by_upstream.get(upstream)
        return now - load.reported_at if load and load.reported_at else None

    def get_own(self):
        """Return this process's counts by upstream, without the zeros."""
        return {
            upstream: load.own
            for upstream, load in self._load_by_upstream.items()
            if load.own
        }

    def get_own_by_number(self):
        """Return the same by the upstreams' numbers, as peers are told."""
        return {
            load.number: load.own
            for load in self._load_by_upstream.values()
            if load.own
        }

    def forget(self, upstream):
        """Drop an upstream that is gone, once nothing is in progress there."""
        load = self._load_by_upstream.get(upstream)
        if load and not load.own:
            del self._load_by_upstream[upstream]

    def _get(self, upstream):
        load = self._load_by_upstream.get(upstream)
        if load is None:
            load = self._load_by_upstream[upstream] = _Load(upstream)
        return load

    def _update_total(self, former, count_by_number):
        total = self._total_by_number
        for number, count in former.items():
            left = total[number] - count
            if left:
                total[number] = left
            else:
                del total[number]
        for number, count in count_by_number.items():
            total[number] = total.get(number, 0) + count
