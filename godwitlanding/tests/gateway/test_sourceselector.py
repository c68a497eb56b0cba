"""When a VM reads the store itself, and whom it follows else."""

import asyncio
from types import SimpleNamespace

import pytest

from godwitlanding.decisions.digest import Digest, Digests
from godwitlanding.decisions.fleet import Fleet
from godwitlanding.decisions.reading import BEHIND_S, START_WAIT_S, get_order
from godwitlanding.gateway.sourceselector import CHECK_INTERVAL_S, SourceSelector
from godwitlanding.tests.support_fleet import CAPACITY, make_gossip_message, make_peer

pytestmark = pytest.mark.looptime

VMS = [f"vm-{number}" for number in range(4)]
ORDER = get_order([make_peer(vm) for vm in VMS])
DIGEST = Digest("q", 3, (), {}, (), "far", (0, 0))


class StandinMirror:
    """A mirror that answers as the test says."""

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
        self._follows = False

    async def list_once(self, reached=None):
        self.reached = await reached if reached else None
        return self.answers

    def was_just_listed(self):
        return False

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
    """Keeps whom it was told to follow."""

    def __init__(self):
        self.source = ""
        self.reads = None
        self.source_reads = False

    def follow(self, host):
        self.source = host

    def has_reading_source(self):
        return self.source_reads


class SelectorHarness:
    """The reader of one VM of four, and what its neighbours say."""

    def __init__(self, vm):
        identity = SimpleNamespace(
            vm=vm, region="r", caller_address=("own", 1), capacity=CAPACITY
        )
        self.fleet = Fleet()
        self.digests = Digests("r")
        self.feed = StandinFeed()
        self.mirrors = [StandinMirror("a"), StandinMirror("b")]
        self.reader = SourceSelector(
            identity,
            self.fleet,
            self.digests,
            self.feed,
            self.mirrors,
        )
        self._vm = vm
        self._sequence = 0
        self.receive_states()

    def receive_states(self, reading=(), failed=(), changed_at=(5, 5), silent=()):
        """Every neighbour tells its state."""
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
            self.fleet.hear(message, f"{vm}:1", 0.0)

    async def __aenter__(self):
        await self.reader.start(None)
        await asyncio.sleep(START_WAIT_S + 2 * CHECK_INTERVAL_S)
        return self

    async def __aexit__(self, *error):
        await self.reader.stop()


async def test_first_ones_read_and_the_others_follow_them():
    async with SelectorHarness(ORDER[1]) as harness:
        assert harness.reader.reads()
        assert harness.feed.source == ""
    async with SelectorHarness(ORDER[2]) as harness:
        harness.receive_states(reading=ORDER[:2])
        await asyncio.sleep(0.3)
        assert not harness.reader.reads()
        assert harness.feed.source == ORDER[0]


async def test_reader_that_is_lost_is_replaced():
    # A reader loses its power. The next VM in the order has to read in its
    # place, and believes what the store does not list: nobody says that the
    # store was away.
    async with SelectorHarness(ORDER[2]) as harness:
        harness.receive_states(reading=ORDER[:2])
        await asyncio.sleep(0.3)
        harness.receive_states(reading=ORDER[1:2], silent=ORDER[:1])
        await asyncio.sleep(0.3)
        assert harness.reader.reads()
        assert harness.mirrors[0].lost_at is None


async def test_vm_that_reads_after_an_outage_doubts_removals():
    # The store was away for seconds and has dropped the entries of upstreams
    # that could not renew them. A VM that reads it first then must know.
    async with SelectorHarness(ORDER[2]) as harness:
        harness.receive_states(reading=ORDER[:2])
        await asyncio.sleep(0.3)
        harness.receive_states(failed=ORDER[:2])
        await asyncio.sleep(2.0)
        assert harness.reader.reads()
        assert harness.mirrors[0].lost_at is not None


async def test_refused_vm_lets_others_read():
    async with SelectorHarness(ORDER[2]) as harness:
        harness.receive_states(failed=ORDER[:2])
        harness.mirrors[0].answers = False
        await asyncio.sleep(0.5)
        assert harness.reader.get_store_state().failed
        assert not harness.mirrors[0].is_following()
        # One call told that the store does not answer.
        assert harness.mirrors[1].starts == 0


async def test_first_in_the_order_goes_on_asking():
    async with SelectorHarness(ORDER[0]) as harness:
        harness.mirrors[0].answers = False
        harness.mirrors[0].stop_following()
        await asyncio.sleep(1.0)
        assert harness.mirrors[0].is_following()
        assert harness.reader.get_store_state().failed


async def test_deaf_reader_takes_what_others_know():
    # A watch hangs on a connection that went silent, and the reader hears of
    # nothing. Its neighbours would go on sending to an upstream that left.
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


async def test_region_whose_readers_are_deaf_learns_from_another():
    # The store hears all readers of a region and answers none, while others
    # are served. Only a digest tells that there was a change.
    async with SelectorHarness(ORDER[3]) as harness:
        harness.receive_states(reading=ORDER[:2])
        await asyncio.sleep(0.3)
        harness.digests.hear(DIGEST._replace(changed_at=(7, 5)), True, 0.0)
        await asyncio.sleep(BEHIND_S + 2 * CHECK_INTERVAL_S)
        assert harness.feed.source == "far"


async def test_source_that_missed_a_change_is_not_trusted_again_at_once():
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
async def test_fed_vm_is_as_fresh_as_its_source(source_reads):
    # A VM that does not know whether it missed a change may not say that a
    # route does not exist.
    async with SelectorHarness(ORDER[3]) as harness:
        harness.receive_states(reading=ORDER[:2])
        harness.feed.source_reads = source_reads
        await asyncio.sleep(0.3)
        assert harness.reader.is_fresh() is source_reads


async def test_one_mirror_asks_for_all_while_the_store_is_away():
    # The store is busy, and every VM that reads asks again for each kind.
    # What it has left to give goes into refusals.
    async with SelectorHarness(ORDER[0]) as harness:
        first, second = harness.mirrors
        first.answers = False
        await asyncio.sleep(0.5)
        assert first.is_following()
        assert not second.is_following()
        first.answers = True
        await asyncio.sleep(0.5)
        assert second.is_following()


async def test_what_hung_in_an_outage_is_asked_for_again():
    # A watch that was sent in an outage is never answered. The first mirror
    # has noticed the outage; the others must not wait for their own.
    async with SelectorHarness(ORDER[0]) as harness:
        first, second = harness.mirrors
        starts = second.starts
        first.answers = False
        await asyncio.sleep(0.5)
        first.answers = True
        await asyncio.sleep(0.5)
        assert second.starts == starts + 1


@pytest.mark.parametrize(("answers", "reached"), [(True, 5), (False, None)])
async def test_old_lists_are_held_against_the_fresh_ones(answers, reached):
    harness = SelectorHarness(ORDER[0])
    first, second = harness.mirrors
    second.begins_old = True
    first.answers = answers
    async with harness:
        assert second.reached == reached
