"""Runs non-idempotent requests at most once under caller-chosen keys.

Each request costs one conditional create in the platform, while the claims of
tickets share writes. Callers should therefore use tickets if they can.
"""

import asyncio
import time
import uuid

from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.kernel import Service
from godwitlanding.base.log import log_error
from godwitlanding.base.tasks import Tasks
from godwitlanding.daemons.journalformat import CLAIMED, DONE, UNKNOWN
from godwitlanding.daemons.keyrecord import (
    MAX_KEY_CHARS,
    KeyRecord,
    format_record,
    make_name,
    parse_record,
)
from godwitlanding.daemons.request import compute_body_fingerprint
from godwitlanding.daemons.services.claimrunner import replay_response

CLAIM_KIND = "claim"
RETRY_S = 0.1
MAX_WRITE_ATTEMPTS = 5
CLEANUP_INTERVAL_S = 5.0
# Deletes count as writes and nothing waits for them, so few are made at once.
CLEANUP_BATCH_SIZE = 10


class IdempotencyKeyService(Service):
    """Claims the keys of callers in the platform and stores their outcomes."""

    name = "keys"
    needs = ("feed", "once")

    def __init__(self, context, store):
        self._context = context
        self._counters = context.counters
        self._store = store
        self._held_key_by_name = {}
        self._tasks = Tasks()

    async def start(self, kernel):
        """Start deleting expired claims."""
        self._once = kernel.get("once")
        self._view = kernel.get("feed").view
        self._tasks.repeat(CLEANUP_INTERVAL_S, self._clean_up)

    async def stop(self):
        """Wait for the pending writes of outcomes, then stop."""
        writes = [
            held.write_task
            for held in self._held_key_by_name.values()
            if held.write_task
        ]
        if writes:
            await asyncio.wait(writes)
        await self._tasks.stop()

    async def run(self, request, sink):
        """Run a request or replay its response; return any ``Refusal``."""
        if len(request.key) > MAX_KEY_CHARS:
            return make_refusal(Code.MALFORMED_REQUEST, detail="Idempotency-Key")
        name = make_name(request.service.name, request.key)
        fingerprint = compute_body_fingerprint(request)
        if name in self._held_key_by_name:
            return await self._respond(
                self._held_key_by_name[name].record, fingerprint, sink
            )
        context = self._context
        record = KeyRecord(
            uuid.uuid4().hex, context.vm, context.incarnation, fingerprint
        )
        held = _HeldKey(self, name, record)
        # Stored before the first await, so that a concurrent submission does
        # not claim the key as well.
        self._held_key_by_name[name] = held
        try:
            found = await self._claim(held)
        except asyncio.CancelledError:
            held.withdraw()
            raise
        if found.is_err():
            held.withdraw()
            return found.unwrap_err()
        if found.unwrap():
            del self._held_key_by_name[name]
            return await self._respond(found.unwrap(), fingerprint, sink)
        return await self._once.run(request, sink, held)

    async def _claim(self, held):
        """Claim a key; return ``Ok(None)``, or ``Ok(record)`` of its owner."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            value = format_record(held.record)
            put = await self._store.put(CLAIM_KIND, held.name, value, held.version)
            if put.is_ok():
                held.version = put.unwrap()
                return Ok(None)
            if put.unwrap_err().code is Code.RATE_LIMITED:
                break
            stored = await self._store.get(CLAIM_KIND, held.name)
            if stored.is_err():
                if stored.unwrap_err().code is Code.NOT_FOUND:
                    held.version = 0
                    continue
                break
            found = self._parse(stored.unwrap().value)
            if found is None:
                break
            if found.claim_id == held.record.claim_id:
                held.version = stored.unwrap().version
                return Ok(None)
            if not self._is_own_abandoned_claim(found):
                return Ok(found)
            held.version = stored.unwrap().version
        return Err(make_refusal(Code.JOURNAL_UNAVAILABLE, 1.0))

    def _is_own_abandoned_claim(self, found):
        """Return whether the claim is of this process and was never run.

        This happens when the response to a create is lost and the process
        gives the claim up before the create takes effect. The process still
        holds every key that it has run.
        """
        is_ours = found.incarnation == self._context.incarnation
        return is_ours and found.state == CLAIMED

    async def _respond(self, record, fingerprint, sink):
        if record.fingerprint != fingerprint:
            return make_refusal(Code.TICKET_MISMATCH)
        if record.state == DONE:
            return await replay_response(record.outcome, sink)
        if record.state == CLAIMED and self._may_still_run(record):
            return make_refusal(Code.STILL_RUNNING, 1.0)
        return make_refusal(Code.OUTCOME_UNKNOWN)

    def _may_still_run(self, record):
        if record.incarnation == self._context.incarnation:
            return True
        member = self._view.find_member(record.vm)
        if member:
            return member.alive and member.entry_incarnation == record.incarnation
        return any(row.vm == record.vm for row in self._view.get_vms())

    def _parse(self, value):
        try:
            return parse_record(value)
        except ValueError as error:
            log_error("keys:unreadable", error=str(error))
            return None

    async def write_outcome(self, held):
        """Write the record of a key, with at most ``MAX_WRITE_ATTEMPTS``."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            value = format_record(held.record)
            put = await self._store.put(CLAIM_KIND, held.name, value, held.version)
            if put.is_ok():
                held.version = put.unwrap()
                return
            await asyncio.sleep(RETRY_S)
            stored = await self._store.get(CLAIM_KIND, held.name)
            if stored.is_ok():
                held.version = stored.unwrap().version
            elif stored.unwrap_err().code is Code.NOT_FOUND:
                held.version = 0
        self._counters.add("key_outcomes_lost")

    async def delete(self, held):
        """Delete the claim of a request that was not run or has expired."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            result = await self._store.delete(CLAIM_KIND, held.name, held.version)
            if result.is_ok() or result.unwrap_err().code is Code.NOT_FOUND:
                return
            await asyncio.sleep(RETRY_S)
            stored = await self._store.get(CLAIM_KIND, held.name)
            if stored.is_ok():
                found = self._parse(stored.unwrap().value)
                if found is None or found.claim_id != held.record.claim_id:
                    return
                held.version = stored.unwrap().version

    def release_key(self, held):
        """Remove a key whose request was not run, and its claim if any."""
        self._held_key_by_name.pop(held.name, None)
        if held.version or held.is_unsure:
            self._tasks.run(self.delete(held))

    def save_outcome(self, held):
        """Start writing the outcome of a request that was run."""
        held.write_task = self._tasks.run(self.write_outcome(held))

    async def _clean_up(self):
        oldest = time.monotonic() - self._context.settings["ticket_keep_s"]
        old = [
            held
            for held in self._held_key_by_name.values()
            if held.record.state != CLAIMED and held.claimed_at < oldest
        ]
        for held in old[:CLEANUP_BATCH_SIZE]:
            await self.delete(held)
            self._held_key_by_name.pop(held.name, None)


class _HeldKey:
    """A key that this process claims; the ``Record`` of ``once``."""

    def __init__(self, service, name, record):
        self.name = name
        self.record = record
        self.version = 0
        self.is_unsure = True
        self.claimed_at = time.monotonic()
        self.write_task = None
        self._service = service

    async def confirm(self):
        return None

    def withdraw(self):
        self._service.release_key(self)

    def finish(self, outcome):
        state = UNKNOWN if outcome is None else DONE
        self.record = self.record._replace(state=state, outcome=outcome)
        self._service.save_outcome(self)
