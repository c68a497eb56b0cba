"""HTTP header names, and the selection of the headers to forward.

Hop-by-hop headers belong to a single connection and are not forwarded.
"""

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    )
)
INTERNAL_PREFIX = "godwit-"

REQUEST_ID = "Godwit-Request-Id"
DEADLINE = "Godwit-Deadline"
CALLER = "Godwit-Caller"
FROM_ZONE = "Godwit-From"
HOP = "Godwit-Hop"
HOME = "Godwit-Home"
SIGNATURE = "Godwit-Signature"
REFUSED = "Godwit-Refused"
RUN = "Godwit-Run"
REPLAYED = "Godwit-Replayed"
IDEMPOTENCY_KEY = "Idempotency-Key"

UPSTREAM_DEADLINE = "Request-Deadline"
UPSTREAM_REQUEST_ID = "Request-Id"
UPSTREAM_REFUSED = "Upstream-Refused"

_SET_BY_PROXY = frozenset(
    ("host", "content-length", "x-caller", "request-deadline", "request-id")
)


def _get_connection_tokens(headers):
    """Return the header names that ``Connection`` marks as hop-by-hop."""
    for name, value in headers:
        if name == "connection":
            return {token.strip().lower() for token in value.split(",")}
    return ()


def select_request_headers(headers):
    """Return the request headers to forward to the upstream.

    ``headers`` are pairs with lower-case names, as ASGI provides them.
    """
    connection_tokens = _get_connection_tokens(headers)
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP
        and name not in _SET_BY_PROXY
        and name not in connection_tokens
        and not name.startswith(INTERNAL_PREFIX)
    ]


def select_response_headers(headers):
    """Return the response headers to forward to the caller.

    Internal headers are dropped so that an upstream cannot impersonate a
    process of this system.
    """
    pairs = [(name.lower(), value) for name, value in headers]
    connection_tokens = _get_connection_tokens(pairs)
    return [
        (name, value)
        for name, value in pairs
        if name not in HOP_BY_HOP
        and name not in connection_tokens
        and not name.startswith(INTERNAL_PREFIX)
    ]
