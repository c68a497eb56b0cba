"""The HTTP headers that the gateway reads and sets, by meaning.

Their names and formats are defined in ``platform.headers``. Names are lower
case bytes, as the parsers here return them.
"""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """The name of each header that the gateway uses."""

    # Identifies one request of a caller; upstreams echo it in their responses.
    request_id: bytes
    # The object that a request is about.
    affinity_key: bytes
    # A caller's API key; not forwarded to upstreams.
    authorization: bytes
    # The workspace of the caller's key, set for upstreams.
    workspace: bytes
    # Milliseconds for which the sender will still wait.
    deadline_ms: bytes
    # The only upstream that may run the request.
    expected_upstream: bytes
    # The id of the answering upstream.
    upstream_id: bytes
    # Proves that a response was produced by the upstream.
    signature: bytes
    # Present if the upstream did not and will not run the request.
    not_executed: bytes


class SelfReport(NamedTuple):
    """Status of an upstream from the headers of its response.

    ``None`` stands for a value that was not sent.
    """

    # Requests that it is running, plus those in its queue.
    in_progress: int | None = None
    # How long work takes on its machine now, as a multiple of the usual time.
    pace: float | None = None
    # Seconds until it is warmed up.
    cold_s: float | None = None
    # Requests per second that it accepts from all VMs together.
    limit_per_s: float | None = None
    # Whether it is shutting down and accepts no new requests.
    leaving: bool = False
    # Seconds for which this VM must not send to it.
    pause_s: float | None = None
