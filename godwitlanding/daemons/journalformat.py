"""Encodes and decodes journals as they are stored in the platform.

The JSON is joined from one encoded text for each record, because a journal
is written several times a second while only few of its records change.
"""

import base64
import json
from typing import NamedTuple

FORMAT = 1
CLAIMED = "claimed"
DONE = "done"
UNKNOWN = "unknown"

# The platform takes values up to 1 MB.
MAX_JOURNAL_BYTES = 900_000
# Confirmations of a payment or booking have a few hundred bytes. At 5 a
# second for each home, bodies kept for 60 s take at most 600 KB.
RECORDED_BODY_BYTES = 2048


class Outcome(NamedTuple):
    """A recorded response; ``body`` is ``None`` if it was not kept."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class Entry(NamedTuple):
    """The journal's record of one ticket."""

    fingerprint: int
    issued_s: int
    state: str
    outcome: Outcome | None


class Closer(NamedTuple):
    """The process that closed a journal and is the only new home."""

    vm: str
    incarnation: str


class StoredJournal(NamedTuple):
    """A journal decoded from the platform's object."""

    incarnation: str
    number: int
    closed_by: Closer | None
    forgotten_s: int
    entry_by_nonce: dict[str, Entry]


def format_entry(nonce, entry):
    """Return an entry encoded as a member of a JSON object."""
    row = [format(entry.fingerprint, "x"), entry.issued_s, entry.state]
    if entry.outcome:
        row += _format_outcome(entry.outcome)
    return f"{json.dumps(nonce)}:{json.dumps(row, separators=(',', ':'))}"


def format_journal(incarnation, number, closed_by, forgotten_s, entry_texts):
    """Return an encoded journal; ``entry_texts`` are from ``format_entry``."""
    head = {
        "format": FORMAT,
        "incarnation": incarnation,
        "number": number,
        "closed_by": list(closed_by) if closed_by else None,
        "forgotten_s": forgotten_s,
    }
    entries = ",\n".join(entry_texts)
    return f'{json.dumps(head)[:-1]}, "entries": {{\n{entries}}}}}'.encode()


def parse_journal(value):
    """Return the decoded ``StoredJournal``; raises ``ValueError``."""
    try:
        text = json.loads(value)
        if text["format"] != FORMAT:
            raise ValueError(f"unknown journal format {text['format']}")
        closed_by = text["closed_by"]
        return StoredJournal(
            text["incarnation"],
            text["number"],
            Closer(*closed_by) if closed_by else None,
            text["forgotten_s"],
            {nonce: _parse_entry(row) for nonce, row in text["entries"].items()},
        )
    except (KeyError, TypeError, IndexError, AttributeError) as error:
        raise ValueError(f"invalid journal: {error!r}") from error


def _format_outcome(outcome):
    body = outcome.body
    encoded = None if body is None else base64.b64encode(body).decode()
    return [outcome.status, list(outcome.headers), encoded]


def _parse_entry(row):
    fingerprint, issued_s, state, *rest = row
    return Entry(int(fingerprint, 16), issued_s, state, parse_outcome(rest))


def parse_outcome(row, decode=base64.b64decode):
    """Return the ``Outcome`` in a JSON list, ``None`` if it is empty."""
    if not row:
        return None
    status, headers, body = row
    pairs = tuple((name, value) for name, value in headers)
    return Outcome(status, pairs, None if body is None else decode(body))
