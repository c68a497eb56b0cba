"""Contract tests of the object API, for the fake store and the HTTP client."""

import asyncio

import aiohttp
import pytest

from godwitlanding.base.codes import Code
from godwitlanding.base.store import HttpStore
from godwitlanding.base.storetypes import MAX_VALUE_BYTES
from godwitlanding.tests.gateway.narrow_links import LinkEnd, NarrowLink
from godwitlanding.tests.standins.listener import Listener
from godwitlanding.tests.standins.standin_platform import Platform
from godwitlanding.tests.support import FakeStore
from godwitlanding.tests.tools.network import find_free_port

HOST = "127.0.10.250"
PORT = find_free_port(HOST)
LINK_PORT = find_free_port(HOST)
URL = f"http://{HOST}:{PORT}"
VM = {"vm": "a1", "address": "127.0.10.1", "availability_zone": "a", "state": "live"}


class FakeHarness:
    """Controls the faults of ``FakeStore``."""

    def __init__(self):
        self.store = FakeStore(timeout_s=0.2)

    async def set_faults(self, **faults):
        self.store.set_available(faults.get("outage", "none") == "none")
        self.store.lost_answers = faults.get("lost_answers", 0)
        self.store.delay_s = faults.get("delay_s", 0.0)
        self.store.rate_limited = faults.get("writes_per_s") == 0

    async def set_vms(self, row):
        self.store.set_vms(tuple(row.values()))

    async def write_then_restore(self, write):
        snapshot = self.store.objects.take_snapshot()
        await write()
        self.store.objects.restore(snapshot)

    async def close(self):
        await self.store.close()


class HttpHarness:
    """Controls the faults of the platform stand-in over HTTP."""

    def __init__(self):
        self.store = HttpStore(URL, timeout_s=0.5)
        self._session = aiohttp.ClientSession(URL)
        self._listener = Listener(Platform().make_app(), HOST, PORT)

    async def start(self):
        await self._listener.start()
        return self

    async def set_faults(self, **faults):
        async with self._session.put("/standin/faults", json=faults) as response:
            assert response.status == 200

    async def set_vms(self, row):
        async with self._session.put("/standin/vms", json={"vms": [row]}) as response:
            assert response.status == 200

    async def write_then_restore(self, write):
        async with self._session.post("/standin/snapshot"):
            await write()
        async with self._session.post("/standin/restore"):
            pass

    async def close(self):
        await self.store.close()
        await self._session.close()
        self._listener.crash()


@pytest.fixture(params=["fake", "http"])
async def harness(request):
    made = FakeHarness() if request.param == "fake" else await HttpHarness().start()
    yield made
    await made.close()


async def test_versions_grow_over_all_objects(harness):
    store = harness.store
    first = (await store.put("config", "main", b"one", 0)).unwrap()
    other = (await store.put("plan", "main", b"plan", 0)).unwrap()
    second = (await store.put("config", "main", b"two", first)).unwrap()
    assert first < other < second
    found = (await store.get("config", "main")).unwrap()
    assert found == ("config", "main", second, b"two", 0)
    assert (await store.list("config")).unwrap() == (found,)
    assert (await store.list("nothing")).unwrap() == ()


@pytest.mark.parametrize("name", ["a/b", "a b", "ä%2F", "x?y=1#z"])
async def test_any_name_round_trips(harness, name):
    version = (await harness.store.put("claim", name, b"\x00\xff", 0)).unwrap()
    assert (await harness.store.get("claim", name)).unwrap().value == b"\x00\xff"
    assert (await harness.store.list("claim")).unwrap()[0].name == name
    assert (await harness.store.delete("claim", name, version)).is_ok()


@pytest.mark.parametrize(
    ("operation", "arguments", "code"),
    [
        ("get", ("config", "none"), Code.NOT_FOUND),
        ("put", ("config", "main", b"x", 0), Code.VERSION_CONFLICT),
        ("put", ("config", "main", b"x", 77), Code.VERSION_CONFLICT),
        ("put", ("config", "none", b"x", 1), Code.VERSION_CONFLICT),
        (
            "put",
            ("config", "big", bytes(MAX_VALUE_BYTES + 1), 0),
            Code.VALUE_TOO_LARGE,
        ),
        ("delete", ("config", "main", 77), Code.VERSION_CONFLICT),
        ("delete", ("config", "none", 77), Code.NOT_FOUND),
        ("watch", ("config", 99, 0.1), Code.WATCH_EXPIRED),
    ],
)
async def test_refused_calls(harness, operation, arguments, code):
    written = await harness.store.put("config", "main", b"one", 0)
    result = await getattr(harness.store, operation)(*arguments)
    assert result.unwrap_err().code is code
    kept = (await harness.store.get("config", "main")).unwrap()
    assert kept.version == written.unwrap()


async def test_largest_value_is_stored(harness):
    value = bytes(MAX_VALUE_BYTES)
    assert (await harness.store.put("blocks", "piece", value, 0)).is_ok()
    assert (await harness.store.get("blocks", "piece")).unwrap().value == value


async def test_watch_ignores_other_kinds(harness):
    store = harness.store
    version = (await store.put("config", "main", b"one", 0)).unwrap()
    watch = asyncio.ensure_future(store.watch("config", version, 30.0))
    await asyncio.sleep(0.05)
    await store.put("plan", "main", b"x", 0)
    assert not watch.done()
    second = (await store.put("config", "main", b"two", version)).unwrap()
    batch = (await watch).unwrap()
    assert batch.version >= second
    assert [event.stored.value for event in batch.events] == [b"two"]
    await store.delete("config", "main", second)
    (event,) = (await store.watch("config", second, 1.0)).unwrap().events
    assert event.deleted


async def test_watch_from_version_zero_returns_existing_objects(harness):
    await harness.store.put("config", "main", b"one", 0)
    (event,) = (await harness.store.watch("config", 0, 1.0)).unwrap().events
    assert event.stored.value == b"one"


async def test_watch_without_a_change_returns_no_events(harness):
    version = (await harness.store.put("config", "main", b"one", 0)).unwrap()
    batch = (await harness.store.watch("config", version, 0.05)).unwrap()
    assert batch.events == ()


async def test_vm_list(harness):
    await harness.set_vms(VM)
    listed = (await harness.store.list_vms()).unwrap()
    assert listed.version > 0
    assert listed.vms == (tuple(VM.values()),)


@pytest.mark.parametrize(
    ("operation", "arguments"),
    [
        ("get", ("config", "main")),
        ("list", ("config",)),
        ("put", ("config", "main", b"x", 0)),
        ("delete", ("config", "main", 1)),
        ("watch", ("config", 0, 0.1)),
        ("list_vms", ()),
    ],
)
async def test_outage_fails_every_call(harness, operation, arguments):
    """During an outage every call fails, and calls work again after it.

    Operators cannot apply changes meanwhile; running work continues.
    """
    await harness.set_faults(outage="refuse")
    result = await getattr(harness.store, operation)(*arguments)
    assert result.unwrap_err().code is Code.PLATFORM_UNAVAILABLE
    await harness.set_faults(outage="none")
    assert (await harness.store.list("config")).unwrap() == ()


async def test_waiting_watch_fails_when_an_outage_begins(harness):
    """Guards against a watch that does not notice an outage.

    The platform goes down while a member waits for a change.
    """
    version = (await harness.store.put("config", "main", b"one", 0)).unwrap()
    watch = asyncio.ensure_future(harness.store.watch("config", version, 30.0))
    await asyncio.sleep(0.05)
    await harness.set_faults(outage="refuse")
    assert (await watch).unwrap_err().code is Code.PLATFORM_UNAVAILABLE


async def test_write_with_a_lost_response_has_taken_effect(harness):
    """The connection breaks after the platform has executed a write.

    The writer gets PLATFORM_UNAVAILABLE and finds its write when it reads
    the object again.
    """
    await harness.store.list("config")
    await harness.set_faults(lost_answers=1)
    result = await harness.store.put("config", "main", b"one", 0)
    assert result.unwrap_err().code is Code.PLATFORM_UNAVAILABLE
    assert (await harness.store.get("config", "main")).unwrap().value == b"one"


async def test_slow_write_takes_effect_after_its_timeout(harness):
    """The platform is so slow that the write times out first.

    The write takes effect later, possibly after another one has been sent.
    """
    await harness.set_faults(delay_s=1.0)
    result = await harness.store.put("config", "main", b"one", 0)
    assert result.unwrap_err().code is Code.PLATFORM_UNAVAILABLE
    await harness.set_faults()
    batch = await harness.store.watch("config", 0, 0.1)
    for _ in range(100):
        if batch.is_ok() and batch.unwrap().events:
            break
        await harness.set_faults(delay_s=0.0)
        batch = await harness.store.watch("config", 0, 0.1)
        await asyncio.sleep(0.05)
    assert batch.unwrap().events[0].stored.value == b"one"


async def test_rate_limit_refuses_writes(harness):
    await harness.set_faults(writes_per_s=0)
    result = await harness.store.put("config", "main", b"one", 0)
    assert result.unwrap_err().code is Code.RATE_LIMITED


async def test_watch_from_a_version_lost_by_a_restore_has_expired(harness):
    """Guards against watches that wait forever after a restore.

    The platform is restored from a backup without the last writes, and a
    member continues to watch from a version that no longer exists.
    """
    store = harness.store
    newest = []

    async def write():
        newest.append((await store.put("config", "main", b"one", 0)).unwrap())

    await harness.write_then_restore(write)
    result = await store.watch("config", newest[0], 0.1)
    assert result.unwrap_err().code is Code.WATCH_EXPIRED
    assert (await store.get("config", "main")).unwrap_err().code is Code.NOT_FOUND


@pytest.mark.parametrize("writes", [1, 5])
async def test_revision_reused_after_a_restore_is_a_new_version(harness, writes):
    store = harness.store
    kept = (await store.put("plan", "main", b"kept", 0)).unwrap()
    lost = []

    async def write():
        for number in range(3):
            name = f"lost-{number}"
            lost.append((await store.put("plan", name, b"lost", 0)).unwrap())

    await harness.write_then_restore(write)
    # Objects in the backup keep their versions.
    assert (await store.get("plan", "main")).unwrap().version == kept
    for number in range(writes):
        written = (await store.put("plan", f"new-{number}", b"new", 0)).unwrap()
        assert written > lost[-1]
    assert (await store.watch("plan", lost[0], 0.1)).unwrap_err().code is (
        Code.WATCH_EXPIRED
    )
    put = await store.put("plan", "new-0", b"on a lost version", lost[0])
    assert put.unwrap_err().code is Code.VERSION_CONFLICT
    batch = (await store.watch("plan", kept, 0.1)).unwrap()
    names = [event.stored.name for event in batch.events]
    assert names == [f"new-{number}" for number in range(writes)]
    assert batch.version == written


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"objects": [{"name": 1}]}', b"\xff"]
)
async def test_unreadable_response_is_an_error(body):
    """A proxy or a new version of the platform sends an invalid body."""

    async def respond(scope, receive, send):
        await send({"type": "http.response.start", "status": 200})
        await send({"type": "http.response.body", "body": body})

    listener = Listener(respond, HOST, PORT)
    await listener.start()
    store = HttpStore(URL, timeout_s=1.0)
    calls = [store.list("config"), store.get("config", "main"), store.list_vms()]
    for call in calls:
        assert (await call).unwrap_err().code is Code.PLATFORM_UNAVAILABLE
    await store.close()
    listener.crash()


@pytest.mark.parametrize("operation", ["get", "put", "watch"])
async def test_large_value_that_goes_on_arriving_is_not_timed_out(operation):
    # Guards against a value of 1 MB that is read again for ever, as it takes
    # longer on a slow link than a small one may.
    harness = await HttpHarness().start()
    link = NarrowLink((HOST, LINK_PORT), (HOST, PORT), LinkEnd(5.0), {})
    await link.start()
    store = HttpStore(f"http://{HOST}:{LINK_PORT}", timeout_s=0.5)
    value = bytes(MAX_VALUE_BYTES)
    try:
        if operation == "put":
            assert (await store.put("blocks", "a", value, 0)).is_ok()
            return
        await harness.store.put("blocks", "a", value, 0)
        if operation == "get":
            assert (await store.get("blocks", "a")).unwrap().value == value
        else:
            batch = (await store.watch("blocks", 0, 0.1)).unwrap()
            assert batch.events[0].stored.value == value
    finally:
        await store.close()
        link.stop()
        await harness.close()
