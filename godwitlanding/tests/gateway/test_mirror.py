"""How a kind of the store's objects is kept in step through faults."""

import asyncio

import pytest
from result import Err, Ok

from godwitlanding.codes import Code, make_refusal
from godwitlanding.decisions.lapse import BACK_WITHIN_S, LapseGuard
from godwitlanding.gateway.mirror import Mirror, Outage
from godwitlanding.store import Snapshot, StoredObject, WatchBatch, WatchEvent

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

    async def snapshot(self, kind):
        return await self._next("snapshot", None)

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


async def follow(seconds, *steps, guard=None):
    """Return what is held after a time, and the calls that were made."""
    store = ScriptedStore(*steps)
    held = {}

    def apply(name, version, value):
        if value is None:
            held.pop(name, None)
        else:
            held[name] = value

    mirror = Mirror(store, KIND, apply, guard)
    await mirror.start(None)
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


async def test_one_mirror_asks_for_all_while_the_store_is_away():
    # The store is busy, and every process of every VM asks again for each
    # kind. What it has left to give goes into refusals.
    outage = Outage()
    away = failed("snapshot", Code.PLATFORM_UNAVAILABLE)
    stores = [ScriptedStore(*[away] * 50) for _ in range(4)]
    mirrors = [
        Mirror(store, f"{KIND}-{number}", lambda *_: None, outage=outage)
        for number, store in enumerate(stores)
    ]
    for mirror in mirrors:
        await mirror.start(None)
    await asyncio.sleep(3)
    assert sorted(len(store.calls) > 1 for store in stores) == [False] * 3 + [True]
    for store in stores:
        store._steps[:] = [listed(5)]
    await asyncio.sleep(3)
    assert [store.calls[-1] for store in stores] == [("watch", 5)] * 4
    for mirror in mirrors:
        await mirror.stop()
