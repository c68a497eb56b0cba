"""The small pure modules that decisions are made of."""

import pytest

from godwitlanding.base.codes import RUN_NO, RUN_UNKNOWN, Code
from godwitlanding.base.messages import (
    OUTCOME_CRASHED,
    OUTCOME_FAILED,
    OUTCOME_LEAVING,
    OUTCOME_OK,
    OUTCOME_SHED,
)
from godwitlanding.base.timers import Timers
from godwitlanding.daemons.arbiter import Arbiter, Ask, Grant, Spill
from godwitlanding.decisions.health import DRAINING, FAILED, READY, UpstreamHealth
from godwitlanding.decisions.outlier import OutlierDetector
from godwitlanding.decisions.poison import STOP_S, PoisonLedger
from godwitlanding.decisions.retrybucket import RetryTokenBucket
from godwitlanding.decisions.spill import LinkLimiter
from godwitlanding.decisions.warmup import Warmup

FAR_FUTURE_S = 1000.0
POISON_FINGERPRINT = 77


def make_arbiter(upstreams=2, slots=3, **options):
    arbiter = Arbiter("status", **options)
    for index in range(1, upstreams + 1):
        arbiter.set_loan(f"s{index}", slots, FAR_FUTURE_S, 0.0)
    return arbiter


def ask(arbiter, name, now=0.0, lasts_s=2.0, **fields):
    """Ask for a slot; return the request's own outcome, if there is one."""
    fields = {"caller": name, "priority": 1, **fields}
    request = Ask(name, deadline=now + lasts_s, **fields)
    decisions = dict(arbiter.acquire(request, now))
    return decisions.get(name)


@pytest.mark.parametrize(("first_tries", "retries"), [(0, 10), (100, 20), (1000, 110)])
def test_retries_stay_a_share_of_first_tries(first_tries, retries):
    """An upstream fails everything and each failure is tried again.

    Retries without a budget are a load of their own that keeps a struggling
    service down; callers see an outage outlast its cause.
    """
    budget = RetryTokenBucket()
    sent = 0
    for _ in range(first_tries):
        budget.note_first_attempt(0.0)
        sent += budget.may_retry(0.0)
    sent += sum(budget.may_retry(0.0) for _ in range(100))
    assert retries - 1 <= sent <= retries


@pytest.mark.parametrize(
    ("crashed", "later_s", "stopped"),
    [
        (["s1"], 0, False),
        (["s1", "s1"], 0, False),
        (["s1", "s2"], 0, True),
        (["s1", "s2"], STOP_S - 1, True),
        (["s1", "s2"], STOP_S + 1, False),
    ],
)
def test_fingerprint_is_stopped_after_two_upstreams(crashed, later_s, stopped):
    """A request crashes whatever runs it; its caller sends it again."""
    ledger = PoisonLedger()
    for upstream in crashed:
        ledger.note_crash(POISON_FINGERPRINT, upstream, 0.0)
    assert ledger.is_stopped(POISON_FINGERPRINT, later_s) is stopped


def test_popular_request_survives_a_dying_rack():
    """Two upstreams die at once with the same popular request in progress.

    Stopping it for ten minutes would refuse half of all callers a request
    that had nothing to do with it.
    """
    ledger = PoisonLedger()
    ledger.note_success(POISON_FINGERPRINT, 0.0)
    ledger.note_crash(POISON_FINGERPRINT, "s1", 1.0)
    ledger.note_crash(POISON_FINGERPRINT, "s2", 1.0)
    assert ledger.is_stopped(POISON_FINGERPRINT, 2.0)
    assert not ledger.is_stopped(POISON_FINGERPRINT, 40.0)


def test_suspect_runs_alone():
    """Three copies of a crashing request arrive together.

    Sent to three upstreams before the first crash is known, they would
    take all three.
    """
    arbiter = make_arbiter(upstreams=4, slots=1)
    first = ask(arbiter, "r1", fingerprint=POISON_FINGERPRINT)
    arbiter.release(first.permit_id, OUTCOME_CRASHED, 0.1, 1.0)
    second = ask(arbiter, "r2", 1.0, fingerprint=POISON_FINGERPRINT)
    assert isinstance(second, Grant) and second.upstream != first.upstream
    assert (
        ask(arbiter, "r3", 1.0, fingerprint=POISON_FINGERPRINT).code
        is Code.POISON_REQUEST
    )
    arbiter.release(second.permit_id, OUTCOME_CRASHED, 0.1, 2.0)
    stopped = ask(arbiter, "r4", 2.0, fingerprint=POISON_FINGERPRINT)
    assert (stopped.code, stopped.run) == (Code.POISON_REQUEST, RUN_NO)
    again = ask(arbiter, "r5", 2.0, fingerprint=POISON_FINGERPRINT, attempt=1)
    assert (again.code, again.run) == (Code.POISON_REQUEST, RUN_UNKNOWN)


def test_word_from_another_vm_stops_what_waits():
    """Another entry VM reports the second crash while a copy waits here."""
    arbiter = make_arbiter(upstreams=1, slots=1)
    held = ask(arbiter, "r1")
    assert ask(arbiter, "r2", lasts_s=9.0, fingerprint=POISON_FINGERPRINT) is None
    arbiter.note_poison(POISON_FINGERPRINT, "s8", 2, 0.1)
    [decision] = arbiter.release(held.permit_id, OUTCOME_OK, 0.1, 0.2)
    assert decision.outcome.code is Code.POISON_REQUEST


@pytest.mark.parametrize(
    ("heard", "later_s", "usable"),
    [
        ([], 0, True),
        ([("list", True)], 0, False),
        ([("word", DRAINING)], 0, False),
        ([("probe", DRAINING)], 0, False),
        ([("list", True), ("probe", READY)], 0, False),
        ([("word", DRAINING), ("probe", READY)], 5, False),
        ([("word", DRAINING), ("probe", READY)], 11, True),
        ([("probe", DRAINING), ("probe", READY)], 0, True),
        ([("probe", FAILED)], 0, True),
        ([("probe", FAILED), ("probe", FAILED)], 0, False),
        ([("probe", FAILED), ("success", None), ("probe", FAILED)], 0, True),
    ],
)
def test_first_word_of_leaving_wins(heard, later_s, usable):
    """The sources that tell of a leaving upstream lag by different times.

    Work sent to one that has said so anywhere is refused or cut off.
    """
    health = UpstreamHealth(["s1", "s2", "s3"])
    for source, said in heard:
        note = getattr(health, f"note_{source}")
        note("s1", 0.0) if said is None else note("s1", said, 0.0)
    if later_s:
        health.note_probe("s1", READY, later_s)
    assert health.get_verdicts(later_s)["s1"].usable is usable


@pytest.mark.parametrize(("failing", "usable"), [(1, 3), (2, 2), (3, 4), (4, 4)])
def test_failing_probes_cannot_empty_a_zone(failing, usable):
    """The probes fail though the upstreams work, as when a rule cuts them.

    Believed, they would take every upstream out and refuse all callers.
    """
    health = UpstreamHealth([f"s{n}" for n in range(4)])
    for index in range(failing):
        health.note_probe(f"s{index}", FAILED, 0.0)
        health.note_probe(f"s{index}", FAILED, 0.5)
    verdicts = health.get_verdicts(1.0).values()
    assert sum(verdict.usable for verdict in verdicts) == usable


@pytest.mark.parametrize(("upstreams", "ejected"), [(1, 0), (2, 1), (3, 1), (4, 2)])
def test_ejection_leaves_half_of_the_zone(upstreams, ejected):
    """Upstreams crash one after the other, or the measuring is at fault."""
    detector = OutlierDetector()
    names = [f"s{n}" for n in range(upstreams)]
    for name in names:
        detector.add(name)
    for name in names:
        detector.note(name, OUTCOME_CRASHED, 0.0, 0.0)
    assert sum(detector.is_ejected(name, 1.0) for name in names) == ejected


@pytest.mark.parametrize(("others", "ejected"), [(OUTCOME_OK, 1), (OUTCOME_FAILED, 0)])
def test_what_fails_everywhere_ejects_nobody(others, ejected):
    """A dependency is down and all upstreams fail alike, or one alone fails.

    A failing one answers fastest and would draw most of the requests.
    """
    detector = OutlierDetector()
    for name in ("s1", "s2", "s3"):
        detector.add(name)
    for _ in range(30):
        detector.note("s1", OUTCOME_FAILED, 1.0, 0.0)
        detector.note("s2", others, 1.0, 0.0)
        detector.note("s3", others, 1.0, 0.0)
    assert sum(detector.is_ejected(n, 1.0) for n in ("s1", "s2", "s3")) == ejected


@pytest.mark.parametrize("outcome", [OUTCOME_SHED, OUTCOME_LEAVING])
def test_refusing_upstream_is_not_offered_the_queue(outcome):
    """An upstream refuses work at once and so is always free.

    It would be offered one waiting request after the other and refuse each.
    """
    arbiter = make_arbiter(upstreams=2, slots=1)
    first = ask(arbiter, "r1")
    ask(arbiter, "r2")
    assert ask(arbiter, "r3") is None
    assert arbiter.release(first.permit_id, outcome, 0.001, 0.1) == []


def test_ejected_upstreams_serve_when_nothing_else_is_left():
    """One of two is ejected when the other begins to drain."""
    arbiter = make_arbiter(upstreams=2, slots=1)
    first = ask(arbiter, "r1")
    arbiter.release(first.permit_id, OUTCOME_CRASHED, 0.1, 0.1)
    other = ({"s1", "s2"} - {first.upstream}).pop()
    arbiter.set_usable(other, False, 0.2)
    assert ask(arbiter, "r2", 0.2).upstream == first.upstream


def test_cold_upstream_that_leaves_stays_out():
    """An upstream that drains is restarted, and its probe says cold.

    Taken for ready it would be sent work and cut it off when it stops.
    """
    arbiter = make_arbiter(upstreams=1)
    arbiter.set_usable("s1", False, 0.0)
    arbiter.note_cold("s1", 0.1)
    assert ask(arbiter, "r1", 0.1).code is Code.NO_UPSTREAM


def test_drained_zone_refuses_at_once():
    """Every upstream leaves; waiting for one would waste the caller's time."""
    arbiter = make_arbiter(upstreams=1)
    arbiter.set_usable("s1", False, 0.0)
    refusal = ask(arbiter, "r1", may_pass_on=False)
    assert refusal.code is Code.NO_UPSTREAM
    assert refusal.retry_after_s > 0


@pytest.mark.parametrize("lasts_s", [2.0, 4.0])
def test_request_waits_for_an_arbiter_that_takes_over(lasts_s):
    """The arbiter was replaced and the new one has no loans yet.

    Refused in that second, callers would see an outage at each replacement.
    """
    arbiter = Arbiter("status")
    assert ask(arbiter, "r1", lasts_s=lasts_s) is None
    assert arbiter.tick(1.0) == []
    [decision] = arbiter.set_loan("s1", 3, FAR_FUTURE_S, 1.2)
    assert isinstance(decision.outcome, Grant)


def test_spill_stays_inside_its_allowance():
    """A full zone's surplus goes to one neighbour.

    Sent without bound, the surplus of several zones overloads a region
    that had headroom for some of it.
    """
    arbiter = make_arbiter(upstreams=1, slots=1, work_s=1.0)
    arbiter.set_allowances({"maz-b": 2}, 0.0)
    ask(arbiter, "r0")
    outcomes = [ask(arbiter, f"r{n}", lasts_s=1.5) for n in range(1, 5)]
    assert [type(outcome) is Spill for outcome in outcomes] == [True] * 2 + [False] * 2
    arbiter.end_spill("r1", 0.1)
    assert ask(arbiter, "r9", 0.1, lasts_s=1.5) == Spill("maz-b", 0.0)


@pytest.mark.parametrize(
    ("requests_per_s", "bytes_per_s", "sent"), [(5, 0, 15), (0, 0, 0), (100, 50, 2)]
)
def test_link_meter_holds_its_limits(requests_per_s, bytes_per_s, sent):
    """Many requests at once for a link, 100 bytes each, over two seconds."""
    limiter = LinkLimiter(requests_per_s, bytes_per_s)
    passed = 0
    for now in (0.0, 1.0, 2.0):
        passed += sum(limiter.may_send(now, 100) for _ in range(50))
    assert passed == sent


@pytest.mark.parametrize(
    ("after_s", "slots"), [(0, 1), (4.9, 1), (5.1, 2), (9.9, 2), (10.1, 3)]
)
def test_cold_upstream_gets_its_slots_by_and_by(after_s, slots):
    warmup = Warmup(10.0)
    warmup.note_cold("s1", 0.0)
    assert warmup.get_slots("s1", 3, after_s) == slots


@pytest.mark.parametrize(("times_usual", "slots"), [(1.0, 3), (4.0, 1)])
def test_warm_up_ends_when_work_is_quick(times_usual, slots):
    warmup = Warmup(10.0)
    warmup.note_cold("s1", 0.0)
    for _ in range(10):
        warmup.note_work("s1", times_usual)
    assert warmup.get_slots("s1", 3, 1.0) == slots


def test_refused_callers_are_told_different_times():
    """A crowd is refused in the same moment, each with a second's work.

    Told the same time it would come back as the same crowd.
    """
    arbiter = make_arbiter(upstreams=1, slots=1, work_s=1.0)
    ask(arbiter, "r0")
    refused = [ask(arbiter, f"r{n}", lasts_s=0.5) for n in range(1, 5)]
    times = [refusal.retry_after_s for refusal in refused]
    gaps = [later - earlier for earlier, later in zip(times, times[1:])]
    assert min(gaps) >= 1.0


def test_timers_keep_only_the_last_time_of_a_key():
    timers = Timers()
    for time in range(500):
        timers.set("a", float(time))
    timers.set("b", 2.0)
    timers.cancel("b")
    assert timers.get_next_time() == 499.0
    assert timers.pop_due(500.0) == ["a"]
    assert timers.get_next_time() is None
