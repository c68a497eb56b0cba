"""Selects whether this VM reads the store itself or follows another VM.

The rules are in ``decisions.storereaders``. This service applies them to the
peers' states and controls the mirrors and the feed.
"""

import asyncio
from enum import Enum
from typing import NamedTuple

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.base.rendezvous import rank
from godwitlanding.base.tasks import Tasks
from godwitlanding.decisions.catchup import CatchUp, CatchUpStep
from godwitlanding.decisions.fleet import find_high_capacity, make_own_peer
from godwitlanding.decisions.storereaders import (
    FAILED_BACKOFF_S,
    START_WAIT_S,
    StoreAccess,
    choose_source,
    may_stop_reading,
    rank_readers,
    rank_sources,
    should_read,
)
from godwitlanding.gateway.gossipmessage import StoreState

CHECK_INTERVAL_S = 0.2


class MarkType(Enum):
    """What a ``Mark`` counts."""

    REVISION = "revision"
    ORDER = "order"


class Mark(NamedTuple):
    """A number that VMs tell each other, of the objects of a kind.

    It is the store's revision of the last change, or the highest order of a
    value (see ``gateway.mirror``).
    """

    kind: str
    type: MarkType


class SourceSelector(Service):
    """Starts and stops the mirrors, and sets the feed's source.

    At its start a VM reads every list at once, whatever other VMs do: after a
    power cut there is no VM to follow, and finding this out first would keep
    callers waiting.
    """

    name = "reader"
    needs = ("feed", "peers", "registry")

    def __init__(self, identity, fleet, digests, feed, mirrors, counters):
        self._own = make_own_peer(identity)
        self._fleet = fleet
        self._digests = digests
        self._feed = feed
        self._counters = counters
        self._mirrors = sorted(mirrors, key=lambda mirror: mirror.kind)
        self.tasks = Tasks()
        self._may_decide_reading = False
        self._failed_until = 0.0
        self._reader_seen_at = 0.0
        self._current_at_by_kind = {}
        self._catch_up = CatchUp()
        self._store_read = None
        self._missed_kinds = frozenset()
        self._former_marks = {}
        self._has_progressed = False
        self._distrusted_until_by_host = {}

    async def start(self, kernel):
        """Read the lists and begin to decide periodically."""
        self._feed.is_reading = self.is_reading
        self._reader_seen_at = _now()
        self._current_at_by_kind = {mirror.kind: _now() for mirror in self._mirrors}
        self.tasks.keep_running(self._read_lists)
        self.tasks.repeat(CHECK_INTERVAL_S, self._decide)

    async def stop(self):
        """Stop deciding."""
        await self.tasks.stop()

    def get_status(self):
        """Return whether this VM reads the store, and if it is behind."""
        is_behind = self._catch_up.since is not None
        return {"reads": self.is_reading(), "behind": is_behind}

    def is_reading(self):
        """Return whether every mirror follows the store and is answered."""
        return all(
            mirror.is_following() and mirror.has_answered and not mirror.is_lost
            for mirror in self._mirrors
        )

    def misses(self, kind):
        """Return whether a change of a kind is known to others only."""
        return kind in self._missed_kinds

    def is_fresh(self):
        """Return whether changes in the store reach this VM without delay.

        A large change may still be on its way (see ``misses``).
        """
        if self.is_reading() or self._feed.has_reading_source():
            return True
        # At the start, before it is decided which VMs read.
        return all(
            mirror.begins_old or mirror.was_just_listed() for mirror in self._mirrors
        )

    def get_staleness_s(self, kind):
        """Return for how many seconds changes of a kind may be missing."""
        return _now() - self._current_at_by_kind[kind]

    def get_store_state(self):
        """Return the ``StoreState`` to send to peers."""
        failed = self._has_failed() or self._is_lost()
        changed_at = [mirror.changed_at for mirror in self._mirrors]
        changed_at += [mirror.order for mirror in self._mirrors if mirror.is_ordered]
        return StoreState(self.is_reading(), failed, tuple(changed_at))

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
        missed = self._find_missed_marks()
        self._missed_kinds = frozenset(mark.kind for mark in missed)
        self._note_progress(missed)
        if self.is_reading() or self._follows_reader():
            for mirror in self._mirrors:
                if not self.misses(mirror.kind):
                    self._current_at_by_kind[mirror.kind] = now
        access_by_vm = self._get_store_access()
        if any(access.reads for access in access_by_vm.values()):
            self._reader_seen_at = now
        region_peers = [self._fleet.peer_by_vm[vm] for vm in access_by_vm]
        order = rank_readers([self._own, *region_peers])
        if self._may_decide_reading:
            self._decide_reading(order, access_by_vm, now)
        sources = rank_sources(self._own.vm, [self._own, *region_peers])
        self._decide_source(missed, sources, access_by_vm, now)

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

    def _decide_source(self, missed, sources, access_by_vm, now):
        if missed:
            self._get_missed(missed, now)
        else:
            self._catch_up.note_current()
        if self._catch_up.attempts and (self._feed.source or self.is_reading()):
            return
        if self.is_reading():
            self._feed.follow("")
        else:
            self._follow_peer(sources, access_by_vm, now)

    def _note_progress(self, missed):
        own = self._get_own_marks()
        self._has_progressed = any(
            own[mark] > self._former_marks.get(mark, 0) for mark in missed
        )
        self._former_marks = own

    def _get_missed(self, missed, now):
        kinds = sorted(self._missed_kinds)
        is_receiving = self._has_progressed or self._is_receiving(kinds)
        step = self._catch_up.decide(now, is_receiving, self._source_has(missed))
        if step is CatchUpStep.NONE:
            return
        if step is CatchUpStep.READ_STORE and self._has_failed():
            step = CatchUpStep.FOLLOW_OTHER
        self._counters.add("catch_ups", step=step.value)
        newer = self._choose_newer(missed)
        log_message(
            "reader:behind",
            level="warning",
            newer=newer,
            kinds=kinds,
            source=self._feed.source,
            step=step.value,
            attempts=self._catch_up.attempts,
            behind_s=round(now - self._catch_up.since, 2),
        )
        if step is CatchUpStep.READ_STORE:
            self._read_store(kinds)
        else:
            self._follow_other(newer, kinds, now)

    def _is_receiving(self, kinds):
        if self._feed.is_receiving():
            return True
        return any(mirror.is_receiving() for mirror in self._get_mirrors(kinds))

    def _get_mirrors(self, kinds):
        return [mirror for mirror in self._mirrors if mirror.kind in kinds]

    def _follow_peer(self, sources, access_by_vm, now):
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
            sources, trusted, vm_by_host.get(current, current), remote_sources
        )
        peer = self._fleet.peer_by_vm.get(source)
        self._feed.follow(peer.host if peer else source)

    def _is_trusted(self, host, now):
        return now >= self._distrusted_until_by_host.get(host, 0.0)

    def _follow_other(self, newer, kinds, now):
        """Follow the VM at ``newer`` to get the changes that were missed."""
        if self._feed.source:
            self._distrusted_until_by_host[self._feed.source] = now + FAILED_BACKOFF_S
        self._distrusted_until_by_host.pop(newer, None)
        for mirror in self._get_mirrors(kinds):
            if mirror.is_following():
                mirror.stop_following()
                mirror.follow()
        self._feed.follow("")
        self._feed.follow(newer)

    def _read_store(self, kinds):
        """Read the missed kinds once; the source is followed meanwhile."""
        if self._store_read and not self._store_read.done():
            return
        mirrors = [m for m in self._get_mirrors(kinds) if not m.is_following()]
        self._store_read = self.tasks.run(_read_lists(mirrors))

    def _find_missed_marks(self):
        """Return the marks that some VM has reached and this one has not."""
        own = self._get_own_marks()
        newest = self._get_newest_marks()
        return [mark for mark in own if newest.get(mark, 0) > own[mark]]

    def _get_own_marks(self):
        """Return what this VM has reached, by ``Mark``."""
        own = {Mark(m.kind, MarkType.REVISION): m.revision for m in self._mirrors}
        for mirror in self._mirrors:
            if mirror.is_ordered:
                own[Mark(mirror.kind, MarkType.ORDER)] = mirror.order
        return own

    def _get_newest_marks(self):
        """Return the most that any other VM has reached, by ``Mark``."""
        newest = {}
        for marks in self._get_marks_by_host().values():
            for mark, number in marks.items():
                newest[mark] = max(newest.get(mark, 0), number)
        return newest

    def _get_marks_by_host(self):
        """Return what other VMs have reached, by IP address and ``Mark``."""
        digests = self._digests.digest_by_region.values()
        changed_at_by_host = {digest.source: digest.changed_at for digest in digests}
        for peer in self._fleet.peer_by_vm.values():
            changed_at_by_host[peer.host] = peer.changed_at
        order = list(self._get_own_marks())
        return {
            host: dict(zip(order, changed_at))
            for host, changed_at in changed_at_by_host.items()
        }

    def _choose_newer(self, missed):
        """Return the IP address of a VM to get the ``missed`` marks from.

        VMs that have reached all of them come before those that have some, and
        then those of the own region and those with a high capacity. The
        present source comes last. Equal ones are spread, so that the VMs that
        miss a change do not all ask the same one.
        """
        newest = self._get_newest_marks()
        marks_by_host = self._get_marks_by_host()
        region_peers = [
            peer
            for peer in self._fleet.peer_by_vm.values()
            if peer.region == self._own.region
        ]
        near = {peer.host for peer in region_peers}
        strong = {peer.host for peer in find_high_capacity(region_peers)}

        def count_newest(host):
            marks = marks_by_host[host]
            return sum(marks.get(mark, 0) >= newest[mark] for mark in missed)

        hosts = [host for host in marks_by_host if count_newest(host)]
        return max(
            rank(f"catch up {self._own.vm}", hosts),
            key=lambda host: (
                host != self._feed.source,
                count_newest(host),
                host in near,
                host in strong,
            ),
            default="",
        )

    def _source_has(self, missed):
        """Return whether the source has reached all ``missed`` marks."""
        newest = self._get_newest_marks()
        marks = self._get_marks_by_host().get(self._feed.source, {})
        return all(marks.get(mark, 0) >= newest[mark] for mark in missed)


async def _read_lists(mirrors):
    for mirror in mirrors:
        await mirror.read_list()


def _now():
    return asyncio.get_running_loop().time()
