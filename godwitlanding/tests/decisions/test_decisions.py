"""Checks what callers receive under load patterns, against naive designs."""

from functools import cache
from statistics import fmean

import pytest

from godwitlanding.tests.benchmarks.bench_decisions import run_design
from godwitlanding.tests.load.load_designs import (
    Fifo,
    HashByKey,
    LeastLoaded,
    RoundRobin,
    StaticShares,
)
from godwitlanding.tests.load.load_patterns import ARMOR, LEGITKA, make_patterns
from godwitlanding.tests.load.load_pooled import Pooled
from godwitlanding.tests.load.load_report import summarise

both_workloads = pytest.mark.parametrize(
    "workload", [LEGITKA, ARMOR], ids=lambda w: w.name
)


@cache
def run_pattern(workload, name, design=Pooled, seed=1):
    """Run a design under a pattern; return a summary of the answers."""
    pattern = make_patterns(workload)[name]
    return summarise(run_design(design, workload, pattern, seed), pattern)


def measure_wait(workload, design):
    """Return p99 of the waiting time at usual load, the mean of five runs."""
    seeds = range(1, 6)
    runs = [run_pattern(workload, "steady 70%", design, seed) for seed in seeds]
    return fmean(run.wait_p99_s for run in runs)


@pytest.mark.parametrize("times", [1.2, 2, 5])
@both_workloads
def test_slots_do_useful_work_in_overload(workload, times):
    """More requests arrive than the slots can serve, for twenty seconds.

    With an unbounded queue, slots work on requests whose callers have given
    up, and callers see the service as down though it is busy.
    """
    summary = run_pattern(workload, f"overload {times}x")
    assert summary.goodput >= 0.97
    assert summary.on_time >= 0.99
    assert summary.most_assigned <= 3
    assert summary.recovery_s <= 5
    assert summary.told_p50_s <= 0.01


@both_workloads
def test_refusals_are_immediate(workload):
    """Twice as many requests arrive as the slots can serve.

    A caller that waits and is then refused has lost the time as well.
    """
    summary = run_pattern(workload, "overload 2x")
    assert summary.told_p99_s <= 0.01


@pytest.mark.parametrize("design", [StaticShares, RoundRobin, Fifo])
def test_naive_designs_waste_the_slots_in_overload(design):
    """Without early refusal, work is done after callers have given up."""
    assert run_pattern(LEGITKA, "overload 2x", design).goodput < 0.6


@both_workloads
def test_backlog_does_not_outlive_a_burst(workload):
    """Callers arrive at five times the usual rate for ten seconds.

    If the backlog outlives the burst, later callers wait as well.
    """
    summary = run_pattern(workload, "burst 5x 10 s")
    assert summary.goodput >= 0.97
    assert summary.recovery_s <= 5


@both_workloads
def test_pooled_queue_halves_the_waiting(workload):
    """At usual load a request waits at one VM while another has a slot.

    This shows in the slowest answers; a pooled queue avoids such waiting.
    """
    pooled = run_pattern(workload, "steady 70%")
    assert pooled.good == pooled.offered - pooled.refused
    assert pooled.refused <= 0.001 * pooled.offered
    static_s = measure_wait(workload, StaticShares)
    assert measure_wait(workload, Pooled) <= 0.5 * static_s


@both_workloads
def test_hot_caller_does_not_delay_others(workload):
    """One caller's script sends ten times what each of the others sends.

    Served in order of arrival, all other callers wait behind its requests.
    """
    usual = run_pattern(workload, "steady 70%")
    hot = run_pattern(workload, "hot caller 10x")
    assert hot.others_p99_s <= 1.2 * usual.p99_s
    assert hot.others_good >= 0.995


def test_hot_key_uses_all_upstreams():
    """Half of all requests are for the same page.

    If each key is bound to one upstream, that one is overloaded while the
    others are idle, and its callers are not answered in time.
    """
    assert run_pattern(LEGITKA, "hot key").others_good == 1.0
    assert run_pattern(LEGITKA, "hot key", HashByKey).others_good < 0.9


def test_slow_upstream_is_used_last():
    """One of four upstreams begins to take ten times as long.

    Otherwise a quarter of the callers would wait ten times as long, and its
    slots would delay the queue.
    """
    slow = run_pattern(LEGITKA, "slow upstream 10x")
    assert slow.others_good >= 0.999
    assert slow.p99_s <= 0.35
    assert run_pattern(LEGITKA, "slow upstream 10x", StaticShares).p99_s > 0.6


@both_workloads
def test_long_jobs_leave_slots_for_short_ones(workload):
    """One request in ten is a bundle that takes forty times as long.

    Bundles accumulate in the slots; when they hold all of them, a request
    for a single sheet waits for a bundle to end.
    """
    chosen = run_pattern(workload, "long among short")
    fifo = run_pattern(workload, "long among short", Fifo)
    assert chosen.wait_p99_s <= 0.25 * fifo.wait_p99_s
    assert chosen.others_good >= 0.999


@pytest.mark.parametrize(
    ("name", "good", "p99_s"),
    [("cold zone, all at once", 0.97, 0.5), ("cold zone, 10% a step", 1.0, 0.3)],
)
def test_cold_zone_answers_while_it_warms(name, good, p99_s):
    """A zone with empty caches takes over another zone's callers.

    Each of the first requests takes several times as long, so the zone has
    less capacity than its slots suggest, and callers wait for seconds.
    """
    summary = run_pattern(LEGITKA, name)
    assert summary.others_good >= good
    assert summary.p99_s <= p99_s


def test_no_decision_depends_on_load_reports():
    """The upstreams' load reports stop arriving.

    A design that depends on them sends everything to the upstream that was
    idle in the last report; its callers time out.
    """
    assert run_pattern(LEGITKA, "reports stop").others_good == 1.0
    assert run_pattern(LEGITKA, "reports stop", LeastLoaded).others_good < 0.5


def test_caller_retries_do_not_sustain_an_overload():
    """Callers without an answer retry at once, up to four times.

    After a short overload the retries are an overload of their own, and
    without early refusal it never ends.
    """
    assert run_pattern(LEGITKA, "callers retry").recovery_s <= 5
    naive = run_pattern(LEGITKA, "callers retry", RoundRobin)
    assert naive.recovery_s == float("inf")


@both_workloads
def test_recovery_when_all_callers_return_after_an_outage(workload):
    """All upstreams fail for ten seconds and then all callers return.

    With no Retry-After time or the same one for all, callers return together
    and are refused together, again and again.
    """
    summary = run_pattern(workload, "all come back")
    assert summary.goodput >= 0.97
    assert summary.on_time >= 0.99
    assert summary.recovery_s <= 10


@both_workloads
def test_payments_are_refused_last(workload):
    """Bulk downloads ask for three times what the slots can serve.

    A refused payment leaves its user without a ticket, although there are
    enough slots for all payments.
    """
    summary = run_pattern(workload, "payments in overload")
    assert summary.others_good == 1.0
    assert summary.goodput >= 0.97


@both_workloads
def test_crashing_request_crashes_two_upstreams_at_most(workload):
    """A request crashes each upstream that runs it and is sent again.

    If it is not stopped, it crashes every copy of the service within seconds.
    """
    assert run_pattern(workload, "crashing request").crashes <= 2
    assert run_pattern(workload, "crashing request", RoundRobin).crashes > 4
