"""Selects whether this VM reads the store itself or follows another VM.

The rules are in ``decisions.storereaders``. This service applies them to the
peers' states and controls the mirrors and the feed.
"""

import asyncio

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import Tasks
from godwitlanding.decisions.fleet import make_own_peer
from godwitlanding.decisions.storereaders import (
    BEHIND_S,
    FAILED_BACKOFF_S,
    START_WAIT_S,
    StoreAccess,
    choose_source,
    may_stop_reading,
    rank_readers,
    should_read,
)
from godwitlanding.gateway.gossipmessage import StoreState

CHECK_INTERVAL_S = 0.2


class SourceSelector(Service):
    """Starts and stops the mirrors, and sets the feed's source.

    At its start a VM reads every list at once, whatever other VMs do: after a
    power cut there is no VM to follow, and finding this out first would keep
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
        self.tasks = Tasks()
        self._may_decide_reading = False
        self._failed_until = 0.0
        self._reader_seen_at = 0.0
        self._current_at = 0.0
        self._behind_since = None
        self._is_catching_up = False
        self._distrusted_until_by_host = {}

    async def start(self, kernel):
        """Read the lists and begin to decide periodically."""
        self._feed.is_reading = self.is_reading
        self._reader_seen_at = _now()
        self._current_at = _now()
        self.tasks.keep_running(self._read_lists)
        self.tasks.repeat(CHECK_INTERVAL_S, self._decide)

    async def stop(self):
        """Stop deciding."""
        await self.tasks.stop()

    def get_status(self):
        """Return whether this VM reads the store, and if it is behind."""
        return {"reads": self.is_reading(), "behind": self._behind_since is not None}

    def is_reading(self):
        """Return whether every mirror follows the store and is answered."""
        return all(
            mirror.is_following() and mirror.has_answered and not mirror.is_lost
            for mirror in self._mirrors
        )

    def is_fresh(self):
        """Return whether changes in the store reach this VM without delay."""
        if self.is_reading() or self._feed.has_reading_source():
            return True
        # At the start, before it is decided which VMs read.
        return all(
            mirror.begins_old or mirror.was_just_listed() for mirror in self._mirrors
        )

    def get_staleness_s(self):
        """Return for how many seconds this VM may have missed changes."""
        return _now() - self._current_at

    def get_store_state(self):
        """Return the ``StoreState`` to send to peers."""
        failed = self._has_failed() or self._is_lost()
        changed_at = tuple(mirror.changed_at for mirror in self._mirrors)
        return StoreState(self.is_reading(), failed, changed_at)

    def _has_failed(self):
        return _now() < self._failed_until

    def _is_lost(self):
        return any(mirror.is_lost for mirror in self._mirrors)

    async def _read_lists(self):
        stale = [mirror for mirror in self._mirrors if mirror.begins_old]
        fresh = [mirror for mirror in self._mirrors if not mirror.begins_old]
        reached = asyncio.get_running_loop().create_future()
        answered = await asyncio.gather(
            self._read_fresh(fresh, reached),
            *(mirror.list_once(reached) for mirror in stale),
        )
        if not all(answered):
            self._failed_until = _now() + FAILED_BACKOFF_S
        await asyncio.sleep(START_WAIT_S)
        self._reader_seen_at = _now()
        self._may_decide_reading = True

    async def _read_fresh(self, mirrors, reached):
        """Read lists and set ``reached`` to the version they show."""
        answered = await asyncio.gather(*(mirror.list_once() for mirror in mirrors))
        is_known = bool(mirrors) and all(answered)
        reached.set_result(max(m.revision for m in mirrors) if is_known else None)
        return all(answered)

    def _decide(self):
        now = _now()
        if self.is_reading() or self._follows_reader():
            self._current_at = now
        access_by_vm = self._get_store_access()
        if any(access.reads for access in access_by_vm.values()):
            self._reader_seen_at = now
        region_peers = [self._fleet.peer_by_vm[vm] for vm in access_by_vm]
        order = rank_readers([self._own, *region_peers])
        if self._may_decide_reading:
            self._decide_reading(order, access_by_vm, now)
        self._decide_source(order, access_by_vm, now)

    def _follows_reader(self):
        peers = self._fleet.peer_by_vm.values()
        return self._feed.has_reading_source() and any(
            peer.reads for peer in peers if peer.host == self._feed.source
        )

    def _get_store_access(self):
        return {
            peer.vm: StoreAccess(peer.vm, peer.reads, peer.failed)
            for peer in self._fleet.peer_by_vm.values()
            if peer.region == self._own.region and not peer.leaving
        }

    def _decide_reading(self, order, access_by_vm, now):
        if self._is_lost():
            self._failed_until = now + FAILED_BACKOFF_S
        own = StoreAccess(self._own.vm, self.is_reading(), self._has_failed())
        nobody_for_s = now - self._reader_seen_at
        should_follow = should_read(own, order, access_by_vm, nobody_for_s)
        is_following = self._mirrors[0].is_following()
        if should_follow != is_following:
            if not should_follow and not own.failed:
                if not may_stop_reading(own, order, access_by_vm):
                    return
            log_message(
                "reader:reads" if should_follow else "reader:rests",
                position=order.index(own.vm),
                neighbours=len(order) - 1,
                nobody_for_s=round(nobody_for_s, 2),
                failed=own.failed,
            )
        if should_follow:
            self._follow_store(own, access_by_vm)
        else:
            for mirror in self._mirrors:
                mirror.stop_following()

    def _follow_store(self, own, access_by_vm):
        # VMs whose calls failed show that the store was unreachable. The loss
        # of a reader VM alone does not.
        accesses = [own, *access_by_vm.values()]
        was_unreachable = any(access.failed for access in accesses)
        lost_at = self._reader_seen_at if was_unreachable else None
        first, *others = self._mirrors
        first.follow(lost_at)
        # A single mirror probes whether the store answers. If all four
        # retried, a store that limits the rate of calls would spend it on
        # rejections, and every call is paid for.
        for mirror in others:
            if first.has_answered and not first.is_lost:
                mirror.follow(lost_at)
            elif first.is_lost:
                mirror.stop_following()

    def _decide_source(self, order, access_by_vm, now):
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
        if self.is_reading():
            self._feed.follow("")
        else:
            self._follow_peer(order, access_by_vm, now)

    def _follow_peer(self, order, access_by_vm, now):
        trusted = {
            vm: access
            for vm, access in access_by_vm.items()
            if self._is_trusted(self._fleet.peer_by_vm[vm].host, now)
        }
        digests = self._digests.digest_by_region.values()
        remote_sources = [digest.source for digest in digests if digest.source]
        current = self._feed.source
        vm_by_host = {self._fleet.peer_by_vm[vm].host: vm for vm in trusted}
        source = choose_source(
            order, trusted, vm_by_host.get(current, current), remote_sources
        )
        peer = self._fleet.peer_by_vm.get(source)
        self._feed.follow(peer.host if peer else source)

    def _is_trusted(self, host, now):
        return now >= self._distrusted_until_by_host.get(host, 0.0)

    def _catch_up(self, newer, now):
        """Follow the VM in ``newer`` to get the changes that were missed."""
        host, kinds = newer
        log_message(
            "reader:behind",
            level="warning",
            newer=host,
            kinds=kinds,
            source=self._feed.source,
        )
        if self._feed.source:
            self._distrusted_until_by_host[self._feed.source] = now + FAILED_BACKOFF_S
        self._distrusted_until_by_host.pop(host, None)
        for mirror in self._mirrors:
            if mirror.kind in kinds and mirror.is_following():
                mirror.stop_following()
                mirror.follow()
        self._feed.follow("")
        self._feed.follow(host)

    def _find_newer(self):
        """Return the IP address of a VM with newer changes, and their kinds.

        ``None`` if there is no such VM.
        """
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
