"""Callers that follow steer responses and record the result of each request.

They cache a steer response for its max-age, try its choices in turn, retry
with the same ticket when a response is lost, and check every body. They use
no statistics of the system under test.
"""

import asyncio
import json
from typing import NamedTuple
from zlib import crc32

import aiohttp

from godwitlanding.base.httpclient import make_session
from godwitlanding.tests.load.tally import RequestResult
from godwitlanding.tests.standins.bodies import is_intact, make_bundle

MAX_TRIES = 6
RETRY_DELAY_S = 0.3
STEER_TIMEOUT_S = 3.0
# Longer than every deadline in the sample configuration, so that the system
# responds first.
RESPONSE_TIMEOUT_S = 90.0
BUNDLE_BYTES = 300_000
_CONNECTION_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


class Reply(NamedTuple):
    """A response; ``status`` is 0 if no complete response was received.

    ``failure`` is then "refused" (no connection), "broken" (the connection
    broke before the response head) or "cut" (it broke within the body).
    """

    status: int
    body: bytes = b""
    problem: dict = {}
    failure: str = ""


class Caller:
    """One caller with its own name and cache of steer responses."""

    def __init__(self, name, steer_urls, is_killed, tally, session):
        self.name = name
        self._steer_urls = steer_urls
        self._is_killed = is_killed
        self._tally = tally
        self._session = session
        self._choices_by_service = {}

    async def get_choices(self, service):
        """Return the URLs for a service, from the cache until it expires."""
        now = asyncio.get_running_loop().time()
        choices, expires_at = self._choices_by_service.get(service, ((), 0.0))
        if now < expires_at:
            return choices
        response = await self._query_steer("GET", f"/v1/steer/{service}")
        if response is None:
            return choices
        choices = tuple(choice["url"] for choice in response["choices"])
        self._choices_by_service[service] = (choices, now + response["max_age_s"])
        return choices

    async def get(self, service, request_id, query=""):
        """Send an idempotent request; record its result."""
        path = f"/x?id={request_id}{query}"

        await self._try_choices(service, request_id, path, is_intact)

    async def download(self, service, request_id, chunk_ms=0, size=BUNDLE_BYTES):
        """Download a bundle; record its result."""
        path = f"/x?bundle={request_id}&bytes={size}&chunk_ms={chunk_ms}"

        def check(body, bundle):
            return body == make_bundle(bundle, size)

        await self._try_choices(service, request_id, path, check)

    async def send_transaction(self, service, request_id, query=""):
        """Send a non-idempotent request; retry until its result is known."""
        began = asyncio.get_running_loop().time()
        tally = self._tally
        tally.begin(service)
        issued = await self._query_steer("POST", f"/v1/tickets/{service}")
        if issued is None:
            tally.end(service, RequestResult("refused", "NO_TICKET"), began, request_id)
            return
        choices = [issued["url"], *await self.get_choices(service)]
        reply = Reply(0, failure="refused")
        for number in range(MAX_TRIES):
            url = choices[number % len(choices)]
            headers = {"Idempotency-Key": issued["ticket"]}
            path = f"/x?id={request_id}{query}"
            latest_reply = await self._send("POST", url + path, headers)
            # A VM's response takes precedence over a refused connection.
            reply = latest_reply if latest_reply.failure != "refused" else reply
            if reply.status == 200 or _is_final_refusal(reply):
                break
            self._record_failure(service, url, latest_reply)
            await asyncio.sleep(RETRY_DELAY_S * (number + 1))
        tally.end(
            service, _classify(reply, request_id, is_intact, True), began, request_id
        )

    async def _try_choices(self, service, request_id, path, check):
        began = asyncio.get_running_loop().time()
        self._tally.begin(service)
        reply = Reply(0, failure="refused")
        for number in range(MAX_TRIES):
            choices = await self.get_choices(service)
            if not choices:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            url = choices[number % len(choices)]
            reply = await self._send("GET", url + path)
            if reply.status:
                break
            self._record_failure(service, url, reply)
        result = _classify(reply, request_id, check, False)
        self._tally.end(service, result, began, request_id)

    def _record_failure(self, service, url, reply):
        if reply.failure in ("broken", "cut") and not self._is_killed(url):
            self._tally.count_cut(service, url, reply.failure)
        self._tally.count_retry(service, _get_reason(reply))

    async def _query_steer(self, method, path):
        timeout = aiohttp.ClientTimeout(total=STEER_TIMEOUT_S)
        for number in range(MAX_TRIES):
            # The first VM depends on the caller, so that all VMs are used.
            index = (crc32(self.name.encode()) + number) % len(self._steer_urls)
            try:
                async with self._session.request(
                    method,
                    self._steer_urls[index] + path,
                    headers={"X-Caller": self.name},
                    timeout=timeout,
                ) as response:
                    if response.status in (200, 201):
                        return await response.json()
            except _CONNECTION_ERRORS:
                pass
            await asyncio.sleep(RETRY_DELAY_S if number else 0)
        return None

    async def _send(self, method, url, headers=None):
        headers = {"X-Caller": self.name, **(headers or {})}
        timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
        failure = "refused"
        try:
            async with self._session.request(
                method, url, headers=headers, timeout=timeout
            ) as response:
                failure = "cut"
                body = await response.read()
        except aiohttp.ClientConnectorError:
            return Reply(0, failure="refused")
        except _CONNECTION_ERRORS:
            return Reply(0, failure="cut" if failure == "cut" else "broken")
        return Reply(response.status, body, _parse_problem(response, body))


def make_caller_session():
    """Return the HTTP session that all callers of a run share."""
    return make_session(0)


def _parse_problem(response, body):
    if response.content_type != "application/problem+json":
        return {}
    try:
        return json.loads(body)
    except ValueError:
        return {}


def _is_final_refusal(reply):
    return reply.problem.get("run") == "no"


def _get_reason(reply):
    return reply.problem.get("name") or reply.failure or f"status {reply.status}"


def _classify(reply, request_id, check, is_transaction):
    if reply.status in (200, 201):
        if check(reply.body, request_id):
            return RequestResult("complete")
        return RequestResult(
            "wrong", "the body is not the complete response to this request"
        )
    if _is_final_refusal(reply):
        return RequestResult("refused", _get_reason(reply))
    if is_transaction:
        return RequestResult("unknown", _get_reason(reply))
    if reply.status:
        return RequestResult("refused", _get_reason(reply))
    return RequestResult("lost", _get_reason(reply))
