"""Fair shares of workspaces in a contended service."""

import pytest
from hypothesis import given, strategies as st

from godwitlanding.decisions.contention import SLACK, Demand, FairShares, divide
from godwitlanding.decisions.requestcounts import Counts
from godwitlanding.decisions.sharing import find_fair_level

# Three workspaces at their usual rate, and one at four times its own.
DEMANDS = {name: Demand(10.0, 16.0) for name in "abc"} | {"hot": Demand(40.0, 16.0)}


def update(shares, asked, pressed, times=1):
    for _ in range(times):
        shares.update(Counts(asked, pressed=pressed), lambda: DEMANDS, 0.4)


@given(
    st.lists(st.tuples(st.floats(0.01, 1e4), st.floats(0.01, 1e4)), min_size=1),
    st.floats(0.0, 1e5),
)
def test_parts_are_fair_and_use_the_whole_rate(demands, rate):
    # Guards against idle rate while somebody asks, and against more than the
    # rate.
    level = find_fair_level(rate, demands)
    used = sum(min(asked, level * weight) for asked, weight in demands)
    assert used == pytest.approx(min(rate, sum(asked for asked, _ in demands)))


def test_nothing_is_limited_without_contention():
    shares = FairShares()
    update(shares, 100, 4, 10)
    assert shares.share_by_workspace == {}
    assert all(shares.admits("hot") for _ in range(100))


def test_hot_workspace_gives_way_first():
    # Guards against refusals of workspaces at their usual rate. The mean use
    # is 70 / 64 of the allotments.
    shares = FairShares()
    update(shares, 100, 50)
    assert set(shares.share_by_workspace) == {"hot"}
    admitted = sum(shares.admits("hot") for _ in range(1000))
    assert admitted == pytest.approx(1000 * SLACK * 70 / 64 * 16 / 40, abs=1)


def test_workspaces_are_not_limited_when_all_ask_alike():
    # Guards against shares that fall step by step until all are limited, as
    # denials count as unserved.
    shares = FairShares()
    for _ in range(50):
        shares.update(
            Counts(100, pressed=40, denied=50),
            lambda: {name: Demand(50.0 + n, 16.0) for n, name in enumerate("abcd")},
            0.4,
        )
    assert shares.share_by_workspace == {}


def test_limit_ends_after_the_contention():
    # Guards against an idle share that nobody may use.
    shares = FairShares()
    update(shares, 100, 50, 3)
    assert shares.served_share <= 0.5
    update(shares, 100, 0, 12)
    assert shares.share_by_workspace == {}


def test_workspace_without_demand_is_not_limited():
    # Guards against a division by its demand or its weight.
    demands = {name: Demand(rate, 1.0) for name, rate in (("b", 5.0), ("c", 1.0))}
    assert set(divide(0.1, {"idle": Demand(0.0, 0.0)} | demands)) == {"b"}
    assert divide(0.1, {"idle": Demand(0.0, 0.0)}) == {}


def test_weights_of_very_different_size_divide_the_rate():
    # Guards against a division by zero where a rate of 1e18 stands for no
    # limit: the weight that remains is rounded to 0.
    assert find_fair_level(20.0, [(4.0, 1e18), (40.0, 16.0)]) == 1.0
