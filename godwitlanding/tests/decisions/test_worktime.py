"""Tests that slow and failing upstreams are detected after a few answers."""

import pytest

from godwitlanding.decisions.worktime import Warmth, WorkTimes


def make_worktimes():
    worktimes = WorkTimes()
    for upstream in ("a", "b", "c"):
        for _ in range(20):
            worktimes.note_response("s", upstream, 0.1, Warmth.WARM, False)
        worktimes.note_response("s", upstream, 0.36, Warmth.COLD, False)
    return worktimes


@pytest.mark.parametrize(("times", "answers"), [(4, 4), (12, 2)])
def test_slow_upstream_is_detected(times, answers):
    # One upstream takes several times as long, and its health endpoint reports
    # that it is healthy. Its callers would wait though others are faster.
    worktimes = make_worktimes()
    for _ in range(answers):
        worktimes.note_response("s", "a", 0.1 * times, Warmth.WARM, False)
    assert worktimes.get_factor("a") > 2
    assert worktimes.get_factor("b") < 1.2
    assert worktimes.get_warm_s("s") < 0.2


def test_unsure_requests_do_not_mark_an_upstream_slow():
    worktimes = make_worktimes()
    for _ in range(10):
        worktimes.note_response("s", "a", 0.36, Warmth.UNSURE, False)
    assert worktimes.get_factor("a") == pytest.approx(1.0, abs=0.1)


def test_queueing_does_not_mark_an_upstream_slow():
    worktimes = make_worktimes()
    for _ in range(10):
        worktimes.note_response("s", "a", 0.5, Warmth.WARM, True)
    assert worktimes.get_factor("a") == pytest.approx(1.0, abs=0.1)


def test_failure_share_rises_and_decays():
    # An upstream fails half of its requests immediately. It is always the
    # least busy one, and would get most of the requests.
    worktimes = make_worktimes()
    for _ in range(5):
        worktimes.note_failure("s", "a")
    assert worktimes.get_failure_share("a") > 0.5
    for _ in range(30):
        worktimes.recover()
    assert worktimes.get_failure_share("a") < 0.05


def test_single_failing_upstream_is_detected():
    worktimes = make_worktimes()
    for _ in range(6):
        worktimes.note_failure("s", "a")
    assert worktimes.is_failing("s", "a")
    assert not worktimes.is_failing("s", "b")


def test_none_counts_as_failing_if_all_fail_alike():
    # Every upstream of a service sheds half of its requests. Skipping each
    # that just did so sends objects to upstreams that have not cached them,
    # and work that takes four times as long fills the slots.
    worktimes = make_worktimes()
    for _ in range(60):
        for upstream in ("a", "b", "c"):
            worktimes.note_failure("s", upstream)
            worktimes.note_response("s", upstream, 0.1, Warmth.WARM, False)
            worktimes.note_failure("s", upstream)
    for upstream in ("a", "b", "c"):
        assert worktimes.get_failure_share(upstream) > 0.5
        assert not worktimes.is_failing("s", upstream)


def test_mean_work_time_includes_cold_requests():
    # Upstreams get cold requests while load rises. A plan based on warm work
    # alone keeps more callers in a small region than it can serve.
    worktimes = make_worktimes()
    before_s = worktimes.get_mean_s("s")
    for number in range(100):
        warmth = Warmth.WARM if number % 4 else Warmth.COLD
        worktimes.note_response("s", "a", 0.1 if number % 4 else 0.4, warmth, False)
    assert before_s < 0.13
    assert worktimes.get_mean_s("s") == pytest.approx(0.175, abs=0.03)


def test_objectless_requests_do_not_change_the_cold_time():
    # Guards against cold requests being estimated as short as requests without
    # an object.
    worktimes = make_worktimes()
    cold_s = worktimes.get_cold_s("s")
    for _ in range(50):
        worktimes.note_response("s", "a", 0.004, Warmth.NO_OBJECT, False)
    assert worktimes.get_cold_s("s") == cold_s
    assert worktimes.get_factor("a") == pytest.approx(1.0, abs=0.1)
    assert worktimes.get_objectless_s("s") < 0.02
    # They use slots, but only briefly, so the mean falls.
    assert worktimes.get_mean_s("s") < 0.1


def test_slow_upstream_is_detected_without_object_requests():
    worktimes = WorkTimes()
    for upstream in ("a", "b", "c"):
        for _ in range(20):
            worktimes.note_response("s", upstream, 0.3, Warmth.NO_OBJECT, False)
    for _ in range(4):
        worktimes.note_response("s", "a", 1.2, Warmth.NO_OBJECT, False)
    assert worktimes.get_factor("a") > 2
    assert worktimes.get_mean_s("s") == pytest.approx(0.3, abs=0.1)
