"""The names of headers that the gateway reads and sets, by what they hold.

The platform gives the names; the gateway knows only what they mean. All are
lower case bytes, as the parsers here hand headers on.
"""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """One name for each fact that travels in a header."""

    # Names an attempt of a caller; upstreams repeat it in their answers.
    request_id: bytes
    # The object that a request is about.
    affinity_key: bytes
    # A caller's key, which upstreams do not get.
    authorization: bytes
    # The workspace that holds the caller's key, as upstreams get it.
    workspace: bytes
    # Milliseconds that the sender still waits.
    deadline_ms: bytes
    # The only upstream that may run the request.
    expected_upstream: bytes
    # The upstream that answers.
    upstream_id: bytes
    # Proof that an answer is the upstream's own.
    signature: bytes
    # Present where the upstream has not run the request and will not.
    not_executed: bytes
    # Running, waiting and slots, with commas between.
    load_report: bytes
    # Milliseconds for which the upstream stays cold.
    cold_ms: bytes
