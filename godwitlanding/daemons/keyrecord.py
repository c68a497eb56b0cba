"""Encodes the platform's record of an Idempotency-Key made by a caller.

Such a key, unlike a ticket, names no home. A process claims it by creating
an object in the platform, which lets only one creation succeed. Pure.
"""

import hashlib
import json
from typing import NamedTuple

from godwitlanding.daemons.journalformat import CLAIMED, Outcome, parse_outcome

MAX_KEY_CHARS = 255


class KeyRecord(NamedTuple):
    """A claimed key; ``claim_id`` is unique among the claims of a process."""

    claim_id: str
    vm: str
    incarnation: str
    fingerprint: int
    state: str = CLAIMED
    outcome: Outcome | None = None


def make_name(service, key):
    """Return the object name.

    It is a hash, as the key itself may contain personal data.
    """
    return hashlib.sha256(f"{service}\0{key}".encode()).hexdigest()[:40]


def format_record(record):
    """Return the encoded record."""
    row = record._asdict()
    row["fingerprint"] = format(record.fingerprint, "x")
    row["outcome"] = []
    if record.outcome:
        body = record.outcome.body
        text = None if body is None else body.hex()
        row["outcome"] = [record.outcome.status, record.outcome.headers, text]
    return json.dumps(row).encode()


def parse_record(value):
    """Return the decoded ``KeyRecord``; raises ``ValueError``."""
    try:
        row = json.loads(value)
        row["fingerprint"] = int(row["fingerprint"], 16)
        row["outcome"] = parse_outcome(row["outcome"], bytes.fromhex)
        return KeyRecord(**row)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"invalid key record: {error!r}") from error
