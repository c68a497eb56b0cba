"""HTTP client of the platform's object API.

The API is specified in ``docs/platform_api.rst``. The client never retries:
only the code that calls it knows whether repeating a call is safe.
"""

import asyncio
import base64
import json
from typing import NamedTuple
from urllib.parse import quote

import aiohttp
from eliot import log_message
from result import Err, Ok
from yarl import URL

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.httpclient import make_session, read_body
from godwitlanding.base.storetypes import (
    MAX_VALUE_BYTES,
    StoredObject,
    VmEntry,
    VmList,
    WatchBatch,
    WatchEvent,
    find_version,
    get_revision,
)

_CODE_BY_STATUS = {
    404: Code.NOT_FOUND,
    410: Code.WATCH_EXPIRED,
    412: Code.VERSION_CONFLICT,
    413: Code.VALUE_TOO_LARGE,
    429: Code.RATE_LIMITED,
}
# Response header: revisions of the backups from which the platform has been
# restored.
_COPIES_HEADER = "Platform-Copies"
# Rate limits are counted per second, so a retry one second later falls into
# another interval.
_RATE_LIMIT_RETRY_S = 1.0
# A write has as much more time as its value takes at this rate.
_MIN_BYTES_PER_S = 64 << 10
# High enough that slow calls do not block others on a full connection pool.
# Lists of many objects take some megabytes.
MAX_RESPONSE_BYTES = 64 << 20
_MAX_CONNECTIONS = 64


class HttpStore:
    """The platform's object API over HTTP.

    ``timeout_s`` limits each call, or the pauses of a long response; a watch
    may take its own timeout in addition. If the platform was restored from a
    backup, a write conditional on a version that was lost is a conflict, and a
    watch from such a version has expired.

    >>> store = HttpStore("http://10.0.0.5:8000", 2.0)
    >>> (await store.get("config", "main")).unwrap().version
    7
    """

    def __init__(self, url, timeout_s, counters=None):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._counters = counters
        self._session = None
        self._copies = ()

    async def get(self, kind, name):
        """Return ``Ok(StoredObject)``."""
        result = await self._call("get", "GET", _object_path(kind, name))
        return result.and_then(lambda a: _read_object(kind, name, a))

    async def list(self, kind):
        """Return ``Ok(tuple of StoredObject)``."""
        result = await self._call("list", "GET", _kind_path(kind))
        return result.and_then(lambda a: _read_json(a, _read_list, kind))

    async def put(self, kind, name, value, expected_version):
        """Write if the version matches; return ``Ok(new version)``."""
        if len(value) > MAX_VALUE_BYTES:
            return Err(make_refusal(Code.VALUE_TOO_LARGE))
        if self._is_lost(expected_version):
            return Err(make_refusal(Code.VERSION_CONFLICT))
        result = await self._call(
            "put",
            "PUT",
            _object_path(kind, name),
            headers=_make_condition(expected_version),
            data=value,
        )
        return result.and_then(self._read_written_version)

    async def delete(self, kind, name, expected_version):
        """Delete if the version matches; return ``Ok(version)``."""
        if self._is_lost(expected_version):
            return Err(make_refusal(Code.VERSION_CONFLICT))
        result = await self._call(
            "delete",
            "DELETE",
            _object_path(kind, name),
            headers=_make_condition(expected_version),
        )
        return result.and_then(self._read_written_version)

    async def watch(self, kind, after, timeout_s):
        """Wait for changes of a kind; return ``Ok(WatchBatch)``.

        The batch is empty after ``timeout_s`` without a change.
        """
        if self._is_lost(after):
            return Err(make_refusal(Code.WATCH_EXPIRED))
        query = f"after={get_revision(after)}&timeout_s={timeout_s}"
        path = f"/v1/watch/{quote(kind, safe='')}?{query}"
        result = await self._call("watch", "GET", path, extra_s=timeout_s)
        if result.is_ok() and self._is_lost(after):
            # The restored platform may reuse that revision for another change.
            return Err(make_refusal(Code.WATCH_EXPIRED))
        return result.and_then(lambda a: _read_json(a, _read_batch, kind))

    async def list_vms(self):
        """Return ``Ok(VmList)``."""
        result = await self._call("list_vms", "GET", "/v1/vms")
        return result.and_then(lambda a: _read_json(a, _read_vms))

    async def close(self):
        """Close every connection."""
        if self._session:
            await self._session.close()

    async def _call(self, operation, method, path, extra_s=0.0, **keywords):
        result = await self._send(method, path, extra_s, keywords)
        if self._counters:
            outcome = "OK" if result.is_ok() else result.unwrap_err().code.name
            self._counters.add("platform_calls", operation=operation, outcome=outcome)
        return result

    async def _send(self, method, path, extra_s, keywords):
        timeout = self._make_timeout(extra_s, keywords.get("data"))
        url = URL(self._url + path, encoded=True)
        try:
            # A server in trouble may send interim responses without end.
            async with asyncio.timeout(timeout.total or self._timeout_s + extra_s):
                response = await self._get_session().request(
                    method, url, timeout=timeout, **keywords
                )
            async with response:
                body = await read_body(response, MAX_RESPONSE_BYTES, self._timeout_s)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _make_unavailable(repr(error))
        copies = _read_copies(response.headers.get(_COPIES_HEADER, ""))
        if len(copies) > len(self._copies):
            log_message("store:restored", copies=copies)
            self._copies = copies
        if response.status in (200, 201):
            return Ok(_Reply(response.headers.get("ETag", ""), body, copies))
        if response.status not in _CODE_BY_STATUS:
            return _make_unavailable(f"answered {response.status}")
        code = _CODE_BY_STATUS[response.status]
        retry_after_s = _RATE_LIMIT_RETRY_S if code is Code.RATE_LIMITED else 0.0
        return Err(make_refusal(code, retry_after_s))

    def _make_timeout(self, extra_s, data):
        """Return the time-outs of a call; a long response has no limit.

        What counts is that it goes on arriving: 1 MB takes 1.6 s on a link of
        5 Mbit/s.
        """
        if data is not None:
            total_s = self._timeout_s + len(data) / _MIN_BYTES_PER_S
            return aiohttp.ClientTimeout(total=total_s)
        return aiohttp.ClientTimeout(
            total=None, connect=self._timeout_s, sock_read=self._timeout_s + extra_s
        )

    def _read_written_version(self, reply):
        if len(reply.copies) < len(self._copies):
            return _make_unavailable("written before the platform was restored")
        return _read_json(reply, _read_version)

    def _is_lost(self, version):
        return find_version(get_revision(version), self._copies) != version

    def _get_session(self):
        # A session needs a running event loop, so it is created on first use.
        if self._session is None:
            self._session = make_session(_MAX_CONNECTIONS)
        return self._session


class _Reply(NamedTuple):
    etag: str
    body: bytes
    copies: tuple[int, ...]


def _make_unavailable(detail):
    return Err(make_refusal(Code.PLATFORM_UNAVAILABLE, detail=detail))


def _kind_path(kind):
    return f"/v1/objects/{quote(kind, safe='')}"


def _object_path(kind, name):
    return f"{_kind_path(kind)}/{quote(name, safe='')}"


def _make_condition(expected_version):
    if expected_version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{get_revision(expected_version)}"'}


def _read_copies(text):
    parts = [part.strip() for part in text.split(",")]
    return tuple(int(part) for part in parts if part.isdecimal())


def _read_object(kind, name, reply):
    revision = reply.etag.strip('"')
    if not revision.isdecimal():
        return _make_unavailable(f"ETag {reply.etag!r} is no version")
    version = find_version(int(revision), reply.copies)
    return Ok(StoredObject(kind, name, version, reply.body))


def _read_json(reply, read, *arguments):
    # A response that violates the specification counts as no response.
    try:
        return Ok(read(json.loads(reply.body), reply.copies, *arguments))
    except (ValueError, KeyError, TypeError) as error:
        return _make_unavailable(f"answer cannot be read: {error!r}")


def _read_version(value, copies):
    return find_version(int(value["version"]), copies)


def _read_stored(row, copies, kind):
    value = base64.b64decode(row["value"])
    return StoredObject(kind, row["name"], _read_version(row, copies), value)


def _read_list(value, copies, kind):
    return tuple(_read_stored(row, copies, kind) for row in value["objects"])


def _read_batch(value, copies, kind):
    events = tuple(
        WatchEvent(_read_stored(row, copies, kind), bool(row["deleted"]))
        for row in value["events"]
    )
    return WatchBatch(_read_version(value, copies), events)


def _read_vms(value, copies):
    vms = tuple(
        VmEntry(row["vm"], row["address"], row["availability_zone"], row["state"])
        for row in value["vms"]
    )
    return VmList(int(value["version"]), vms)
