"""Mirrors of the store's objects under faults of the store."""

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
from godwitlanding.decisions.removalguard import (
    REWRITE_WITHIN_S,
    STALE_ENTRY_TTL_S,
    RemovalGuard,
)
from godwitlanding.gateway.changeset import ChangeSet
from godwitlanding.gateway.mirror import Mirror

pytestmark = pytest.mark.looptime

KIND = "things"


def make_object(name, version=1, value=b"v"):
    return StoredObject(KIND, name, version, value)


class ScriptedStore:
    """Answers each call with the next step of a script, then hangs.

    A step is ``(call, answer)``; a call other than that of the next step fails
    the test.
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


def list_step(version, *objects):
    return "snapshot", Ok(Snapshot(version, objects))


def watch_step(version, *events):
    return "watch", Ok(WatchBatch(version, events))


def failed_step(call, code):
    return call, Err(make_refusal(code))


def delayed_step(seconds, step):
    call, answer = step

    async def wait():
        await asyncio.sleep(seconds)
        return answer

    return call, wait


def make_outage_steps():
    """Return an outage of 3 s after which only ``a`` reappears at once."""
    return [
        list_step(5, make_object("a"), make_object("b")),
        failed_step("watch", Code.PLATFORM_UNAVAILABLE),
        delayed_step(3, failed_step("snapshot", Code.PLATFORM_UNAVAILABLE)),
        list_step(8),
        watch_step(9, WatchEvent(make_object("a", 9), False)),
    ]


def make_mirror(*steps, guard=None, **keywords):
    """Return a mirror of a scripted store, the store, and applied values."""
    store = ScriptedStore(*steps)
    held = {}

    def apply(name, version, value):
        if value is None:
            held.pop(name, None)
        else:
            held[name] = value

    return Mirror(store, KIND, apply, guard, **keywords), store, held


async def follow(seconds, *steps, guard=None):
    """Return the values after some seconds, and the calls that were made."""
    mirror, store, held = make_mirror(*steps, guard=guard)
    mirror.follow()
    await asyncio.sleep(seconds)
    await mirror.stop()
    return held, store.calls


async def test_watch_continues_from_the_previous_revision():
    event = WatchEvent(make_object("b", 9), False)
    held, calls = await follow(
        5, list_step(5, make_object("a")), watch_step(9, event), watch_step(12)
    )
    assert held == {"a": b"v", "b": b"v"}
    assert calls == [("snapshot", None), ("watch", 5), ("watch", 9), ("watch", 12)]


@pytest.mark.parametrize(
    "code",
    [Code.PLATFORM_UNAVAILABLE, Code.RATE_LIMITED, Code.WATCH_EXPIRED],
    ids=lambda code: code.name,
)
async def test_failed_watch_is_followed_by_a_list(code):
    # The store drops its history and interrupts the watches while a zone is
    # being evacuated. A watch resumed from the old revision is accepted, but
    # returns nothing until the next change, many seconds later; meanwhile the
    # VM goes on sending requests to the evacuated zone.
    held, calls = await follow(
        5,
        list_step(5, make_object("a")),
        failed_step("watch", code),
        list_step(8, make_object("a"), make_object("evacuated", 7)),
    )
    assert "evacuated" in held
    assert calls[-1] == ("watch", 8)


async def test_list_removes_objects_deleted_during_an_outage():
    # Objects are deleted while the store cannot be reached. If the list that
    # follows did not remove them, requests would go to deleted upstreams.
    held, _ = await follow(
        5,
        list_step(5, make_object("a"), make_object("b")),
        failed_step("watch", Code.WATCH_EXPIRED),
        list_step(8, make_object("a")),
    )
    assert held == {"a": b"v"}


async def test_older_version_does_not_replace_a_newer_one():
    # A list may come from a replica of the store that lags. Applying its older
    # version would undo a change that is in force.
    held, _ = await follow(
        5,
        list_step(9, make_object("a", 9, b"new")),
        failed_step("watch", Code.WATCH_EXPIRED),
        list_step(9, make_object("a", 4, b"old")),
    )
    assert held == {"a": b"new"}


async def test_entries_that_expired_in_an_outage_are_kept_until_they_reappear():
    # Upstreams cannot renew their entries while the store is down, so the
    # entries expire. If the removals were applied at once, every upstream
    # would be unused when the store returns.
    steps = make_outage_steps()
    held, _ = await follow(4.5, *steps, guard=RemovalGuard())
    assert held == {"a": b"v", "b": b"v"}


async def test_entries_that_do_not_reappear_in_time_are_removed():
    # The upstream stopped during the outage. If its entry were kept longer,
    # its address might belong to an upstream of another service by then.
    steps = make_outage_steps()
    steps.append(delayed_step(REWRITE_WITHIN_S + 0.1, watch_step(9)))
    held, _ = await follow(8, *steps, guard=RemovalGuard())
    assert held == {"a": b"v"}


def full_change_set(revision, *objects):
    changed_at = max((stored.version for stored in objects), default=0)
    return ChangeSet(revision, changed_at, objects, (), True)


# Change sets of other VMs' mirrors in order, and the objects held after them.
FEEDS = (
    pytest.param(
        [
            full_change_set(5, make_object("a")),
            ChangeSet(7, 7, (make_object("b", 7),), ("a",)),
        ],
        {"b"},
        id="single changes",
    ),
    pytest.param(
        [
            full_change_set(5, make_object("a"), make_object("b")),
            full_change_set(9, make_object("b")),
        ],
        {"b"},
        id="other source is ahead",
    ),
    pytest.param(
        [
            full_change_set(9, make_object("a"), make_object("c", 8)),
            full_change_set(5, make_object("a")),
        ],
        {"a", "c"},
        id="other source lacks a new object",
    ),
    pytest.param(
        [full_change_set(9), full_change_set(5, make_object("a"))],
        set(),
        id="other source has a removed object",
    ),
    pytest.param(
        [
            full_change_set(5, make_object("a")),
            ChangeSet(9, 9, (), ("a",)),
            full_change_set(12, make_object("a", 11)),
        ],
        {"a"},
        id="removed and created again",
    ),
)


@pytest.mark.parametrize(("change_sets", "expected"), FEEDS)
async def test_source_that_is_behind_undoes_nothing(change_sets, expected):
    # A VM follows one VM and then another that is behind. If it applied the
    # older state, it would send requests to upstreams that have left.
    mirror, _, held = make_mirror()
    for change_set in change_sets:
        mirror.apply_change_set(change_set)
    assert set(held) == expected


async def test_watch_response_older_than_the_feed_undoes_nothing():
    # A watch response is delayed. Meanwhile another VM has reported that the
    # upstream was added and removed.
    event = WatchEvent(make_object("b", 7), False)
    mirror, _, held = make_mirror(list_step(5), delayed_step(1, watch_step(7, event)))
    mirror.follow()
    await asyncio.sleep(0.5)
    mirror.apply_change_set(ChangeSet(9, 9, (), ("b",)))
    await asyncio.sleep(1)
    assert held == {}
    await mirror.stop()


def stale_list_step(version, *objects):
    return "old snapshot", Ok(Snapshot(version, objects))


async def test_stale_list_is_read_again_before_watching():
    # Hundreds of VMs start at once and read lists that may be seconds old,
    # which costs the store little. A VM that watched from the revision of such
    # a list would never receive the changes in between.
    mirror, store, held = make_mirror(
        stale_list_step(9, make_object("a", 5), make_object("gone", 4)),
        list_step(9, make_object("a", 5), make_object("b", 8)),
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


async def test_changes_that_a_stale_list_lacks_come_from_another_vm():
    # The store returns its current revision with a stale list. If the mirror
    # used that revision, it would ignore a change that the list lacks when
    # another VM sends it.
    mirror, _, held = make_mirror(
        stale_list_step(9, make_object("a", 5), make_object("gone", 4)), begins_old=True
    )
    await mirror.list_once()
    assert mirror.revision == 5
    mirror.apply_change_set(ChangeSet(9, 9, (make_object("b", 8),), ("gone",)))
    assert set(held) == {"a", "b"}


async def test_delayed_stale_list_undoes_nothing():
    # Another VM has sent the full state meanwhile.
    mirror, _, held = make_mirror(
        delayed_step(1, stale_list_step(9, make_object("gone", 4))), begins_old=True
    )
    reading = asyncio.create_task(mirror.list_once())
    await asyncio.sleep(0.5)
    mirror.apply_change_set(full_change_set(9, make_object("a", 5)))
    assert await reading
    assert set(held) == {"a"}


def restored_version(revision):
    """Return a version after the store was restored from an older copy."""
    return make_version(1, revision)


@pytest.mark.parametrize(
    "change_set",
    [
        pytest.param(
            full_change_set(
                restored_version(4), make_object("a", restored_version(3), b"new")
            ),
            id="whole",
        ),
        pytest.param(
            ChangeSet(
                restored_version(4),
                restored_version(3),
                (make_object("a", restored_version(3)),),
                (),
            ),
            id="difference",
        ),
    ],
)
async def test_restored_store_is_detected_by_another_vms_change_set(change_set):
    mirror, _, held = make_mirror()
    calls = []
    mirror.on_restored.append(lambda: calls.append(mirror.revision))
    mirror.apply_change_set(full_change_set(9, make_object("a", 9, b"lost")))
    mirror.apply_change_set(change_set)
    mirror.apply_change_set(change_set)
    assert calls == [9]
    assert held == {"a": change_set.objects[0].value}
    # Another VM has not detected it yet.
    mirror.apply_change_set(full_change_set(12, make_object("a", 12, b"lost")))
    assert held == {"a": change_set.objects[0].value}
    assert mirror.revision == restored_version(4)


@pytest.mark.parametrize(
    ("reached", "expected"),
    [
        pytest.param(restored_version(20), {"lost"}, id="store reached the version"),
        pytest.param(restored_version(5), {"a"}, id="store did not"),
        pytest.param(None, {"lost"}, id="store does not answer"),
    ],
)
async def test_stale_list_of_a_lost_history_is_read_again(reached, expected):
    # Its revisions will be assigned again by the store.
    mirror, _, held = make_mirror(
        stale_list_step(restored_version(9), make_object("lost", restored_version(9))),
        list_step(restored_version(5), make_object("a", restored_version(3))),
        begins_old=True,
    )
    future = asyncio.get_running_loop().create_future()
    reading = asyncio.create_task(mirror.list_once(future))
    await asyncio.sleep(0.1)
    future.set_result(reached)
    assert await reading
    assert set(held) == expected


async def test_removed_entry_that_reappears_with_a_copy_is_not_used_at_once():
    # An upstream left shortly before the store was restored from an old copy.
    deleted = WatchEvent(make_object("gone", 9), True)
    mirror, _, held = make_mirror(
        list_step(8, make_object("gone", 3), make_object("a", 2)),
        watch_step(9, deleted),
        failed_step("watch", Code.PLATFORM_UNAVAILABLE),
        list_step(
            restored_version(4),
            make_object("gone", restored_version(3)),
            make_object("a", 2),
        ),
        guard=RemovalGuard(),
    )
    mirror.follow()
    await asyncio.sleep(STALE_ENTRY_TTL_S - 0.1)
    assert set(held) == {"a"}
    # The entry would have expired by now if the upstream did not renew it.
    await asyncio.sleep(1.0)
    assert set(held) == {"a", "gone"}
    await mirror.stop()


async def test_entry_written_after_a_restoration_is_used_at_once():
    mirror, _, held = make_mirror(guard=RemovalGuard())
    mirror.apply_change_set(full_change_set(8, make_object("back", 3)))
    mirror.apply_change_set(full_change_set(9))
    assert not held
    mirror.apply_change_set(
        full_change_set(restored_version(4), make_object("back", restored_version(3)))
    )
    assert not held
    written = make_object("back", restored_version(5))
    mirror.apply_change_set(
        ChangeSet(restored_version(5), restored_version(5), (written,), ())
    )
    assert set(held) == {"back"}
    await mirror.stop()


@pytest.mark.parametrize("expires", [True, False])
async def test_object_that_a_copy_lacks_is_kept_until_it_is_written_again(expires):
    # A zone is evacuated, and then the store is restored from an older copy
    # without an outage.
    mirror, _, held = make_mirror(
        list_step(8, make_object("zone", 8)),
        failed_step("watch", Code.WATCH_EXPIRED),
        list_step(restored_version(4)),
        delayed_step(
            1,
            watch_step(
                restored_version(5),
                WatchEvent(make_object("zone", restored_version(5)), False),
            ),
        ),
        delayed_step(5, watch_step(restored_version(5))),
        guard=RemovalGuard(expires),
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
    mirror, _, _ = make_mirror(guard=RemovalGuard(expires=False))
    mirror.apply_change_set(full_change_set(8, make_object("own", 8)))
    assert mirror.get_confirmed("own")
    other = make_object("other", restored_version(3))
    mirror.apply_change_set(
        ChangeSet(restored_version(4), restored_version(3), (other,), ())
    )
    assert not mirror.get_confirmed("own")
    await mirror.stop()


async def test_first_list_of_a_restored_store_is_not_a_restoration():
    # The list that is read at the start is empty, so it holds no version.
    mirror, _, _ = make_mirror(
        stale_list_step(restored_version(4)),
        list_step(restored_version(5)),
        begins_old=True,
    )
    calls = []
    mirror.on_restored.append(lambda: calls.append(mirror.revision))
    await mirror.list_once()
    mirror.follow()
    await asyncio.sleep(0.1)
    assert mirror.revision == restored_version(5)
    assert not calls


async def test_each_change_is_passed_on_once():
    event = WatchEvent(make_object("b", 9), False)
    deleted = WatchEvent(make_object("a", 11), True)
    mirror, _, _ = make_mirror(
        list_step(5, make_object("a")),
        watch_step(9, event),
        watch_step(10),
        watch_step(11, deleted),
    )
    passed_on = []
    mirror.on_change.append(lambda _, change_set: passed_on.append(change_set))
    mirror.follow()
    await asyncio.sleep(3)
    assert [
        (c.revision, [o.name for o in c.objects], c.removed) for c in passed_on
    ] == [
        (5, ["a"], ()),
        (9, ["b"], ()),
        (11, [], ("a",)),
    ]
    assert (mirror.revision, mirror.changed_at) == (11, 11)
    await mirror.stop()


async def test_last_event_of_an_object_in_a_batch_wins():
    created = WatchEvent(make_object("b", 8), False)
    deleted = WatchEvent(make_object("b", 9), True)
    held, _ = await follow(3, list_step(5), watch_step(9, created, deleted))
    assert held == {}
    held, _ = await follow(
        3, list_step(5, make_object("b", 4)), watch_step(9, deleted, created._replace())
    )
    assert held == {"b": b"v"}


def read_order(value):
    return int(value)


def make_ordered_mirror(*steps):
    applied = []
    mirror = Mirror(
        ScriptedStore(*steps), KIND, lambda *a: applied.append(a), get_order=read_order
    )
    return mirror, applied


def make_late(version, value):
    return make_object("a", version, value)


DELAYED_WRITES = [
    pytest.param([(5, b"18"), (7, b"14")], (7, b"18"), id="later-change"),
    pytest.param([(5, b"14"), (7, b"18")], (7, b"18"), id="newer-change"),
    pytest.param([(7, b"14"), (7, b"18")], (7, b"18"), id="kept-by-another-vm"),
    pytest.param([(7, b"18"), (7, b"14")], (7, b"18"), id="lost-by-another-vm"),
    pytest.param([(7, b"18"), (5, b"20")], (7, b"18"), id="late-message"),
]


@pytest.mark.parametrize(("changes", "expected"), DELAYED_WRITES)
async def test_delayed_write_does_not_bring_an_older_value_back(changes, expected):
    # Guards against an earlier configuration that is in force again, or sent
    # to others in place of the newest.
    mirror, _ = make_ordered_mirror()
    for version, value in changes:
        stored = (make_late(version, value),)
        mirror.apply_change_set(ChangeSet(version, version, stored, ()))
    (held,) = mirror.get_objects()
    assert (held.version, held.value) == expected
    assert mirror.order == int(expected[1])
    assert mirror.make_full_change_set().objects == (held,)


async def test_delayed_write_in_the_same_batch_does_not_hide_a_newer_value():
    batch = WatchBatch(
        9,
        (
            WatchEvent(make_late(5, b"14"), False),
            WatchEvent(make_late(7, b"18"), False),
            WatchEvent(make_late(9, b"16"), False),
        ),
    )
    mirror, applied = make_ordered_mirror(
        ("snapshot", Ok(Snapshot(3, ()))), ("watch", Ok(batch))
    )
    mirror.follow()
    await asyncio.sleep(0.1)
    assert applied[-1] == ("a", 9, b"18")
    await mirror.stop()
