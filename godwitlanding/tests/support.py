"""Fake of the platform's object store, shared by the tests."""

import asyncio
from collections import Counter

from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.storetypes import VmEntry, VmList
from godwitlanding.tests.standins.objects import EMPTY_VM_LIST, ObjectTable

STATE_LIVE = "live"
STATE_LEAVING = "leaving"


def _make_unavailable():
    return Err(make_refusal(Code.PLATFORM_UNAVAILABLE))


class FakeStore:
    """In-memory implementation of the platform's object API with faults.

    ``delay_s``
        duration of each call; if it exceeds ``timeout_s``, the call returns
        PLATFORM_UNAVAILABLE after ``timeout_s``, and a write still takes
        effect later.
    ``lost_answers``
        number of following writes that take effect but return
        PLATFORM_UNAVAILABLE.
    ``rate_limited``
        every call except a waiting watch returns RATE_LIMITED.
    ``before_call``
        a coroutine function ``(operation, kind, name)`` that is awaited
        before each call, to delay it or to change the store.
    ``calls``
        call counts by operation: get, list, put, delete, watch, list_vms.
    ``max_waiting_watches``
        highest number of watches that waited at the same time.

    >>> store = FakeStore()
    >>> (await store.put("config", "main", b"{}", 0)).unwrap()
    1
    >>> store.set_available(False)
    >>> (await store.get("config", "main")).unwrap_err().code
    <Code.PLATFORM_UNAVAILABLE: 6001>
    """

    def __init__(self, timeout_s=2.0):
        self.objects = ObjectTable()
        self.timeout_s = timeout_s
        self.delay_s = 0.0
        self.lost_answers = 0
        self.rate_limited = False
        self.before_call = None
        self.calls = Counter()
        self.waiting_watches = 0
        self.max_waiting_watches = 0
        self.available = True
        self._vm_list = EMPTY_VM_LIST
        self._tasks = set()

    @property
    def reads(self):
        """Return the number of read calls, including watches."""
        names = ("get", "list", "watch", "list_vms")
        return sum(self.calls[name] for name in names)

    @property
    def writes(self):
        """Return the number of write calls."""
        return self.calls["put"] + self.calls["delete"]

    def set_available(self, available):
        """Begin or end an outage; its begin fails waiting watches at once."""
        self.available = available
        self.objects.wake()

    def set_vms(self, *vms):
        """Set the VM list from tuples ``(vm, address, zone[, state])``."""
        rows = [(*row, STATE_LIVE) if len(row) == 3 else row for row in vms]
        entries = tuple(VmEntry(*row) for row in rows)
        self._vm_list = VmList(self._vm_list.version + 1, entries)

    async def get(self, kind, name):
        """Return ``Ok(StoredObject)``."""
        failure = await self._begin_read("get", kind, name)
        return failure or self.objects.get(kind, name)

    async def list(self, kind):
        """Return ``Ok(tuple of StoredObject)``."""
        failure = await self._begin_read("list", kind, "")
        return failure or Ok(self.objects.list(kind))

    async def put(self, kind, name, value, expected_version):
        """Write if the version matches; return ``Ok(new version)``."""

        def write():
            return self.objects.put(kind, name, value, expected_version)

        return await self._write("put", kind, name, write)

    async def delete(self, kind, name, expected_version):
        """Delete if the version matches; return ``Ok(version)``."""

        def write():
            return self.objects.delete(kind, name, expected_version)

        return await self._write("delete", kind, name, write)

    async def watch(self, kind, after, timeout_s):
        """Wait for changes of a kind; return ``Ok(WatchBatch)``.

        The batch is empty after ``timeout_s`` without a change.
        """
        failure = await self._begin_read("watch", kind, "")
        if failure:
            return failure
        self.waiting_watches += 1
        self.max_waiting_watches = max(self.max_waiting_watches, self.waiting_watches)
        try:
            return await self.objects.wait_for_events(
                kind, after, timeout_s, lambda: self.available
            )
        finally:
            self.waiting_watches -= 1

    async def list_vms(self):
        """Return ``Ok(VmList)``."""
        failure = await self._begin_read("list_vms", "", "")
        return failure or Ok(self._vm_list)

    async def close(self):
        """Cancel the delayed writes."""
        for task in self._tasks:
            task.cancel()

    async def _begin_read(self, operation, kind, name):
        await self._begin(operation, kind, name)
        await asyncio.sleep(min(self.delay_s, self.timeout_s))
        if not self.available or self.delay_s > self.timeout_s:
            return _make_unavailable()
        if self.rate_limited:
            return Err(make_refusal(Code.RATE_LIMITED, 1.0))
        return None

    async def _write(self, operation, kind, name, write):
        await self._begin(operation, kind, name)
        if not self.available:
            return _make_unavailable()
        if self.rate_limited:
            return Err(make_refusal(Code.RATE_LIMITED, 1.0))
        if self.delay_s > self.timeout_s:
            self._write_late(write, self.delay_s)
            await asyncio.sleep(self.timeout_s)
            return _make_unavailable()
        await asyncio.sleep(self.delay_s)
        result = write()
        if result.is_ok() and self.lost_answers > 0:
            self.lost_answers -= 1
            return _make_unavailable()
        return result

    def _write_late(self, write, delay_s):
        async def wait_and_write():
            await asyncio.sleep(delay_s)
            write()

        task = asyncio.ensure_future(wait_and_write())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _begin(self, operation, kind, name):
        self.calls[operation] += 1
        if self.before_call:
            await self.before_call(operation, kind, name)
