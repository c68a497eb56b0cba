"""How many requests may pass to another zone."""

import pytest

from godwitlanding.allowances import SPILL_SHARE, share_out


@pytest.mark.parametrize(
    ("headroom", "in_use", "expected"),
    [
        (8.0, {"a": 0, "b": 0}, {"a": 2, "b": 2}),
        (4.7, {"a": 0, "b": 0, "c": 0}, {"a": 1, "b": 1, "c": 0}),
        (2.0, {"a": 0, "b": 0, "c": 0}, {"a": 1, "b": 0, "c": 0}),
        (1.9, {"a": 0, "b": 0}, {"a": 0, "b": 0}),
        (4.7, {"a": 1, "b": 1, "c": 0}, {"a": 1, "b": 1, "c": 0}),
        (8.0, {"a": 4, "b": 0}, {"a": 2, "b": 0}),
    ],
)
def test_small_headroom_is_not_rounded_away(headroom, in_use, expected):
    """A zone of two upstreams has less than one request to give to each.

    Rounded down, no zone might pass anything on, and callers were refused
    while slots next door stood idle.
    """
    shared = share_out(headroom, in_use)
    assert shared == expected
    bound = max(headroom * SPILL_SHARE, sum(in_use.values()))
    assert sum(max(shared[zone], in_use[zone]) for zone in in_use) <= bound
