"""Replication of the store's objects between VMs."""

import asyncio
from types import SimpleNamespace

import pytest

from godwitlanding.base.metrics import Counters
from godwitlanding.base.storetypes import StoredObject
from godwitlanding.gateway.changeset import ChangeSet
from godwitlanding.gateway.feed import Feed
from godwitlanding.gateway.followers import MAX_PART_BYTES
from godwitlanding.gateway.mirror import Mirror
from godwitlanding.tests.tools.network import claim_address_prefix

KIND = "things"
PORT = 7540


def make_object(name, version=1, value=b"v"):
    return StoredObject(KIND, name, version, value)


class Vm:
    """A feed with one mirror that is not updated in any other way."""

    def __init__(self, name, ip):
        self.held = {}
        self.ip = ip
        identity = SimpleNamespace(
            vm=name, ip=ip, availability_zone="a1", peer_port=PORT
        )
        self.mirror = Mirror(None, KIND, self._apply)
        self.feed = Feed(identity, [self.mirror], Counters())

    def _apply(self, name, version, value):
        if value is None:
            self.held.pop(name, None)
        else:
            self.held[name] = value


@pytest.fixture
async def vms():
    prefix = claim_address_prefix()
    vms = [Vm(f"vm-{number}", f"{prefix}{100 + number}") for number in range(3)]
    for vm in vms:
        await vm.feed.start(None)
    yield vms
    for vm in vms:
        await vm.feed.stop()


async def wait_until(check, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not check():
            await asyncio.sleep(0.01)


async def test_follower_receives_existing_objects_and_changes(vms):
    source, fed, _ = vms
    source.mirror.apply_change_set(ChangeSet(5, 5, (make_object("a"),), (), True))
    fed.feed.follow(source.ip)
    await wait_until(lambda: fed.held == {"a": b"v"})
    assert fed.mirror.revision == 5
    source.mirror.apply_change_set(ChangeSet(8, 8, (make_object("b", 8),), ("a",)))
    await wait_until(lambda: fed.held == {"b": b"v"})


async def test_follower_forwards_changes(vms):
    # A follower has a follower itself, as after an outage in which one VM of a
    # region has followed a VM of another region.
    first, second, third = vms
    third.feed.follow(second.ip)
    second.feed.follow(first.ip)
    await wait_until(lambda: third.feed.source and second.feed.source)
    first.mirror.apply_change_set(ChangeSet(5, 5, (make_object("a"),), (), True))
    await wait_until(lambda: third.held == {"a": b"v"})


async def test_large_state_is_sent_in_parts(vms):
    source, fed, _ = vms
    fed.mirror.apply_change_set(ChangeSet(3, 3, (make_object("old"),), (), True))
    value = b"x" * (MAX_PART_BYTES // 2)
    objects = tuple(make_object(f"n{number}", 4, value) for number in range(5))
    source.mirror.apply_change_set(ChangeSet(5, 5, objects, (), True))
    fed.feed.follow(source.ip)
    await wait_until(lambda: len(fed.held) == 5 and "old" not in fed.held)


async def test_up_to_date_follower_is_sent_nothing(vms):
    source, fed, _ = vms
    change_set = ChangeSet(5, 5, (make_object("a"),), (), True)
    source.mirror.apply_change_set(change_set)
    fed.mirror.apply_change_set(change_set)
    taken = []
    fed.mirror.apply_change_set = taken.append
    fed.feed.follow(source.ip)
    source.feed.is_reading = lambda: True
    await wait_until(fed.feed.has_reading_source)
    assert taken == []


async def test_stopped_source_is_dropped(vms):
    source, fed, _ = vms
    source.feed.is_reading = lambda: True
    fed.feed.follow(source.ip)
    await wait_until(fed.feed.has_reading_source)
    await source.feed.stop()
    await wait_until(lambda: not fed.feed.source)
    assert not fed.feed.has_reading_source()


async def test_silent_source_is_dropped(vms):
    # The source's VM hangs while its connection stays open. The follower would
    # go on with stale state for as long as that lasts.
    source, fed, _ = vms
    source.feed.is_reading = lambda: True
    fed.feed.follow(source.ip)
    await wait_until(fed.feed.has_reading_source)
    await source.feed.tasks.stop()
    await wait_until(lambda: not fed.feed.has_reading_source())


async def test_source_reports_that_it_no_longer_reads_the_store(vms):
    source, fed, _ = vms
    source.feed.is_reading = lambda: True
    fed.feed.follow(source.ip)
    await wait_until(fed.feed.has_reading_source)
    source.feed.is_reading = lambda: False
    await wait_until(lambda: not fed.feed.has_reading_source())
    assert fed.feed.source == source.ip


async def test_unreachable_source_is_dropped(vms):
    fed = vms[0]
    fed.feed.follow(vms[0].ip[:-3] + "199")
    await wait_until(lambda: not fed.feed.source)


async def test_updates_of_the_former_source_are_ignored(vms):
    first, second, fed = vms
    fed.feed.follow(first.ip)
    await wait_until(lambda: first.feed._follower_by_channel)
    fed.feed.follow(second.ip)
    await wait_until(lambda: second.feed._follower_by_channel)
    first.mirror.apply_change_set(ChangeSet(5, 5, (make_object("a"),), (), True))
    second.mirror.apply_change_set(ChangeSet(6, 6, (make_object("b", 6),), (), True))
    await wait_until(lambda: fed.held)
    await asyncio.sleep(0.1)
    assert fed.held == {"b": b"v"}


async def test_entry_dropped_without_a_change_in_the_store_is_removed(vms):
    # After an outage a source drops an entry that did not reappear, which does
    # not change its revision. A VM that was not following at that moment would
    # go on sending to an address that may belong to another service by then.
    source, fed, _ = vms
    change_set = ChangeSet(5, 5, (make_object("a"), make_object("b")), (), True)
    source.mirror.apply_change_set(change_set)
    fed.mirror.apply_change_set(change_set)
    source.mirror._drop("a")
    fed.feed.follow(source.ip)
    await wait_until(lambda: fed.held == {"b": b"v"})


async def test_source_whose_following_fails_is_dropped(vms):
    # Guards against a VM that believes for good that it follows a reading VM:
    # an unexpected error ended the task that would notice the loss.
    source, fed, _ = vms
    source.feed.is_reading = lambda: True
    fed.feed.follow(source.ip)
    await wait_until(fed.feed.has_reading_source)
    fed.feed._channel = None
    await wait_until(lambda: not fed.feed.source)
    assert not fed.feed.has_reading_source()
    fed.feed.follow(source.ip)
    await wait_until(fed.feed.has_reading_source)


async def test_change_in_several_parts_is_applied_as_a_whole(vms):
    # Guards against objects of a later part that are taken for known ones, as
    # the first part has the revision of all.
    source, fed, _ = vms
    fed.feed.follow(source.ip)
    await wait_until(lambda: source.feed.get_status()["fed"])
    value = b"x" * (MAX_PART_BYTES // 2)
    objects = tuple(make_object(f"n{number}", 4, value) for number in range(5))
    source.mirror.apply_change_set(ChangeSet(3, 3, (make_object("a"),), (), True))
    source.mirror.apply_change_set(ChangeSet(5, 5, objects, ()))
    await wait_until(lambda: len(fed.held) == 6)


@pytest.mark.parametrize("follows_late", [False, True])
async def test_changes_that_pile_up_are_sent_as_one(vms, follows_late):
    # Guards against versions that pile up in front of a slow follower.
    source, fed, _ = vms
    received = []
    original = fed.mirror.apply_change_set
    fed.mirror.apply_change_set = lambda c: (received.append(c), original(c))
    if not follows_late:
        fed.feed.follow(source.ip)
        await wait_until(lambda: source.feed.get_status()["fed"])
    for revision in range(2, 200):
        name = f"n{revision % 3}"
        objects = (make_object(name, revision, b"%d" % revision),)
        removed = ("n0",) if revision == 199 else ()
        source.mirror.apply_change_set(
            ChangeSet(revision, revision, objects, removed, revision == 2)
        )
    fed.feed.follow(source.ip)
    await wait_until(lambda: fed.mirror.revision == 199)
    assert fed.held == source.held == {"n1": b"199", "n2": b"197"}
    assert len(received) == 1
