"""Callers who follow the steer answers, and a tally of what they receive.

They keep an answer for its max-age, try its choices in turn, press again
with the same ticket when an answer is lost, and check every body. Nothing
here asks the system under test how it fared.
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
PRESS_AGAIN_S = 0.3
STEER_TIMEOUT_S = 3.0
# Longer than every deadline of the samples: the system answers first.
GIVE_UP_S = 90.0
BUNDLE_BYTES = 300_000
_BREAKS = (aiohttp.ClientError, OSError, TimeoutError)


class Reply(NamedTuple):
    """An answer as it came; ``status`` 0 where none came whole.

    ``lost`` says how it was lost: refused (no connection), broken (before
    the head) or cut (within the body).
    """

    status: int
    body: bytes = b""
    problem: dict = {}
    lost: str = ""


class Caller:
    """One caller with its own name, cache of answers and session."""

    def __init__(self, name, steer_urls, is_killed, tally, session):
        self.name = name
        self._steer_urls = steer_urls
        self._is_killed = is_killed
        self._tally = tally
        self._session = session
        self._answer_by_service = {}

    async def look_up(self, service):
        """Return the choices for a service, from the cache while it holds."""
        now = asyncio.get_running_loop().time()
        choices, until = self._answer_by_service.get(service, ((), 0.0))
        if now < until:
            return choices
        answer = await self._ask_steer("GET", f"/v1/steer/{service}")
        if answer is None:
            return choices
        choices = tuple(choice["url"] for choice in answer["choices"])
        self._answer_by_service[service] = (choices, now + answer["max_age_s"])
        return choices

    async def get(self, service, request_id, query=""):
        """Make a look-up; note how it ended."""
        path = f"/x?id={request_id}{query}"

        await self._try_choices(service, request_id, path, is_intact)

    async def download(self, service, request_id, chunk_ms=0, size=BUNDLE_BYTES):
        """Fetch a bundle; note how it ended."""
        path = f"/x?bundle={request_id}&bytes={size}&chunk_ms={chunk_ms}"

        def check(body, bundle):
            return body == make_bundle(bundle, size)

        await self._try_choices(service, request_id, path, check)

    async def pay(self, service, request_id, query=""):
        """Do non-idempotent work once; press again while it is open."""
        began = asyncio.get_running_loop().time()
        tally = self._tally
        tally.begin(service)
        issued = await self._ask_steer("POST", f"/v1/tickets/{service}")
        if issued is None:
            tally.end(service, RequestResult("refused", "NO_TICKET"), began, request_id)
            return
        choices = [issued["url"], *await self.look_up(service)]
        reply = Reply(0, lost="refused")
        for number in range(MAX_TRIES):
            url = choices[number % len(choices)]
            headers = {"Idempotency-Key": issued["ticket"]}
            path = f"/x?id={request_id}{query}"
            latest = await self._send("POST", url + path, headers)
            # What a VM said counts for more than a port that is closed.
            reply = latest if latest.lost != "refused" else reply
            if reply.status == 200 or _is_final_refusal(reply):
                break
            self._note_lost(service, url, latest)
            await asyncio.sleep(PRESS_AGAIN_S * (number + 1))
        tally.end(
            service, _judge(reply, request_id, is_intact, True), began, request_id
        )

    async def _try_choices(self, service, request_id, path, check):
        began = asyncio.get_running_loop().time()
        self._tally.begin(service)
        reply = Reply(0, lost="refused")
        for number in range(MAX_TRIES):
            choices = await self.look_up(service)
            if not choices:
                await asyncio.sleep(PRESS_AGAIN_S)
                continue
            url = choices[number % len(choices)]
            reply = await self._send("GET", url + path)
            if reply.status:
                break
            self._note_lost(service, url, reply)
        result = _judge(reply, request_id, check, False)
        self._tally.end(service, result, began, request_id)

    def _note_lost(self, service, url, reply):
        if reply.lost in ("broken", "cut") and not self._is_killed(url):
            self._tally.note_cut(service, url, reply.lost)
        self._tally.note_retry(service, _name_reason(reply))

    async def _ask_steer(self, method, path):
        timeout = aiohttp.ClientTimeout(total=STEER_TIMEOUT_S)
        for number in range(MAX_TRIES):
            # Each caller begins at its own VM, so that all are asked.
            index = (crc32(self.name.encode()) + number) % len(self._steer_urls)
            try:
                async with self._session.request(
                    method,
                    self._steer_urls[index] + path,
                    headers={"X-Caller": self.name},
                    timeout=timeout,
                ) as answer:
                    if answer.status in (200, 201):
                        return await answer.json()
            except _BREAKS:
                pass
            await asyncio.sleep(PRESS_AGAIN_S if number else 0)
        return None

    async def _send(self, method, url, headers=None):
        headers = {"X-Caller": self.name, **(headers or {})}
        timeout = aiohttp.ClientTimeout(total=GIVE_UP_S)
        lost = "refused"
        try:
            async with self._session.request(
                method, url, headers=headers, timeout=timeout
            ) as answer:
                lost = "cut"
                body = await answer.read()
        except aiohttp.ClientConnectorError:
            return Reply(0, lost="refused")
        except _BREAKS:
            return Reply(0, lost="cut" if lost == "cut" else "broken")
        return Reply(answer.status, body, _read_problem(answer, body))


def make_caller_session():
    """Return the session that all callers of a run share."""
    return make_session(0)


def _read_problem(answer, body):
    if answer.content_type != "application/problem+json":
        return {}
    try:
        return json.loads(body)
    except ValueError:
        return {}


def _is_final_refusal(reply):
    return reply.problem.get("run") == "no"


def _name_reason(reply):
    return reply.problem.get("name") or reply.lost or f"status {reply.status}"


def _judge(reply, request_id, check, is_transaction):
    if reply.status in (200, 201):
        if check(reply.body, request_id):
            return RequestResult("complete")
        return RequestResult("wrong", "the body is not the request's own whole answer")
    if _is_final_refusal(reply):
        return RequestResult("refused", _name_reason(reply))
    if is_transaction:
        return RequestResult("unknown", _name_reason(reply))
    if reply.status:
        return RequestResult("refused", _name_reason(reply))
    return RequestResult("lost", _name_reason(reply))
