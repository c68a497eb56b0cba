"""How many requests an upstream has, as one VM knows it."""

import pytest

from godwitlanding.decisions.occupancy import (
    PEER_TIMEOUT_S,
    REPORT_DECAY_S,
    Occupancy,
    get_upstream_number,
)

U = get_upstream_number("u")
V = get_upstream_number("v")


def test_own_and_peers_add_up():
    occupancy = Occupancy()
    occupancy.begin("u")
    occupancy.begin("u")
    occupancy.end("u")
    occupancy.note_peer("a", {U: 2}, 0.0)
    occupancy.note_peer("b", {U: 1, V: 1}, 0.0)
    occupancy.note_peer("a", {U: 1}, 0.1)
    assert occupancy.get("u", 0.1) == 3
    assert occupancy.get("v", 0.1) == 1
    assert occupancy.get_own() == {"u": 1}
    assert occupancy.get_own_by_number() == {U: 1}


def test_silent_peer_no_longer_counts():
    # A VM is killed with three requests in progress. If its last word stood,
    # the slots would look taken for good, and idle.
    occupancy = Occupancy()
    occupancy.note_peer("a", {U: 3}, 0.0)
    occupancy.drop_silent(PEER_TIMEOUT_S - 0.1)
    assert occupancy.get("u", 1.0) == 3
    occupancy.drop_silent(PEER_TIMEOUT_S + 0.1)
    assert occupancy.get("u", 2.0) == 0


@pytest.mark.parametrize(("share", "expected"), [(0.0, 5), (0.5, 3), (1.5, 1)])
def test_what_only_the_upstream_knows_of_fades(share, expected):
    # A VM that is cut off from its peers shares upstreams with them all the
    # same. Without the upstream's own report it would fill their queues.
    occupancy = Occupancy()
    occupancy.begin("u")
    occupancy.note_report("u", 5, 10.0)
    moment = 10.0 + share * REPORT_DECAY_S
    assert occupancy.get("u", moment) == pytest.approx(expected)


def test_report_that_agrees_adds_nothing():
    occupancy = Occupancy()
    occupancy.begin("u")
    occupancy.note_peer("a", {U: 2}, 0.0)
    occupancy.note_report("u", 3, 0.0)
    assert occupancy.get("u", 0.0) == 3
