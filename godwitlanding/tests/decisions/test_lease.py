"""Tests who holds a lease, by the clock of each process."""

import pytest

from godwitlanding.decisions.lease import Lease, LeaseCandidate


@pytest.mark.parametrize(
    ("seen_at", "now", "attempts"), [(0.0, 5.9, False), (0.0, 6.1, True)]
)
def test_lease_is_taken_if_no_renewal_was_seen(seen_at, now, attempts):
    """The holder crashes; only the observer's own clock measures the time."""
    candidate = LeaseCandidate("b", 6.0)
    candidate.observe(Lease("a", 4), 10, seen_at)
    candidate.observe(Lease("a", 4), 10, now)
    assert (candidate.get_attempt(now) is not None) is attempts


def test_renewed_lease_is_not_taken_by_others():
    candidate = LeaseCandidate("b", 6.0)
    for second in range(30):
        candidate.observe(Lease("a", second // 2), 10 + second // 2, float(second))
        assert candidate.get_attempt(float(second)) is None


@pytest.mark.parametrize(("paused_until", "holds"), [(5.0, True), (6.5, False)])
def test_lease_expires_while_its_holder_is_paused(paused_until, holds):
    """The holder is paused for longer than the lease and then continues.

    It must check the time again before it plans.
    """
    candidate = LeaseCandidate("a", 6.0)
    candidate.observe(None, 0, 0.0)
    attempt = candidate.get_attempt(0.0)
    candidate.note_written(attempt, 1, 0.5)
    assert candidate.holds(paused_until) is holds


def test_write_whose_response_was_lost_is_found_by_reading():
    """A write took effect, but its response was lost.

    The lease is valid from when the write was sent.
    """
    candidate = LeaseCandidate("a", 6.0)
    candidate.observe(None, 0, 0.0)
    attempt = candidate.get_attempt(0.0)
    candidate.observe(attempt, 1, 3.0)
    assert candidate.holds(5.9)
    assert not candidate.holds(6.1)


def test_two_candidates_do_not_both_hold():
    """Two observers see the lease expire and write at once; one fails."""
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
def test_lease_rolled_back_by_a_restore_is_not_taken_at_once(lease, version):
    """The platform lost a lease that its holder may still rely on."""
    candidate = LeaseCandidate("b", 6.0)
    candidate.observe(Lease("a", 4), 10, 0.0)
    candidate.observe(lease, version, 1.0)
    assert candidate.get_attempt(6.9) is None
    candidate.observe(lease, version, 7.1)
    assert candidate.get_attempt(7.1) == Lease("b", 4 if lease else 1)


def test_holder_renews_its_lease_after_a_restore():
    candidate = LeaseCandidate("a", 6.0)
    candidate.observe(None, 0, 0.0)
    first = candidate.get_attempt(0.0)
    candidate.note_written(first, 5, 0.1)
    second = candidate.get_attempt(2.5)
    candidate.note_written(second, 9, 2.6)
    candidate.observe(first, 5, 3.0)
    assert candidate.get_attempt(5.0) == Lease("a", 2)
