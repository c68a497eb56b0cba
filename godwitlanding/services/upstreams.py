"""Sends a request to the upstream that a permit names, and its answer back."""

import asyncio
from typing import NamedTuple

import aiohttp
from yarl import URL

from godwitlanding.answer import (
    SMALL_ANSWER_BYTES,
    check_head,
    read_length,
    read_refusal,
)
from godwitlanding.client import make_session
from godwitlanding.codes import RUN_NO, RUN_UNKNOWN, RUN_YES, Code, Run
from godwitlanding.headers import (
    UPSTREAM_DEADLINE,
    UPSTREAM_REQUEST_ID,
    select_answer_headers,
    select_request_headers,
)
from godwitlanding.kernel import Service
from godwitlanding.messages import (
    OUTCOME_CRASHED,
    OUTCOME_FAILED,
    OUTCOME_OK,
    OUTCOME_TIMEOUT,
)

CONNECT_TIMEOUT_S = 1.0
# Shorter than servers commonly keep an idle connection (5 s and more), so
# that a request seldom meets a connection that is just being closed.
KEEP_ALIVE_S = 3.0
READ_BUFFER_BYTES = 65_536
_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
_SKIPPED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class Attempt(NamedTuple):
    """What became of one dispatch; ``code`` is ``None`` when all is well.

    ``outcome`` goes to the arbiter, ``run`` says whether the upstream may
    have run the request.
    """

    outcome: str
    run: Run
    code: Code | None = None
    detail: str = ""


class UpstreamClient(Service):
    """Carries requests to upstreams over HTTP/1.1."""

    name = "upstreams"

    def __init__(self, context):
        self._context = context
        self._session = None
        self._fresh_session = None

    async def start(self, kernel):
        """Open the connection pools."""
        self._session = _make_session(keepalive_timeout=KEEP_ALIVE_S)
        self._fresh_session = _make_session(force_close=True)

    async def stop(self):
        """Close every connection to upstreams."""
        await self._session.close()
        await self._fresh_session.close()

    async def dispatch(self, request, permit, sink):
        """Send once to the permit's upstream; return an ``Attempt``.

        The answer goes to ``sink`` as it comes. Nothing is raised but
        ``CancelledError``, on which the connection is closed, so that the
        upstream sees that nobody waits any more.
        """
        loop = asyncio.get_running_loop()
        end = min(permit.until, request.deadline)
        try:
            async with asyncio.timeout_at(end):
                return await self._exchange(request, permit, sink, end - loop.time())
        except TimeoutError:
            return Attempt(OUTCOME_TIMEOUT, RUN_UNKNOWN, Code.UPSTREAM_TIMEOUT)
        except aiohttp.ClientConnectorError as error:
            return Attempt(OUTCOME_FAILED, RUN_NO, Code.UPSTREAM_FAILED, str(error))
        except aiohttp.ServerTimeoutError as error:
            return Attempt(OUTCOME_FAILED, RUN_NO, Code.UPSTREAM_FAILED, str(error))
        except aiohttp.ClientPayloadError as error:
            return Attempt(
                OUTCOME_FAILED, RUN_UNKNOWN, Code.UPSTREAM_TRUNCATED, str(error)
            )
        except (aiohttp.ClientError, OSError) as error:
            return Attempt(
                OUTCOME_CRASHED, RUN_UNKNOWN, Code.UPSTREAM_FAILED, repr(error)
            )

    async def _exchange(self, request, permit, sink, remaining_s):
        session = self._session if request.is_idempotent else self._fresh_session
        headers = select_request_headers(request.headers)
        if request.rest is not None and (length := request.get("content-length")):
            headers.append(("Content-Length", length))
        headers.append((UPSTREAM_DEADLINE, f"{remaining_s:.3f}"))
        headers.append((UPSTREAM_REQUEST_ID, request.id))
        async with session.request(
            request.method,
            URL(f"http://{permit.upstream_address}{request.target}", encoded=True),
            headers=headers,
            data=_make_data(request),
            allow_redirects=False,
            skip_auto_headers=_SKIPPED,
        ) as response:
            refused = read_refusal(response.status, response.headers)
            if refused:
                return Attempt(refused.outcome, RUN_NO, refused.code)
            fault = check_head(request, response.status, response.headers)
            if fault:
                response.close()
                return Attempt(OUTCOME_FAILED, RUN_UNKNOWN, Code.UPSTREAM_FAILED, fault)
            await _copy_answer(response, sink)
            outcome = OUTCOME_FAILED if response.status >= 500 else OUTCOME_OK
            return Attempt(outcome, RUN_YES)


def _make_session(**connector_options):
    return make_session(
        0,
        connector_options,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=_TIMEOUT,
        read_bufsize=READ_BUFFER_BYTES,
    )


def _make_data(request):
    if request.rest is None:
        return request.body or None

    async def stream():
        yield request.body
        async for chunk in request.rest:
            yield chunk

    return stream()


async def _copy_answer(response, sink):
    headers = select_answer_headers(response.headers.items())
    length = read_length(response.headers)
    # A short answer is read whole first: the slot is free without waiting
    # for the caller to read, and one that breaks off has not been begun.
    if length is not None and length <= SMALL_ANSWER_BYTES:
        body = await response.read()
        await sink.start(response.status, headers)
        await sink.finish(body)
        return
    await sink.start(response.status, headers)
    async for chunk in response.content.iter_any():
        await sink.write(chunk)
    await sink.finish()
