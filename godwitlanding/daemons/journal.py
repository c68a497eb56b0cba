"""Records which tickets an entry process may run and their outcomes.

The home of a ticket writes a claim into its journal before it dispatches
the work. The journal is one object of the platform that only conditional
updates change. When the home is gone, another process closes the journal
by a conditional update too. Whatever fails, and however late a write takes
effect, the home may dispatch only claims that its closed journal contains:
a claim that is not in the closed journal is never dispatched, and one that
is in it is never run by another process. This does not depend on clocks.

Pure: the caller makes the writes and reports their results.

>>> journal = Journal("za1-entry-1")
>>> claim = journal.submit(ticket, fingerprint=7).unwrap()
>>> write = journal.begin_write()
>>> journal.end_write(write, version=1)
[claim]
>>> claim.may_dispatch
True
"""

from typing import NamedTuple

from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.daemons.journalformat import (
    CLAIMED,
    DONE,
    MAX_JOURNAL_BYTES,
    UNKNOWN,
    Entry,
    format_entry,
    format_journal,
    parse_journal,
)
from godwitlanding.daemons.ticket import JOURNALED

STILL_RUNNING_RETRY_S = 1.0
# Freeing a quarter at a time keeps the cost for each claim negligible.
TARGET_BYTES = MAX_JOURNAL_BYTES * 3 // 4
# A full journal drops outcomes early, but keeps them for at least this long:
# a caller that gets no response retries within seconds.
MIN_KEPT_S = 120


class Claim:
    """The right to run the work of a ticket; compared by identity.

    ``is_recorded`` is set once the claim is stored in the platform, and at
    once for a memory-only ticket, which is not stored.
    """

    def __init__(self, ticket, fingerprint):
        self.ticket = ticket
        self.entry = Entry(fingerprint, ticket.issued_s, CLAIMED, None)
        self.is_recorded = ticket.kind != JOURNALED
        self.is_void = False
        self.has_body = False
        self.text = format_entry(ticket.nonce, self.entry)

    @property
    def may_dispatch(self):
        """Tell whether the work may be sent to an upstream."""
        return self.is_recorded and not self.is_void


class Write(NamedTuple):
    """A conditional update to be made; ``number`` identifies it."""

    number: int
    expected_version: int
    value: bytes
    claims: tuple[Claim, ...]


class Journal:
    """The claims and outcomes of one process incarnation."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.closed_by = None
        self.forgotten_s = 0
        self.is_dirty = False
        self._claim_by_nonce = {}
        self._waiting = {}
        self._version = 0
        self._next_number = 1
        self._write_by_number = {}
        self._size = 0

    def submit(self, ticket, fingerprint, former=()):
        """Claim a ticket or return the recorded outcome of its work.

        Returns ``Ok(claim)`` for new work, ``Ok(outcome)`` for finished
        work, else ``Err(refusal)``. ``former`` has the closed journals of
        the ticket's previous homes.
        """
        held = self._claim_by_nonce.get(ticket.nonce)
        if held:
            return _check_record(held.entry, fingerprint, is_ours=True)
        for closed in former:
            entry = closed.entry_by_nonce.get(ticket.nonce)
            if entry:
                return _check_record(entry, fingerprint, is_ours=False)
        forgotten_s = max([self.forgotten_s, *(old.forgotten_s for old in former)])
        if ticket.issued_s <= forgotten_s:
            return Err(make_refusal(Code.TICKET_EXPIRED))
        if ticket.kind == JOURNALED and self.closed_by:
            return Err(make_refusal(Code.JOURNAL_UNAVAILABLE, 1.0, "journal closed"))
        if self._size > MAX_JOURNAL_BYTES:
            self._free_space(ticket.issued_s)
        if self._size > MAX_JOURNAL_BYTES:
            return Err(make_refusal(Code.JOURNAL_UNAVAILABLE, 60.0, "journal full"))
        return Ok(self._add(ticket, fingerprint))

    def holds(self, ticket):
        """Tell whether the journal has a record of the ticket."""
        return ticket.nonce in self._claim_by_nonce

    def withdraw(self, claim):
        """Remove a claim whose work was certainly not run.

        Its write may still take effect. The closed journal then contains a
        claim that no process runs, which is safe.
        """
        claim.is_void = True
        if self._claim_by_nonce.get(claim.ticket.nonce) is claim:
            self._remove(claim)

    def finish(self, claim, outcome):
        """Record the outcome of a claim, ``None`` if it is unknown."""
        state = UNKNOWN if outcome is None else DONE
        claim.entry = claim.entry._replace(state=state, outcome=outcome)
        self._set_text(claim, claim.entry)
        claim.has_body = bool(outcome and outcome.body)

    def forget(self, issued_s):
        """Drop records of tickets issued at ``issued_s`` or before.

        One write stores both the cut-off time and the removal. A ticket
        without a record is therefore run only if it is newer than every
        record ever dropped. Running work limits the cut-off time.
        """
        open_s = [
            claim.entry.issued_s
            for claim in self._claim_by_nonce.values()
            if claim.entry.state == CLAIMED
        ]
        issued_s = min([issued_s, *(at - 1 for at in open_s)])
        if issued_s <= self.forgotten_s:
            return
        self.forgotten_s = issued_s
        for claim in list(self._claim_by_nonce.values()):
            if claim.entry.issued_s <= issued_s:
                self._remove(claim)

    def drop_bodies(self, issued_s):
        """Drop response bodies of tickets issued at ``issued_s`` or before.

        This limits the journal's size, as each write contains all of it.
        """
        for claim in self._claim_by_nonce.values():
            if claim.entry.issued_s <= issued_s:
                self._drop_body(claim)

    @property
    def has_waiting_claims(self):
        """Tell whether any claim waits to be written."""
        return bool(self._waiting)

    @property
    def has_unresolved_writes(self):
        """Tell whether the result of a write is unknown.

        The caller then reads the journal back and calls ``reconcile``.
        """
        return bool(self._write_by_number)

    def begin_write(self):
        """Return the ``Write`` that stores the current records."""
        claims = tuple(
            claim
            for claim in self._claim_by_nonce.values()
            if claim.ticket.kind == JOURNALED
        )
        number = self._next_number
        self._next_number += 1
        value = format_journal(
            self.incarnation,
            number,
            None,
            self.forgotten_s,
            (claim.text for claim in claims),
        )
        write = Write(number, self._version, value, claims)
        self._write_by_number[number] = write
        self.is_dirty = False
        return write

    def end_write(self, write, version):
        """Record that a write took effect; return the claims it stored."""
        self._version = version
        # All other writes expect an older version and can't take effect.
        self._write_by_number.clear()
        recorded = [claim for claim in write.claims if claim in self._waiting]
        for claim in recorded:
            claim.is_recorded = True
            del self._waiting[claim]
        return recorded

    def fail_write(self, write):
        """Record that a write was rejected and can't take effect later."""
        self._write_by_number.pop(write.number, None)
        self.is_dirty = True

    def reconcile(self, stored):
        """Resolve writes without a response; return the claims stored.

        ``stored`` is the platform's object, ``None`` if there is none. If
        its version has not changed, a write may still take effect later.
        The next write expects the same version, so only one of them can.
        A journal that no longer exists was lost when the platform was
        restored from an older copy, and is written again.
        """
        if stored is None and self._version:
            self._version = 0
            self._write_by_number.clear()
        if stored is None or stored.version == self._version:
            self.is_dirty = True
            return []
        text = parse_journal(stored.value)
        if text.closed_by:
            self.closed_by = text.closed_by
            self._write_by_number.clear()
            return []
        self.is_dirty = True
        write = self._write_by_number.get(text.number)
        if write is None:
            self._version = stored.version
            self._write_by_number.clear()
            return []
        return self.end_write(write, stored.version)

    def void_waiting(self):
        """Withdraw the claims that wait to be written; return them."""
        waiting = list(self._waiting)
        for claim in waiting:
            self.withdraw(claim)
        return waiting

    def get_status(self):
        """Return record count, size and closing process for operators."""
        return {
            "records": len(self._claim_by_nonce),
            "bytes": self._size,
            "closed_by": self.closed_by.incarnation if self.closed_by else "",
        }

    def _free_space(self, now_s):
        """Drop the oldest bodies, then the oldest records.

        Otherwise new work that arrives faster than records expire would be
        refused for minutes while slots are idle.
        """
        for claim in self._claim_by_nonce.values():
            if self._size <= TARGET_BYTES:
                return
            self._drop_body(claim)
        cutoff_s = self._find_cutoff_s(self._size - TARGET_BYTES)
        self.forget(min(cutoff_s, now_s - MIN_KEPT_S))

    def _find_cutoff_s(self, excess_bytes):
        """Return the issue time up to which records have ``excess_bytes``."""
        claims = sorted(self._claim_by_nonce.values(), key=_get_issued_s)
        for claim in claims:
            excess_bytes -= len(claim.text)
            if excess_bytes <= 0:
                return claim.entry.issued_s
        return 0

    def _drop_body(self, claim):
        if claim.has_body:
            bare = claim.entry.outcome._replace(body=None)
            self._set_text(claim, claim.entry._replace(outcome=bare))
            claim.has_body = False

    def _add(self, ticket, fingerprint):
        claim = Claim(ticket, fingerprint)
        self._claim_by_nonce[ticket.nonce] = claim
        self._size += len(claim.text)
        if not claim.is_recorded:
            self._waiting[claim] = None
            self.is_dirty = True
        return claim

    def _remove(self, claim):
        del self._claim_by_nonce[claim.ticket.nonce]
        self._waiting.pop(claim, None)
        self._size -= len(claim.text)
        self.is_dirty = True

    def _set_text(self, claim, entry):
        self._size -= len(claim.text)
        claim.text = format_entry(claim.ticket.nonce, entry)
        self._size += len(claim.text)
        self.is_dirty = True


def close_journal(stored, incarnation, closer):
    """Return the closed journal and the bytes to write.

    ``stored`` is the platform's object, ``None`` if the home has written
    none. ``closer`` becomes the only new home. The bytes are ``None`` if the
    journal is already closed.
    """
    if stored is None:
        value = format_journal(incarnation, 0, closer, 0, ())
        return parse_journal(value), value
    text = parse_journal(stored.value)
    if text.closed_by:
        return text, None
    entries = (format_entry(*pair) for pair in text.entry_by_nonce.items())
    value = format_journal(incarnation, text.number, closer, text.forgotten_s, entries)
    return text._replace(closed_by=closer), value


def _get_issued_s(claim):
    return claim.entry.issued_s


def _check_record(entry, fingerprint, is_ours):
    if entry.fingerprint != fingerprint:
        return Err(make_refusal(Code.TICKET_MISMATCH))
    if entry.state == DONE:
        return Ok(entry.outcome)
    if entry.state == CLAIMED and is_ours:
        return Err(make_refusal(Code.STILL_RUNNING, STILL_RUNNING_RETRY_S))
    return Err(make_refusal(Code.OUTCOME_UNKNOWN))
