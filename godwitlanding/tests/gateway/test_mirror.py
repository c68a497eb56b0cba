"""How a kind of the store's objects is kept in step through faults."""

import asyncio

import pytest
from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.storetypes import (
    Snapshot,
    StoredObject,
    WatchBatch,
    WatchEvent,
    make_version,
)
from godwitlanding.decisions.lapse import BACK_WITHIN_S, RETURNED_S, LapseGuard
from godwitlanding.gateway.changeset import ChangeSet
from godwitlanding.gateway.mirror import Mirror

pytestmark = pytest.mark.looptime

KIND = "things"


def make_object(name, version=1, value=b"v"):
    return StoredObject(KIND, name, version, value)


class ScriptedStore:
    """Answers each call with the next step of a script, then waits for ever.

    A step is ``(call, answer)``; a call that the script does not expect
    next fails the test.
    """

    def __init__(self, *steps):
        self._steps = list(steps)
        self.calls = []

    async def snapshot(self, kind, allow_stale=False):
        return await self._next("old snapshot" if allow_stale else "snapshot", None)

    async def watch(self, kind, after, timeout_s):
        return await self._next("watch", after)

    async def _next(self, call, after):
        self.calls.append((call, after))
        if not self._steps:
            await asyncio.Event().wait()
        expected, answer = self._steps.pop(0)
        assert call == expected, self.calls
        if callable(answer):
            return await answer()
        return answer


def listed(version, *objects):
    return "snapshot", Ok(Snapshot(version, objects))


def watched(version, *events):
    return "watch", Ok(WatchBatch(version, events))


def failed(call, code):
    return call, Err(make_refusal(code))


def after_s(seconds, step):
    call, answer = step

    async def wait():
        await asyncio.sleep(seconds)
        return answer

    return call, wait


def make_outage_steps():
    """Return an outage of 3 s after which only ``a`` is back at once."""
    return [
        listed(5, make_object("a"), make_object("b")),
        failed("watch", Code.PLATFORM_UNAVAILABLE),
        after_s(3, failed("snapshot", Code.PLATFORM_UNAVAILABLE)),
        listed(8),
        watched(9, WatchEvent(make_object("a", 9), False)),
    ]


def make_mirror(*steps, guard=None, **keywords):
    """Return a mirror of a scripted store, the store, and what is held."""
    store = ScriptedStore(*steps)
    held = {}

    def apply(name, version, value):
        if value is None:
            held.pop(name, None)
        else:
            held[name] = value

    return Mirror(store, KIND, apply, guard, **keywords), store, held


async def follow(seconds, *steps, guard=None):
    """Return what is held after a time, and the calls that were made."""
    mirror, store, held = make_mirror(*steps, guard=guard)
    mirror.follow()
    await asyncio.sleep(seconds)
    await mirror.stop()
    return held, store.calls


async def test_watch_goes_on_from_where_the_last_one_ended():
    event = WatchEvent(make_object("b", 9), False)
    held, calls = await follow(
        5, listed(5, make_object("a")), watched(9, event), watched(12)
    )
    assert held == {"a": b"v", "b": b"v"}
    assert calls == [("snapshot", None), ("watch", 5), ("watch", 9), ("watch", 12)]


@pytest.mark.parametrize(
    "code",
    [Code.PLATFORM_UNAVAILABLE, Code.RATE_LIMITED, Code.WATCH_EXPIRED],
    ids=lambda code: code.name,
)
async def test_cut_watch_is_followed_by_a_list(code):
    # The store drops its history and cuts the watches while a zone is being
    # evacuated. A watch that is sent again from the old revision is taken,
    # but says nothing until the next change, many seconds later; meanwhile
    # the VM goes on sending requests to the evacuated zone.
    held, calls = await follow(
        5,
        listed(5, make_object("a")),
        failed("watch", code),
        listed(8, make_object("a"), make_object("evacuated", 7)),
    )
    assert "evacuated" in held
    assert calls[-1] == ("watch", 8)


async def test_list_drops_what_vanished_while_nothing_was_heard():
    # Objects are removed while the store cannot be reached. If the list that
    # follows did not drop them, callers would be sent to what is gone.
    held, _ = await follow(
        5,
        listed(5, make_object("a"), make_object("b")),
        failed("watch", Code.WATCH_EXPIRED),
        listed(8, make_object("a")),
    )
    assert held == {"a": b"v"}


async def test_older_version_never_replaces_a_newer_one():
    # A list may be answered by a part of the store that lags. Taking its
    # older version would undo a change that is in force.
    held, _ = await follow(
        5,
        listed(9, make_object("a", 9, b"new")),
        failed("watch", Code.WATCH_EXPIRED),
        listed(9, make_object("a", 4, b"old")),
    )
    assert held == {"a": b"new"}


async def test_entries_that_lapsed_in_an_outage_are_kept_until_they_are_back():
    # Upstreams cannot renew their entries while the store is down, and the
    # store drops them. Believed at once, every upstream would be out of use
    # at the moment when the store returns.
    steps = make_outage_steps()
    held, _ = await follow(4.5, *steps, guard=LapseGuard())
    assert held == {"a": b"v", "b": b"v"}


async def test_entries_that_are_not_back_in_time_are_gone():
    # The upstream ended during the outage. Kept for longer, its address
    # might belong to an upstream of another service.
    steps = make_outage_steps()
    steps.append(after_s(BACK_WITHIN_S + 0.1, watched(9)))
    held, _ = await follow(8, *steps, guard=LapseGuard())
    assert held == {"a": b"v"}


def whole(revision, *objects):
    changed_at = max((stored.version for stored in objects), default=0)
    return ChangeSet(revision, changed_at, objects, (), True)


# What is held when another VM's mirror tells first one thing, then another.
FEEDS = (
    pytest.param(
        [whole(5, make_object("a")), ChangeSet(7, 7, (make_object("b", 7),), ("a",))],
        {"b"},
        id="change by change",
    ),
    pytest.param(
        [whole(5, make_object("a"), make_object("b")), whole(9, make_object("b"))],
        {"b"},
        id="another source is further",
    ),
    pytest.param(
        [whole(9, make_object("a"), make_object("c", 8)), whole(5, make_object("a"))],
        {"a", "c"},
        id="another source has not heard of a new one",
    ),
    pytest.param(
        [whole(9), whole(5, make_object("a"))],
        set(),
        id="another source still holds what is gone",
    ),
    pytest.param(
        [
            whole(5, make_object("a")),
            ChangeSet(9, 9, (), ("a",)),
            whole(12, make_object("a", 11)),
        ],
        {"a"},
        id="gone and there again",
    ),
)


@pytest.mark.parametrize(("changes", "expected"), FEEDS)
async def test_sources_that_differ_never_take_a_mirror_back(changes, expected):
    # A VM is fed by one neighbour and then by another that is behind. If it
    # took its word, it would send to upstreams that have left.
    mirror, _, held = make_mirror()
    for change_set in changes:
        mirror.apply_change_set(change_set)
    assert set(held) == expected


async def test_store_that_lags_behind_the_feed_undoes_nothing():
    # A watch of the VM's own was held up on its way; a neighbour has told
    # meanwhile that the upstream came and left.
    event = WatchEvent(make_object("b", 7), False)
    mirror, _, held = make_mirror(listed(5), after_s(1, watched(7, event)))
    mirror.follow()
    await asyncio.sleep(0.5)
    mirror.apply_change_set(ChangeSet(9, 9, (), ("b",)))
    await asyncio.sleep(1)
    assert held == {}
    await mirror.stop()


def listed_old(version, *objects):
    return "old snapshot", Ok(Snapshot(version, objects))


async def test_mirror_that_began_with_an_old_list_reads_it_again():
    # Hundreds of VMs start at once and read lists that may be seconds old,
    # which costs the store little. One that then follows the store from what
    # it was told would never hear what changed in between.
    mirror, store, held = make_mirror(
        listed_old(9, make_object("a", 5), make_object("gone", 4)),
        listed(9, make_object("a", 5), make_object("b", 8)),
        begins_old=True,
    )
    assert await mirror.list_once()
    assert set(held) == {"a", "gone"}
    assert not mirror.was_just_listed()
    mirror.follow()
    await asyncio.sleep(1)
    assert set(held) == {"a", "b"}
    assert store.calls[1:] == [("snapshot", None), ("watch", 9)]
    await mirror.stop()


async def test_neighbour_makes_good_what_an_old_list_lacks():
    # The store says with an old list that all is known up to now. Taken at
    # its word, a change that the list lacks would be passed over when a
    # neighbour tells of it.
    mirror, _, held = make_mirror(
        listed_old(9, make_object("a", 5), make_object("gone", 4)), begins_old=True
    )
    await mirror.list_once()
    assert mirror.revision == 5
    mirror.apply_change_set(ChangeSet(9, 9, (make_object("b", 8),), ("gone",)))
    assert set(held) == {"a", "b"}


async def test_old_list_that_comes_late_undoes_nothing():
    # A neighbour has told all meanwhile.
    mirror, _, held = make_mirror(
        after_s(1, listed_old(9, make_object("gone", 4))), begins_old=True
    )
    reading = asyncio.create_task(mirror.list_once())
    await asyncio.sleep(0.5)
    mirror.apply_change_set(whole(9, make_object("a", 5)))
    assert await reading
    assert set(held) == {"a"}


def restored(revision):
    """Return a version after the store came back from an older copy."""
    return make_version(1, revision)


@pytest.mark.parametrize(
    "change",
    [
        pytest.param(
            whole(restored(4), make_object("a", restored(3), b"new")), id="whole"
        ),
        pytest.param(
            ChangeSet(restored(4), restored(3), (make_object("a", restored(3)),), ()),
            id="news",
        ),
    ],
)
async def test_neighbour_tells_that_the_store_was_restored(change_set):
    mirror, _, held = make_mirror()
    calls = []
    mirror.on_restored.append(lambda: calls.append(mirror.revision))
    mirror.apply_change_set(whole(9, make_object("a", 9, b"lost")))
    mirror.apply_change_set(change_set)
    mirror.apply_change_set(change_set)
    assert calls == [9]
    assert held == {"a": change_set.objects[0].value}
    # Another one has not noticed yet.
    mirror.apply_change_set(whole(12, make_object("a", 12, b"lost")))
    assert held == {"a": change_set.objects[0].value}
    assert mirror.revision == restored(4)


@pytest.mark.parametrize(
    ("reached", "expected"),
    [
        pytest.param(restored(20), {"lost"}, id="store has come that far"),
        pytest.param(restored(5), {"a"}, id="store has not"),
        pytest.param(None, {"lost"}, id="store does not answer"),
    ],
)
async def test_old_list_of_a_history_that_is_lost_is_read_again(reached, expected):
    # What it tells bears revisions that the store will give out again.
    mirror, _, held = make_mirror(
        listed_old(restored(9), make_object("lost", restored(9))),
        listed(restored(5), make_object("a", restored(3))),
        begins_old=True,
    )
    future = asyncio.get_running_loop().create_future()
    reading = asyncio.create_task(mirror.list_once(future))
    await asyncio.sleep(0.1)
    future.set_result(reached)
    assert await reading
    assert set(held) == expected


async def test_entry_that_is_gone_is_not_used_again_because_a_copy_holds_it():
    # An upstream left shortly before the store came back from an older copy.
    gone = WatchEvent(make_object("gone", 9), True)
    mirror, _, held = make_mirror(
        listed(8, make_object("gone", 3), make_object("a", 2)),
        watched(9, gone),
        failed("watch", Code.PLATFORM_UNAVAILABLE),
        listed(restored(4), make_object("gone", restored(3)), make_object("a", 2)),
        guard=LapseGuard(),
    )
    mirror.follow()
    await asyncio.sleep(RETURNED_S - 0.1)
    assert set(held) == {"a"}
    # The store would have dropped it by now.
    await asyncio.sleep(1.0)
    assert set(held) == {"a", "gone"}
    await mirror.stop()


async def test_entry_that_is_written_after_the_store_was_restored_counts_at_once():
    mirror, _, held = make_mirror(guard=LapseGuard())
    mirror.apply_change_set(whole(8, make_object("back", 3)))
    mirror.apply_change_set(whole(9))
    assert not held
    mirror.apply_change_set(whole(restored(4), make_object("back", restored(3))))
    assert not held
    written = make_object("back", restored(5))
    mirror.apply_change_set(ChangeSet(restored(5), restored(5), (written,), ()))
    assert set(held) == {"back"}
    await mirror.stop()


@pytest.mark.parametrize("expires", [True, False])
async def test_object_that_a_copy_lacks_stays_until_it_can_be_written_again(expires):
    # A zone is evacuated; the store comes back at once, from an older copy.
    mirror, _, held = make_mirror(
        listed(8, make_object("zone", 8)),
        failed("watch", Code.WATCH_EXPIRED),
        listed(restored(4)),
        after_s(
            1, watched(restored(5), WatchEvent(make_object("zone", restored(5)), False))
        ),
        after_s(5, watched(restored(5))),
        guard=LapseGuard(expires),
    )
    missing = []
    mirror.follow()
    for _ in range(40):
        await asyncio.sleep(0.1)
        if mirror.is_known and "zone" not in held:
            missing.append(True)
    assert not missing
    assert mirror.get_confirmed("zone")
    await mirror.stop()


async def test_object_is_not_confirmed_until_the_restored_store_has_it():
    mirror, _, _ = make_mirror(guard=LapseGuard(expires=False))
    mirror.apply_change_set(whole(8, make_object("own", 8)))
    assert mirror.get_confirmed("own")
    other = make_object("other", restored(3))
    mirror.apply_change_set(ChangeSet(restored(4), restored(3), (other,), ()))
    assert not mirror.get_confirmed("own")
    await mirror.stop()


async def test_first_list_of_a_store_that_was_restored_once_is_no_restoration():
    # The list that is read at the start is empty, and tells no version.
    mirror, _, _ = make_mirror(
        listed_old(restored(4)), listed(restored(5)), begins_old=True
    )
    calls = []
    mirror.on_restored.append(lambda: calls.append(mirror.revision))
    await mirror.list_once()
    mirror.follow()
    await asyncio.sleep(0.1)
    assert mirror.revision == restored(5)
    assert not calls


async def test_followers_are_told_each_change_once():
    event = WatchEvent(make_object("b", 9), False)
    gone = WatchEvent(make_object("a", 11), True)
    mirror, _, _ = make_mirror(
        listed(5, make_object("a")), watched(9, event), watched(10), watched(11, gone)
    )
    told = []
    mirror.on_change.append(lambda _, change_set: told.append(change_set))
    mirror.follow()
    await asyncio.sleep(3)
    assert [(c.revision, [o.name for o in c.objects], c.removed) for c in told] == [
        (5, ["a"], ()),
        (9, ["b"], ()),
        (11, [], ("a",)),
    ]
    assert (mirror.revision, mirror.changed_at) == (11, 11)
    await mirror.stop()


async def test_object_that_comes_and_goes_in_one_batch_is_gone():
    came = WatchEvent(make_object("b", 8), False)
    gone = WatchEvent(make_object("b", 9), True)
    held, _ = await follow(3, listed(5), watched(9, came, gone))
    assert held == {}
    held, _ = await follow(
        3, listed(5, make_object("b", 4)), watched(9, gone, came._replace())
    )
    assert held == {"b": b"v"}
