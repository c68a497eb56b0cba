"""Tests how many requests an upstream has, as estimated by one VM."""

import pytest

from godwitlanding.decisions.occupancy import (
    PEER_TIMEOUT_S,
    REPORT_DECAY_S,
    Occupancy,
    get_upstream_number,
)

U = get_upstream_number("u")
V = get_upstream_number("v")


def test_own_and_peer_counts_add_up():
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


def test_counts_of_a_silent_peer_are_dropped():
    # A VM is killed with three requests in progress. If its last message still
    # counted, the slots would look occupied for ever and stay idle.
    occupancy = Occupancy()
    occupancy.note_peer("a", {U: 3}, 0.0)
    occupancy.drop_silent(PEER_TIMEOUT_S - 0.1)
    assert occupancy.get("u", 1.0) == 3
    occupancy.drop_silent(PEER_TIMEOUT_S + 0.1)
    assert occupancy.get("u", 2.0) == 0


@pytest.mark.parametrize(("share", "expected"), [(0.0, 5), (0.5, 3), (1.5, 1)])
def test_unattributed_requests_decay(share, expected):
    # A VM that is partitioned from its peers still shares upstreams with them.
    # Without the upstream's own report it would fill their queues.
    occupancy = Occupancy()
    occupancy.begin("u")
    occupancy.note_report("u", 5, 10.0)
    moment = 10.0 + share * REPORT_DECAY_S
    assert occupancy.get("u", moment) == pytest.approx(expected)


def test_report_equal_to_the_counts_adds_nothing():
    occupancy = Occupancy()
    occupancy.begin("u")
    occupancy.note_peer("a", {U: 2}, 0.0)
    occupancy.note_report("u", 3, 0.0)
    assert occupancy.get("u", 0.0) == 3
