"""Which part of a region is on this side of a cut."""

import pytest
from hypothesis import given, strategies as st

from godwitlanding.decisions.reachability import HOLD_S, QUIET_S, Reachability

NAMES = [f"vm-{number}" for number in range(8)]


def hear(quorum, names, now, carries=True, heard=1):
    for name in names:
        quorum.note(name, carries, heard, now)


@pytest.mark.parametrize(
    ("heard", "carries", "silent_s", "share"),
    [
        pytest.param(3, True, 0.0, 1.0, id="all are heard"),
        pytest.param(1, True, QUIET_S + 0.1, 0.5, id="carriers are silent at once"),
        pytest.param(0, True, QUIET_S + 0.1, 0.25, id="alone"),
        pytest.param(0, False, 2.0, 1.0, id="others speak seldom"),
        pytest.param(0, False, HOLD_S + 0.1, 0.25, id="others are gone"),
    ],
)
def test_share_is_that_of_the_vms_that_are_heard(heard, carries, silent_s, share):
    # A cut divides four VMs of a region. Those that no longer hear the others
    # go on with their own share of what the region may send.
    quorum = Reachability()
    hear(quorum, NAMES[:3], 0.0, carries)
    hear(quorum, NAMES[:heard], silent_s, carries)
    assert quorum.get_share(set(NAMES[:3]), True, silent_s) == share


def test_vm_that_says_that_it_leaves_is_not_missed():
    quorum = Reachability()
    hear(quorum, NAMES[:3], 0.0)
    hear(quorum, NAMES[:1], 0.1, carries=False)
    hear(quorum, NAMES[1:3], 1.0)
    assert quorum.get_share(set(NAMES[:3]), True, 1.0) == 1.0


def test_one_that_hears_few_believes_those_that_hear_all():
    # A VM that carries nothing is told by those that carry alone.
    quorum = Reachability()
    hear(quorum, NAMES[:2], 0.0, heard=8)
    assert quorum.get_share(set(NAMES[:7]), False, 0.0) == 1.0


@given(st.lists(st.integers(0, 2), min_size=8, max_size=8))
def test_shares_of_all_sides_add_up_to_one_at_the_most(sides):
    # However a region falls apart: what its parts may send together is no
    # more than the region's.
    for after_s in (QUIET_S + 0.1, HOLD_S + 0.1):
        total = 0.0
        for side in set(sides):
            members = [name for name, of in zip(NAMES, sides) if of == side]
            own = members[0]
            quorum = Reachability()
            others = set(NAMES) - {own}
            hear(quorum, others, 0.0, heard=8)
            now = 0.0
            while now < after_s:
                now += 0.4
                heard = quorum.count_heard(now)
                hear(quorum, members[1:], now, heard=heard)
                share = quorum.get_share(others, True, now)
            total += share
        assert total <= 1.0 + 1e-9
