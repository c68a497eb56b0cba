"""Forwards requests to the entry processes of other VMs over HTTP."""

import asyncio
import random

from godwitlanding.base.codes import RUN_NO, RUN_UNKNOWN, Code, Run
from godwitlanding.base.headers import DEADLINE, REFUSED, RUN, select_request_headers
from godwitlanding.base.kernel import Service
from godwitlanding.base.messages import OUTCOME_FAILED, OUTCOME_UNUSED
from godwitlanding.base.tasks import Tasks
from godwitlanding.daemons.forward import HOP, Forward, sign_forward
from godwitlanding.daemons.responsechecks import AttemptResult
from godwitlanding.decisions.spill import LinkLimiter

# Two targets, so that one VM that has just died does not fail the spill. With
# more, the caller would wait for one target after another in a failed zone.
MAX_TARGETS = 2
# Covers all VMs of the present fleet. In a larger fleet a random sample is
# sent to, which bounds the messages that one poison request causes.
MAX_POISON_RECIPIENTS = 32
STATE_LIVE = "live"


class RequestForwarder(Service):
    """Forwards requests and enforces the limits of links between zones."""

    name = "passer"
    needs = ("feed", "upstreams")

    def __init__(self, context):
        self._context = context
        self._counters = context.counters
        self._port = context.settings["entry_port"]
        self._limiter_by_zone = {}
        self._tasks = Tasks()
        self._bad_until_by_vm = {}

    async def start(self, kernel):
        """Look up the required services."""
        self._feed = kernel.get("feed")
        self._upstreams = kernel.get("upstreams")

    async def stop(self):
        """Cancel poison messages that have not been sent."""
        await self._tasks.stop()

    async def forward_spill(self, request, spill, response_writer):
        """Send to an entry VM of the spill's zone, as ``forward``."""
        zone = spill.availability_zone
        end = min(spill.until, request.deadline)
        attempt = _make_refused_result(
            Code.PEER_UNREACHABLE, detail=f"no entry VM in {zone}"
        )
        for row in self._list_targets(zone)[:MAX_TARGETS]:
            attempt = await self.forward(request, row, HOP, end, response_writer)
            if attempt.code is not Code.PEER_UNREACHABLE:
                return attempt
        return attempt

    async def forward(self, request, row, kind, end, response_writer):
        """Send once to the entry process of the VM in ``row``.

        Returns an ``AttemptResult``; ``PEER_UNREACHABLE`` means that nothing
        was sent.
        """
        loop = asyncio.get_running_loop()
        key = self._feed.view.get_ticket_key()
        if key is None:
            return _make_refused_result(Code.NOT_READY, detail="no key to sign with")
        limiter = self._get_link_limiter(row.availability_zone)
        if limiter and not limiter.may_send(loop.time(), len(request.body)):
            wait_s = limiter.get_retry_after_s(loop.time())
            return _make_refused_result(Code.LINK_LIMIT, wait_s)
        zone = self._context.availability_zone
        depth = request.forward.depth + 1
        signed_forward = Forward(kind, zone, request.caller, request.id, depth)
        target = f"/s/{request.service.name}{request.target}"
        headers = select_request_headers(request.headers)
        headers += sign_forward(
            key, signed_forward, request.method, target, request.key
        )
        headers.append((DEADLINE, f"{end - loop.time():.3f}"))
        sent_bytes_before = response_writer.sent_bytes
        attempt = await self._upstreams.send(
            request,
            f"{row.address}:{self._port}",
            target,
            headers,
            end,
            response_writer,
            _read_refusal,
        )
        if limiter:
            limiter.note_bytes(
                response_writer.sent_bytes - sent_bytes_before, loop.time()
            )
        if attempt.code is Code.UPSTREAM_FAILED and attempt.run == RUN_NO:
            return _make_refused_result(Code.PEER_UNREACHABLE, detail=attempt.detail)
        return attempt

    def broadcast_poison(self, message):
        """Send a poison request's fingerprint to other entry processes.

        A poison request crashes upstreams. Its caller retries it at another
        VM or zone, which would otherwise lose two upstreams of its own
        before it rejects the request.
        """
        port = self._context.settings["entry_peer_port"]
        rows = [row for row in self._feed.view.get_vms() if row.state == STATE_LIVE]
        others = [row for row in rows if row.vm != self._context.vm]
        for row in random.sample(others, min(len(others), MAX_POISON_RECIPIENTS)):
            self._tasks.run(self._feed.pool.send(f"{row.address}:{port}", message))

    def _list_targets(self, zone):
        rows = [
            row
            for row in self._feed.view.get_vms()
            if row.availability_zone == zone and row.state == STATE_LIVE
        ]
        random.shuffle(rows)
        return rows

    def _get_link_limiter(self, zone):
        """Return the limiter of the link to ``zone``, ``None`` if unlimited.

        The configured limit is for the whole zone. Its members send
        independently, so each one limits itself to an equal share.
        """
        config = self._feed.view.get_config()
        own = self._context.availability_zone
        link = config.link_by_zones.get((own, zone)) if config else None
        if link is None or zone == own:
            return None
        members = self._feed.view.get_members()
        count = max(1, sum(member.alive for member in members))
        cached = self._limiter_by_zone.get(zone)
        if cached is None or cached[0] != (link, count):
            limiter = LinkLimiter(link.requests_per_s / count, link.bytes_per_s / count)
            cached = ((link, count), limiter)
            self._limiter_by_zone[zone] = cached
        return cached[1]


def _make_refused_result(code, retry_after_s=1.0, detail=""):
    return AttemptResult(OUTCOME_FAILED, RUN_NO, code, detail, retry_after_s)


def _read_refusal(status, headers):
    """Return the ``AttemptResult`` of a refusal, ``None`` for a response.

    Its outcome is ``OUTCOME_UNUSED``, which distinguishes a refusal by the
    other entry process from a failure to reach it.
    """
    code_text = headers.get(REFUSED)
    if code_text is None:
        return None
    try:
        code = Code(int(code_text))
        retry_after_s = float(headers.get("Retry-After", "0"))
    except ValueError:
        return AttemptResult(
            OUTCOME_FAILED, RUN_UNKNOWN, Code.UPSTREAM_FAILED, code_text
        )
    run = Run(headers.get(RUN, RUN_UNKNOWN))
    return AttemptResult(OUTCOME_UNUSED, run, code, "in another zone", retry_after_s)
