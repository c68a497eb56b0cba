"""The headers that the gateway reads and sets, by what they hold.

The platform gives their names and formats; the gateway knows only what they
mean. Names are lower case bytes, as the parsers here hand headers on.
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


class SelfReport(NamedTuple):
    """What an upstream says of itself in an answer; ``None``: nothing."""

    # Requests that it runs, and that wait there.
    in_progress: int | None = None
    # Seconds for which it stays cold.
    cold_s: float | None = None
    # Requests a second that it takes from all VMs together.
    limit_per_s: float | None = None
    # Whether it is about to end and wants no new work.
    leaving: bool = False
    # Seconds for which it wants nothing from this VM.
    pause_s: float | None = None
