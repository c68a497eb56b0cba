"""How many requests each upstream has, as one VM of several can know it.

Load pattern: a few VMs share upstreams of three slots each, and each learns
from an answer what the load was when the answer left. At 30 requests a
second a VM, that is about half a second ago, longer than the work itself:
two VMs find the same upstream idle and both fill it.

So each VM tells its peers many times a second how many requests it has at
each upstream. What an upstream reports beyond the sum comes from VMs that
cannot be heard (cut off, just started); it is believed for one second, in
which half the work it speaks of has ended, and fades meanwhile.
"""

REPORT_FADES_S = 1.0
# A peer that was not heard for this long no longer counts: its process has
# ended, or the network lost ten of its messages in a row.
PEER_SILENT_S = 1.5


class _Load:
    def __init__(self):
        self.own = 0
        self.unseen = 0
        self.unseen_at = 0.0


class Occupancy:
    """Requests in progress by upstream; ``now`` is seconds of one clock."""

    def __init__(self):
        self._load_by_upstream = {}
        self._count_by_upstream_by_peer = {}
        self._heard_at_by_peer = {}
        self._total_by_upstream = {}

    def begin(self, upstream):
        """Count a request of this process."""
        self._get(upstream).own += 1

    def end(self, upstream):
        """A request of this process is over."""
        self._get(upstream).own -= 1

    def note_report(self, upstream, total, now):
        """Take the upstream's own count of running and waiting requests."""
        load = self._get(upstream)
        known = load.own + self._total_by_upstream.get(upstream, 0)
        load.unseen = max(0, total - known)
        load.unseen_at = now

    def note_peer(self, peer, count_by_upstream, now):
        """Take what a peer says it has at each upstream."""
        self._count_by_upstream_by_peer[peer] = count_by_upstream
        self._heard_at_by_peer[peer] = now
        self._add_up()

    def drop_silent(self, now):
        """Forget peers that were not heard for ``PEER_SILENT_S``."""
        silent = [
            peer
            for peer, heard_at in self._heard_at_by_peer.items()
            if now - heard_at > PEER_SILENT_S
        ]
        for peer in silent:
            del self._heard_at_by_peer[peer]
            del self._count_by_upstream_by_peer[peer]
        if silent:
            self._add_up()

    def get(self, upstream, now):
        """Return the requests that the upstream probably has."""
        load = self._load_by_upstream.get(upstream)
        total = self._total_by_upstream.get(upstream, 0)
        if load is None:
            return total
        left = 1.0 - (now - load.unseen_at) / REPORT_FADES_S
        return load.own + total + load.unseen * max(0.0, left)

    def get_report_age_s(self, upstream, now):
        """Return the seconds since the upstream's last own report.

        ``None`` where it has made none.
        """
        load = self._load_by_upstream.get(upstream)
        return now - load.unseen_at if load and load.unseen_at else None

    def get_own(self):
        """Return this process's counts by upstream, without the zeros."""
        return {
            upstream: load.own
            for upstream, load in self._load_by_upstream.items()
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
            load = self._load_by_upstream[upstream] = _Load()
        return load

    def _add_up(self):
        total = {}
        for count_by_upstream in self._count_by_upstream_by_peer.values():
            for upstream, count in count_by_upstream.items():
                total[upstream] = total.get(upstream, 0) + count
        self._total_by_upstream = total
