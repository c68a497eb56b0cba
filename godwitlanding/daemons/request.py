"""The caller's request as the entry daemon processes it."""

from typing import NamedTuple

import xxhash

from godwitlanding.base.config import KIND_TRANSACTION, ServiceConfig
from godwitlanding.daemons.forward import HOP, NOT_FORWARDED, Forward

SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))
# Enough to distinguish requests, and hashed within microseconds.
FINGERPRINT_BODY_BYTES = 4096


class Request(NamedTuple):
    """A request; ``deadline`` is on the loop's clock, in seconds.

    ``target`` is path and query as received. ``body`` has the first bytes.
    ``rest`` is an async iterator over the following ones, or ``None``; a
    request with ``rest`` can be sent only once.
    """

    id: str
    service: ServiceConfig
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    rest: object
    caller: str
    deadline: float
    fingerprint: int
    key: str = ""
    forward: Forward = NOT_FORWARDED

    @property
    def from_zone(self):
        """Return the zone that spilled the request, or ``""``."""
        return self.forward.from_zone if self.forward.kind == HOP else ""

    @property
    def is_idempotent(self):
        """Tell whether the request may safely run twice.

        In a service of transactions only safe methods are idempotent.
        """
        if self.service.kind == KIND_TRANSACTION:
            return self.method in SAFE_METHODS
        return self.method in IDEMPOTENT_METHODS

    @property
    def needs_ticket(self):
        """Tell whether it may run at most once and is recorded here.

        The claim of a spilled request is recorded in the zone it came from.
        """
        is_work = self.service.kind == KIND_TRANSACTION
        return is_work and self.method not in SAFE_METHODS and not self.from_zone

    def get(self, name):
        """Return the last header ``name`` (in lower case), or ``""``."""
        for found, value in reversed(self.headers):
            if found == name:
                return value
        return ""

    @property
    def is_repeatable(self):
        """Tell whether the whole body is available for another attempt."""
        return self.rest is None


def compute_fingerprint(service, method, target, body):
    """Return a 64-bit hash that is the same when a request is repeated."""
    head = f"{service}\0{method}\0{target}\0".encode()
    return xxhash.xxh64_intdigest(head + body[:FINGERPRINT_BODY_BYTES])


def compute_body_fingerprint(request):
    """Return a 64-bit hash of the whole request, to which a key is bound."""
    head = f"{request.service.name}\0{request.method}\0{request.target}\0".encode()
    return xxhash.xxh64_intdigest(head + request.body)
