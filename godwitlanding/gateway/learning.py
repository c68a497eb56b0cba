"""Joins what answers tell of upstreams: work times, objects, memory."""

from godwitlanding.decisions.cachesize import CacheSizeEstimate
from godwitlanding.decisions.objectmap import CacheEntry, get_object_number
from godwitlanding.decisions.worktime import Warmth

# Work times tell whether an upstream knew an object where both differ this
# many times, at upstreams that are not this much slower than others.
TELLING_TIMES = 1.5
TELLING_FACTOR = 1.5


class Learning:
    """Takes answers to attempts, and tells what is known of an object."""

    def __init__(self, registry, peers, worktimes, object_map):
        self._registry = registry
        self._peers = peers
        self._worktimes = worktimes
        self._object_map = object_map
        self._memory = CacheSizeEstimate()

    def get_remembered(self, service):
        """Return how many objects an upstream of a service remembers."""
        return self._memory.get(service)

    def begin(self, work, upstream_id):
        """Note that an upstream is sent a request.

        Returns how well it knows the object, as ``(Warmth, depth)``; see
        ``Choice.depth``.
        """
        if not work.key:
            return Warmth.NO_OBJECT, None
        cache_entry = self._make_meeting(work, upstream_id)
        held = self._object_map.get_depth(*cache_entry)
        depth = held if self._object_map.has_answered(cache_entry) else None
        self._peers.note_cache_entry(cache_entry)
        if held is None:
            # Nobody has sent it there. Judged by its time alone, a fast first
            # run would count as known, and where all are fast, or were slow
            # for a moment, the time of first runs would never be learnt.
            return Warmth.COLD, None
        return self._get_warmth(work.service, depth), depth

    def note_unreached(self, work, choice):
        """An upstream did not get the object that it was chosen for.

        One that shed the request does not know it either, but stays its
        home: where a service sheds at random, an object that left each
        upstream that shed it would be learnt by all of them.
        """
        if work.key and choice.depth is None and self._is_listed(choice):
            self._object_map.drop(self._make_meeting(work, choice.upstream.id))

    def note_answer(self, work, choice, work_s):
        """An upstream has answered after ``work_s`` seconds."""
        waited = choice.occupied >= choice.upstream.slots
        self._learn_memory(work.service, choice, work_s, waited)
        self._worktimes.note_answer(
            work.service, choice.upstream.id, work_s, choice.warmth, waited
        )
        if work.key and self._is_listed(choice):
            cache_entry = self._make_meeting(work, choice.upstream.id)
            self._object_map.note_answer(cache_entry)

    def forget(self, upstream_id):
        """Drop what is held of an upstream that is gone or new again."""
        self._worktimes.forget(upstream_id)
        number = self._registry.number_by_id.get(upstream_id)
        if number is not None:
            self._object_map.forget(number)

    def recover(self):
        """Let bad names fade, and forget upstreams that are no longer listed.

        Called once a second.
        """
        self._worktimes.recover()
        if self._registry.has_upstreams:
            self._object_map.keep_only(self._registry.id_by_number.keys())

    def _learn_memory(self, service, choice, work_s, waited):
        if choice.depth is None or waited:
            return
        warm_s = self._worktimes.get_warm_s(service)
        cold_s = self._worktimes.get_cold_s(service)
        factor = self._worktimes.get_factor(choice.upstream.id)
        if cold_s < TELLING_TIMES * warm_s or factor > TELLING_FACTOR:
            return
        was_known = work_s < (warm_s + cold_s) / 2
        self._memory.note(service, choice.depth, was_known)

    def _get_warmth(self, service, depth):
        # An object that may be forgotten must not make its upstream look slow.
        if depth is None or depth > self._memory.get(service) / 2:
            return Warmth.UNSURE
        return Warmth.WARM

    def _is_listed(self, choice):
        # It may have left while a request was on its way there.
        return choice.upstream.id in self._registry.number_by_id

    def _make_meeting(self, work, upstream_id):
        number = self._registry.number_by_id[upstream_id]
        return CacheEntry(number, get_object_number(work.service, work.key))
