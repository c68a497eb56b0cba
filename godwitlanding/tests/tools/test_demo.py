"""Tests the last line that the demo prints."""

import pytest

from godwitlanding.tests.soak.run import Report
from godwitlanding.tests.tools.demo import format_line


@pytest.mark.parametrize(
    ("problems", "expected"),
    [
        pytest.param(
            (),
            "demo: ok sent=9 complete=6 refused=2 over_allotment=0 unreached=1"
            " doubled=0 cut=0 mixed=0 unasked=0 over_quota=0",
            id="all held",
        ),
        pytest.param(
            ("TWICE r1: run 2 times", "LOST r2: closed"),
            "demo: failed sent=9 complete=6 refused=2 over_allotment=0 unreached=1"
            " doubled=1 cut=1 mixed=0 unasked=0 over_quota=0",
            id="broken promises",
        ),
    ],
)
def test_last_line_reports_counts_and_verdict(problems, expected):
    outcomes = {"200": 6, "503": 2, "closed": 1}
    report = Report(1, (), problems, outcomes, (), 1.0)
    assert format_line(report) == expected
