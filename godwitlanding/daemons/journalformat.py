"""The form in which a journal stands in the platform.

JSON, put together from one text for each record: a journal is written
several times a second while only a few of its records change.
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
# Confirmations of a payment or booking are a few hundred bytes. At 5 a
# second and home, bodies kept for 60 s take 600 KB at the very most.
RECORDED_BODY_BYTES = 2048


class Outcome(NamedTuple):
    """An answer as recorded; ``body`` is ``None`` where it is not kept."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class Entry(NamedTuple):
    """What a journal says of one ticket."""

    fingerprint: int
    issued_s: int
    state: str
    outcome: Outcome | None


class Closer(NamedTuple):
    """The process that closed a journal: the one new home."""

    vm: str
    incarnation: str


class StoredJournal(NamedTuple):
    """A journal as read from the platform."""

    incarnation: str
    number: int
    closed_by: Closer | None
    forgotten_s: int
    entry_by_nonce: dict[str, Entry]


def format_entry(nonce, entry):
    """Return an entry as a member of a JSON object."""
    row = [format(entry.fingerprint, "x"), entry.issued_s, entry.state]
    if entry.outcome:
        row += _format_outcome(entry.outcome)
    return f"{json.dumps(nonce)}:{json.dumps(row, separators=(',', ':'))}"


def format_journal(incarnation, number, closed_by, forgotten_s, entry_texts):
    """Return the bytes of a journal; ``entry_texts`` by ``format_entry``."""
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
    """Return the ``JournalText`` in bytes; ``ValueError`` if it is none."""
    try:
        text = json.loads(value)
        if text["format"] != FORMAT:
            raise ValueError(f"journal of format {text['format']}")
        closed_by = text["closed_by"]
        return StoredJournal(
            text["incarnation"],
            text["number"],
            Closer(*closed_by) if closed_by else None,
            text["forgotten_s"],
            {nonce: _parse_entry(row) for nonce, row in text["entries"].items()},
        )
    except (KeyError, TypeError, IndexError, AttributeError) as error:
        raise ValueError(f"not a journal: {error!r}") from error


def _format_outcome(outcome):
    body = outcome.body
    encoded = None if body is None else base64.b64encode(body).decode()
    return [outcome.status, list(outcome.headers), encoded]


def _parse_entry(row):
    fingerprint, issued_s, state, *rest = row
    return Entry(int(fingerprint, 16), issued_s, state, parse_outcome(rest))


def parse_outcome(row, decode=base64.b64decode):
    """Return the ``Outcome`` in a JSON list, ``None`` for an empty one."""
    if not row:
        return None
    status, headers, body = row
    pairs = tuple((name, value) for name, value in headers)
    return Outcome(status, pairs, None if body is None else decode(body))
