"""Tests that the journal runs work at most once, with a fault at each step.

For a longer run: ``GODWIT_SCHEDULES=2000 pytest .../test_journal.py``
"""

import os

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from godwitlanding.base.codes import Code
from godwitlanding.base.storetypes import StoredObject
from godwitlanding.daemons.journal import Claim, Journal, close_journal
from godwitlanding.daemons.journalformat import Closer, Outcome, parse_journal
from godwitlanding.daemons.ticket import JOURNALED, MEMORY_ONLY, Ticket

CI_SCHEDULES = 100
SCHEDULES = int(os.environ.get("GODWIT_SCHEDULES", CI_SCHEDULES))
PAID = Outcome(201, (("content-type", "text/plain"),), b"paid")


def make_ticket(nonce="n1", kind=JOURNALED, issued_s=100):
    return Ticket("pay", kind, "za1", "h0", issued_s, nonce)


class FakeObject:
    """One object of the platform, changed only by conditional updates."""

    def __init__(self):
        self.stored = None

    def put(self, value, expected_version):
        """Return the new version, or ``None`` on a conflict."""
        version = self.stored.version if self.stored else 0
        if version != expected_version:
            return None
        self.stored = StoredObject("journal", "h0", version + 1, value)
        return version + 1


def test_work_is_dispatched_only_after_its_claim_is_recorded():
    journal = Journal("h0")
    claim = journal.submit(make_ticket(), 7).unwrap()
    assert not claim.may_dispatch
    write = journal.begin_write()
    assert not claim.may_dispatch
    assert journal.end_write(write, 1) == [claim]
    assert claim.may_dispatch


def run_until(step):
    """Run a home until ``step``; return its journal and object."""
    journal, platform = Journal("h0"), FakeObject()
    claim = journal.submit(make_ticket(), 7).unwrap()
    if step == "submitted":
        return journal, platform
    write = journal.begin_write()
    version = platform.put(write.value, write.expected_version)
    if step == "answer lost":
        return journal, platform
    journal.end_write(write, version)
    if step == "claimed":
        return journal, platform
    journal.finish(claim, None if step == "unknown" else PAID)
    if step == "done, not written":
        return journal, platform
    write = journal.begin_write()
    journal.end_write(write, platform.put(write.value, write.expected_version))
    return journal, platform


@pytest.mark.parametrize(
    ("step", "expected"),
    [
        ("submitted", "runs"),
        ("answer lost", Code.OUTCOME_UNKNOWN),
        ("claimed", Code.OUTCOME_UNKNOWN),
        ("done, not written", Code.OUTCOME_UNKNOWN),
        ("done", PAID),
        ("unknown", Code.OUTCOME_UNKNOWN),
    ],
)
def test_retry_after_the_home_was_killed(step, expected):
    """A home is killed at some step of a payment and the caller retries.

    A second run would charge the payer twice. Reporting an unknown outcome
    where nothing was claimed would send her to the helpline needlessly.
    """
    _, platform = run_until(step)
    closed, value = close_journal(platform.stored, "h0", Closer("za2", "h1"))
    assert platform.put(value, platform.stored.version if platform.stored else 0)
    submitted = Journal("h1").submit(make_ticket(), 7, [closed])
    if expected == "runs":
        assert isinstance(submitted.unwrap(), Claim)
    elif expected == PAID:
        assert submitted.unwrap() == PAID
    else:
        assert submitted.unwrap_err().code == expected


@pytest.mark.parametrize("step", ["submitted", "answer lost", "claimed"])
def test_replaced_home_dispatches_no_new_claim(step):
    """A home is paused, another process closes its journal, and it resumes.

    Work that it had not claimed in time may be run by the other process.
    """
    journal, platform = run_until(step)
    _, value = close_journal(platform.stored, "h0", Closer("za2", "h1"))
    platform.put(value, platform.stored.version if platform.stored else 0)
    late = journal.submit(make_ticket("n2"), 7).unwrap()
    write = journal.begin_write()
    assert platform.put(write.value, write.expected_version) is None
    assert journal.reconcile(platform.stored) == []
    assert journal.closed_by == Closer("za2", "h1")
    assert late in journal.void_waiting()
    assert not late.may_dispatch
    refused = journal.submit(make_ticket("n3"), 7)
    assert refused.unwrap_err().code == Code.JOURNAL_UNAVAILABLE


@pytest.mark.parametrize("took_effect", [True, False])
def test_write_without_a_response_is_reconciled(took_effect):
    """The response to a write is lost, whether or not it took effect.

    If the work were dispatched without knowing, a payment could run
    without a recorded claim.
    """
    journal, platform = Journal("h0"), FakeObject()
    claim = journal.submit(make_ticket(), 7).unwrap()
    write = journal.begin_write()
    if took_effect:
        platform.put(write.value, write.expected_version)
    assert journal.reconcile(platform.stored) == ([claim] if took_effect else [])
    assert claim.may_dispatch is took_effect
    again = journal.begin_write()
    version = platform.put(again.value, again.expected_version)
    journal.end_write(again, version)
    assert claim.may_dispatch


def test_journal_lost_by_a_restore_is_written_again():
    # If writes expected the lost version, no claim could be recorded any more.
    journal, platform = run_until("answer lost")
    journal.reconcile(platform.stored)
    platform.stored = None
    claim = journal.submit(make_ticket("n2"), 7).unwrap()
    write = journal.begin_write()
    assert platform.put(write.value, write.expected_version) is None
    assert journal.reconcile(platform.stored) == []
    again = journal.begin_write()
    version = platform.put(again.value, again.expected_version)
    assert version is not None
    assert claim in journal.end_write(again, version)


def test_late_write_is_identified_by_its_number():
    """A write is delayed but takes effect before the next one."""
    journal, platform = Journal("h0"), FakeObject()
    first = journal.submit(make_ticket("n1"), 7).unwrap()
    slow = journal.begin_write()
    journal.reconcile(platform.stored)
    second = journal.submit(make_ticket("n2"), 7).unwrap()
    fast = journal.begin_write()
    platform.put(slow.value, slow.expected_version)
    assert platform.put(fast.value, fast.expected_version) is None
    assert journal.reconcile(platform.stored) == [first]
    assert (first.may_dispatch, second.may_dispatch) == (True, False)


@pytest.mark.parametrize("kind", [JOURNALED, MEMORY_ONLY])
def test_retry_at_the_home(kind):
    """A caller retries while its first request runs, and afterwards."""
    journal = Journal("h0")
    ticket = make_ticket(kind=kind)
    claim = journal.submit(ticket, 7).unwrap()
    assert journal.submit(ticket, 7).unwrap_err().code == Code.STILL_RUNNING
    assert journal.submit(ticket, 8).unwrap_err().code == Code.TICKET_MISMATCH
    journal.finish(claim, PAID)
    assert journal.submit(ticket, 7).unwrap() == PAID
    assert journal.submit(ticket, 8).unwrap_err().code == Code.TICKET_MISMATCH


def test_ticket_whose_record_was_dropped_is_never_run_again():
    """A caller retries a ticket after its record has been dropped.

    Neither the home nor the process that replaced it may treat the ticket
    as new work, or the work would run twice.
    """
    journal, platform = run_until("done")
    journal.forget(100)
    assert journal.submit(make_ticket(), 7).unwrap_err().code == Code.TICKET_EXPIRED
    write = journal.begin_write()
    platform.put(write.value, write.expected_version)
    closed, _ = close_journal(platform.stored, "h0", Closer("za2", "h1"))
    submitted = Journal("h1").submit(make_ticket(), 7, [closed])
    assert submitted.unwrap_err().code == Code.TICKET_EXPIRED


def test_record_of_running_work_is_kept():
    journal = Journal("h0")
    journal.submit(make_ticket(), 7)
    journal.forget(500)
    assert journal.submit(make_ticket(), 7).unwrap_err().code == Code.STILL_RUNNING


def test_bodies_are_dropped_from_the_platform_but_not_from_memory():
    journal, _ = run_until("done")
    journal.drop_bodies(100)
    text = parse_journal(journal.begin_write().value)
    assert text.entry_by_nonce["n1"].outcome == PAID._replace(body=None)
    assert journal.submit(make_ticket(), 7).unwrap() == PAID


def test_full_journal_drops_old_bodies_and_then_refuses():
    """Payments arrive faster than their records may be dropped.

    A journal above the platform's size limit could not be written at all.
    """
    journal = Journal("h0")
    answer = PAID._replace(body=b"x" * 2048)
    count = 0
    while (submitted := journal.submit(make_ticket(f"{count:032}"), 7)).is_ok():
        journal.finish(submitted.unwrap(), answer)
        count += 1
    assert submitted.unwrap_err().run == "no"
    value = journal.begin_write().value
    assert count > 5000
    assert len(value) < 1_000_000
    assert len(parse_journal(value).entry_by_nonce) == count


def test_full_journal_keeps_outcomes_for_a_shorter_time():
    """One entry VM gets 20 payments a second for ten minutes.

    A journal that kept every outcome for the full time would refuse new
    payments for minutes while the upstreams' slots are idle.
    """
    journal = Journal("h0")
    first = make_ticket("first", issued_s=1000)
    journal.finish(journal.submit(first, 7).unwrap(), PAID)
    for number in range(12_000):
        ticket = make_ticket(f"{number:032}", issued_s=1000 + number // 20)
        submitted = journal.submit(ticket, 7)
        assert submitted.is_ok(), number
        journal.finish(submitted.unwrap(), PAID)
    assert len(journal.begin_write().value) < 1_000_000
    assert journal.submit(first, 7).unwrap_err().run == "unknown"
    two_minutes_ago = make_ticket(f"{12_000 - 2400:032}", issued_s=1480)
    assert journal.submit(two_minutes_ago, 7).unwrap().status == PAID.status


@pytest.mark.parametrize(
    "value", [b"", b"{}", b"[]", b'{"format": 2}', b'{"format": 1, "entries": 3}']
)
def test_broken_journal_is_a_value_error(value):
    with pytest.raises(ValueError):
        parse_journal(value)


HOMES = (0, 1, 2)
WRITE_RESULTS = ("answered", "answered", "lost", "late")
ENDS = ("done", "unknown", "withdraw", "forget")
ACTIONS = [
    *(("submit", home, issued_s) for home in HOMES for issued_s in (1, 2, 2)),
    *(("write", home, result) for home in HOMES for result in WRITE_RESULTS),
    *(("dispatch", home) for home in HOMES * 2),
    *(("end", home, end) for home in HOMES for end in ENDS if home < 2),
    *(("apply_late_write", home) for home in HOMES),
    ("close", 0),
    ("close", 1),
]


class Schedule:
    """Three successive homes; writes take effect at any time or never.

    Home ``k`` closes the journals of the homes before it. A replaced home
    continues to run, since it may only have been paused.
    """

    def __init__(self):
        self.journals = [Journal(f"h{number}") for number in range(3)]
        self.platforms = [FakeObject() for _ in range(3)]
        self.closed = {}
        self.writes = [[] for _ in range(3)]
        self.claims = [[] for _ in range(3)]
        self.runs = {}
        self.done = set()

    def find_former(self, home):
        """Return the closed journals before ``home``, or ``None``.

        ``None`` means that one is open and ``home`` may not run.
        """
        if not all(number in self.closed for number in range(home)):
            return None
        return [self.closed[number] for number in range(home)]

    def submit(self, home, issued_s):
        former = self.find_former(home)
        if former is None:
            return
        ticket = make_ticket(f"n{issued_s}", issued_s=issued_s)
        submitted = self.journals[home].submit(ticket, 7, former)
        if submitted.is_ok() and isinstance(submitted.unwrap(), Claim):
            self.claims[home].append(submitted.unwrap())
        elif submitted.is_ok():
            assert ticket.nonce in self.done

    def write(self, home, result):
        journal, platform = self.journals[home], self.platforms[home]
        if journal.has_unresolved_writes:
            self.reconcile(home)
        write = journal.begin_write()
        if result == "late":
            self.writes[home].append(write)
            return
        version = platform.put(write.value, write.expected_version)
        if version and result == "answered":
            journal.end_write(write, version)

    def apply_late_write(self, home):
        if self.writes[home]:
            write = self.writes[home].pop(0)
            self.platforms[home].put(write.value, write.expected_version)

    def reconcile(self, home):
        self.journals[home].reconcile(self.platforms[home].stored)
        if self.journals[home].closed_by:
            self.journals[home].void_waiting()

    def dispatch(self, home):
        for claim in self.claims[home]:
            nonce = claim.ticket.nonce
            if claim.may_dispatch and not hasattr(claim, "ran"):
                claim.ran = True
                self.runs[nonce] = self.runs.get(nonce, 0) + 1

    def end(self, home, end):
        journal = self.journals[home]
        for claim in self.claims[home]:
            has_run = getattr(claim, "ran", None)
            if has_run is None and end == "withdraw":
                journal.withdraw(claim)
            if has_run and end in ("done", "unknown"):
                claim.ran = False
                self.done.add(claim.ticket.nonce)
                journal.finish(claim, PAID if end == "done" else None)
        if end == "forget":
            journal.forget(1)

    def close(self, home):
        if home in self.closed or self.find_former(home) is None:
            return
        platform = self.platforms[home]
        closer = Closer(f"vm{home + 1}", f"h{home + 1}")
        closed, value = close_journal(platform.stored, f"h{home}", closer)
        version = platform.stored.version if platform.stored else 0
        assert platform.put(value, version)
        self.closed[home] = closed


@settings(
    max_examples=SCHEDULES,
    deadline=None,
    derandomize=SCHEDULES == CI_SCHEDULES,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.lists(st.sampled_from(ACTIONS), min_size=100, max_size=200))
def test_random_schedules_run_nothing_twice(actions):
    """Requests, writes, pauses and replacements happen in any order.

    No schedule may run the work of a ticket twice and charge a payer twice.
    """
    schedule = Schedule()
    for name, *arguments in actions:
        getattr(schedule, name)(*arguments)
        assert all(count == 1 for count in schedule.runs.values())
