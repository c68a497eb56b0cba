"""Client of the platform's metadata store.

It uses the gateway's HTTP connections instead of aiohttp, which with its
dependencies took 6.8 of the 33.7 MB of a VM's memory and a third of its
startup time.
"""

import asyncio
import json
import math
from functools import partial
from typing import NamedTuple
from urllib.parse import quote, urlencode

import orjson
from eliot import log_message
from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.storetypes import (
    Snapshot,
    StoredObject,
    WatchBatch,
    WatchEvent,
    get_era,
    get_revision,
    make_version,
)
from godwitlanding.gateway.upstream import UpstreamError, UpstreamPool

# The store responds within milliseconds. In its slow phases it takes 50 to 65
# times as long, which is still within this time.
CALL_TIMEOUT_S = 1.5
# The response to a watch may arrive this long after the watch's own timeout.
WATCH_GRACE_S = 1.5
# Both are extended while a response arrives: 1 MB takes 1.6 s on a link of
# 5 Mbit/s. A write has as much more time as its body takes at this rate.
MIN_BYTES_PER_S = 64 << 10
# The link may be full of responses to callers.
USER_TIMEOUT_MS = 3000
_CODE_BY_STATUS = {
    404: Code.NOT_FOUND,
    409: Code.VERSION_CONFLICT,
    410: Code.WATCH_EXPIRED,
    413: Code.VALUE_TOO_LARGE,
    429: Code.RATE_LIMITED,
}


# Key of the store, the only upstream of the pool.
_POOL_KEY = "store"
# Response header; increases by one each time the store is restored from a
# backup.
_ERA_HEADER = b"store-era"


class _Reply(NamedTuple):
    """A response of the store and the era in which it was sent."""

    era: int
    value: dict


class ObjectStore:
    """The platform's metadata store; its methods return a ``Result``.

    Calls are never retried. A write that returns ``PLATFORM_UNAVAILABLE``
    may have taken effect. Versions consist of the era and the revision of
    the store. A version of an earlier era has expired for a watch, and a
    write conditional on it is a conflict.
    """

    def __init__(self, address, counters):
        self._address = address
        self._counters = counters
        self._pool = UpstreamPool(b"", user_timeout_ms=USER_TIMEOUT_MS)
        self._received_at_by_kind = {}
        # The highest era received, ``None`` before the first response.
        self._era = None

    def get_received_at(self, kind):
        """Return when a part of an incomplete response arrived.

        The time is that of the event loop, minus infinity if there is no such
        response to a list or watch of ``kind``.
        """
        return self._received_at_by_kind.get(kind, -math.inf)

    async def snapshot(self, kind, allow_stale=False):
        """Return ``Ok(Snapshot)`` of all objects of a kind.

        With ``allow_stale`` it may be some seconds old. It then costs a
        tenth and does not count towards the store's rate limit.
        """
        objects = []
        version = None
        era = None
        after = ""
        while True:
            query = {"after": after} if after else {}
            if allow_stale:
                query["stale_ok"] = "1"
            result = await self._call(
                "old_list" if allow_stale else "list", "GET", kind, query=query
            )
            if result.is_err():
                return result
            reply = result.unwrap()
            if era is None:
                era = reply.era
            if reply.era != era:
                return _make_unavailable("the store was restored meanwhile")
            page = reply.value
            try:
                objects.extend(_read_objects(kind, page["items"], era))
                if version is None:
                    # A watch from this version also returns the changes made
                    # while the remaining pages are read.
                    version = make_version(era, int(page["store_revision"]))
                more = page.get("more")
            except (KeyError, TypeError, ValueError) as error:
                return _make_unavailable(f"list cannot be read: {error!r}")
            last = objects[-1].name if objects else ""
            if not more or last == after:
                return Ok(Snapshot(version, tuple(objects)))
            after = last

    async def get(self, kind, name):
        """Return ``Ok(StoredObject)``."""
        result = await self._call("get", "GET", f"{kind}/{name}")
        return result.map(lambda reply: _read_object(kind, reply.value, reply.era))

    async def put(self, kind, name, value, expected_version):
        """Write if the version matches (0: the object must not exist).

        Returns ``Ok(new version)``.
        """
        metadata = {"name": name}
        body = {"metadata": metadata, "spec": orjson.loads(value)}
        if expected_version == 0:
            result = await self._call("create", "POST", kind, body=body)
        else:
            if self._is_expired(expected_version):
                return Err(make_refusal(Code.VERSION_CONFLICT))
            metadata["rev"] = get_revision(expected_version)
            result = await self._call("put", "PUT", f"{kind}/{name}", body=body)
        return result.and_then(self._read_written_version)

    async def delete(self, kind, name, expected_version):
        """Delete if the version matches; return ``Ok(version)``."""
        if self._is_expired(expected_version):
            return Err(make_refusal(Code.VERSION_CONFLICT))
        query = {"rev": str(get_revision(expected_version))}
        result = await self._call("delete", "DELETE", f"{kind}/{name}", query=query)
        return result.map(lambda _: expected_version)

    async def watch(self, kind, after, timeout_s):
        """Wait for changes of a kind; return ``Ok(WatchBatch)``.

        The batch is empty after ``timeout_s`` without a change.
        """
        if self._is_expired(after):
            return Err(make_refusal(Code.WATCH_EXPIRED))
        revision = str(get_revision(after))
        query = {"watch": revision, "wait_ms": str(int(timeout_s * 1000))}
        result = await self._call("watch", "GET", kind, query, extra_s=timeout_s)
        if result.is_err():
            return result
        reply = result.unwrap()
        if reply.era != get_era(after):
            # The restored store may reuse that revision for another change.
            return Err(make_refusal(Code.WATCH_EXPIRED))
        page = reply.value
        try:
            events = tuple(_read_events(kind, page["events"], reply.era))
            version = make_version(reply.era, int(page["store_revision"]))
            return Ok(WatchBatch(version, events))
        except (KeyError, TypeError, ValueError) as error:
            return _make_unavailable(f"watch cannot be read: {error!r}")

    async def close(self):
        """Close every connection."""
        self._pool.close()

    async def _call(self, operation, method, path, query=None, body=None, extra_s=0.0):
        result = await self._send(method, path, query, body, extra_s)
        outcome = "OK" if result.is_ok() else result.unwrap_err().code.name
        self._counters.add("platform_calls", operation=operation, outcome=outcome)
        return result

    async def _send(self, method, path, query, body, extra_s):
        grace_s = WATCH_GRACE_S if extra_s else CALL_TIMEOUT_S
        data = self._make_request(method, path, query, body)
        timeout_s = extra_s + grace_s + len(data) / MIN_BYTES_PER_S
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                response = await self._exchange(data, path, timeout)
        except (UpstreamError, TimeoutError) as error:
            return _make_unavailable(repr(error))
        finally:
            self._received_at_by_kind.pop(path, None)
        era = _read_era(response)
        self._update_era(era)
        if response.status in (200, 201):
            try:
                value = _read_json(response.body) if response.body else {}
                return Ok(_Reply(era, value))
            except (ValueError, RecursionError) as error:
                return _make_unavailable(f"answer cannot be read: {error!r}")
        code = _CODE_BY_STATUS.get(response.status, Code.PLATFORM_UNAVAILABLE)
        return Err(make_refusal(code, detail=f"answered {response.status}"))

    def _update_era(self, era):
        if self._era is not None and era <= self._era:
            return
        log_message("store:era", era=era, former=self._era)
        if self._era is not None:
            self._counters.add("store_restored")
        self._era = era

    def _read_written_version(self, reply):
        version = make_version(reply.era, int(reply.value["metadata"]["rev"]))
        if self._is_expired(version):
            return _make_unavailable("written in an era that is over")
        return Ok(version)

    def _is_expired(self, version):
        return self._era is not None and get_era(version) < self._era

    async def _exchange(self, data, path, timeout):
        """Send a request and return its response.

        ``timeout`` is extended with each part of the response.
        """
        connection = self._pool.take(_POOL_KEY, True)
        if connection is None:
            connection = await self._pool.connect(
                _POOL_KEY, self._address, CALL_TIMEOUT_S
            )
        is_whole = False
        connection.on_data = partial(self._note_data, path, timeout)
        try:
            response = await connection.send(data, b"", False)
            is_whole = True
        finally:
            connection.on_data = None
            if not is_whole:
                # A late response must not be taken for that of another call.
                connection.abort()
        self._pool.give_back(_POOL_KEY, connection)
        return response

    def _note_data(self, path, timeout):
        now = asyncio.get_running_loop().time()
        self._received_at_by_kind[path] = now
        if not timeout.expired():
            timeout.reschedule(max(timeout.when(), now + CALL_TIMEOUT_S))

    def _make_request(self, method, path, query, body):
        host, port = self._address
        target = "/objects/" + quote(path)
        if query:
            target += "?" + urlencode(query)
        lines = [f"{method} {target} HTTP/1.1", f"host: {host}:{port}"]
        data = b"" if body is None else orjson.dumps(body)
        if data:
            lines += ["content-type: application/json", f"content-length: {len(data)}"]
        return "\r\n".join((*lines, "", "")).encode() + data


def _make_unavailable(detail):
    return Err(make_refusal(Code.PLATFORM_UNAVAILABLE, detail=detail))


def _read_era(response):
    text = response.get_header(_ERA_HEADER)
    return int(text) if text.isdigit() else 0


def _read_json(text):
    """Parse a body; raise ``ValueError`` or ``RecursionError``.

    Anybody may write to the store. One object with invalid UTF-8, half of a
    surrogate pair or a number beyond 64 bits makes the strict parser reject
    the whole list, and no VM would receive updates while that object exists.
    The lenient parser reads the other objects.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        log_message("store:not_strict_json", level="warning", detail=str(error))
        return json.loads(text.decode("utf-8", errors="replace"))


def _read_objects(kind, items, era):
    for item in items:
        stored = _read_object(kind, item, era)
        if stored:
            yield stored


def _read_events(kind, events, era):
    for event in events:
        stored = _read_object(kind, event["object"], era)
        if stored:
            yield WatchEvent(stored, bool(event["removed"]))


def _read_object(kind, item, era):
    """Return the ``StoredObject``, ``None`` if it has no name.

    If its content cannot be encoded, the value is empty, so that the object
    is known to exist but to be unreadable.
    """
    try:
        metadata = item["metadata"]
        name = str(metadata["name"])
        version = make_version(era, int(metadata["rev"]))
        created = make_version(era, int(metadata.get("create_rev", 0)))
    except (KeyError, TypeError, ValueError) as error:
        log_message("store:unnamed_object", level="error", kind=kind, error=repr(error))
        return None
    try:
        value = orjson.dumps(item.get("spec"))
    except (TypeError, RecursionError) as error:
        log_message(
            "store:unreadable_object",
            level="error",
            kind=kind,
            name=name,
            version=version,
            error=repr(error),
        )
        value = b""
    return StoredObject(kind, name, version, value, created)
