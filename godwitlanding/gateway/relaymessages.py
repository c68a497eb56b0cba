"""The headers of requests that one VM relays through another.

Such a request is an HTTP request between two VMs, on an internal port: its
body and a long response are then bounded, paused and cancelled as those of
callers. The headers never leave the VMs.
"""

import math
from typing import NamedTuple

import orjson

from godwitlanding.gateway.attempt import Outcome, encode_ms, encode_request

RELAY_HEADER = b"godwit-relay"
OUTCOME_HEADER = b"godwit-relay-outcome"
DETAIL_HEADER = b"godwit-relay-detail"
UPSTREAM_HEADER = b"godwit-relay-upstream"
RESPONSE_HEADERS = frozenset((OUTCOME_HEADER, DETAIL_HEADER, UPSTREAM_HEADER))
# The route's header limit applies to the caller's header; this is for ours.
MAX_ADDED_BYTES = 2048
# A caller's request is attempted a few times, so few upstreams are named.
MAX_TRIED = 8


class RelayFields(NamedTuple):
    """What the relaying VM has decided about a request.

    ``target_s`` is the time left until a response counts as late, negative if
    it has passed. ``tried`` are the upstreams of earlier attempts.
    """

    service: str
    target_s: float
    came_back: bool
    tried: tuple[str, ...]


class RelayResult(NamedTuple):
    """How the attempt of the other VM ended; ``upstream`` may be empty."""

    outcome: Outcome
    detail: str = ""
    upstream: str = ""


def encode_relayed(exchange, names, fields, time_left_s):
    """Return a caller's request as it is sent to another VM."""
    dropped = {names.deadline_ms, b"content-length", b"connection", RELAY_HEADER}
    row = [*fields[:3], fields.tried[-MAX_TRIED:]]
    added = [
        (names.deadline_ms, encode_ms(time_left_s)),
        (RELAY_HEADER, orjson.dumps(row)),
    ]
    return encode_request(exchange, dropped, added)


def read_fields(exchange):
    """Return the ``RelayFields``; raise ``ValueError`` if they are invalid."""
    row = orjson.loads(exchange.get_header(RELAY_HEADER))
    try:
        service, target_s, came_back, tried = row
        fields = RelayFields(
            str(service), float(target_s), bool(came_back), tuple(map(str, tried))
        )
    except TypeError as error:
        raise ValueError(f"not the fields of a relayed request: {error}") from None
    if not math.isfinite(fields.target_s):
        raise ValueError("the time to the target is not finite")
    return fields


def make_result_headers(result):
    """Return the headers that tell a ``RelayResult``."""
    return [
        (OUTCOME_HEADER, result.outcome.value.encode()),
        (DETAIL_HEADER, result.detail.encode("ascii", "replace")[:200]),
        (UPSTREAM_HEADER, result.upstream.encode("latin-1", "replace")),
    ]


def read_result(response):
    """Return the ``RelayResult`` of a response from another VM.

    Without the headers the response says nothing of the upstream: the
    request may have run.
    """
    value = response.get_header(OUTCOME_HEADER).decode("latin-1")
    if value not in {outcome.value for outcome in Outcome}:
        return RelayResult(Outcome.UNKNOWN, "the relay gave no outcome")
    return RelayResult(
        Outcome(value),
        response.get_header(DETAIL_HEADER).decode("latin-1"),
        response.get_header(UPSTREAM_HEADER).decode("latin-1"),
    )
