"""Tests that summary rows match the statuses reported by the daemons."""

import pytest
from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.storetypes import StoredObject
from godwitlanding.decisions.plan import EMPTY_PLAN, format_plan
from godwitlanding.operator.daemonclient import DaemonStatus
from godwitlanding.operator.summary import (
    count_in_progress,
    read_plan,
    summarise_leases,
    summarise_plan,
    summarise_services,
    summarise_vms,
)

ARBITER = {
    "slots": 9,
    "usable_slots": 6,
    "busy": 4,
    "queued": 2,
    "ejected": ["u1"],
    "out": {"u2": "draining"},
    "busy_by_upstream": {"u1": 3, "u2": 1},
}
STATUS = {
    "services": {"arbitration": {"services": {"status": ARBITER}}},
    "versions": {"config/main": 6},
}
ENTRY = {"services": {"requests": {"in_progress": 5}}}
FLEET = [
    DaemonStatus("a1", "n-a", "zone", "ready", STATUS),
    DaemonStatus("a1", "n-a", "entry", "no answer", None),
]

PLAN_VALUE = EMPTY_PLAN._replace(
    weight_by_zone_by_origin_by_service={"status": {"n-a": {"n-a": 0.8, "n-b": 0.2}}},
    allowance_by_zones_by_service={"status": {"n-a>n-b": 3}},
    moved_by_shift={"go": 0.2},
)
PLAN = Ok(StoredObject("plan", "main", 5, format_plan(PLAN_VALUE)))


def test_daemon_with_an_older_text_is_listed():
    (row,) = summarise_vms(FLEET, 7)
    assert (row.zone, row.entry, row.behind) == ("ready", "no answer", "zone 6")


def test_service_row_shows_slots_and_excluded_upstreams():
    (row,) = summarise_services(FLEET)
    assert row[3:] == (9, 6, 4, 2, "u1 (ejected), u2 (draining)")
    assert summarise_services(FLEET, "other") == []


@pytest.mark.parametrize(
    ("item", "count"),
    [
        ({"what": "upstream", "name": "u1"}, 3),
        ({"what": "upstream", "name": "u9"}, 0),
        ({"what": "availability_zone", "name": "n-a"}, 4),
        ({"what": "availability_zone", "name": "n-a", "service": "other"}, 0),
        ({"what": "vm", "name": "a2"}, 5),
    ],
)
def test_requests_in_progress_of_a_drain_are_counted(item, count):
    """An undercount would let operators stop an upstream that is in use."""
    fleet = [*FLEET, DaemonStatus("a2", "n-a", "entry", "ready", ENTRY)]
    assert count_in_progress(fleet, item) == count


def test_missing_lease_has_an_empty_summary():
    missing = Err(make_refusal(Code.NOT_FOUND))
    assert summarise_leases(missing, missing) == {}
    assert summarise_leases(missing, PLAN)["shift go"] == "20.0% moved"


def test_plan_rows_show_shares_and_allowances():
    rows = summarise_plan(read_plan(PLAN))
    assert [tuple(row) for row in rows] == [
        ("status", "n-a", "n-a", 0.8, 0),
        ("status", "n-a", "n-b", 0.2, 3),
    ]


def test_unreadable_plan_has_no_rows():
    broken = Ok(StoredObject("plan", "main", 5, b'{"of a newer version": 1}'))
    assert summarise_plan(read_plan(broken)) == []
