"""Updates the estimates about upstreams from responses.

The estimates are work times, which objects an upstream knows, and how many of
them it keeps in its cache.
"""

from godwitlanding.decisions.cachesize import CacheSizeEstimate
from godwitlanding.decisions.objectmap import CacheEntry, get_object_number
from godwitlanding.decisions.worktime import Warmth

# A work time shows whether an upstream knew an object only if cold requests
# take MIN_COLD_RATIO times as long as warm ones, and the upstream is slower
# than others by at most MAX_SLOWDOWN_FACTOR.
MIN_COLD_RATIO = 1.5
MAX_SLOWDOWN_FACTOR = 1.5


class Learning:
    """Records attempts and responses, and rates how warm an upstream is."""

    def __init__(self, registry, peers, worktimes, object_map):
        self._registry = registry
        self._peers = peers
        self._worktimes = worktimes
        self._object_map = object_map
        self._cache_size = CacheSizeEstimate()
        # Called with the service of each response whose time was measured.
        self.on_measured = []

    def get_cache_size(self, service):
        """Return how many objects an upstream of a service keeps cached."""
        return self._cache_size.get(service)

    def begin(self, request, upstream_id):
        """Record that a request is sent to an upstream.

        Returns ``(Warmth, depth)``: whether it knows the object, and the depth
        as described at ``Choice.depth``.
        """
        if not request.key:
            return Warmth.NO_OBJECT, None
        cache_entry = self._make_cache_entry(request, upstream_id)
        map_depth = self._object_map.get_depth(*cache_entry)
        depth = map_depth if self._object_map.has_answered(cache_entry) else None
        self._peers.note_cache_entry(cache_entry)
        if map_depth is None:
            # No VM has sent the object there. Classified by its time alone, a
            # fast cold request would count as warm; if all cold requests are
            # fast, or were slow for a moment, their time would never be
            # estimated.
            return Warmth.COLD, None
        return self._get_warmth(request.service, depth), depth

    def note_unreached(self, request, choice):
        """Record that a request did not reach the chosen upstream.

        An upstream that shed the request does not know the object either, but
        stays its home. Otherwise, if a service sheds at random, the object
        would be loaded by every upstream in turn.
        """
        if request.key and choice.depth is None and self._is_listed(choice):
            self._object_map.drop(self._make_cache_entry(request, choice.upstream.id))

    def note_response(self, request, choice, work_s):
        """Record that an upstream answered after ``work_s`` seconds.

        ``None`` stands for a time that does not show the upstream's speed.
        """
        if request.key and self._is_listed(choice):
            cache_entry = self._make_cache_entry(request, choice.upstream.id)
            self._object_map.note_response(cache_entry)
        if work_s is None:
            self._worktimes.note_success(request.service, choice.upstream.id)
            return
        was_queued = choice.occupied >= choice.upstream.slots
        self._record_cache_hit(request.service, choice, work_s, was_queued)
        self._worktimes.note_response(
            request.service, choice.upstream.id, work_s, choice.warmth, was_queued
        )
        for callback in self.on_measured:
            callback(request.service)

    def forget(self, upstream_id):
        """Discard the state of an upstream that was removed or restarted."""
        self._worktimes.forget(upstream_id)
        number = self._registry.number_by_id.get(upstream_id)
        if number is not None:
            self._object_map.forget(number)

    def recover(self):
        """Decay slowness and failure estimates, and drop unlisted upstreams.

        Called once a second.
        """
        self._worktimes.recover()
        if self._registry.has_upstreams:
            self._object_map.keep_only(self._registry.id_by_number.keys())

    def _record_cache_hit(self, service, choice, work_s, was_queued):
        if choice.depth is None or was_queued:
            return
        warm_s = self._worktimes.get_warm_s(service)
        cold_s = self._worktimes.get_cold_s(service)
        factor = self._worktimes.get_factor(choice.upstream.id)
        if cold_s < MIN_COLD_RATIO * warm_s or factor > MAX_SLOWDOWN_FACTOR:
            return
        was_known = work_s < (warm_s + cold_s) / 2
        self._cache_size.note(service, choice.depth, was_known)

    def _get_warmth(self, service, depth):
        # An object that may be evicted must not make its upstream look slow.
        if depth is None or depth > self._cache_size.get(service) / 2:
            return Warmth.UNSURE
        return Warmth.WARM

    def _is_listed(self, choice):
        # It may have been removed while the request was in transit.
        return choice.upstream.id in self._registry.number_by_id

    def _make_cache_entry(self, request, upstream_id):
        number = self._registry.number_by_id[upstream_id]
        return CacheEntry(number, get_object_number(request.service, request.key))
