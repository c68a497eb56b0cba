"""Headroom for urgent requests, and the counts that it is decided from."""

import pytest
from hypothesis import given, strategies as st

from godwitlanding.decisions.priority import RISE_PER_S, Ranks
from godwitlanding.decisions.requestcounts import CountRow, Counts, RequestCounts
from godwitlanding.decisions.tally import COUNT_MODULUS
from godwitlanding.tests.load.priority_model import KEPT, NONE, measure

URGENT, USUAL = (1, 0), (1, 2)


def make_ranks():
    counts = RequestCounts()
    counts.set_keys((URGENT, USUAL))
    ranks = Ranks(counts)
    ranks.set_priorities({1: {0, 2}})
    return counts, ranks


def press(asked, pressed):
    return Counts(asked, asked, pressed, in_time=asked - pressed)


def send(counts, now, asked, pressed, vm="b", incarnation=1):
    counts.receive(vm, incarnation, [CountRow(1, 0, press(asked, pressed))], now)


@pytest.mark.parametrize("overload", [1.2, 1.5, 2.0])
def test_urgent_requests_go_first_under_overload(overload):
    # Guards against a full service that serves the loosest target best, and
    # against a less urgent route that starves.
    before = measure(overload, NONE, seeds=(3,))
    after = measure(overload, KEPT, seeds=(3,))
    assert after[0, "in time"] >= before[0, "in time"] + 0.15
    assert after[0, "answered"] >= after[2, "answered"] - 0.05
    callers = after[0, "callers"] + after[2, "callers"]
    answered = sum(after[p, "answered"] * after[p, "callers"] for p in (0, 2))
    assert after[2, "answered"] >= 0.25 * answered / callers
    assert after["denied, free"] <= 0.01


def test_vm_cut_off_from_its_peers_decides_from_its_own_counts():
    # Guards against a VM that denies nothing, or everything, without peers,
    # and against peers that wait for its counts.
    before = measure(1.5, NONE, seeds=(3,), cut_off=(0,))
    after = measure(1.5, KEPT, seeds=(3,), cut_off=(0,))
    assert after[0, "in time"] >= before[0, "in time"] + 0.1
    assert after[2, "answered"] >= 0.3
    counts, ranks = make_ranks()
    counts.note(URGENT, press(10, 1))
    counts.update(1.0)
    ranks.update(0.4)
    assert ranks.is_limited(1, 2)


def test_vm_without_counts_sees_no_pressure():
    # Guards against denials by a VM that has just started. The first counts
    # of a peer, since its own start, are no recent ones.
    counts, ranks = make_ranks()
    send(counts, 0.0, 1000, 900)
    counts.update(0.1)
    ranks.update(0.4)
    assert not ranks.is_limited(1, 2)
    send(counts, 0.4, 1100, 990)
    ranks.update(0.4)
    assert ranks.is_limited(1, 2)
    assert not ranks.is_limited(1, 0)
    counts.update(2.0)
    ranks.update(1.0 / RISE_PER_S)
    assert not ranks.is_limited(1, 2)


def test_counts_of_silent_and_restarted_peers_are_dropped():
    # Guards against pressure of a VM that no longer exists, and against the
    # difference between the counts of two processes.
    counts, _ = make_ranks()
    send(counts, 0.0, 100, 0)
    send(counts, 0.4, 150, 50)
    assert counts.get_recent(URGENT) == press(50, 50)
    counts.update(1.8)
    assert counts.get_recent(URGENT) == press(50, 50)
    counts.update(2.0)
    assert counts.get_recent(URGENT) == Counts()
    send(counts, 2.1, 900, 900)
    send(counts, 2.2, 40, 10, incarnation=2)
    assert counts.get_recent(URGENT) == Counts()


def test_own_denials_are_no_pressure():
    # Guards against denials of the middle priority that deny the lowest one.
    counts, ranks = make_ranks()
    counts.note(URGENT, Counts(asked=100, first=100, denied=90))
    counts.update(1.0)
    ranks.update(0.4)
    assert not ranks.is_limited(1, 2)


def test_a_late_urgent_request_denies_only_a_few_others():
    # Guards against a rarely used urgent route that denies a third of a route
    # with a hundred times its load.
    counts, ranks = make_ranks()
    counts.note(URGENT, press(1, 1))
    counts.note(USUAL, Counts(asked=100, first=100, in_time=40))
    counts.update(1.0)
    for _ in range(10):
        ranks.update(0.4)
    assert ranks.get_state(1, 2).level >= 0.97


def test_removed_priorities_are_forgotten():
    # Guards against counts of routes that a configuration has removed.
    counts, ranks = make_ranks()
    counts.note(URGENT, press(10, 10))
    send(counts, 0.0, 0, 0)
    send(counts, 0.4, 10, 10)
    counts.update(0.5)
    counts.set_keys((USUAL,))
    assert counts.get_recent(URGENT) == Counts()
    assert counts.get_rows() == ()
    ranks.set_priorities({1: {2}})
    ranks.update(0.4)
    assert not ranks.is_limited(1, 2)


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 200), st.integers(0, 200)),
        max_size=40,
    ),
    st.integers(0, COUNT_MODULUS - 1),
)
def test_recent_counts_are_the_sum_of_the_last_increases(events, start):
    # Guards against totals that drift from the peers' counts, for any order
    # of messages and a count that wraps around.
    counts, _ = make_ranks()
    total, last = dict.fromkeys(range(4), start), {}
    for step, (vm, asked, pressed) in enumerate(events):
        total[vm] += asked
        row = CountRow(1, 0, Counts(total[vm] % COUNT_MODULUS, pressed=pressed))
        counts.receive(vm, 1, [row], step * 0.01)
        last[vm] = asked if vm in last else 0
    assert counts.get_recent(URGENT).asked == sum(last.values())
