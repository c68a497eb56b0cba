"""What operators see is what the daemons said."""

from result import Err, Ok

from godwitlanding.codes import Code, make_refusal
from godwitlanding.inventory import DaemonStatus
from godwitlanding.store import StoredObject
from godwitlanding.survey import summarise_leases, summarise_services, summarise_vms

ARBITER = {
    "slots": 9,
    "usable_slots": 6,
    "busy": 4,
    "queued": 2,
    "ejected": ["u1"],
    "out": {"u2": "draining"},
}
STATUS = {
    "services": {"arbitration": {"services": {"status": ARBITER}}},
    "versions": {"config/main": 6},
}
FLEET = [
    DaemonStatus("a1", "n-a", "zone", "ready", STATUS),
    DaemonStatus("a1", "n-a", "entry", "no answer", None),
]


def test_daemon_with_an_older_text_is_named():
    (row,) = summarise_vms(FLEET, 7)
    assert (row.zone, row.entry, row.behind) == ("ready", "no answer", "zone 6")


def test_service_shows_slots_and_what_is_out():
    (row,) = summarise_services(FLEET)
    assert row[3:] == (9, 6, 4, 2, "u1 (ejected), u2 (draining)")
    assert summarise_services(FLEET, "other") == []


def test_leases_without_a_planner_are_empty():
    missing = Err(make_refusal(Code.NOT_FOUND))
    assert summarise_leases(FLEET, missing, missing) == {}
    plan = Ok(StoredObject("plan", "main", 5, b'{"moved_by_shift": {"go": 0.2}}'))
    assert summarise_leases(FLEET, missing, plan)["shift go"] == "20.0% moved"
