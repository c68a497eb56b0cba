"""Builds the HTTP endpoints of a VM for its directory and its readiness."""

import orjson

from godwitlanding.gateway.pages import Page

# Callers cache a response of the directory for this time, some of them three
# times as long. It is the shortest TTL that the platform's callers accept.
DIRECTORY_TTL_S = 1.0
DIRECTORY_PATH = "/resolve"
READINESS_PATH = "/readyz"


def make_directory(choose_addresses):
    """Return the directory endpoint, by path.

    It lists the VM addresses for callers of a region.
    ``choose_addresses(region)`` returns the list of addresses.
    """

    def resolve(query):
        addresses = choose_addresses(query.get("region", ""))
        body = {"addresses": addresses, "ttl": f"{DIRECTORY_TTL_S:g}s"}
        status = 200 if addresses else 503
        return Page(status, "application/json", orjson.dumps(body))

    return {DIRECTORY_PATH: resolve}


def make_readiness(is_ready):
    """Return the readiness endpoint of the platform, by path."""

    def readyz(query):
        return Page(200 if is_ready() else 503, "text/plain", b"")

    return {READINESS_PATH: readyz}
