"""Decides whether an upstream may be sent a request now.

Occupied slots and expected waiting times are not considered here.
"""

from godwitlanding.base.rendezvous import choose
from godwitlanding.decisions.fleet import get_carriers, make_own_peer
from godwitlanding.decisions.pause import Pauses


class Availability:
    """Tracks upstreams that are unreachable, cold, paused or rate limited.

    ``ejected`` is the set of unreachable upstreams. ``pauses`` holds the
    upstreams that have asked this VM for a pause.
    """

    def __init__(self, identity, registry, fleet, limit_gossip):
        self._vm = identity.vm
        self._own_peer = make_own_peer(identity)
        self._registry = registry
        self._fleet = fleet
        self._limit_gossip = limit_gossip
        self._cold_next_by_upstream = {}
        self.ejected = set()
        self.pauses = Pauses()
        # Whether the bytes outstanding at an upstream allow a further request.
        self.has_room = lambda upstream_id: True

    def is_available(self, upstream_id, now):
        """Return whether a request may be sent to an upstream at once."""
        if upstream_id in self.ejected or self.pauses.get_left_s(upstream_id, now) > 0:
            return False
        if not self.has_room(upstream_id):
            return False
        if not self._limit_gossip.may_send(upstream_id, now):
            return False
        return self._is_cold_upstream_available(upstream_id, now)

    def may_send_new_objects(self, upstream_id, now):
        """Return whether an upstream may be sent objects it has not cached.

        An upstream with a scarce limit uses the remainder for requests about
        objects that it has cached.
        """
        if self.is_scarce(upstream_id, now):
            return False
        return self._registry.get_cold_left_s(upstream_id, now) <= 0

    def is_scarce(self, upstream_id, now):
        """Return whether demand for an upstream reaches its rate limit."""
        return self._limit_gossip.is_scarce(upstream_id, now)

    def note_sent(self, upstream_id, now):
        """Record a request to an upstream; a cold one then gets a pause."""
        self._limit_gossip.note_sent(upstream_id, now)
        if self._registry.get_cold_left_s(upstream_id, now) <= 0:
            return
        upstream = self._registry.upstream_by_id[upstream_id]
        service = self._registry.config.service_by_name.get(upstream.service)
        rate = service.cold_per_s if service else 0.0
        pause_s = 1.0 / rate if rate > 0 else 1.0
        self._cold_next_by_upstream[upstream_id] = now + pause_s

    def forget(self, upstream_id):
        """Discard the state of an upstream that was removed or restarted."""
        self.ejected.discard(upstream_id)
        self.pauses.forget(upstream_id)
        self._cold_next_by_upstream.pop(upstream_id, None)

    def _is_cold_upstream_available(self, upstream_id, now):
        # A cold upstream crashes when all VMs together send much more than
        # its rate. So a single VM sends to it and spaces the requests; VMs
        # that see the same peers choose the same one.
        if self._registry.get_cold_left_s(upstream_id, now) <= 0:
            return True
        upstream = self._registry.upstream_by_id[upstream_id]
        region = self._registry.get_region(upstream.availability_zone)
        carriers = get_carriers(self._own_peer, self._fleet, region)
        vms = [peer.vm for peer in carriers]
        if choose(upstream.id, vms) != self._vm:
            return False
        return now >= self._cold_next_by_upstream.get(upstream.id, 0.0)
