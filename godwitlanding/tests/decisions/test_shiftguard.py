"""Tests that the share of requests in another region changes slowly."""

import pytest

from godwitlanding.decisions.shiftguard import MAX_SHARE_INCREASE, WINDOW_S, ShiftGuard

ALLOWED_SHARE_INCREASE = 0.15


def serve_window(guard, begun_at, requests, wanted_share):
    """Serve a window of requests; return the share in another region."""
    away = 0
    for number in range(requests):
        now = begun_at + WINDOW_S * number / requests
        wants = (number + 1) * wanted_share > away + 0.5
        region = "far" if wants and guard.may_change("far", now) else "own"
        away += region == "far"
        guard.note(region, now)
    return away / requests


@pytest.mark.parametrize("requests", [20, 60, 400])
@pytest.mark.parametrize("before", [0.0, 0.3])
def test_burst_moves_few_requests_at_once(requests, before):
    # A burst fills a region. Without a limit half of its requests would run in
    # another region within a second, which is not prepared for them.
    guard = ShiftGuard()
    first = serve_window(guard, 0.0, requests, before)
    second = serve_window(guard, WINDOW_S, requests, 1.0)
    assert second - first <= MAX_SHARE_INCREASE + 3 / requests
    assert requests < 60 or second - first < ALLOWED_SHARE_INCREASE


def test_long_burst_keeps_moving_requests():
    guard = ShiftGuard()
    shares = [
        serve_window(guard, WINDOW_S * n, 100, 1.0 if n else 0.0) for n in range(6)
    ]
    assert shares[-1] > 0.3


def test_vm_without_earlier_requests_has_no_limit():
    # After a start there is no earlier share to keep.
    assert serve_window(ShiftGuard(), 0.0, 50, 1.0) == 1.0
