"""Contract tests of the client of the platform's store, and of its faults."""

import asyncio
import math

import orjson
import pytest

from godwitlanding.base.codes import Code
from godwitlanding.base.metrics import Counters
from godwitlanding.platform import store as platform_store
from godwitlanding.platform.store import ObjectStore
from godwitlanding.tests.gateway.narrow_links import LinkEnd, NarrowLink
from godwitlanding.tests.standins.standin_store import StandinStore
from godwitlanding.tests.tools.network import claim_address_prefix

KIND = "things"
STORE_PORT = 8541


@pytest.fixture
async def standin():
    standin = await StandinStore(f"{claim_address_prefix()}2", STORE_PORT).start()
    yield standin
    standin.crash()


@pytest.fixture
async def store(standin):
    store = ObjectStore(standin.address, Counters())
    yield store
    await store.close()


async def test_object_is_created_updated_and_deleted(store, standin):
    version = (await store.put(KIND, "a", b'{"x":1}', 0)).unwrap()
    assert (await store.get(KIND, "a")).unwrap().value == b'{"x":1}'
    newer = (await store.put(KIND, "a", b'{"x":2}', version)).unwrap()
    assert newer > version
    assert (await store.delete(KIND, "a", newer)).is_ok()
    assert (await store.get(KIND, "a")).unwrap_err().code is Code.NOT_FOUND


async def test_snapshot_joins_its_pages(store, standin):
    for number in range(8):
        await standin.put(KIND, f"n{number}", {})
    snapshot = (await store.snapshot(KIND)).unwrap()
    assert [stored.name for stored in snapshot.objects] == [f"n{n}" for n in range(8)]
    assert snapshot.version == standin.revision


@pytest.mark.parametrize("allow_stale", [False, True])
async def test_only_a_stale_list_sends_stale_ok(store, standin, allow_stale):
    await standin.put(KIND, "a", {})
    assert (await store.snapshot(KIND, allow_stale)).is_ok()
    query = standin.calls[-1][2]
    assert query == ({"stale_ok": "1"} if allow_stale else {})


async def test_watch_returns_with_the_first_change(store, standin):
    waiting = asyncio.create_task(store.watch(KIND, standin.revision, 5.0))
    await asyncio.sleep(0.05)
    await standin.put(KIND, "a", {"x": 1})
    batch = (await waiting).unwrap()
    assert [event.stored.name for event in batch.events] == ["a"]
    assert batch.version == standin.revision


@pytest.mark.parametrize(
    ("expected_version", "code"),
    [(0, Code.VERSION_CONFLICT), (999, Code.VERSION_CONFLICT)],
)
async def test_write_from_another_version_is_refused(
    store, standin, expected_version, code
):
    # Guards against a lost update: two processes write the same object, and
    # one of them does not know the other's write.
    await standin.put(KIND, "a", {"x": 1})
    result = await store.put(KIND, "a", b'{"x":2}', expected_version)
    assert result.unwrap_err().code is code
    assert standin.get_spec(KIND, "a") == {"x": 1}


FAULTS = [
    pytest.param({"status": 503}, Code.PLATFORM_UNAVAILABLE, id="busy"),
    pytest.param({"status": 429}, Code.RATE_LIMITED, id="many calls"),
    pytest.param({"status": 500}, Code.PLATFORM_UNAVAILABLE, id="odd status"),
    pytest.param({"lose_answers": 1}, Code.PLATFORM_UNAVAILABLE, id="answer lost"),
    pytest.param({"silent": True}, Code.PLATFORM_UNAVAILABLE, id="silent"),
]


@pytest.mark.parametrize(("faults", "code"), FAULTS)
@pytest.mark.parametrize("call", ["snapshot", "get", "put", "watch"])
async def test_failed_call_returns_an_error_within_its_timeout(
    store, standin, faults, code, call, monkeypatch
):
    # Guards against a call that waits forever or raises while the store is
    # unavailable; either would end the loop that keeps the VM up to date.
    monkeypatch.setattr(platform_store, "CALL_TIMEOUT_S", 0.2)
    monkeypatch.setattr(platform_store, "WATCH_GRACE_S", 0.2)
    await standin.put(KIND, "a", {})
    vars(standin.faults).update(faults)
    arguments = {
        "snapshot": (KIND,),
        "get": (KIND, "a"),
        "put": (KIND, "b", b"{}", 0),
        "watch": (KIND, 1, 0.1),
    }[call]
    async with asyncio.timeout(2):
        result = await getattr(store, call)(*arguments)
    assert result.unwrap_err().code is code


async def test_write_with_a_lost_response_is_reported_as_failed(store, standin):
    # The write is executed and its response is lost. The writer cannot know
    # this; when it repeats the write, its own object causes a conflict.
    standin.faults.lose_answers = 1
    result = await store.put(KIND, "a", b'{"x":1}', 0)
    assert result.unwrap_err().code is Code.PLATFORM_UNAVAILABLE
    result = await store.put(KIND, "a", b'{"x":1}', 0)
    assert result.unwrap_err().code is Code.VERSION_CONFLICT
    assert (await store.get(KIND, "a")).unwrap().value == b'{"x":1}'


@pytest.mark.parametrize(
    ("forget", "code"),
    [(True, Code.WATCH_EXPIRED), (False, None)],
    ids=["history gone", "history kept"],
)
async def test_watch_from_an_old_revision(store, standin, forget, code):
    await standin.put(KIND, "a", {})
    await standin.put(KIND, "b", {})
    if forget:
        await standin.forget_history()
    result = await store.watch(KIND, 1, 0.1)
    assert (result.unwrap_err().code if result.is_err() else None) is code


async def test_interrupted_watch_is_an_error(store, standin):
    waiting = asyncio.create_task(store.watch(KIND, standin.revision, 5.0))
    await asyncio.sleep(0.05)
    await standin.forget_history()
    assert (await waiting).unwrap_err().code is Code.PLATFORM_UNAVAILABLE


async def test_unreachable_store_is_an_error(store, standin):
    standin.crash()
    result = await store.snapshot(KIND)
    assert result.unwrap_err().code is Code.PLATFORM_UNAVAILABLE


async def test_versions_grow_when_the_store_is_restored(store, standin):
    await standin.put(KIND, "a", {})
    copy = standin.take_copy()
    await standin.put(KIND, "a", {"x": 1})
    lost = (await store.get(KIND, "a")).unwrap().version
    await standin.restore_copy(copy)
    snapshot = (await store.snapshot(KIND)).unwrap()
    assert lost < snapshot.objects[0].version <= snapshot.version
    written = (await store.put(KIND, "a", b'{"x":2}', snapshot.objects[0].version)).ok()
    assert written > snapshot.version
    batch = (await store.watch(KIND, snapshot.version, 1.0)).unwrap()
    assert [event.stored.version for event in batch.events] == [written]


@pytest.mark.parametrize("since", [0, 1, 5])
@pytest.mark.parametrize("is_known", [True, False])
async def test_watch_from_a_version_lost_by_a_restore_has_expired(
    store, standin, since, is_known
):
    # The restored store has reused the revision for another change, or has not
    # reached it yet.
    copy = standin.take_copy()
    await standin.put(KIND, "lost", {})
    watched_from = (await store.snapshot(KIND)).unwrap().version
    await standin.restore_copy(copy)
    for number in range(since):
        await standin.put(KIND, f"n{number}", {})
    if is_known:
        await store.get(KIND, "lost")
    result = await store.watch(KIND, watched_from, 0.1)
    assert result.unwrap_err().code is Code.WATCH_EXPIRED


@pytest.mark.parametrize("operation", ["put", "delete"])
async def test_write_conditional_on_a_lost_version_conflicts(store, standin, operation):
    # The restored store has reused the revision for another process's write.
    copy = standin.take_copy()
    version = (await store.put(KIND, "a", b'{"own":1}', 0)).unwrap()
    await standin.restore_copy(copy)
    await standin.put(KIND, "a", {"foreign": 1})
    assert (await store.get(KIND, "a")).unwrap().version != version
    if operation == "put":
        result = await store.put(KIND, "a", b'{"own":2}', version)
    else:
        result = await store.delete(KIND, "a", version)
    assert result.unwrap_err().code is Code.VERSION_CONFLICT
    assert standin.get_spec(KIND, "a") == {"foreign": 1}


async def test_write_lost_by_a_restore_is_not_reported_as_done(store, standin):
    copy = standin.take_copy()
    standin.faults.delay_answer_s = 0.3
    writing = asyncio.create_task(store.put(KIND, "a", b"{}", 0))
    await asyncio.sleep(0.1)
    standin.faults.delay_answer_s = 0.0
    await standin.restore_copy(copy)
    await store.snapshot(KIND)
    assert (await writing).unwrap_err().code is Code.PLATFORM_UNAVAILABLE


class SlowLink:
    """A client that reaches the store by a link of 5 Mbit/s."""

    def __init__(self, standin, share_taken=0.0):
        host, port = standin.address
        # It carries both directions, as the client's own address is not known.
        end = LinkEnd(5.0, share_taken)
        self._link = NarrowLink((host, port + 1), standin.address, end, {})
        self._store = ObjectStore((host, port + 1), Counters())

    async def __aenter__(self):
        await self._link.start()
        return self._store

    async def __aexit__(self, *error):
        await self._store.close()
        self._link.stop()


LARGE_SPEC = {"rows": ["x" * 100] * 9_900}


async def test_list_that_goes_on_arriving_is_not_timed_out(standin):
    # Guards against a list of 1 MB that is read again for ever, as it takes
    # longer than the time-out of a small call.
    await standin.put(KIND, "a", LARGE_SPEC)
    async with SlowLink(standin, share_taken=0.5) as store:
        reading = asyncio.create_task(store.snapshot(KIND))
        await asyncio.sleep(1.0)
        now = asyncio.get_running_loop().time()
        assert now - store.get_received_at(KIND) < 0.5
        assert (await reading).is_ok()
        assert store.get_received_at(KIND) == -math.inf


async def test_watch_that_goes_on_arriving_is_not_timed_out(standin):
    async with SlowLink(standin, share_taken=0.5) as store:
        waiting = asyncio.create_task(store.watch(KIND, standin.revision, 0.5))
        await asyncio.sleep(0.2)
        await standin.put(KIND, "a", LARGE_SPEC)
        assert len((await waiting).unwrap().events) == 1


async def test_large_write_has_time_for_its_body(standin):
    async with SlowLink(standin, share_taken=0.5) as store:
        value = orjson.dumps(LARGE_SPEC)
        assert (await store.put(KIND, "a", value, 0)).is_ok()


async def test_list_that_stops_arriving_is_timed_out(standin, monkeypatch):
    monkeypatch.setattr(platform_store, "CALL_TIMEOUT_S", 0.3)
    await standin.put(KIND, "a", LARGE_SPEC)
    async with SlowLink(standin, share_taken=0.9999) as store:
        failed = await store.snapshot(KIND)
        assert failed.unwrap_err().code is Code.PLATFORM_UNAVAILABLE
