"""Names and formats of the platform's HTTP headers."""

import math
from collections import Counter

from eliot import log_message

from godwitlanding.gateway.headers import HeaderNames, SelfReport

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
)

_LOAD = b"godwitlanding-load-report"
_COLD_MS = b"godwitlanding-cold-ms"
_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_SERVICE_UNAVAILABLE = 503
_MIN_LOAD_FIGURES = 3
_unreadable_by_name = Counter()


def read_self_report(status, headers):
    """Return the ``SelfReport`` in the headers of an upstream's response.

    ``headers`` are pairs of bytes. An invalid value is logged and skipped; the
    other values of the header stay valid.

    >>> read_self_report(200, [(b"server-limit", b"2.5")]).limit_per_s
    2.5
    """
    fields = {}
    for name, value in headers:
        if name == _LOAD:
            fields.update(_read_load_report(value))
        elif name in _FIELD_BY_HEADER:
            field, read = _FIELD_BY_HEADER[name]
            _read_field(fields, field, read, name, value)
    if status != _SERVICE_UNAVAILABLE:
        # On any other status, Retry-After is meant for the caller.
        fields.pop("pause_s", None)
    return SelfReport(**fields)


def _read_field(fields, field, read, name, value):
    try:
        fields[field] = read(value)
    except ValueError:
        _log_unreadable(name, value)


def _log_unreadable(name, value):
    """Log the first, second, fourth, eighth ... invalid value of a header.

    An upstream may send one with each of hundreds of responses a second.
    """
    _unreadable_by_name[name] += 1
    count = _unreadable_by_name[name]
    if count & (count - 1):
        return
    log_message(
        "headers:unreadable",
        level="warning",
        name=name.decode("latin-1"),
        value=value.decode("latin-1"),
        count=count,
    )


def _read_load_report(value):
    """Return the fields of a load report.

    The value lists running requests, waiting requests, slots and, from some
    upstreams, the pace of their machine in hundredths. Newer upstreams may
    add further figures.
    """
    figures = value.split(b",")
    fields = {}
    if len(figures) < _MIN_LOAD_FIGURES:
        _log_unreadable(_LOAD, value)
        return fields
    counts = b",".join(figures[:_MIN_LOAD_FIGURES])
    _read_field(fields, "in_progress", _read_in_progress, _LOAD, counts)
    if len(figures) > _MIN_LOAD_FIGURES:
        pace = figures[_MIN_LOAD_FIGURES]
        _read_field(fields, "pace", _read_pace, _LOAD, pace)
    return fields


def _read_in_progress(value):
    running, waiting, _ = map(_read_count, value.split(b","))
    return running + waiting


def _read_pace(value):
    pace = _read_non_negative(value) / 100
    if pace == 0.0:
        raise ValueError("work cannot take no time")
    return pace


def _read_count(value):
    number = int(value)
    if number < 0:
        raise ValueError(f"{value!r} is a negative count")
    return number


def _read_cold_s(value):
    return _read_count(value) / 1000


def _read_non_negative(value):
    amount = float(value)
    if not 0.0 <= amount < math.inf:
        raise ValueError(f"{value!r} is not a finite non-negative number")
    return amount


def _read_flag(value):
    if value not in (b"0", b"1"):
        raise ValueError(f"{value!r} is neither 0 nor 1")
    return value == b"1"


_FIELD_BY_HEADER = {
    _COLD_MS: ("cold_s", _read_cold_s),
    _LIMIT: ("limit_per_s", _read_non_negative),
    _LEAVING: ("leaving", _read_flag),
    _RETRY_AFTER: ("pause_s", _read_non_negative),
}
