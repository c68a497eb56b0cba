"""The record of a caller's own Idempotency-Key in the platform.

A key that the caller made up names no home, so it is claimed by creating
one object: of all processes that try, the platform lets one succeed. Pure.
"""

import hashlib
import json
from typing import NamedTuple

from godwitlanding.daemons.journalformat import CLAIMED, Outcome, parse_outcome

MAX_KEY_CHARS = 255


class KeyRecord(NamedTuple):
    """A claimed key; ``claim_id`` tells the claims of one process apart."""

    claim_id: str
    vm: str
    incarnation: str
    fingerprint: int
    state: str = CLAIMED
    outcome: Outcome | None = None


def make_name(service, key):
    """Return the object's name; the key itself may hold a person's data."""
    return hashlib.sha256(f"{service}\0{key}".encode()).hexdigest()[:40]


def format_record(record):
    """Return the bytes of a record."""
    row = record._asdict()
    row["fingerprint"] = format(record.fingerprint, "x")
    row["outcome"] = []
    if record.outcome:
        body = record.outcome.body
        text = None if body is None else body.hex()
        row["outcome"] = [record.outcome.status, record.outcome.headers, text]
    return json.dumps(row).encode()


def parse_record(value):
    """Return the ``KeyRecord`` in bytes; ``ValueError`` if it is none."""
    try:
        row = json.loads(value)
        row["fingerprint"] = int(row["fingerprint"], 16)
        row["outcome"] = parse_outcome(row["outcome"], bytes.fromhex)
        return KeyRecord(**row)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a claim: {error!r}") from error
