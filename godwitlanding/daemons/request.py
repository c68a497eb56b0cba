"""A caller's request as the entry daemon carries it."""

from typing import NamedTuple

import xxhash

from godwitlanding.base.config import KIND_TRANSACTION, ServiceConfig
from godwitlanding.daemons.forward import HOP, NOT_FORWARDED, Forward

SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))
# Enough to tell two requests apart, little enough to cost microseconds.
FINGERPRINT_BODY_BYTES = 4096


class Request(NamedTuple):
    """A request; ``deadline`` is on the loop's clock, in seconds.

    ``target`` is path and query as sent. ``body`` holds the first bytes;
    where ``rest`` is set, it is an async iterator over what follows, and
    the request can be sent only once.
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
        """Return the zone that spilled the request, ``""`` for none."""
        return self.forward.from_zone if self.forward.kind == HOP else ""

    @property
    def is_idempotent(self):
        """Tell whether running it twice does no harm.

        In a service of transactions only reading is believed to be safe.
        """
        if self.service.kind == KIND_TRANSACTION:
            return self.method in SAFE_METHODS
        return self.method in IDEMPOTENT_METHODS

    @property
    def needs_ticket(self):
        """Tell whether it may run at most once and its key is kept here.

        A request that another zone spilled has its claim kept there.
        """
        is_work = self.service.kind == KIND_TRANSACTION
        return is_work and self.method not in SAFE_METHODS and not self.from_zone

    def get(self, name):
        """Return the last header called ``name`` (lower case), or ``""``."""
        for found, value in reversed(self.headers):
            if found == name:
                return value
        return ""

    @property
    def is_repeatable(self):
        """Tell whether the body is still here to be sent again."""
        return self.rest is None


def compute_fingerprint(service, method, target, body):
    """Return 64 bits that are the same when a caller sends it again."""
    head = f"{service}\0{method}\0{target}\0".encode()
    return xxhash.xxh64_intdigest(head + body[:FINGERPRINT_BODY_BYTES])


def compute_body_fingerprint(request):
    """Return 64 bits over the whole request, which a key is bound to."""
    head = f"{request.service.name}\0{request.method}\0{request.target}\0".encode()
    return xxhash.xxh64_intdigest(head + request.body)
