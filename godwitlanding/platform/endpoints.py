"""The calls that callers and the platform make to a VM besides requests."""

import orjson

from godwitlanding.gateway.pages import Page

# Callers keep an answer of the directory this long, some three times as
# long; it is the shortest that the platform's callers take.
DIRECTORY_TTL_S = 1.0
DIRECTORY_PATH = "/resolve"
READINESS_PATH = "/readyz"


def make_directory(choose_addresses):
    """Return the page that tells callers of a region where to connect.

    ``choose_addresses(region)`` returns a list of addresses.
    """

    def resolve(query):
        addresses = choose_addresses(query.get("region", ""))
        body = {"addresses": addresses, "ttl": f"{DIRECTORY_TTL_S:g}s"}
        status = 200 if addresses else 503
        return Page(status, "application/json", orjson.dumps(body))

    return {DIRECTORY_PATH: resolve}


def make_readiness(is_ready):
    """Return the page that tells the platform whether this VM serves."""

    def readyz(query):
        return Page(200 if is_ready() else 503, "text/plain", b"")

    return {READINESS_PATH: readyz}
