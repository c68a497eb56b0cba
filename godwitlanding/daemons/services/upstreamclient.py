"""Sends a request to one upstream and its response to the caller."""

import asyncio

import aiohttp
from yarl import URL

from godwitlanding.base.codes import RUN_NO, RUN_UNKNOWN, RUN_YES, Code
from godwitlanding.base.headers import (
    UPSTREAM_DEADLINE,
    UPSTREAM_REQUEST_ID,
    select_request_headers,
    select_response_headers,
)
from godwitlanding.base.httpclient import make_session
from godwitlanding.base.kernel import Service
from godwitlanding.base.messages import (
    OUTCOME_CRASHED,
    OUTCOME_FAILED,
    OUTCOME_OK,
    OUTCOME_TIMEOUT,
)
from godwitlanding.daemons.responsechecks import (
    SMALL_RESPONSE_BYTES,
    AttemptResult,
    check_continuation,
    check_head,
    make_range_headers,
    make_resume_point,
    read_length,
    read_upstream_refusal,
)

CONNECT_TIMEOUT_S = 1.0
# Shorter than the keep-alive timeout of common servers (5 s and more), so
# that a request is seldom sent on a connection that is just being closed.
KEEP_ALIVE_S = 3.0
# No process listens on the port, but the machine is running.
CONNECTION_REFUSED = "connection refused"
READ_BUFFER_BYTES = 65_536
_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
_SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class UpstreamClient(Service):
    """Sends requests to upstreams over HTTP/1.1."""

    name = "upstreams"

    def __init__(self, context):
        self._context = context
        self._session = None
        self._fresh_session = None
        self._echoes_id_by_address = {}

    async def start(self, kernel):
        """Open the connection pools."""
        self._session = _make_session(keepalive_timeout=KEEP_ALIVE_S)
        self._fresh_session = _make_session(force_close=True)

    async def stop(self):
        """Close every connection to upstreams."""
        await self._session.close()
        await self._fresh_session.close()

    async def dispatch(self, request, permit, response_writer):
        """Send once to the permit's upstream; return an ``AttemptResult``.

        The response is streamed to ``response_writer``. Only
        ``CancelledError`` is raised; the connection is then closed, so that
        the upstream can detect that the response is no longer needed.
        """
        loop = asyncio.get_running_loop()
        end = min(permit.until, request.deadline)
        headers = select_request_headers(request.headers)
        headers.append((UPSTREAM_DEADLINE, f"{end - loop.time():.3f}"))
        headers.append((UPSTREAM_REQUEST_ID, request.id))
        address = permit.upstream_address
        return await self.send(
            request,
            address,
            request.target,
            headers,
            end,
            response_writer,
            read_upstream_refusal,
        )

    async def send(
        self, request, address, target, headers, end, response_writer, read_refusal
    ):
        """Send once to ``address`` as ``dispatch``, until ``end`` at most.

        ``read_refusal(status, headers)`` returns the ``AttemptResult`` of a
        response that reports the request as not run, else ``None``.
        """
        try:
            async with asyncio.timeout_at(end):
                return await self._exchange(
                    request, address, target, headers, response_writer, read_refusal
                )
        # Nothing was sent on a connection that was never established. Its
        # timeout is also a TimeoutError, so the order of clauses matters.
        except aiohttp.ClientConnectorError as error:
            is_refused = isinstance(error.os_error, ConnectionRefusedError)
            detail = CONNECTION_REFUSED if is_refused else str(error)
            return AttemptResult(OUTCOME_FAILED, RUN_NO, Code.UPSTREAM_FAILED, detail)
        except aiohttp.ConnectionTimeoutError as error:
            return AttemptResult(
                OUTCOME_FAILED, RUN_NO, Code.UPSTREAM_FAILED, str(error)
            )
        except TimeoutError:
            return AttemptResult(OUTCOME_TIMEOUT, RUN_UNKNOWN, Code.UPSTREAM_TIMEOUT)
        except (aiohttp.ClientError, OSError) as error:
            return _make_disconnect_result(response_writer, repr(error))

    async def _exchange(
        self, request, address, target, headers, response_writer, read_refusal
    ):
        if response_writer.started:
            headers = headers + make_range_headers(
                response_writer.resume, response_writer.sent_bytes
            )
        if request.rest is not None and (length := request.get("content-length")):
            headers = headers + [("Content-Length", length)]
        async with self._choose_session(request, address).request(
            request.method,
            URL(f"http://{address}{target}", encoded=True),
            headers=headers,
            data=_make_data(request),
            allow_redirects=False,
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        ) as response:
            self._record_echo(address, request.id, response)
            refused = read_refusal(response.status, response.headers)
            if refused:
                return refused
            fault = _check_response(request, response, response_writer)
            if fault:
                response.close()
                return AttemptResult(
                    OUTCOME_FAILED, RUN_UNKNOWN, Code.UPSTREAM_FAILED, fault
                )
            await _copy_response(request, response, response_writer)
            outcome = OUTCOME_FAILED if response.status >= 500 else OUTCOME_OK
            return AttemptResult(outcome, RUN_YES)

    def _choose_session(self, request, address):
        """Return the session whose connections are safe for the request.

        An upstream that responds twice leaves the second response on the
        kept-alive connection, where it would be read as the response to the
        next request. The echoed request id reveals this, so an upstream that
        echoes no id, or has ever echoed a wrong one, gets a new connection
        for each request. So does a non-idempotent request: if a kept-alive
        connection closes while it is sent, its outcome is unknown.
        """
        if request.is_idempotent and self._echoes_id_by_address.get(address):
            return self._session
        return self._fresh_session

    def _record_echo(self, address, request_id, response):
        echoed_id = response.headers.get(UPSTREAM_REQUEST_ID)
        if echoed_id is not None and echoed_id != request_id:
            self._context.counters.add("answers_mixed_up", upstream=address)
            self._echoes_id_by_address[address] = False
        else:
            self._echoes_id_by_address.setdefault(address, echoed_id is not None)


def _make_disconnect_result(response_writer, detail):
    """Return the ``AttemptResult`` of a connection that was interrupted.

    Before the response has been started it counts as a crash, which the
    request may have caused. Once part of a long response has been sent it
    does not: two interruptions would reject the request as poison although
    another upstream can complete the response.
    """
    if response_writer.started:
        code = Code.UPSTREAM_TRUNCATED
        return AttemptResult(OUTCOME_FAILED, RUN_UNKNOWN, code, detail)
    return AttemptResult(OUTCOME_CRASHED, RUN_UNKNOWN, Code.UPSTREAM_FAILED, detail)


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


def _check_response(request, response, response_writer):
    fault = check_head(request, response.status, response.headers)
    if fault or not response_writer.started:
        return fault
    return check_continuation(
        response_writer.resume,
        response_writer.sent_bytes,
        response.status,
        response.headers,
    )


async def _copy_response(request, response, response_writer):
    headers = select_response_headers(response.headers.items())
    length = read_length(response.headers)
    # A short response is buffered first: the slot becomes free without waiting
    # for the caller to read, and an interrupted response has not been started.
    if (
        not response_writer.started
        and length is not None
        and length <= SMALL_RESPONSE_BYTES
    ):
        body = await response.read()
        await response_writer.start(response.status, headers)
        await response_writer.finish(body)
        return
    if not response_writer.started:
        response_writer.resume = make_resume_point(
            request, response.status, response.headers
        )
        await response_writer.start(response.status, headers)
    async for chunk in response.content.iter_any():
        await response_writer.write(chunk)
    await response_writer.finish()
