"""A caller's request as the entry daemon carries it."""

from typing import NamedTuple

import xxhash

from godwitlanding.config import ServiceConfig

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
    from_zone: str = ""
    key: str = ""

    @property
    def is_idempotent(self):
        """Tell whether running it twice does no harm.

        A service of transactions answers for every method but the safe
        ones: an operator who declares it so means what it does.
        """
        if self.service.kind == "transaction":
            return self.method in ("GET", "HEAD", "OPTIONS")
        return self.method in IDEMPOTENT_METHODS

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
