"""Tests how the headroom of a zone is divided into spill allowances."""

import pytest
from hypothesis import given, settings, strategies as st

from godwitlanding.decisions.allowances import divide_headroom, divide_small_headroom


@pytest.mark.parametrize(
    ("headroom", "in_use", "expected"),
    [
        (12.0, {"a": 0, "b": 0}, {"a": 3, "b": 3}),
        (12.0, {"a": 6, "b": 0}, {"a": 3, "b": 0}),
        (12.0, {"a": 2, "b": 4}, {"a": 2, "b": 3}),
        (0.0, {"a": 2, "b": 0}, {"a": 0, "b": 0}),
        (-3.0, {"a": 2}, {"a": 0}),
        (7.0, {"a": 0, "b": 0, "c": 0}, {"a": 1, "b": 1, "c": 1}),
    ],
)
def test_allowances_exclude_what_is_still_in_use(headroom, in_use, expected):
    assert divide_headroom(headroom, in_use) == expected


@pytest.mark.parametrize(
    ("headroom", "in_use", "expected"),
    [
        (4.7, {"a": 0, "b": 0, "c": 0}, {"a": 1, "b": 1, "c": 0}),
        (4.7, {"a": 1, "b": 1, "c": 0}, {"a": 1, "b": 1, "c": 0}),
        (2.0, {"a": 0, "b": 0, "c": 0}, {"a": 1, "b": 0, "c": 0}),
        (2.0, {"a": 0, "b": 0, "silent": 1}, {"a": 0, "b": 0, "silent": 0}),
        (1.9, {"a": 0, "b": 0}, {"a": 0, "b": 0}),
        (0.5, {"a": 2}, {"a": 0}),
    ],
)
def test_small_headroom_is_not_rounded_down_to_nothing(headroom, in_use, expected):
    """Payments have two upstreams per zone, and five zones may spill there.

    If every share is rounded down to 0, no zone can spill: callers are
    refused while slots in a neighbouring zone are idle.
    """
    shared = divide_headroom(headroom, in_use)
    reporting = set(in_use) - {"silent"}
    assert divide_small_headroom(headroom, in_use, shared, reporting) == expected


@given(
    headroom=st.floats(-5, 100),
    in_use=st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 30), min_size=1),
)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_allowances_never_sum_past_headroom(headroom, in_use):
    new = divide_headroom(headroom, in_use)
    new = divide_small_headroom(headroom, in_use, new, set(in_use))
    in_force = sum(max(new[zone], in_use[zone]) for zone in in_use)
    assert in_force <= max(headroom, sum(in_use.values()), 0)
    assert sum(new.values()) <= max(0.0, headroom) or new == in_use
