"""Who holds a lease, by each process's own clock."""

import pytest

from godwitlanding.decisions.lease import Lease, LeaseCandidate


@pytest.mark.parametrize(
    ("seen_at", "now", "attempts"), [(0.0, 5.9, False), (0.0, 6.1, True)]
)
def test_lease_is_taken_when_no_renewal_was_seen(seen_at, now, attempts):
    """The holder dies; only the observer's own clock says how long ago."""
    candidate = LeaseCandidate("b", 6.0)
    candidate.observe(Lease("a", 4), 10, seen_at)
    candidate.observe(Lease("a", 4), 10, now)
    assert (candidate.get_attempt(now) is not None) is attempts


def test_renewal_keeps_others_away():
    candidate = LeaseCandidate("b", 6.0)
    for second in range(30):
        candidate.observe(Lease("a", second // 2), 10 + second // 2, float(second))
        assert candidate.get_attempt(float(second)) is None


@pytest.mark.parametrize(("paused_until", "holds"), [(5.0, True), (6.5, False)])
def test_paused_holder_knows_that_its_lease_lapsed(paused_until, holds):
    """The holder is paused past the lease and goes on believing.

    It must look at the time again before it plans.
    """
    candidate = LeaseCandidate("a", 6.0)
    candidate.observe(None, 0, 0.0)
    attempt = candidate.get_attempt(0.0)
    candidate.note_written(attempt, 1, 0.5)
    assert candidate.holds(paused_until) is holds


def test_lost_answer_to_a_renewal_is_read_back():
    """The write took effect, its answer was lost; it counts from the write."""
    candidate = LeaseCandidate("a", 6.0)
    candidate.observe(None, 0, 0.0)
    attempt = candidate.get_attempt(0.0)
    candidate.observe(attempt, 1, 3.0)
    assert candidate.holds(5.9)
    assert not candidate.holds(6.1)


def test_two_candidates_do_not_both_hold():
    """Two observers see the same lapse and write at once; one is refused."""
    candidates = [LeaseCandidate(name, 6.0) for name in "bc"]
    for candidate in candidates:
        candidate.observe(Lease("a", 4), 10, 0.0)
    attempts = [candidate.get_attempt(7.0) for candidate in candidates]
    candidates[0].note_written(attempts[0], 11, 7.1)
    candidates[1].observe(attempts[0], 11, 7.1)
    assert [candidate.holds(7.2) for candidate in candidates] == [True, False]
    assert candidates[1].get_attempt(7.2) is None


@pytest.mark.parametrize(
    ("lease", "version"),
    [
        pytest.param(Lease("b", 3), 8, id="names this candidate"),
        pytest.param(Lease("", 3), 8, id="names nobody"),
        pytest.param(None, 0, id="is not there"),
    ],
)
def test_lease_of_a_restored_platform_is_not_taken_from_its_lost_holder(lease, version):
    """The platform has lost a lease that another one may still believe in."""
    candidate = LeaseCandidate("b", 6.0)
    candidate.observe(Lease("a", 4), 10, 0.0)
    candidate.observe(lease, version, 1.0)
    assert candidate.get_attempt(6.9) is None
    candidate.observe(lease, version, 7.1)
    assert candidate.get_attempt(7.1) == Lease("b", 4 if lease else 1)


def test_holder_renews_the_lease_that_a_restored_platform_still_names():
    candidate = LeaseCandidate("a", 6.0)
    candidate.observe(None, 0, 0.0)
    first = candidate.get_attempt(0.0)
    candidate.note_written(first, 5, 0.1)
    second = candidate.get_attempt(2.5)
    candidate.note_written(second, 9, 2.6)
    candidate.observe(first, 5, 3.0)
    assert candidate.get_attempt(5.0) == Lease("a", 2)
