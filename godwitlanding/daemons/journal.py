"""The journal of one entry process: which tickets it may run, and did.

A home writes a ticket's claim into its journal, one object of the platform
changed by conditional update only, before it dispatches the work. When the
home is gone another process closes the journal by the same means. Whatever
fails, and however late a write takes effect, the claims that the home may
dispatch are exactly those which its closed journal holds: a claim that
came too late for the journal is never dispatched, and one that made it is
never run by anybody else. No clock has a part in this.

Pure: the caller does the writes and tells how they ended.

>>> journal = Journal("za1-entry-1")
>>> claim = journal.press(ticket, fingerprint=7).unwrap()
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
# Rarely enough that making room costs nothing a press.
TARGET_BYTES = MAX_JOURNAL_BYTES * 3 // 4
# A full journal keeps outcomes for a shorter time, but for this long: a
# caller that got no answer presses again within seconds.
MIN_KEPT_S = 120


class Claim:
    """One press that may become a run; known by its identity.

    ``is_recorded`` tells that the claim is in the platform (or needs not
    be, for a memory-only ticket).
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
    """A conditional update to be made; ``number`` tells writes apart."""

    number: int
    expected_version: int
    value: bytes
    claims: tuple[Claim, ...]


class Journal:
    """Claims and outcomes of one incarnation."""

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

    def press(self, ticket, fingerprint, former=()):
        """Return ``Ok(claim)`` for new work, ``Ok(outcome)`` for done work.

        ``former`` are the closed journals of the homes before this one.
        ``Err(refusal)`` says why there is neither.
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
        """Tell whether there is a record of the ticket."""
        return ticket.nonce in self._claim_by_nonce

    def withdraw(self, claim):
        """Forget a claim that was certainly not run.

        Its write may still take effect; then the closed journal holds a
        claim that nobody runs, which is safe.
        """
        claim.is_void = True
        if self._claim_by_nonce.get(claim.ticket.nonce) is claim:
            self._remove(claim)

    def finish(self, claim, outcome):
        """Record the outcome; ``None`` where it is not known."""
        state = UNKNOWN if outcome is None else DONE
        claim.entry = claim.entry._replace(state=state, outcome=outcome)
        self._set_text(claim, claim.entry)
        claim.has_body = bool(outcome and outcome.body)

    def forget(self, issued_s):
        """Drop ended work whose ticket was issued at ``issued_s`` or before.

        The mark goes into the journal with the same write as the loss of
        the records, so a ticket without record is run only if it is newer
        than every record that was ever dropped. Work under way holds the
        mark back.
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
        """Write no bodies of answers to tickets of ``issued_s`` or before.

        For room in the journal, each write of which carries it whole.
        """
        for claim in self._claim_by_nonce.values():
            if claim.entry.issued_s <= issued_s:
                self._drop_body(claim)

    @property
    def has_waiting_claims(self):
        """Tell whether a claim waits for a write."""
        return bool(self._waiting)

    @property
    def has_unresolved_writes(self):
        """Tell whether a write's answer was lost: read back, then settle."""
        return bool(self._write_by_number)

    def begin_write(self):
        """Return the ``Write`` that brings the platform up to date."""
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
        """The write took effect; return the claims that it recorded."""
        self._version = version
        # All other writes were made under an older version: none of them
        # can take effect any more.
        self._write_by_number.clear()
        recorded = [claim for claim in write.claims if claim in self._waiting]
        for claim in recorded:
            claim.is_recorded = True
            del self._waiting[claim]
        return recorded

    def fail_write(self, write):
        """The write was turned away and can never take effect."""
        self._write_by_number.pop(write.number, None)
        self.is_dirty = True

    def reconcile(self, stored):
        """Learn from reading back what became of writes without an answer.

        ``stored`` is the platform's object, ``None`` for none. Where it is
        as old as before, a write may still take effect later; the next one
        is made under the same version, so only one of them can. A journal
        that was there and is not has gone with a platform that was restored
        from an older copy, and is written anew.
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
        """Give up the claims that wait for a write; return them."""
        waiting = list(self._waiting)
        for claim in waiting:
            self.withdraw(claim)
        return waiting

    def get_status(self):
        """Return counts for operators."""
        return {
            "records": len(self._claim_by_nonce),
            "bytes": self._size,
            "closed_by": self.closed_by.incarnation if self.closed_by else "",
        }

    def _free_space(self, now_s):
        """Drop the oldest bodies, then the oldest records, for some room.

        Work that comes faster than its records may be forgotten would
        else be refused for minutes while slots stand idle.
        """
        for claim in self._claim_by_nonce.values():
            if self._size <= TARGET_BYTES:
                return
            self._drop_body(claim)
        cutoff_s = self._find_cutoff_s(self._size - TARGET_BYTES)
        self.forget(min(cutoff_s, now_s - MIN_KEPT_S))

    def _find_cutoff_s(self, excess_bytes):
        """Return the second up to which records hold ``excess_bytes``."""
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
    """Return the closed text of a journal and the bytes to write.

    ``stored`` is the platform's object, ``None`` where the home never
    wrote; ``closer`` becomes the one new home. The bytes are ``None``
    where another has closed it before.
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
