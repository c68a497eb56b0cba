"""Estimates how many requests each upstream has, from one VM's point of view.

Load pattern: a few VMs share upstreams of three slots each, and each VM
learns the load from responses, as it was when each was sent. At 30
requests a second per VM that is about half a second ago, longer than the
work itself: two VMs find the same upstream idle and both fill it.

So each VM sends its peers many times a second how many requests it has at
each upstream. What an upstream reports beyond the sum comes from VMs that
are unreachable (partitioned, just started); it is counted with a weight that
falls to 0 within ``REPORT_DECAY_S``.

The older a peer's count, the less accurate it is; and a report that counts
for longer than the work lasts adds requests that have already ended.
"""

import xxhash

# Twice the work time of a cached object, after which three quarters of the
# requests in a report have ended.
REPORT_DECAY_S = 0.3
# The counts of a peer are dropped if it sends nothing for this long: its
# process has ended, or several of its messages in a row were lost.
PEER_TIMEOUT_S = 1.5


def get_upstream_number(upstream):
    """Return the 32-bit number that identifies an upstream between VMs.

    Two of 350 upstreams share a number in one of 70,000 fleets; they would
    appear busier than they are.
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
        """Count a request that this process sends."""
        self._get(upstream).own += 1

    def end(self, upstream):
        """Count the end of a request of this process."""
        self._get(upstream).own -= 1

    def note_report(self, upstream, total, now):
        """Record the upstream's own count of running and waiting requests."""
        load = self._get(upstream)
        known = load.own + self._total_by_number.get(load.number, 0)
        load.unattributed = max(0, total - known)
        load.reported_at = now

    def note_peer(self, peer, count_by_number, now):
        """Record a peer's number of requests at each upstream."""
        self._updated_at_by_peer[peer] = now
        former = self._count_by_number_by_peer.get(peer, {})
        if count_by_number == former:
            return
        self._count_by_number_by_peer[peer] = count_by_number
        self._update_total(former, count_by_number)

    def drop_silent(self, now):
        """Drop the counts of peers silent for ``PEER_TIMEOUT_S``."""
        silent = [
            peer
            for peer, updated_at in self._updated_at_by_peer.items()
            if now - updated_at > PEER_TIMEOUT_S
        ]
        for peer in silent:
            del self._updated_at_by_peer[peer]
            self._update_total(self._count_by_number_by_peer.pop(peer, {}), {})

    def get(self, upstream, now):
        """Return the estimated number of requests at the upstream."""
        load = self._load_by_upstream.get(upstream)
        if load is None:
            return self._total_by_number.get(get_upstream_number(upstream), 0)
        total = self._total_by_number.get(load.number, 0)
        weight = 1.0 - (now - load.reported_at) / REPORT_DECAY_S
        return load.own + total + load.unattributed * max(0.0, weight)

    def get_number(self, upstream):
        """Return the number that identifies an upstream between VMs."""
        return self._get(upstream).number

    def sum_peers(self, peers, numbers):
        """Return the requests that ``peers`` have at upstreams, by number.

        ``numbers`` is a set.
        """
        return sum(
            count
            for peer in peers
            for number, count in self._count_by_number_by_peer.get(peer, {}).items()
            if number in numbers
        )

    def get_report_age_s(self, upstream, now):
        """Return the seconds since the upstream's last own report.

        ``None`` if it has not reported.
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
        """Return this process's counts by upstream number, for peers."""
        return {
            load.number: load.own
            for load in self._load_by_upstream.values()
            if load.own
        }

    def forget(self, upstream):
        """Drop a removed upstream once no request is in progress there."""
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
            remaining = total[number] - count
            if remaining:
                total[number] = remaining
            else:
                del total[number]
        for number, count in count_by_number.items():
            total[number] = total.get(number, 0) + count
