"""Tests of how reported paces are weighed, and of which are believed."""

import random

import pytest
from hypothesis import given, strategies as st

from godwitlanding.decisions.pace import (
    MAX_PACE,
    MAX_ROWS,
    MIN_PACE,
    PACE_DECAY_S,
    PaceRow,
    PaceTable,
    PaceTrust,
)


def test_pace_counts_until_a_slow_period_is_over():
    # Guards against an upstream that is left unused after its slow period.
    table = PaceTable()
    table.note(1, 2.5, 10.0)
    assert table.get(1, 10.0) == 2.5
    assert 1.0 < table.get(1, 10.0 + 0.8 * PACE_DECAY_S) < 1.5
    assert table.get(1, 10.0 + PACE_DECAY_S) == 1.0
    table.note(1, 2.5, 20.0)
    table.note(1, 1.0, 20.1)
    assert table.get(1, 20.1) == 1.0


def test_older_row_of_another_vm_does_not_replace_a_newer_pace():
    # Guards against datagrams that are late and restore a slow period.
    table = PaceTable()
    table.note(1, 1.0, 10.0)
    table.receive(PaceRow(1, 2.5, 0.2), 10.1)
    assert table.get(1, 10.1) == 1.0
    table.receive(PaceRow(1, 2.5, 0.05), 10.1)
    assert table.get(1, 10.1) > 2.0


def test_only_few_own_unusual_and_recent_paces_are_sent():
    # Guards against messages that grow with the number of upstreams, and
    # against rows that VMs repeat to each other without end.
    table = PaceTable()
    for number in range(20):
        table.note(number, 2.5, 10.0 + number / 100)
    table.note(30, 1.1, 10.2)
    table.receive(PaceRow(31, 2.5, 0.0), 10.2)
    rows = table.get_recent(10.2)
    assert [row.upstream for row in rows] == [19, 18, 17][:MAX_ROWS]
    assert table.get_recent(10.2 + PACE_DECAY_S) == ()


@given(
    st.lists(
        st.tuples(st.floats(allow_nan=False), st.floats(0.0, 9.0), st.floats(-1.0, 9.0))
    ),
    st.floats(0.0, 20.0),
)
def test_false_paces_stay_within_bounds(reports, now):
    # Guards against an upstream that gets all requests, or none, because it
    # reports nonsense.
    table = PaceTable()
    for pace, noted_at, age_s in reports:
        table.note(1, pace, noted_at)
        table.receive(PaceRow(1, pace, age_s), noted_at)
    assert MIN_PACE <= table.get(1, now) <= MAX_PACE
    assert table.get(1, 9.0 + PACE_DECAY_S) == 1.0


@pytest.mark.parametrize(
    "name, measure, trusted",
    [
        ("true", lambda rng, pace: pace * rng.lognormvariate(0.0, 0.15), True),
        # A fifth of the reports fall on the end of a slow period.
        ("mixed", lambda rng, pace: pace if rng.random() > 0.2 else 1.0, True),
        ("made up", lambda rng, pace: rng.lognormvariate(0.0, 0.15), False),
    ],
)
def test_paces_are_believed_if_they_agree_with_measured_times(name, measure, trusted):
    # Guards against routing by made-up figures, and against true ones that
    # are ignored because of noise.
    rng = random.Random(name)
    trust = PaceTrust()
    for count in range(400):
        pace = rng.choice((1.0, 1.0, 0.6, 2.5))
        trust.note("s", "warm", pace, 0.2 * measure(rng, pace))
        if count > 60:
            assert trust.is_trusted("s") == trusted


def test_paces_are_believed_again_once_they_agree():
    # Guards against a service that is ignored for ever after wrong figures.
    trust = PaceTrust()
    for _ in range(30):
        trust.note("s", "warm", 2.5, 0.2)
    assert not trust.is_trusted("s")
    for _ in range(40):
        trust.note("s", "warm", 2.5, 0.5)
        trust.note("s", "warm", 1.0, 0.2)
    assert trust.is_trusted("s")


def test_work_that_began_before_the_slow_period_is_not_divided_by_its_pace():
    # Guards against work of 0.41 s that is learnt as 0.2 s because its
    # response reported a slow period that had just begun.
    table = PaceTable()
    table.note(1, 2.5, 10.0)
    assert 1.2 < table.get_mean(1, 0.5, 10.0) < 1.7
    # Reported as slow for as long as the work took.
    table.note(1, 2.5, 10.5)
    assert table.get_mean(1, 0.5, 10.5) == pytest.approx(2.5)
    table.note(1, 1.0, 10.6)
    assert table.get_mean(1, 0.5, 10.6) == 1.0
