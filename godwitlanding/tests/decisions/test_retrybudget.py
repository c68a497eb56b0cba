"""Tests that the retries of all VMs together stay within their bound."""

import pytest

from godwitlanding.decisions.retrybudget import RetryBudget

RATIO, WINDOW_S, SLACK = 0.2, 10.0, 60.0


@pytest.mark.parametrize("vms", [1, 8, 12, 60])
@pytest.mark.parametrize("requests", [0, 100, 1000])
def test_retries_of_all_vms_stay_within_the_bound(vms, requests):
    # Every upstream sheds, so each VM retries as often as it may. If the VMs'
    # shares added up to more than the bound, retries would worsen the overload
    # that caused them.
    total = 0
    for _ in range(vms):
        budget = RetryBudget(RATIO, WINDOW_S, SLACK)
        for number in range(requests):
            now = 10.0 * number / requests
            budget.note_request("s", now)
            total += budget.take("s", vms, now)
    assert total <= RATIO * requests * vms + SLACK


def test_restarted_vms_do_not_exceed_the_bound():
    # All VMs are killed and restart while every upstream sheds. Their earlier
    # retries are in the same window.
    total = 0
    requests = 0
    for _ in range(12):
        for begun in (0.0, 5.0):
            budget = RetryBudget(RATIO, WINDOW_S, SLACK)
            for number in range(100):
                now = begun + number / 25
                budget.note_request("s", now)
                requests += 1
                while budget.take("s", 12, now):
                    total += 1
    assert total <= RATIO * requests + SLACK


def test_budget_is_free_again_after_the_window():
    budget = RetryBudget(RATIO, WINDOW_S, SLACK)
    while budget.take("s", 12, 0.0):
        pass
    assert not budget.take("s", 12, 9.9)
    assert budget.take("s", 12, 10.1)


def test_services_do_not_share_a_budget():
    budget = RetryBudget(RATIO, WINDOW_S, SLACK)
    while budget.take("s", 12, 0.0):
        pass
    assert budget.take("t", 12, 0.0)


def test_counts_are_those_of_the_window():
    budget = RetryBudget(RATIO, WINDOW_S, SLACK)
    for now in (0.0, 5.0, 9.0):
        budget.note_request("s", now)
    assert budget.take("s", 12, 9.0)
    assert budget.get_counts("s", 9.0) == (3, 1)
    assert budget.get_counts("s", 12.0) == (2, 1)
