"""Decides again and again whether this VM reads the store or is fed.

The rules are in ``decisions.reading``; this service knows the neighbours,
the mirrors and the feed, and lets them do it.
"""

import asyncio

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import start_task
from godwitlanding.decisions.fleet import make_own_peer
from godwitlanding.decisions.reading import (
    BEHIND_S,
    FAILED_S,
    START_WAIT_S,
    Neighbour,
    choose_source,
    get_order,
    may_rest,
    should_read,
)
from godwitlanding.gateway.gossipmessage import StoreState

CHECK_INTERVAL_S = 0.2


class SourceSelector(Service):
    """Starts and stops the mirrors, and names the feed's source.

    At its start a VM reads every list at once, whoever else does: after a
    power cut there is nobody to be fed by, and waiting to find out would keep
    callers waiting.
    """

    name = "reader"
    needs = ("feed", "peers", "registry")

    def __init__(self, identity, fleet, digests, feed, mirrors):
        self._own = make_own_peer(identity)
        self._fleet = fleet
        self._digests = digests
        self._feed = feed
        self._mirrors = sorted(mirrors, key=lambda mirror: mirror.kind)
        self._tasks = []
        self._may_decide_reading = False
        self._failed_until = 0.0
        self._reader_seen_at = 0.0
        self._current_at = 0.0
        self._behind_since = None
        self._is_catching_up = False
        self._distrusted_until_by_host = {}

    async def start(self, kernel):
        """Begin to decide."""
        self._feed.reads = self.reads
        self._reader_seen_at = _now()
        self._current_at = _now()
        self._tasks = [
            start_task(self._read_lists()),
            start_task(self._decide_periodically()),
        ]

    async def stop(self):
        """Decide no longer."""
        for task in self._tasks:
            task.cancel()

    def get_status(self):
        """Return whether this VM reads the store."""
        return {"reads": self.reads(), "behind": self._behind_since is not None}

    def reads(self):
        """Tell whether the store answers this VM for every kind."""
        return all(
            mirror.is_following() and mirror.has_answered and not mirror.is_lost
            for mirror in self._mirrors
        )

    def is_fresh(self):
        """Tell whether changes in the store reach this VM within moments."""
        if self.reads() or self._feed.has_reading_source():
            return True
        # At the start, until it is decided who reads.
        return all(
            mirror.begins_old or mirror.was_just_listed() for mirror in self._mirrors
        )

    def get_staleness_s(self):
        """Return the seconds for which no change can have reached this VM."""
        return _now() - self._current_at

    def get_store_state(self):
        """Return what the peers are told."""
        failed = self._has_failed() or self._is_lost()
        changed_at = tuple(mirror.changed_at for mirror in self._mirrors)
        return StoreState(self.reads(), failed, changed_at)

    def _has_failed(self):
        return _now() < self._failed_until

    def _is_lost(self):
        return any(mirror.is_lost for mirror in self._mirrors)

    async def _read_lists(self):
        old = [mirror for mirror in self._mirrors if mirror.begins_old]
        fresh = [mirror for mirror in self._mirrors if not mirror.begins_old]
        reached = asyncio.get_running_loop().create_future()
        answered = await asyncio.gather(
            self._read_fresh(fresh, reached),
            *(mirror.list_once(reached) for mirror in old),
        )
        if not all(answered):
            self._failed_until = _now() + FAILED_S
        await asyncio.sleep(START_WAIT_S)
        self._reader_seen_at = _now()
        self._may_decide_reading = True

    async def _read_fresh(self, mirrors, reached):
        """Read lists, and tell ``reached`` up to which version they go."""
        answered = await asyncio.gather(*(mirror.list_once() for mirror in mirrors))
        is_known = bool(mirrors) and all(answered)
        reached.set_result(max(m.revision for m in mirrors) if is_known else None)
        return all(answered)

    async def _decide_periodically(self):
        while True:
            self._decide()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _decide(self):
        now = _now()
        if self.reads() or self._is_fed_by_reader():
            self._current_at = now
        neighbour_by_vm = self._get_neighbours()
        if any(neighbour.reads for neighbour in neighbour_by_vm.values()):
            self._reader_seen_at = now
        near = [self._fleet.peer_by_vm[vm] for vm in neighbour_by_vm]
        order = get_order([self._own, *near])
        if self._may_decide_reading:
            self._decide_reading(order, neighbour_by_vm, now)
        self._decide_source(order, neighbour_by_vm, now)

    def _is_fed_by_reader(self):
        peers = self._fleet.peer_by_vm.values()
        return self._feed.has_reading_source() and any(
            peer.reads for peer in peers if peer.host == self._feed.source
        )

    def _get_neighbours(self):
        return {
            peer.vm: Neighbour(peer.vm, peer.reads, peer.failed)
            for peer in self._fleet.peer_by_vm.values()
            if peer.region == self._own.region and not peer.leaving
        }

    def _decide_reading(self, order, neighbour_by_vm, now):
        if self._is_lost():
            self._failed_until = now + FAILED_S
        own = Neighbour(self._own.vm, self.reads(), self._has_failed())
        nobody_for_s = now - self._reader_seen_at
        wanted = should_read(own, order, neighbour_by_vm, nobody_for_s)
        is_following = self._mirrors[0].is_following()
        if wanted != is_following:
            if not wanted and not own.failed:
                if not may_rest(own, order, neighbour_by_vm):
                    return
            log_message(
                "reader:reads" if wanted else "reader:rests",
                position=order.index(own.vm),
                neighbours=len(order) - 1,
                nobody_for_s=round(nobody_for_s, 2),
                failed=own.failed,
            )
        if wanted:
            self._follow_store(own, neighbour_by_vm)
        else:
            for mirror in self._mirrors:
                mirror.stop_following()

    def _follow_store(self, own, neighbour_by_vm):
        # Whether the store has been away is known from those that it did not
        # answer; a reader that was lost itself says nothing of the store.
        neighbours = [own, *neighbour_by_vm.values()]
        was_away = any(neighbour.failed for neighbour in neighbours)
        lost_at = self._reader_seen_at if was_away else None
        first, *others = self._mirrors
        first.follow(lost_at)
        # One call tells whether the store is there. Where all four asked
        # again and again, a store that is short of calls would spend them on
        # refusals, and each is paid for.
        for mirror in others:
            if first.has_answered and not first.is_lost:
                mirror.follow(lost_at)
            elif first.is_lost:
                mirror.stop_following()

    def _decide_source(self, order, neighbour_by_vm, now):
        newer = self._find_newer()
        if not newer:
            self._behind_since = None
            self._is_catching_up = False
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > BEHIND_S:
            self._behind_since = now
            self._is_catching_up = True
            self._catch_up(newer, now)
        if self._is_catching_up:
            return
        if self.reads():
            self._feed.follow("")
        else:
            self._follow_neighbour(order, neighbour_by_vm, now)

    def _follow_neighbour(self, order, neighbour_by_vm, now):
        trusted = {
            vm: neighbour
            for vm, neighbour in neighbour_by_vm.items()
            if self._is_trusted(self._fleet.peer_by_vm[vm].host, now)
        }
        digests = self._digests.digest_by_region.values()
        elsewhere = [digest.source for digest in digests if digest.source]
        held = self._feed.source
        vm_by_host = {self._fleet.peer_by_vm[vm].host: vm for vm in trusted}
        source = choose_source(order, trusted, vm_by_host.get(held, held), elsewhere)
        peer = self._fleet.peer_by_vm.get(source)
        self._feed.follow(peer.host if peer else source)

    def _is_trusted(self, host, now):
        return now >= self._distrusted_until_by_host.get(host, 0.0)

    def _catch_up(self, newer, now):
        """Take from ``newer`` what did not come the usual way."""
        host, kinds = newer
        log_message(
            "reader:behind",
            level="warning",
            newer=host,
            kinds=kinds,
            source=self._feed.source,
        )
        if self._feed.source:
            self._distrusted_until_by_host[self._feed.source] = now + FAILED_S
        self._distrusted_until_by_host.pop(host, None)
        for mirror in self._mirrors:
            if mirror.kind in kinds and mirror.is_following():
                mirror.stop_following()
                mirror.follow()
        self._feed.follow("")
        self._feed.follow(host)

    def _find_newer(self):
        """Return the IP number of who knows of newer changes, and of what."""
        for peer in self._fleet.peer_by_vm.values():
            kinds = self._get_newer_kinds(peer.changed_at)
            if kinds:
                return peer.host, kinds
        for digest in self._digests.digest_by_region.values():
            kinds = self._get_newer_kinds(digest.changed_at)
            if kinds:
                return digest.source, kinds
        return None

    def _get_newer_kinds(self, changed_at):
        return [
            mirror.kind
            for mirror, revision in zip(self._mirrors, changed_at)
            if revision > mirror.revision
        ]


def _now():
    return asyncio.get_running_loop().time()
