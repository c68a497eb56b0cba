"""The platform's names for the headers that the gateway reads and sets."""

from godwitlanding.gateway.dialect import HeaderNames

HEADER_NAMES = HeaderNames(
    request_id=b"godwitlanding-request-id",
    affinity_key=b"godwitlanding-affinity-key",
    authorization=b"authorization",
    workspace=b"godwitlanding-tenant",
    deadline_ms=b"godwitlanding-deadline-ms",
    expected_upstream=b"godwitlanding-expect-instance",
    upstream_id=b"godwitlanding-instance-id",
    signature=b"godwitlanding-response-signature",
    not_executed=b"godwitlanding-not-executed",
    load_report=b"godwitlanding-load-report",
    cold_ms=b"godwitlanding-cold-ms",
)
