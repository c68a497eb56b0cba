"""A client of the platform's object API over HTTP.

The contract stands in ``docs/platform_api.rst``. Nothing here retries: only
the caller knows whether doing it twice is safe.
"""

import base64
import json
from typing import NamedTuple
from urllib.parse import quote

import aiohttp
from result import Err, Ok
from yarl import URL

from godwitlanding.base.client import make_session
from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.stored import (
    MAX_VALUE_BYTES,
    StoredObject,
    VmEntry,
    VmList,
    WatchBatch,
    WatchEvent,
)

_CODE_BY_STATUS = {
    404: Code.NOT_FOUND,
    410: Code.WATCH_EXPIRED,
    412: Code.VERSION_CONFLICT,
    413: Code.VALUE_TOO_LARGE,
    429: Code.RATE_LIMITED,
}
# Rate limits are counted by the second, so a second later is another count.
_RATE_LIMIT_RETRY_S = 1.0
# One slow call must not hold up the others behind a full connection pool.
_MAX_CONNECTIONS = 64


class HttpStore:
    """The platform's object API over HTTP.

    ``timeout_s`` bounds each call; a watch may take its own time on top.

    >>> store = HttpStore("http://10.0.0.5:8000", 2.0)
    >>> (await store.get("config", "main")).unwrap().version
    7
    """

    def __init__(self, url, timeout_s, counters=None):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._counters = counters
        self._session = None

    async def get(self, kind, name):
        """Return ``Ok(StoredObject)``."""
        answer = await self._call("get", "GET", _object_path(kind, name))
        return answer.and_then(lambda a: _read_object(kind, name, a))

    async def list(self, kind):
        """Return ``Ok(tuple of StoredObject)``."""
        answer = await self._call("list", "GET", _kind_path(kind))
        return answer.and_then(lambda a: _read_json(a, _read_list, kind))

    async def put(self, kind, name, value, expected_version):
        """Write if the version is as expected; ``Ok(new version)``."""
        if len(value) > MAX_VALUE_BYTES:
            return Err(make_refusal(Code.VALUE_TOO_LARGE))
        answer = await self._call(
            "put",
            "PUT",
            _object_path(kind, name),
            headers=_make_condition(expected_version),
            data=value,
        )
        return answer.and_then(lambda a: _read_json(a, _read_version))

    async def delete(self, kind, name, expected_version):
        """Delete if the version is as expected; ``Ok(version)``."""
        answer = await self._call(
            "delete",
            "DELETE",
            _object_path(kind, name),
            headers=_make_condition(expected_version),
        )
        return answer.and_then(lambda a: _read_json(a, _read_version))

    async def watch(self, kind, after, timeout_s):
        """Wait for changes of a kind; ``Ok(WatchBatch)``, maybe empty."""
        path = f"/v1/watch/{quote(kind, safe='')}?after={after}&timeout_s={timeout_s}"
        answer = await self._call("watch", "GET", path, extra_s=timeout_s)
        return answer.and_then(lambda a: _read_json(a, _read_batch, kind))

    async def list_vms(self):
        """Return ``Ok(VmList)``."""
        answer = await self._call("list_vms", "GET", "/v1/vms")
        return answer.and_then(lambda a: _read_json(a, _read_vms))

    async def close(self):
        """Close every connection."""
        if self._session:
            await self._session.close()

    async def _call(self, operation, method, path, extra_s=0.0, **keywords):
        answer = await self._send(method, path, extra_s, keywords)
        if self._counters:
            outcome = "OK" if answer.is_ok() else answer.unwrap_err().code.name
            self._counters.add("platform_calls", operation=operation, outcome=outcome)
        return answer

    async def _send(self, method, path, extra_s, keywords):
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + extra_s)
        url = URL(self._url + path, encoded=True)
        try:
            async with self._get_session().request(
                method, url, timeout=timeout, **keywords
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _make_unavailable(repr(error))
        if response.status in (200, 201):
            return Ok(_Answer(response.headers.get("ETag", ""), body))
        if response.status not in _CODE_BY_STATUS:
            return _make_unavailable(f"answered {response.status}")
        code = _CODE_BY_STATUS[response.status]
        retry_after_s = _RATE_LIMIT_RETRY_S if code is Code.RATE_LIMITED else 0.0
        return Err(make_refusal(code, retry_after_s))

    def _get_session(self):
        # A session belongs to a running loop, so it cannot be made earlier.
        if self._session is None:
            self._session = make_session(_MAX_CONNECTIONS)
        return self._session


class _Answer(NamedTuple):
    etag: str
    body: bytes


def _make_unavailable(detail):
    return Err(make_refusal(Code.PLATFORM_UNAVAILABLE, detail=detail))


def _kind_path(kind):
    return f"/v1/objects/{quote(kind, safe='')}"


def _object_path(kind, name):
    return f"{_kind_path(kind)}/{quote(name, safe='')}"


def _make_condition(expected_version):
    if expected_version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected_version}"'}


def _read_object(kind, name, answer):
    version = answer.etag.strip('"')
    if not version.isdecimal():
        return _make_unavailable(f"ETag {answer.etag!r} is no version")
    return Ok(StoredObject(kind, name, int(version), answer.body))


def _read_json(answer, read, *arguments):
    # An answer that is not what the page says is as good as none.
    try:
        return Ok(read(json.loads(answer.body), *arguments))
    except (ValueError, KeyError, TypeError) as error:
        return _make_unavailable(f"answer cannot be read: {error!r}")


def _read_version(value):
    return int(value["version"])


def _read_stored(row, kind):
    value = base64.b64decode(row["value"])
    return StoredObject(kind, row["name"], int(row["version"]), value)


def _read_list(value, kind):
    return tuple(_read_stored(row, kind) for row in value["objects"])


def _read_batch(value, kind):
    events = tuple(
        WatchEvent(_read_stored(row, kind), bool(row["deleted"]))
        for row in value["events"]
    )
    return WatchBatch(int(value["version"]), events)


def _read_vms(value):
    vms = tuple(
        VmEntry(row["vm"], row["address"], row["availability_zone"], row["state"])
        for row in value["vms"]
    )
    return VmList(int(value["version"]), vms)
