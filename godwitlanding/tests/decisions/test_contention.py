"""Fair shares of workspaces in a contended service."""

import pytest
from hypothesis import given, strategies as st

from godwitlanding.decisions.contention import Demand, FairShares, divide
from godwitlanding.decisions.requestcounts import Counts
from godwitlanding.decisions.sharing import find_fair_level

# Three workspaces at their usual rate, and one that sends five times its own,
# of which its allotment lets 1.6 pass.
DEMANDS = {name: Demand(10.0, 16.0) for name in "abc"} | {"hot": Demand(16.0, 16.0)}


def update(shares, asked, pressed, times=1):
    for _ in range(times):
        shares.update(Counts(asked, pressed), lambda: DEMANDS)


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
    # Guards against refusals of workspaces at their usual rate: the hot one
    # asks for 6 a second more than the others, and 6 are too many.
    shares = FairShares()
    update(shares, 100, 13)
    assert set(shares.share_by_workspace) == {"hot"}
    admitted = sum(shares.admits("hot") for _ in range(1000))
    assert admitted == pytest.approx(1000 * 10 / 16, abs=10)


def test_limit_ends_after_the_contention():
    # Guards against an idle share that nobody may use.
    shares = FairShares()
    update(shares, 100, 50, 3)
    assert shares.served_share <= 0.5
    update(shares, 100, 0, 12)
    assert shares.share_by_workspace == {}


def test_workspace_without_demand_is_not_limited():
    assert divide(0.1, {"idle": Demand(0.0, 0.0), "b": Demand(5.0, 1.0)}).keys() == {
        "b"
    }
