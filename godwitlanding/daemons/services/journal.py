"""Writes the journal of this process to the platform in batches.

The journal records the claims of tickets and the outcomes of their requests.
"""

import asyncio
import contextlib
import time

from eliot import log_message
from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.kernel import Service
from godwitlanding.base.log import log_error
from godwitlanding.base.tasks import Tasks
from godwitlanding.daemons.journal import Journal, close_journal
from godwitlanding.daemons.journalformat import Closer

JOURNAL_KIND = "journal"
# Outcomes wait this long for a claim to share its write; at current rates the
# next claim comes within half a second. If the process ends before the write,
# the outcome is lost, and a resubmission gets "unknown".
OUTCOME_DELAY_S = 0.5
RETRY_S = 0.1
# Each write contains all response bodies that are kept, so they are kept only
# this long. After that, a journal that another process has closed returns the
# status alone.
BODY_RETENTION_S = 60.0
CLEANUP_INTERVAL_S = 5.0
MAX_CLOSE_ATTEMPTS = 5


class JournalWriter(Service):
    """Writes the ``Journal`` of this process and closes those of others."""

    name = "journal"

    def __init__(self, context, store):
        self.journal = Journal(context.incarnation)
        self._store = store
        self._counters = context.counters
        self._settings = context.settings
        self._closer = Closer(context.vm, context.incarnation)
        self._future_by_claim = {}
        self._changed = asyncio.Event()
        self._closed_by_incarnation = {}
        self._written_at = 0.0
        self._is_failing = False
        self._tasks = Tasks()

    async def start(self, kernel):
        """Start writing changes."""
        self._tasks.run(self._write_changes())
        self._tasks.repeat(CLEANUP_INTERVAL_S, self._clean_up)

    async def stop(self):
        """Try once to write the last outcomes."""
        await self._tasks.stop()
        if self.journal.is_dirty and not self.journal.closed_by:
            await self._write()

    def get_status(self):
        """Return the counts of the journal for the status page."""
        return self.journal.get_status()

    def submit(self, ticket, fingerprint, former=()):
        """Submit a ticket; see ``Journal.submit``."""
        submitted = self.journal.submit(ticket, fingerprint, former)
        self._changed.set()
        return submitted

    async def wait_recorded(self, claim):
        """Return ``None`` once the claim may be dispatched, else a refusal.

        There is no timeout: whoever awaits it has to limit the wait, and
        withdraw the claim when the limit is reached.
        """
        if claim.may_dispatch:
            return None
        # Waiting would keep a licensed slot idle during an outage.
        if self._is_failing:
            return make_refusal(Code.JOURNAL_UNAVAILABLE, 1.0)
        if not claim.is_void:
            future = asyncio.get_running_loop().create_future()
            self._future_by_claim[claim] = future
            try:
                await future
            finally:
                self._future_by_claim.pop(claim, None)
        if claim.may_dispatch:
            return None
        return make_refusal(Code.JOURNAL_UNAVAILABLE, 1.0)

    def withdraw(self, claim):
        """Remove a claim whose request was certainly not run."""
        self.journal.withdraw(claim)
        self._changed.set()

    def finish(self, claim, outcome):
        """Record the outcome of a claim, ``None`` if it is unknown."""
        self.journal.finish(claim, outcome)
        self._changed.set()

    def get_closed(self, incarnation):
        """Return the journal of an incarnation, if it is known to be closed.

        A closed journal never changes again, so it is read only once.
        """
        return self._closed_by_incarnation.get(incarnation)

    async def close(self, incarnation):
        """Close the journal of another incarnation; return ``Ok(text)``.

        If a third process has closed it before, ``closed_by`` of the text
        names that process.
        """
        for _ in range(MAX_CLOSE_ATTEMPTS):
            stored = await self._read(incarnation)
            if stored.is_err():
                return stored
            found = stored.unwrap()
            try:
                text, value = close_journal(found, incarnation, self._closer)
            except ValueError as error:
                log_error("journal:unreadable", of=incarnation, error=str(error))
                break
            if value is None:
                self._closed_by_incarnation[incarnation] = text
                return Ok(text)
            version = found.version if found else 0
            put = await self._store.put(JOURNAL_KIND, incarnation, value, version)
            if put.is_ok():
                self._counters.add("journals_closed")
                log_message("journal:closed", of=incarnation)
                self._closed_by_incarnation[incarnation] = text
                return Ok(text)
            # After a conflict or a lost response the state has to be read.
            await asyncio.sleep(RETRY_S)
        return Err(make_refusal(Code.JOURNAL_UNAVAILABLE, 1.0))

    async def _read(self, incarnation):
        response = await self._store.get(JOURNAL_KIND, incarnation)
        if response.is_err() and response.unwrap_err().code is Code.NOT_FOUND:
            return Ok(None)
        return response

    async def _write_changes(self):
        while not self.journal.closed_by:
            await self._changed.wait()
            self._changed.clear()
            # A write whose response was lost has to be checked even without
            # new changes, since its outcomes may be missing in the platform.
            if not (self.journal.is_dirty or self.journal.has_unresolved_writes):
                continue
            await self._wait_for_batch()
            self._is_failing = not await self._write()
            if self._is_failing:
                self._changed.set()
                await asyncio.sleep(RETRY_S)
        log_error("journal:fenced", closed_by=self.journal.closed_by.incarnation)

    async def _wait_for_batch(self):
        """Wait for more changes: briefly for claims, longer for outcomes.

        A claim that comes long after the last write is written at once.
        Claims that come during a write share the next one.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + OUTCOME_DELAY_S
        while (
            not self.journal.has_waiting_claims
            and (remaining_s := end - loop.time()) > 0
        ):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            self._changed.clear()
        next_at = self._written_at + self._settings["journal_batch_s"]
        await asyncio.sleep(max(0.0, next_at - loop.time()))
        self._written_at = loop.time()

    async def _write(self):
        """Write once; return ``False`` if another write is needed."""
        if self.journal.has_unresolved_writes and not await self._settle():
            return False
        if self.journal.closed_by:
            return True
        write = self.journal.begin_write()
        put = await self._store.put(
            JOURNAL_KIND, self.journal.incarnation, write.value, write.expected_version
        )
        if put.is_ok():
            self._counters.add("journal_writes")
            self._wake_waiters(self.journal.end_write(write, put.unwrap()))
            return True
        code = put.unwrap_err().code
        self._counters.add("journal_writes_failed", code=code.name)
        if code in (Code.RATE_LIMITED, Code.VALUE_TOO_LARGE):
            self.journal.fail_write(write)
            return False
        return await self._settle() and not self.journal.is_dirty

    async def _settle(self):
        stored = await self._read(self.journal.incarnation)
        if stored.is_err():
            return False
        try:
            self._wake_waiters(self.journal.reconcile(stored.unwrap()))
        except ValueError as error:
            log_error("journal:unreadable", error=str(error))
            return False
        if self.journal.closed_by:
            self._wake_waiters(self.journal.void_waiting())
        return True

    def _wake_waiters(self, claims):
        for claim in claims:
            future = self._future_by_claim.get(claim)
            if future and not future.done():
                future.set_result(None)

    async def _clean_up(self):
        now = int(time.time())
        self.journal.drop_bodies(now - int(BODY_RETENTION_S))
        self.journal.forget(now - int(self._settings["ticket_keep_s"]))
        self._changed.set()
