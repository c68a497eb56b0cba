"""Signs and verifies the headers of requests between entry processes.

The headers of a forwarded request change its handling: a spilled request is
not forwarded to a further zone, and its ticket is recorded elsewhere. A
caller that forged them could run non-idempotent work without a ticket, so
they are signed with the key that authenticates tickets.

>>> forward = Forward(HOP, "za", "10.1.2.3", "r1")
>>> headers = sign_forward(key, forward, "GET", "/s/status/x")
"""

import hashlib
import hmac
from typing import NamedTuple

from godwitlanding.base import headers as names

HOP = "hop"
HOME = "home"
_DIGEST_CHARS = 32


class Forward(NamedTuple):
    """How a request was forwarded; ``kind`` is ``HOP``, ``HOME`` or ``""``.

    ``depth`` counts the processes that have forwarded it.
    """

    kind: str
    from_zone: str
    caller: str
    request_id: str
    depth: int = 1


NOT_FORWARDED = Forward("", "", "", "", 0)
_HEADER_BY_KIND = {HOP: names.HOP, HOME: names.HOME}


def sign_forward(key, forward, method, target, idempotency_key=""):
    """Return the signed headers of a forwarded request."""
    return [
        (_HEADER_BY_KIND[forward.kind], str(forward.depth)),
        (names.FROM_ZONE, forward.from_zone),
        (names.CALLER, forward.caller),
        (names.REQUEST_ID, forward.request_id),
        (names.SIGNATURE, _sign(key, forward, method, target, idempotency_key)),
    ]


def read_forward(key, value_by_name, method, target):
    """Return the ``Forward``, ``None`` if its signature is invalid.

    ``value_by_name`` has the headers by lower-case name.
    """
    kind, depth = _read_kind(value_by_name)
    if not kind:
        return NOT_FORWARDED
    forward = Forward(
        kind,
        value_by_name.get(names.FROM_ZONE.lower(), ""),
        value_by_name.get(names.CALLER.lower(), ""),
        value_by_name.get(names.REQUEST_ID.lower(), ""),
        depth,
    )
    if key is None:
        return None
    idempotency_key = value_by_name.get(names.IDEMPOTENCY_KEY.lower(), "")
    expected_signature = _sign(key, forward, method, target, idempotency_key)
    received_signature = value_by_name.get(names.SIGNATURE.lower(), "")
    return (
        forward
        if hmac.compare_digest(expected_signature.encode(), received_signature.encode())
        else None
    )


def _read_kind(value_by_name):
    for kind, name in _HEADER_BY_KIND.items():
        if depth := value_by_name.get(name.lower()):
            return kind, int(depth) if depth.isdecimal() else 0
    return "", 0


def _sign(key, forward, method, target, idempotency_key):
    parts = (*map(str, forward), method, target, idempotency_key)
    text = "\n".join(parts).encode("utf-8", "surrogateescape")
    return hmac.digest(key, text, hashlib.sha256).hex()[:_DIGEST_CHARS]
