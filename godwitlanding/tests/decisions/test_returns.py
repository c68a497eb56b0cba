"""Tests of the booked retry times of refused callers."""

import random
from collections import Counter

import pytest
from hypothesis import given, strategies as st

from godwitlanding.decisions.returns import (
    BOOKED_SHARE,
    MAX_SEARCHED,
    SLOT_S,
    Returns,
)

RATE_PER_S = 40


def make_returns(rate_per_s=RATE_PER_S, until=10.0):
    """Return ``Returns`` of a service that completed requests evenly."""
    returns = Returns(random.Random(1))
    for number in range(int(rate_per_s * until)):
        returns.note_completed("s", number / rate_per_s)
    return returns, until


def test_hundreds_of_refused_callers_do_not_return_together():
    # Guards against more returns in an interval than slots become free.
    returns, now = make_returns()
    booked = [returns.book("s", 0, now, 0.1, 0.9) for _ in range(300)]
    count_by_slot = Counter(
        int((now + booking.wait_s) / SLOT_S) for booking in booked if booking.has_room
    )
    assert max(count_by_slot.values()) <= BOOKED_SHARE * RATE_PER_S * SLOT_S + 1
    total = sum(count_by_slot.values())
    assert total == pytest.approx(BOOKED_SHARE * RATE_PER_S * 0.8, rel=0.2)


def test_single_caller_returns_after_one_turnover():
    # Guards against a late return while nobody else is expected.
    returns, now = make_returns()
    assert returns.book("s", 0, now, 0.1, 0.9).wait_s <= 0.1 + 2 * SLOT_S


def test_urgent_caller_is_not_delayed_by_less_urgent_ones():
    returns, now = make_returns()
    while returns.book("s", 2, now, 0.1, 0.9).has_room:
        pass
    urgent = returns.book("s", 0, now, 0.1, 0.9)
    assert urgent.has_room
    assert urgent.wait_s <= 0.1 + 2 * SLOT_S
    assert not returns.book("s", 2, now, 0.1, 0.9).has_room


def test_less_urgent_caller_respects_bookings_of_urgent_ones():
    returns, now = make_returns()
    while returns.book("s", 0, now, 0.1, 0.9).has_room:
        pass
    assert not returns.book("s", 2, now, 0.1, 0.9).has_room


def test_without_completions_returns_are_spread():
    # Guards against all callers of a VM that has just started, or whose
    # upstreams hang, returning at the same moment.
    returns = Returns(random.Random(1))
    booked = [returns.book("s", 0, 5.0, 0.1, 0.9) for _ in range(200)]
    assert not any(booking.has_room for booking in booked)
    assert max(booking.wait_s for booking in booked) > 0.8
    assert min(booking.wait_s for booking in booked) < 0.2


def test_bookings_end_with_their_time():
    returns, now = make_returns()
    while returns.book("s", 0, now, 0.1, 0.9).has_room:
        pass
    for number in range(RATE_PER_S):
        returns.note_completed("s", now + number / RATE_PER_S)
    assert returns.book("s", 0, now + 1.0, 0.1, 0.9).has_room


@given(
    earliest_s=st.floats(0.05, 5.0),
    latest_s=st.floats(0.0, 5.0),
    rate_per_s=st.sampled_from([0, 1, 40, 3000]),
    now=st.floats(10.0, 1e6),
)
def test_return_is_never_later_than_the_caller_waits(
    earliest_s, latest_s, rate_per_s, now
):
    returns, _ = make_returns(rate_per_s, until=0.5)
    for _ in range(5):
        wait_s = returns.book("s", 1, now, earliest_s, latest_s).wait_s
        assert min(earliest_s, latest_s) - 1e-6 <= wait_s <= latest_s + 1e-6


@pytest.mark.parametrize(("rate_per_s", "latest_s"), [(0, 100.0), (1, 5000.0)])
def test_search_is_bounded_for_callers_with_distant_deadlines(
    monkeypatch, rate_per_s, latest_s
):
    # Guards against an event loop that is held up by a caller's deadline of
    # years: nothing has room, and each interval was searched.
    returns, now = make_returns(rate_per_s)
    searched = []
    calendar = returns._get("s")
    count = calendar.count
    monkeypatch.setattr(
        calendar, "count", lambda *row: searched.append(row) or count(*row)
    )
    for _ in range(2 * MAX_SEARCHED):
        searched.clear()
        wait_s = returns.book("s", 0, now, 0.1, latest_s).wait_s
        assert 0.1 <= wait_s <= latest_s
        assert len(searched) <= MAX_SEARCHED
