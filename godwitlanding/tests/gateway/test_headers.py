"""Tests of decoding an upstream's status headers."""

import pytest

from godwitlanding.gateway.headers import SelfReport
from godwitlanding.platform.headers import read_self_report


@pytest.mark.parametrize(
    ("name", "value", "report"),
    [
        (b"content-type", b"text/plain", SelfReport()),
        (b"godwitlanding-load-report", b"2,5,3", SelfReport(in_progress=7)),
        (b"godwitlanding-load-report", b"2, 5, 3", SelfReport(in_progress=7)),
        (b"godwitlanding-load-report", b"2,5", SelfReport()),
        (b"godwitlanding-load-report", b"2,-5,3", SelfReport()),
        (b"godwitlanding-load-report", b"", SelfReport()),
        (b"godwitlanding-load-report", b"2,5,x", SelfReport()),
        # The pace of the machine, and what a newer upstream may add to it.
        (b"godwitlanding-load-report", b"2,5,3,250", SelfReport(7, 2.5)),
        (b"godwitlanding-load-report", b"2,5,3,100,9", SelfReport(7, 1.0)),
        (b"godwitlanding-load-report", b"2,5,3,", SelfReport(7)),
        (b"godwitlanding-load-report", b"2,5,3,0", SelfReport(7)),
        (b"godwitlanding-load-report", b"2,5,3,-9", SelfReport(7)),
        (b"godwitlanding-load-report", b"2,5,3,nan", SelfReport(7)),
        (b"godwitlanding-load-report", b"2,5,3,slow", SelfReport(7)),
        (b"godwitlanding-load-report", b"x,5,3,250", SelfReport(pace=2.5)),
        (b"godwitlanding-cold-ms", b"1500", SelfReport(cold_s=1.5)),
        (b"godwitlanding-cold-ms", b"soon", SelfReport()),
        (b"server-limit", b"2.7", SelfReport(limit_per_s=2.7)),
        (b"server-limit", b"12", SelfReport(limit_per_s=12.0)),
        (b"server-limit", b"0", SelfReport(limit_per_s=0.0)),
        (b"server-limit", b"-1", SelfReport()),
        (b"server-limit", b"nan", SelfReport()),
        (b"server-limit", b"inf", SelfReport()),
        (b"server-limit", b"", SelfReport()),
        (b"server-limit", b"2.7 a second", SelfReport()),
        (b"server-leaving", b"1", SelfReport(leaving=True)),
        (b"server-leaving", b"0", SelfReport()),
        (b"server-leaving", b"yes", SelfReport()),
    ],
)
def test_status_headers_are_decoded(name, value, report):
    assert read_self_report(200, [(name, value)]) == report


@pytest.mark.parametrize(
    ("status", "value", "pause_s"),
    [
        (503, b"2", 2.0),
        (503, b"0.25", 0.25),
        (503, b"-1", None),
        (503, b"nan", None),
        (503, b"Fri, 04 Dec 2026 00:00:00 GMT", None),
        (200, b"2", None),
        (429, b"2", None),
    ],
)
def test_retry_after_is_a_pause_only_with_status_503(status, value, pause_s):
    assert read_self_report(status, [(b"retry-after", value)]).pause_s == pause_s
