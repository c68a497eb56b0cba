"""Tests the choice of an upstream, and which requests are refused at once."""

import pytest

from godwitlanding.decisions.placing import (
    MAX_WAITING_PER_SLOT,
    Candidate,
    estimate_wait_s,
    is_worth_taking,
    mix_work_s,
    place,
)

BASE_CANDIDATE = Candidate(
    upstream="u",
    slots=3,
    occupied=0,
    work_s=0.1,
    usual_s=0.1,
    distance_s=0.0,
    failure_share=0.0,
    rank=0,
)


@pytest.mark.parametrize(
    ("occupied", "expected"),
    [(0, 0.0), (2.9, 0.0), (3, 0.1), (6, 0.5)],
)
def test_wait_grows_with_requests_in_progress(occupied, expected):
    assert estimate_wait_s(occupied, 3, 0.4) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("first", "second", "winner"),
    [
        pytest.param({}, {"rank": 1}, "first", id="first in order among equals"),
        pytest.param({"occupied": 3}, {"rank": 1}, "second", id="free slot"),
        pytest.param(
            {"occupied": 4},
            {"rank": 1, "work_s": 0.35},
            "first",
            id="a short wait rather than an upstream without the cached object",
        ),
        pytest.param(
            {"occupied": 6.5, "usual_s": 0.3},
            {"rank": 1, "work_s": 0.35},
            "second",
            id="another upstream rather than a long wait",
        ),
        pytest.param(
            {"failure_share": 0.6}, {"rank": 1}, "second", id="failing upstream"
        ),
        pytest.param(
            {"distance_s": 0.11}, {"rank": 1}, "second", id="distant upstream"
        ),
        pytest.param(
            {"occupied": 3 * (1 + MAX_WAITING_PER_SLOT)},
            {"rank": 1, "work_s": 9.0},
            "second",
            id="upstream whose queue is nearly full",
        ),
    ],
)
def test_place(first, second, winner):
    chosen = place(
        [
            BASE_CANDIDATE._replace(upstream="first", **first),
            BASE_CANDIDATE._replace(upstream="second", **second),
        ]
    )
    assert chosen.candidate.upstream == winner


def test_no_candidate_is_no_placement():
    assert place([]) is None


@pytest.mark.parametrize(
    ("occupied", "work_s", "to_target_s", "left_s", "came_back", "expected"),
    [
        pytest.param(0, 0.1, 0.4, 2.0, False, True, id="in time"),
        pytest.param(5, 0.1, 0.4, 2.0, False, True, id="in time after a wait"),
        pytest.param(0, 0.5, 0.4, 2.0, False, True, id="late because of its length"),
        pytest.param(3, 0.5, 0.4, 2.0, False, True, id="late, with a short wait"),
        pytest.param(6, 0.3, 0.4, 2.0, False, False, id="late because of the wait"),
        pytest.param(4, 0.5, 0.4, 2.0, True, True, id="retried after a refusal"),
        pytest.param(6, 0.3, 0.4, 2.0, True, False, id="retried, with a long wait"),
        pytest.param(0, 0.5, 0.4, 0.3, False, False, id="caller has given up by then"),
    ],
)
def test_is_worth_taking(occupied, work_s, to_target_s, left_s, came_back, expected):
    placement = place(
        [BASE_CANDIDATE._replace(occupied=occupied, work_s=work_s, usual_s=work_s)]
    )
    taken = is_worth_taking(placement, to_target_s, left_s, came_back)
    assert taken is expected


@pytest.mark.parametrize(
    ("to_target_s", "left_s", "expected"),
    [
        pytest.param(0.8, 2.5, True, id="late, with time to spare"),
        pytest.param(0.8, 1.9, False, id="late, and possibly cut off"),
        pytest.param(1.8, 1.9, True, id="within its target"),
    ],
)
def test_request_that_may_be_cut_off_is_refused(to_target_s, left_s, expected):
    # A payment is expected to end just before its route's deadline. If it
    # takes a little longer it is cut off; its caller does not learn the
    # outcome and may not send it again. If refused at once, it can be retried.
    placement = place([BASE_CANDIDATE._replace(work_s=1.6, usual_s=1.6)])
    assert is_worth_taking(placement, to_target_s, left_s) is expected


@pytest.mark.parametrize(
    ("cold_requests", "in_progress", "expected_s"),
    [(0, 4, 0.2), (4, 4, 0.8), (2, 4, 0.5), (3, 0, 0.2), (9, 2, 0.8)],
)
def test_cold_requests_make_the_wait_longer(cold_requests, in_progress, expected_s):
    # Four cold requests fill an upstream. The next request waits for one of
    # them to end, not for cached work that takes a quarter of the time.
    assert mix_work_s(0.2, 0.8, cold_requests, in_progress) == pytest.approx(expected_s)


def serve_burst(slots, arrivals_s, work_s, target_s):
    """Simulate requests for cached objects; return counts in time and refused.

    There is one upstream, and refused requests are not sent elsewhere: an
    upstream without the cached object would need three times as long.
    """
    ends = []
    in_time = refused = 0
    for at in arrivals_s:
        ends = [end for end in ends if end > at]
        candidate = BASE_CANDIDATE._replace(
            slots=slots, occupied=len(ends), work_s=work_s, usual_s=work_s
        )
        placement = place([candidate])
        if placement is None or placement.finish_s > target_s:
            refused += 1
            continue
        # The slot whose request ends first is the next free one.
        busy = sorted(ends)
        begin = at if len(busy) < slots else busy[len(busy) - slots]
        ends.append(begin + work_s)
        in_time += begin + work_s - at <= target_s
    return in_time, refused


@pytest.mark.parametrize("slots", [3, 4, 9])
def test_burst_waits_at_the_upstream_that_cached_its_objects(slots):
    # A burst of requests for objects cached by one upstream arrives at 1.7
    # times its service rate, for two seconds. Cached work takes far less than
    # the target latency, so many can wait. Of 61 callers at nine slots 13 are
    # refused; with a fixed limit of four waiting requests it would be 21.
    work_s = 0.5
    rate = 1.7 * slots / work_s
    arrivals_s = [number / rate for number in range(int(2.0 * rate))]
    in_time, refused = serve_burst(slots, arrivals_s, work_s, target_s=1.2)
    assert refused <= 0.25 * len(arrivals_s)
    assert in_time >= 0.66 * len(arrivals_s)
