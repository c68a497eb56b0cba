"""Response bodies that can be checked for completeness and origin.

Upstream stand-ins create them and simulated callers verify them, so that a
truncated or misdirected response is found without trusting the system under
test between them.
"""

import hashlib
import json

_BLOCK_BYTES = 32


def make_body(request_id, upstream_id, size_bytes=200):
    """Return the JSON body of the response to a request, with a checksum."""
    padding = request_id * (size_bytes // max(1, len(request_id)))
    digest = hashlib.sha256(f"{request_id} {padding}".encode()).hexdigest()
    value = {
        "id": request_id,
        "upstream": upstream_id,
        "padding": padding,
        "digest": digest,
    }
    return json.dumps(value).encode()


def is_intact(body, request_id):
    """Tell whether ``body`` is the complete response to ``request_id``."""
    try:
        value = json.loads(body)
        text = f"{value['id']} {value['padding']}"
        digest = hashlib.sha256(text.encode()).hexdigest()
        return value["id"] == request_id and value["digest"] == digest
    except (ValueError, KeyError, TypeError):
        return False


def make_bundle(name, size_bytes):
    """Return the bytes of a download; they are the same on every upstream."""
    seed = hashlib.sha256(name.encode()).digest()
    blocks = size_bytes // _BLOCK_BYTES + 1
    numbered = (seed[:24] + index.to_bytes(8, "big") for index in range(blocks))
    return b"".join(numbered)[:size_bytes]


def make_etag(bundle):
    """Return the strong ETag of a download."""
    return f'"{hashlib.sha256(bundle).hexdigest()[:32]}"'
