"""Issues and verifies tickets for non-idempotent work.

A caller sends its ticket as ``Idempotency-Key``, and the same one on a
retry. The ticket names its home, the only entry process that may run the
work. It is authenticated so that no caller can choose the home.

>>> ticket = Ticket("renewal", JOURNALED, "maz-a1", "i1", 5, "x1")
>>> text = issue_ticket(key, ticket)
>>> read_ticket(key, text).unwrap().home_vm
'maz-a1'
"""

import base64
import hashlib
import hmac
import json
from typing import NamedTuple

from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal

JOURNALED = "journaled"
MEMORY_ONLY = "memory"
PREFIX = "gwt1."
_DIGEST_BYTES = 16
MAX_TICKET_CHARS = 512


class Ticket(NamedTuple):
    """A ticket; ``issued_s`` is the issuer's wall clock in whole seconds.

    The wall clock only limits how long records are kept. Whether work may
    run does not depend on it.
    """

    service: str
    kind: str
    home_vm: str
    home_incarnation: str
    issued_s: int
    nonce: str


def issue_ticket(key, ticket):
    """Return the encoded ticket; ``key`` is shared by all processes."""
    payload = json.dumps(list(ticket), separators=(",", ":")).encode()
    digest = hmac.digest(key, payload, hashlib.sha256)[:_DIGEST_BYTES]
    return PREFIX + base64.urlsafe_b64encode(digest + payload).decode().rstrip("=")


def read_ticket(key, text):
    """Return ``Ok(ticket)``, or ``Err`` with the code ``BAD_TICKET``."""
    try:
        if not text.startswith(PREFIX) or len(text) > MAX_TICKET_CHARS:
            raise ValueError("not a ticket")
        body = text[len(PREFIX) :]
        data = base64.urlsafe_b64decode(body + "=" * (-len(body) % 4))
        digest, payload = data[:_DIGEST_BYTES], data[_DIGEST_BYTES:]
        expected_digest = hmac.digest(key, payload, hashlib.sha256)[:_DIGEST_BYTES]
        if not hmac.compare_digest(digest, expected_digest):
            raise ValueError("the ticket was not issued by this system")
        return Ok(Ticket(*json.loads(payload)))
    except (ValueError, TypeError) as error:
        return Err(make_refusal(Code.BAD_TICKET, detail=str(error)))


def is_ticket(text):
    """Tell whether an idempotency key has the prefix of a ticket."""
    return text.startswith(PREFIX)
