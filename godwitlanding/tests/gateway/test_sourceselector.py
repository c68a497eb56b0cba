"""When a VM reads the store itself, and which VM it follows otherwise."""

import asyncio
from types import SimpleNamespace

import pytest

from godwitlanding.base.metrics import Counters
from godwitlanding.decisions.digest import Digest, Digests
from godwitlanding.decisions.fleet import Fleet
from godwitlanding.decisions.storereaders import BEHIND_S, START_WAIT_S, rank_readers
from godwitlanding.gateway.sourceselector import (
    CHECK_INTERVAL_S,
    Mark,
    MarkType,
    SourceSelector,
)
from godwitlanding.tests.support_fleet import CAPACITY, make_gossip_message, make_peer

pytestmark = pytest.mark.looptime

MISSED = Mark("b", MarkType.REVISION)
VMS = [f"vm-{number}" for number in range(4)]
ORDER = rank_readers([make_peer(vm) for vm in VMS])
DIGEST = Digest("q", 3, (), {}, (), "far", (0, 0))


class StandinMirror:
    """A mirror whose store answers if ``answers`` is set."""

    def __init__(self, kind):
        self.kind = kind
        self.revision = 5
        self.changed_at = 5
        self.answers = True
        self.has_answered = False
        self.is_lost = False
        self.starts = 0
        self.lost_at = None
        self.begins_old = False
        self.is_ordered = kind == "a"
        self.order = 5
        self._follows = False
        self.receives = False
        self.reads = 0

    async def list_once(self, reached=None):
        self.reached = await reached if reached else None
        return self.answers

    def was_just_listed(self):
        return False

    def is_receiving(self):
        return self.receives

    async def read_list(self):
        self.reads += 1

    def is_following(self):
        return self._follows

    def follow(self, lost_at=None):
        if not self._follows:
            self._follows = True
            self.starts += 1
            self.lost_at = lost_at
        self.has_answered = self.answers
        self.is_lost = not self.answers

    def stop_following(self):
        self._follows = False
        self.has_answered = False
        self.is_lost = False


class StandinFeed:
    """A feed that only keeps its source."""

    def __init__(self):
        self.source = ""
        self.is_reading = None
        self.source_reads = False
        self.receives = False

    def is_receiving(self):
        return self.receives

    def follow(self, host):
        self.source = host

    def has_reading_source(self):
        return self.source_reads


class SelectorHarness:
    """The source selector of one of four VMs, with its peers' states."""

    def __init__(self, vm):
        identity = SimpleNamespace(
            vm=vm, region="r", caller_address=("own", 1), capacity=CAPACITY
        )
        self.fleet = Fleet()
        self.digests = Digests("r")
        self.feed = StandinFeed()
        self.counters = Counters()
        self.mirrors = [StandinMirror("a"), StandinMirror("b")]
        self.selector = SourceSelector(
            identity,
            self.fleet,
            self.digests,
            self.feed,
            self.mirrors,
            self.counters,
        )
        self._vm = vm
        self._sequence = 0
        self.receive_states()

    def receive_states(self, reading=(), failed=(), changed_at=(5, 5), silent=()):
        """Receive a message from every peer that is not ``silent``."""
        self._sequence += 1
        for vm in VMS:
            if vm == self._vm:
                continue
            if vm in silent:
                self.fleet.peer_by_vm.pop(vm, None)
                continue
            message = make_gossip_message(
                vm,
                sequence=self._sequence,
                reads=vm in reading,
                failed=vm in failed,
                changed_at=changed_at if vm in reading else (5, 5),
            )
            self.fleet.receive(message, f"{vm}:1", 0.0)

    async def __aenter__(self):
        await self.selector.start(None)
        await asyncio.sleep(START_WAIT_S + 2 * CHECK_INTERVAL_S)
        return self

    async def __aexit__(self, *error):
        await self.selector.stop()


async def test_first_vms_read_and_the_others_follow_them():
    async with SelectorHarness(ORDER[1]) as harness:
        assert harness.selector.is_reading()
        assert harness.feed.source == ""
    async with SelectorHarness(ORDER[2]) as harness:
        harness.receive_states(reading=ORDER[:2])
        await asyncio.sleep(0.3)
        assert not harness.selector.is_reading()
        assert harness.feed.source == ORDER[0]


async def test_lost_reader_is_replaced():
    # A reader loses power. The next VM in the order has to read in its place.
    # It applies removals at once, since no VM has reported the store as
    # unreachable.
    async with SelectorHarness(ORDER[2]) as harness:
        harness.receive_states(reading=ORDER[:2])
        await asyncio.sleep(0.3)
        harness.receive_states(reading=ORDER[1:2], silent=ORDER[:1])
        await asyncio.sleep(0.3)
        assert harness.selector.is_reading()
        assert harness.mirrors[0].lost_at is None


async def test_vm_that_reads_after_an_outage_delays_removals():
    # The store was unreachable for seconds and has dropped the entries of
    # upstreams that could not renew them. A VM that begins to read then must
    # know of the outage.
    async with SelectorHarness(ORDER[2]) as harness:
        harness.receive_states(reading=ORDER[:2])
        await asyncio.sleep(0.3)
        harness.receive_states(failed=ORDER[:2])
        await asyncio.sleep(2.0)
        assert harness.selector.is_reading()
        assert harness.mirrors[0].lost_at is not None


async def test_vm_whose_calls_fail_lets_others_read():
    async with SelectorHarness(ORDER[2]) as harness:
        harness.receive_states(failed=ORDER[:2])
        harness.mirrors[0].answers = False
        await asyncio.sleep(0.5)
        assert harness.selector.get_store_state().failed
        assert not harness.mirrors[0].is_following()
        # A single call has shown that the store does not answer.
        assert harness.mirrors[1].starts == 0


async def test_first_vm_in_the_order_keeps_retrying():
    async with SelectorHarness(ORDER[0]) as harness:
        harness.mirrors[0].answers = False
        harness.mirrors[0].stop_following()
        await asyncio.sleep(1.0)
        assert harness.mirrors[0].is_following()
        assert harness.selector.get_store_state().failed


async def test_reader_that_misses_changes_follows_another_vm():
    # A watch hangs on a dead connection, so the reader receives no changes.
    # Its followers would go on sending requests to an upstream that has left.
    async with SelectorHarness(ORDER[0]) as harness:
        starts = [mirror.starts for mirror in harness.mirrors]
        harness.receive_states(reading=ORDER[1:2], changed_at=(5, 9))
        await asyncio.sleep(BEHIND_S + 2 * CHECK_INTERVAL_S)
        assert harness.feed.source == ORDER[1]
        assert [mirror.starts for mirror in harness.mirrors] == [
            starts[0],
            starts[1] + 1,
        ]
        harness.mirrors[1].revision = 9
        await asyncio.sleep(0.3)
        assert harness.feed.source == ""


async def test_region_whose_readers_miss_changes_follows_another_region():
    # The store accepts the calls of all readers of a region and answers none,
    # while it serves other regions. Only a digest shows that it has changed.
    async with SelectorHarness(ORDER[3]) as harness:
        harness.receive_states(reading=ORDER[:2])
        await asyncio.sleep(0.3)
        harness.digests.receive(DIGEST._replace(changed_at=(7, 5)), True, 0.0)
        await asyncio.sleep(BEHIND_S + 2 * CHECK_INTERVAL_S)
        assert harness.feed.source == "far"


async def test_source_that_missed_a_change_is_avoided_for_a_while():
    async with SelectorHarness(ORDER[3]) as harness:
        harness.receive_states(reading=ORDER[:2])
        await asyncio.sleep(0.3)
        assert harness.feed.source == ORDER[0]
        harness.receive_states(reading=ORDER[1:2], changed_at=(9, 5))
        harness.receive_states(reading=ORDER[:2], changed_at=(9, 5))
        harness.fleet.peer_by_vm[ORDER[0]] = make_peer(
            ORDER[0], address=f"{ORDER[0]}:1", reads=True, changed_at=(5, 5)
        )
        await asyncio.sleep(BEHIND_S + 2 * CHECK_INTERVAL_S)
        assert harness.feed.source == ORDER[1]
        harness.mirrors[0].revision = 9
        await asyncio.sleep(0.5)
        assert harness.feed.source == ORDER[1]


@pytest.mark.parametrize("source_reads", [True, False])
async def test_follower_is_as_fresh_as_its_source(source_reads):
    # A VM that may have missed changes must not reply that a route does not
    # exist.
    async with SelectorHarness(ORDER[3]) as harness:
        harness.receive_states(reading=ORDER[:2])
        harness.feed.source_reads = source_reads
        await asyncio.sleep(0.3)
        assert harness.selector.is_fresh() is source_reads


async def test_one_mirror_probes_an_unreachable_store_for_all():
    # The store is overloaded, and every reader retries for each kind. The
    # store's remaining capacity goes into rejections.
    async with SelectorHarness(ORDER[0]) as harness:
        first, second = harness.mirrors
        first.answers = False
        await asyncio.sleep(0.5)
        assert first.is_following()
        assert not second.is_following()
        first.answers = True
        await asyncio.sleep(0.5)
        assert second.is_following()


async def test_watches_that_hung_in_an_outage_are_sent_again():
    # A watch that was sent in an outage is never answered. The first mirror
    # has detected the outage; the others must not wait for their own timeouts.
    async with SelectorHarness(ORDER[0]) as harness:
        first, second = harness.mirrors
        starts = second.starts
        first.answers = False
        await asyncio.sleep(0.5)
        first.answers = True
        await asyncio.sleep(0.5)
        assert second.starts == starts + 1


@pytest.mark.parametrize(("answers", "reached"), [(True, 5), (False, None)])
async def test_stale_lists_are_checked_against_the_fresh_ones(answers, reached):
    harness = SelectorHarness(ORDER[0])
    first, second = harness.mirrors
    second.begins_old = True
    first.answers = answers
    async with harness:
        assert second.reached == reached


@pytest.mark.parametrize("receiver", ["feed", "mirror"])
async def test_transfer_in_progress_is_not_abandoned(receiver):
    # Guards against a large change that is dropped half-way and begun anew
    # for ever, since it takes longer than small ones.
    async with SelectorHarness(ORDER[3]) as harness:
        harness.receive_states(reading=ORDER[:2])
        await asyncio.sleep(0.3)
        receives = harness.feed if receiver == "feed" else harness.mirrors[1]
        receives.receives = True
        for _ in range(20):
            harness.receive_states(reading=ORDER[:2], changed_at=(5, 9))
            await asyncio.sleep(0.2)
        assert harness.feed.source == ORDER[0]
        assert harness.mirrors[1].reads == 0


async def test_vm_that_gets_nothing_from_others_reads_the_store():
    # Guards against a VM that is behind while the links of all VMs that have
    # the change are full.
    async with SelectorHarness(ORDER[3]) as harness:
        harness.receive_states(reading=ORDER[:2])
        await asyncio.sleep(0.3)
        harness.receive_states(reading=ORDER[:2], changed_at=(5, 9))
        await asyncio.sleep(3.0)
        assert [mirror.reads for mirror in harness.mirrors] == [0, 1]
        assert harness.counters.get("catch_ups", step="read_store") == 1


async def test_vms_that_miss_a_change_ask_different_vms():
    # Guards against a VM that all VMs of a region ask for a large change.
    sources = set()
    for number in range(20):
        harness = SelectorHarness(f"own-{number}")
        harness.receive_states(reading=VMS, changed_at=(5, 9))
        sources.add(harness.selector._choose_newer([MISSED]))
    assert len(sources) == len(VMS)


async def test_source_that_brings_nothing_is_asked_last():
    harness = SelectorHarness("own")
    for source in VMS:
        harness.feed.source = source
        harness.receive_states(reading=VMS, changed_at=(5, 9))
        assert harness.selector._choose_newer([MISSED]) != source


async def test_vm_with_an_older_value_follows_one_with_a_newer():
    # Guards against a VM that serves by an earlier configuration since it has
    # started after a delayed write brought that back.
    async with SelectorHarness(ORDER[0]) as harness:
        assert harness.feed.source == ""
        harness.receive_states(reading=ORDER[1:2], changed_at=(5, 5, 7))
        await asyncio.sleep(BEHIND_S + 2 * CHECK_INTERVAL_S)
        assert harness.feed.source == ORDER[1]
        assert harness.selector.get_store_state().changed_at == (5, 5, 5)


async def test_vm_knows_which_kind_it_misses_while_a_change_arrives():
    # Guards against 404 for a route that is added by a configuration on its
    # way, and against keys that are trusted though they may be revoked by it.
    async with SelectorHarness(ORDER[3]) as harness:
        harness.receive_states(reading=ORDER[:2])
        harness.feed.source_reads = harness.feed.receives = True
        await asyncio.sleep(0.3)
        assert not harness.selector.misses("b")
        harness.receive_states(reading=ORDER[:2], changed_at=(5, 9))
        await asyncio.sleep(2.0)
        assert harness.selector.misses("b")
        assert not harness.selector.misses("a")
        assert harness.selector.get_staleness_s("b") > 1.5
        assert harness.selector.get_staleness_s("a") < 0.3
        harness.mirrors[1].revision = 9
        await asyncio.sleep(0.3)
        assert not harness.selector.misses("b")
        assert harness.selector.get_staleness_s("b") < 0.3


async def test_vm_that_keeps_up_with_frequent_changes_is_not_behind():
    # Guards against a VM that drops its source as some VM knows of a newer
    # change at every look, while changes come many times a second.
    async with SelectorHarness(ORDER[3]) as harness:
        harness.receive_states(reading=ORDER[:2])
        await asyncio.sleep(0.3)
        for revision in range(6, 40):
            harness.receive_states(reading=ORDER[:2], changed_at=(5, revision + 1))
            harness.mirrors[1].revision = revision
            await asyncio.sleep(0.1)
        assert harness.feed.source == ORDER[0]


async def test_vm_that_loses_its_source_while_it_is_behind_follows_another_at_once():
    # Guards against a VM that waits for its next attempt without any source.
    async with SelectorHarness(ORDER[3]) as harness:
        harness.receive_states(reading=ORDER[:2], changed_at=(5, 9))
        await asyncio.sleep(3.0)
        harness.receive_states(reading=ORDER[:2], changed_at=(5, 9))
        harness.feed.source = ""
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        assert harness.feed.source
