"""Who holds a lease, by each process's own clock."""

import pytest

from godwitlanding.decisions.lease import Lease, LeaseKeeper


@pytest.mark.parametrize(
    ("seen_at", "now", "attempts"), [(0.0, 5.9, False), (0.0, 6.1, True)]
)
def test_lease_is_taken_when_no_renewal_was_seen(seen_at, now, attempts):
    """The holder dies; only the observer's own clock says how long ago."""
    keeper = LeaseKeeper("b", 6.0)
    keeper.observe(Lease("a", 4), 10, seen_at)
    keeper.observe(Lease("a", 4), 10, now)
    assert (keeper.get_attempt(now) is not None) is attempts


def test_renewal_keeps_others_away():
    keeper = LeaseKeeper("b", 6.0)
    for second in range(30):
        keeper.observe(Lease("a", second // 2), 10 + second // 2, float(second))
        assert keeper.get_attempt(float(second)) is None


@pytest.mark.parametrize(("paused_until", "holds"), [(5.0, True), (6.5, False)])
def test_paused_holder_knows_that_its_lease_lapsed(paused_until, holds):
    """The holder is paused past the lease and goes on believing.

    It must look at the time again before it plans.
    """
    keeper = LeaseKeeper("a", 6.0)
    keeper.observe(None, 0, 0.0)
    attempt = keeper.get_attempt(0.0)
    keeper.note_written(attempt, 1, 0.5)
    assert keeper.holds(paused_until) is holds


def test_lost_answer_to_a_renewal_is_read_back():
    """The write took effect, its answer was lost; it counts from the write."""
    keeper = LeaseKeeper("a", 6.0)
    keeper.observe(None, 0, 0.0)
    attempt = keeper.get_attempt(0.0)
    keeper.observe(attempt, 1, 3.0)
    assert keeper.holds(5.9)
    assert not keeper.holds(6.1)


def test_two_candidates_do_not_both_hold():
    """Two observers see the same lapse and write at once; one is refused."""
    keepers = [LeaseKeeper(name, 6.0) for name in "bc"]
    for keeper in keepers:
        keeper.observe(Lease("a", 4), 10, 0.0)
    attempts = [keeper.get_attempt(7.0) for keeper in keepers]
    keepers[0].note_written(attempts[0], 11, 7.1)
    keepers[1].observe(attempts[0], 11, 7.1)
    assert [keeper.holds(7.2) for keeper in keepers] == [True, False]
    assert keepers[1].get_attempt(7.2) is None


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
    keeper = LeaseKeeper("b", 6.0)
    keeper.observe(Lease("a", 4), 10, 0.0)
    keeper.observe(lease, version, 1.0)
    assert keeper.get_attempt(6.9) is None
    keeper.observe(lease, version, 7.1)
    assert keeper.get_attempt(7.1) == Lease("b", 4 if lease else 1)


def test_holder_renews_the_lease_that_a_restored_platform_still_names():
    keeper = LeaseKeeper("a", 6.0)
    keeper.observe(None, 0, 0.0)
    first = keeper.get_attempt(0.0)
    keeper.note_written(first, 5, 0.1)
    second = keeper.get_attempt(2.5)
    keeper.note_written(second, 9, 2.6)
    keeper.observe(first, 5, 3.0)
    assert keeper.get_attempt(5.0) == Lease("a", 2)
