"""Requests that pass to another zone: how many, and for how long."""

import pytest

from godwitlanding.allowances import SPILL_SHARE, share_out
from godwitlanding.desk import Desk
from godwitlanding.messages import Acquire, PassOn


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


def test_leave_to_pass_on_lasts_as_long_as_the_request():
    """A zone without usable upstreams passes a request on.

    With no time given, the other zone's answer was never waited for: the
    request ran there and its caller was told that it had timed out.
    """
    desk = Desk("arbiter", "status", 1)
    desk.arbiter.set_allowances({"b": 1}, 10.0)
    answers = []
    message = Acquire("status", "r1", "caller", 1, remaining_s=2.5)
    desk.acquire("r1", ("vm",), message, 3.0, answers.append, 10.0)
    desk.tick(11.0)
    assert answers == [PassOn("b", 2.5, 1.0)]
