"""Whom a VM tells that it lives."""

import pytest

from godwitlanding.decisions.fleet import IDLE_SILENT_S, PEER_TIMEOUT_S
from godwitlanding.decisions.recipients import (
    IDLE_ROUND,
    STATE_INTERVAL_S,
    is_active,
    pick_recipients,
)

REGION = {f"host-{number}" for number in range(64)}
ACTIVE = {f"host-{number}" for number in range(9)}


@pytest.mark.parametrize(
    ("rate_per_s", "carriers", "expected"),
    [
        pytest.param(0.0, ["own", "a"], True, id="callers are sent to it"),
        pytest.param(0.0, ["a", "b"], False, id="others carry the requests"),
        pytest.param(1.0, ["a", "b"], False, id="a stray request now and then"),
        pytest.param(20.0, ["a", "b"], True, id="callers came all the same"),
        pytest.param(0.0, [], True, id="nobody is heard"),
    ],
)
def test_is_active(rate_per_s, carriers, expected):
    assert is_active("own", rate_per_s, carriers) is expected


def test_active_vm_tells_everybody_each_time():
    assert set(pick_recipients(True, REGION, ACTIVE, 7)) == REGION


def test_idle_vm_tells_each_active_one_once_in_a_round():
    told = [
        host
        for turn in range(IDLE_ROUND)
        for host in pick_recipients(False, REGION, ACTIVE, turn)
    ]
    assert sorted(told) == sorted(ACTIVE)


def test_three_words_in_a_row_may_be_lost():
    # Every tenth datagram is lost. A VM that is taken for dead after one or
    # two of them is out of every answer of the directory for nothing.
    assert PEER_TIMEOUT_S > 3 * STATE_INTERVAL_S
    assert IDLE_SILENT_S > 3 * IDLE_ROUND * STATE_INTERVAL_S


@pytest.mark.parametrize("vms", [12, 65, 200, 2000])
def test_what_an_idle_vm_sends_does_not_grow_with_the_region(vms):
    region = {f"host-{number}" for number in range(vms)}
    sent = sum(
        len(pick_recipients(False, region, ACTIVE, turn)) for turn in range(IDLE_ROUND)
    )
    assert sent / (IDLE_ROUND * STATE_INTERVAL_S) < 6
