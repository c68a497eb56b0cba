"""Tests the smaller decision modules, and their use by the arbiter."""

import pytest

from godwitlanding.base.codes import RUN_NO, RUN_UNKNOWN, Code
from godwitlanding.base.messages import (
    OUTCOME_CRASHED,
    OUTCOME_FAILED,
    OUTCOME_LEAVING,
    OUTCOME_OK,
    OUTCOME_SHED,
    OUTCOME_TIMEOUT,
)
from godwitlanding.base.timers import Timers
from godwitlanding.daemons.arbiter import Arbiter, Ask, Grant, Spill
from godwitlanding.decisions.health import DRAINING, FAILED, READY, UpstreamHealth
from godwitlanding.decisions.holderfailures import HolderFailures
from godwitlanding.decisions.outlier import OutlierDetector
from godwitlanding.decisions.poison import STOP_KNOWN_GOOD_S, STOP_S, PoisonLedger
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
    """Request a slot; return the outcome of this request, if any."""
    fields = {"caller": name, "priority": 1, **fields}
    request = Ask(name, deadline=now + lasts_s, **fields)
    decisions = dict(arbiter.acquire(request, now))
    return decisions.get(name)


@pytest.mark.parametrize(
    ("first_attempts", "retries"), [(0, 2), (100, 12), (1000, 102)]
)
def test_retries_are_limited_to_a_share_of_first_attempts(first_attempts, retries):
    """An upstream fails all requests and each failure is retried.

    Retries without a budget add load that keeps a struggling service down;
    callers see an outage that outlasts its cause.
    """
    budget = RetryTokenBucket()
    sent = 0
    for _ in range(first_attempts):
        budget.note_first_attempt(0.0)
        sent += budget.may_retry(0.0)
    sent += sum(budget.may_retry(0.0) for _ in range(100))
    assert retries - 1 <= sent <= retries


def test_restarts_do_not_fill_the_retry_bucket_anew():
    # Each restart granted ten retries, whatever had been spent before.
    sent = 0
    for _ in range(10):
        budget = RetryTokenBucket()
        sent += sum(budget.may_retry(0.0) for _ in range(100))
    assert sent <= 20


def test_burst_of_failures_is_retried_after_calm_traffic():
    # An upstream that fails with all its slots in use.
    budget = RetryTokenBucket()
    for second in range(100):
        budget.note_first_attempt(float(second))
    assert sum(budget.may_retry(100.0) for _ in range(100)) == 10


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
def test_fingerprint_is_stopped_after_two_crashed_upstreams(crashed, later_s, stopped):
    """A request crashes each upstream that runs it, and is sent again."""
    ledger = PoisonLedger()
    for upstream in crashed:
        ledger.note_crash(POISON_FINGERPRINT, upstream, 0.0)
    assert ledger.is_stopped(POISON_FINGERPRINT, later_s) is stopped


@pytest.mark.parametrize(
    ("crashes", "checks", "running", "may_send"),
    [
        (0, 0, 5, True),
        (0, 1, 1, True),
        (0, 2, 0, False),
        (1, 0, 0, True),
        (1, 0, 1, False),
        (1, 1, 0, False),
        (2, 0, 0, False),
    ],
)
def test_copies_of_a_crashing_request_are_limited(crashes, checks, running, may_send):
    """Copies of a request arrive while what they crash is being found out."""
    ledger = PoisonLedger()
    for number in range(crashes):
        ledger.note_crash(POISON_FINGERPRINT, number, 0.0)
    for _ in range(checks):
        ledger.begin_check(POISON_FINGERPRINT)
    for _ in range(running):
        ledger.begin(POISON_FINGERPRINT)
    assert ledger.may_send(POISON_FINGERPRINT, 1.0) is may_send
    for _ in range(checks):
        ledger.end_check(POISON_FINGERPRINT)
    for _ in range(running):
        ledger.end(POISON_FINGERPRINT)
    assert ledger.may_send(POISON_FINGERPRINT, 1.0) is (crashes < 2)


@pytest.mark.parametrize(
    ("good_at", "crashed_at", "now", "crashes"),
    [
        (None, 1.0, 2.0, 1),
        (None, 1.0, STOP_S + 2.0, 0),
        (2.0, 1.0, 3.0, 0),
        (2.0, 3.0, 4.0, 1),
        (2.0, 3.0, 3.5 + STOP_KNOWN_GOOD_S, 0),
    ],
)
def test_old_crash_does_not_count_again(good_at, crashed_at, now, crashes):
    """Other processes go on reporting a crash that is over or refuted here."""
    ledger = PoisonLedger()
    if good_at:
        ledger.note_success(POISON_FINGERPRINT, good_at)
    ledger.note_report(POISON_FINGERPRINT, "s1", 1, now, crashed_at)
    assert ledger.count_crashes(POISON_FINGERPRINT, now) == crashes


def test_popular_request_is_stopped_only_briefly_by_a_rack_failure():
    """Two upstreams fail at once with the same popular request in progress.

    If it were stopped for ten minutes, half of all callers would be refused
    a request that did not cause the crashes.
    """
    ledger = PoisonLedger()
    ledger.note_success(POISON_FINGERPRINT, 0.0)
    ledger.note_crash(POISON_FINGERPRINT, "s1", 1.0)
    ledger.note_crash(POISON_FINGERPRINT, "s2", 1.0)
    assert ledger.is_stopped(POISON_FINGERPRINT, 2.0)
    assert not ledger.is_stopped(POISON_FINGERPRINT, 40.0)


def play_known_good(crashes, ends_well=False):
    """Return when copies of a popular request are sent, each of which fails.

    With ``ends_well`` the last one succeeds. The first two crashes are at 0 s.
    """
    ledger = PoisonLedger()
    ledger.note_success(POISON_FINGERPRINT, -1.0)
    for upstream in ("s0", "s1"):
        ledger.note_crash(POISON_FINGERPRINT, upstream, 0.0)
    sent = []
    for step in range(1200):
        now = step / 10
        if not ledger.may_send(POISON_FINGERPRINT, now):
            continue
        sent.append(now)
        if len(sent) < crashes or not ends_well:
            ledger.note_crash(POISON_FINGERPRINT, f"s{len(sent) + 1}", now)
        else:
            ledger.note_success(POISON_FINGERPRINT, now)
        if len(sent) == crashes:
            return ledger, sent
    return ledger, sent


def test_popular_request_that_ran_beside_the_cause_is_soon_served():
    # Guards against half a minute of refusals of a request that did not cause
    # the crashes.
    ledger, sent = play_known_good(1, ends_well=True)
    assert sent == [5.0]
    assert not ledger.is_suspect(POISON_FINGERPRINT, 5.0)


def test_request_that_has_begun_to_crash_upstreams_is_tried_ever_more_rarely():
    # Guards against a request that succeeded before, and now costs an upstream
    # every few seconds.
    _, sent = play_known_good(5)
    assert sent == [5.0, 15.0, 35.0, 65.0, 95.0]


def test_only_one_copy_is_sent_after_a_short_stop():
    # Guards against several copies that each crash an upstream before the
    # first crash is known.
    ledger = PoisonLedger()
    ledger.note_success(POISON_FINGERPRINT, -1.0)
    for upstream in ("s0", "s1"):
        ledger.note_crash(POISON_FINGERPRINT, upstream, 0.0)
    assert ledger.may_send(POISON_FINGERPRINT, 6.0)
    ledger.begin(POISON_FINGERPRINT)
    assert not ledger.may_send(POISON_FINGERPRINT, 6.0)
    ledger.begin_check(POISON_FINGERPRINT)
    ledger.end(POISON_FINGERPRINT)
    assert not ledger.may_send(POISON_FINGERPRINT, 6.0)


@pytest.mark.parametrize("crashes", [1, 2, 3])
def test_request_that_has_succeeded_since_its_crashes_is_not_stopped(crashes):
    # Guards against refusing a request that only ran beside the cause, while
    # a copy that was under way at the stop has succeeded.
    ledger = PoisonLedger()
    for number in range(crashes):
        ledger.note_crash(POISON_FINGERPRINT, f"s{number}", 1.0)
    assert ledger.note_success(POISON_FINGERPRINT, 1.3)
    assert ledger.may_send(POISON_FINGERPRINT, 1.3)
    for number in range(crashes):
        ledger.note_report(POISON_FINGERPRINT, f"s{number}", 1, 2.0, 1.0)
    assert ledger.may_send(POISON_FINGERPRINT, 2.0)


def test_suspect_request_runs_one_copy_at_a_time():
    """Three copies of a crashing request arrive together.

    Sent to three upstreams before the first crash is known, they would crash
    all three.
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


def test_crash_reported_by_another_vm_stops_a_waiting_copy():
    """Another entry VM reports the second crash while a copy waits here."""
    arbiter = make_arbiter(upstreams=1, slots=1)
    held = ask(arbiter, "r1")
    assert ask(arbiter, "r2", lasts_s=9.0, fingerprint=POISON_FINGERPRINT) is None
    arbiter.note_poison(POISON_FINGERPRINT, "s8", 2, 0.1)
    [decision] = arbiter.release(held.permit_id, OUTCOME_OK, 0.1, 0.2)
    assert decision.outcome.code is Code.POISON_REQUEST


@pytest.mark.parametrize(
    ("reports", "later_s", "usable"),
    [
        ([], 0, True),
        ([("list", True)], 0, False),
        ([("signal", DRAINING)], 0, False),
        ([("probe", DRAINING)], 0, False),
        ([("list", True), ("probe", READY)], 0, False),
        ([("signal", DRAINING), ("probe", READY)], 5, False),
        ([("signal", DRAINING), ("probe", READY)], 11, True),
        ([("probe", DRAINING), ("probe", READY)], 0, True),
        ([("probe", FAILED)], 0, True),
        ([("probe", FAILED), ("probe", FAILED)], 0, False),
        ([("probe", FAILED), ("success", None), ("probe", FAILED)], 0, True),
    ],
)
def test_any_source_can_report_an_upstream_as_leaving(reports, later_s, usable):
    """The sources that report a leaving upstream lag by different times.

    A request sent to an upstream that any source reports as leaving is
    refused or cut off.
    """
    health = UpstreamHealth(["s1", "s2", "s3"])
    for source, state in reports:
        note = getattr(health, f"note_{source}")
        note("s1", 0.0) if state is None else note("s1", state, 0.0)
    if later_s:
        health.note_probe("s1", READY, later_s)
    assert health.get_verdicts(later_s)["s1"].usable is usable


@pytest.mark.parametrize(("failing", "usable"), [(1, 3), (2, 2), (3, 4), (4, 4)])
def test_failing_probes_cannot_empty_a_zone(failing, usable):
    """Probes fail though the upstreams work, for example due to a firewall.

    If they were trusted, every upstream would be taken out and all callers
    would be refused.
    """
    health = UpstreamHealth([f"s{n}" for n in range(4)])
    for index in range(failing):
        health.note_probe(f"s{index}", FAILED, 0.0)
        health.note_probe(f"s{index}", FAILED, 0.5)
    verdicts = health.get_verdicts(1.0).values()
    assert sum(verdict.usable for verdict in verdicts) == usable


@pytest.mark.parametrize(("upstreams", "ejected"), [(1, 0), (2, 1), (3, 1), (4, 2)])
def test_at_most_half_of_a_zone_is_ejected(upstreams, ejected):
    """Upstreams crash one after the other, or measurements are wrong."""
    detector = OutlierDetector()
    names = [f"s{n}" for n in range(upstreams)]
    for name in names:
        detector.add(name)
    for name in names:
        detector.note(name, OUTCOME_CRASHED, 0.0, 0.0)
    assert sum(detector.is_ejected(name, 1.0) for name in names) == ejected


@pytest.mark.parametrize(
    ("holders", "ejected"), [(["vm-1"] * 4, 1), (["vm-1", "vm-2", "vm-3", "vm-4"], 3)]
)
def test_holder_that_is_cut_off_ejects_one_upstream_at_most(holders, ejected):
    # Guards against upstreams that are taken from all VMs of a zone because
    # one VM has lost its links to them.
    arbiter = make_arbiter(upstreams=6, slots=1)
    failures = HolderFailures()
    grants = [ask(arbiter, f"r{number}") for number in range(len(holders))]
    for holder, grant in zip(holders, grants):
        counts = failures.counts(holder, grant.upstream, 0, OUTCOME_CRASHED)
        arbiter.release(grant.permit_id, OUTCOME_CRASHED, 0.1, 0.1, counts)
    names = [f"s{number}" for number in range(1, 7)]
    assert sum(arbiter.outliers.is_ejected(name, 0.2) for name in names) == ejected


@pytest.mark.parametrize(
    ("outcomes", "counted"),
    [
        pytest.param([("s1", 1, OUTCOME_CRASHED), ("s2", 2, OUTCOME_CRASHED)], 1),
        pytest.param([("s1", 1, OUTCOME_CRASHED), ("s2", 1, OUTCOME_CRASHED)], 2),
        pytest.param([("s1", 1, OUTCOME_FAILED), ("s1", 2, OUTCOME_FAILED)], 2),
        pytest.param(
            [
                ("s1", 1, OUTCOME_FAILED),
                ("s3", 3, OUTCOME_OK),
                ("s2", 2, OUTCOME_FAILED),
            ],
            3,
        ),
        pytest.param([("s1", 0, OUTCOME_TIMEOUT), ("s2", 0, OUTCOME_TIMEOUT)], 1),
        pytest.param(
            [
                ("s1", 1, OUTCOME_CRASHED),
                ("s1", 2, OUTCOME_CRASHED),
                ("s2", 2, OUTCOME_CRASHED),
            ],
            3,
        ),
    ],
)
def test_failures_of_a_holder_count_for_one_upstream_or_request(outcomes, counted):
    failures = HolderFailures()
    assert sum(failures.counts("vm-1", *row) for row in outcomes) == counted


@pytest.mark.parametrize(("others", "ejected"), [(OUTCOME_OK, 1), (OUTCOME_FAILED, 0)])
def test_failures_shared_by_all_upstreams_eject_none(others, ejected):
    """A dependency is down and all upstreams fail alike, or one alone fails.

    A failing one answers fastest and would get most of the requests.
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
def test_refusing_upstream_gets_no_waiting_requests(outcome):
    """An upstream refuses requests at once and so always has free slots.

    It would get one waiting request after the other and refuse each.
    """
    arbiter = make_arbiter(upstreams=2, slots=1)
    first = ask(arbiter, "r1")
    ask(arbiter, "r2")
    assert ask(arbiter, "r3") is None
    assert arbiter.release(first.permit_id, outcome, 0.001, 0.1) == []


def test_ejected_upstream_serves_if_no_other_is_left():
    """One of two is ejected when the other begins to drain."""
    arbiter = make_arbiter(upstreams=2, slots=1)
    first = ask(arbiter, "r1")
    arbiter.release(first.permit_id, OUTCOME_CRASHED, 0.1, 0.1)
    other = ({"s1", "s2"} - {first.upstream}).pop()
    arbiter.set_usable(other, False, 0.2)
    assert ask(arbiter, "r2", 0.2).upstream == first.upstream


def test_leaving_upstream_stays_unusable_when_cold():
    """An upstream that drains is restarted, and its probe reports it as cold.

    If it counted as ready it would get requests and cut them off when it
    stops.
    """
    arbiter = make_arbiter(upstreams=1)
    arbiter.set_usable("s1", False, 0.0)
    arbiter.note_cold("s1", 0.1)
    assert ask(arbiter, "r1", 0.1).code is Code.NO_UPSTREAM


def test_drained_zone_refuses_immediately():
    """Every upstream is leaving, so waiting for a slot is pointless."""
    arbiter = make_arbiter(upstreams=1)
    arbiter.set_usable("s1", False, 0.0)
    refusal = ask(arbiter, "r1", may_pass_on=False)
    assert refusal.code is Code.NO_UPSTREAM
    assert refusal.retry_after_s > 0


@pytest.mark.parametrize("lasts_s", [2.0, 4.0])
def test_request_waits_for_the_loans_of_a_new_arbiter(lasts_s):
    """The arbiter was replaced and the new one has no loans yet.

    If requests were refused in that second, callers would see an outage at
    each replacement.
    """
    arbiter = Arbiter("status")
    assert ask(arbiter, "r1", lasts_s=lasts_s) is None
    assert arbiter.tick(1.0) == []
    [decision] = arbiter.set_loan("s1", 3, FAR_FUTURE_S, 1.2)
    assert isinstance(decision.outcome, Grant)


def test_spill_stays_within_its_allowance():
    """A full zone spills its surplus to one neighbour.

    Without a limit, the surplus of several zones overloads a region that had
    headroom for some of it.
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
def test_link_limiter_enforces_its_limits(requests_per_s, bytes_per_s, sent):
    """Many requests at once for a link, 100 bytes each, over two seconds."""
    limiter = LinkLimiter(requests_per_s, bytes_per_s)
    passed = 0
    for now in (0.0, 1.0, 2.0):
        passed += sum(limiter.may_send(now, 100) for _ in range(50))
    assert passed == sent


@pytest.mark.parametrize(
    ("after_s", "slots"), [(0, 1), (4.9, 1), (5.1, 2), (9.9, 2), (10.1, 3)]
)
def test_cold_upstream_gets_its_slots_gradually(after_s, slots):
    warmup = Warmup(10.0)
    warmup.note_cold("s1", 0.0)
    assert warmup.get_slots("s1", 3, after_s) == slots


@pytest.mark.parametrize(("relative_time", "slots"), [(1.0, 3), (4.0, 1)])
def test_warm_up_ends_when_requests_are_fast(relative_time, slots):
    warmup = Warmup(10.0)
    warmup.note_cold("s1", 0.0)
    for _ in range(10):
        warmup.note_work("s1", relative_time)
    assert warmup.get_slots("s1", 3, 1.0) == slots


def test_refused_callers_get_different_retry_times():
    """Many requests of a second's work each are refused at the same moment.

    With the same Retry-After time all of them would return together.
    """
    arbiter = make_arbiter(upstreams=1, slots=1, work_s=1.0)
    ask(arbiter, "r0")
    refused = [ask(arbiter, f"r{n}", lasts_s=0.5) for n in range(1, 5)]
    times = [refusal.retry_after_s for refusal in refused]
    gaps = [later - earlier for earlier, later in zip(times, times[1:])]
    assert min(gaps) >= 1.0


def test_timers_keep_only_the_latest_time_of_a_key():
    timers = Timers()
    for time in range(500):
        timers.set("a", float(time))
    timers.set("b", 2.0)
    timers.cancel("b")
    assert timers.get_next_time() == 499.0
    assert timers.pop_due(500.0) == ["a"]
    assert timers.get_next_time() is None
