"""Tests that the retries of all VMs together stay within their bound."""

import pytest

from godwitlanding.decisions.retrybudget import RetryBudget

RATIO, WINDOW_S, SLACK = 0.2, 10.0, 60.0
VMS = 12


def make_budget(started_at=-WINDOW_S, slack=SLACK, **keywords):
    return RetryBudget(RATIO, WINDOW_S, slack, started_at, **keywords)


def take_all(budget, now, service="s", vms=VMS):
    """Take every retry that is allowed and return their number."""
    taken = 0
    while budget.take(service, vms, now):
        taken += 1
    return taken


@pytest.mark.parametrize("vms", [1, 8, 12, 60])
@pytest.mark.parametrize("requests", [0, 100, 1000])
def test_retries_of_all_vms_stay_within_the_bound(vms, requests):
    # Every upstream sheds, so each VM retries as often as it may. If the VMs'
    # shares added up to more than the bound, retries would worsen the overload
    # that caused them.
    total = 0
    for _ in range(vms):
        budget = make_budget()
        for number in range(requests):
            now = 10.0 * number / requests
            budget.note_request("s", now)
            total += take_all(budget, now, vms=vms)
    assert total <= RATIO * requests * vms + SLACK


@pytest.mark.parametrize("calm_requests", [0, 100])
@pytest.mark.parametrize("restarts", [1, 2, 10])
def test_restarted_vms_do_not_exceed_the_bound(calm_requests, restarts):
    # All VMs are killed and restart while every upstream sheds. Their earlier
    # retries, some earned before the window, are in the same window.
    total = 0
    requests = 0
    for _ in range(VMS):
        started_at = -2 * WINDOW_S
        for number in range(restarts + 1):
            budget = make_budget(started_at)
            if not number:
                for request in range(calm_requests):
                    budget.note_request("s", -WINDOW_S * (1 - request / calm_requests))
            begun = WINDOW_S * number / (restarts + 1)
            for request in range(100 // (restarts + 1)):
                now = begun + request / 10
                budget.note_request("s", now)
                requests += 1
                total += take_all(budget, now)
            started_at = WINDOW_S * (number + 1) / (restarts + 1)
    assert total <= RATIO * max(requests, calm_requests * VMS) + SLACK


def test_request_pays_for_retries_of_one_window_only():
    # What requests had earned long ago was spent in one burst.
    budget = make_budget(slack=0.0)
    for _ in range(100):
        budget.note_request("s", 0.0)
    assert budget.get_counts("s", WINDOW_S).credit == 10.0
    assert take_all(budget, WINDOW_S + 0.1) == 0


def test_process_starts_without_a_part_of_the_allowance():
    # Each restart granted the process's part of the fixed allowance anew.
    budget = make_budget(started_at=0.0)
    assert take_all(budget, 0.1) == 0
    assert take_all(budget, WINDOW_S) == 2


def test_allowance_is_earned_anew_in_the_next_window():
    # A service with few requests is retried again once a window has passed,
    # and until then no more often than its part allows.
    budget = make_budget()
    assert take_all(budget, 0.0) == 2
    assert sum(take_all(budget, second / 10) for second in range(1, 100)) <= 1
    assert budget.take("s", VMS, 10.1)


def test_stopping_vm_earns_no_more_of_the_allowance():
    # VMs that stop and those that take their place divided it twice.
    budget = make_budget(started_at=0.0)
    budget.begin_stop()
    assert take_all(budget, WINDOW_S) == 0


def test_suspended_vm_does_not_spend_what_it_had_earned():
    # The clock stands still while a VM is suspended, so that requests of long
    # ago seemed to be recent.
    suspended_s = [0.0]
    budget = make_budget(get_suspended_s=lambda: suspended_s[0])
    for _ in range(100):
        budget.note_request("s", 0.0)
    suspended_s[0] = 30.0
    assert take_all(budget, 0.1) == 0


def test_services_do_not_share_a_budget():
    budget = make_budget()
    take_all(budget, 0.0)
    assert budget.take("t", VMS, 0.0)


def test_counts_are_those_of_the_window():
    budget = make_budget(slack=0.0)
    for now in (0.0, 5.0, 9.0):
        budget.note_request("s", now)
    assert budget.get_counts("s", 9.0) == (3, 0.3)
    assert budget.get_counts("s", 12.0) == (2, 0.2)
