"""Tests which VMs receive this VM's state messages."""

from collections import Counter

import pytest

from godwitlanding.decisions.fleet import IDLE_PEER_TIMEOUT_S, PEER_TIMEOUT_S
from godwitlanding.decisions.recipients import (
    IDLE_ROUND_INTERVALS,
    MAX_NEIGHBOURS,
    STATE_INTERVAL_S,
    is_active,
    pick_neighbours,
    pick_recipients,
)

REGION = {f"host-{number}" for number in range(64)}
ACTIVE = {f"host-{number}" for number in range(9)}


@pytest.mark.parametrize(
    ("rate_per_s", "carriers", "expected"),
    [
        pytest.param(0.0, ["own", "a"], True, id="callers are directed to it"),
        pytest.param(0.0, ["a", "b"], False, id="others carry the requests"),
        pytest.param(1.0, ["a", "b"], False, id="stray requests"),
        pytest.param(20.0, ["a", "b"], True, id="callers that were not directed to it"),
        pytest.param(0.0, [], True, id="no VM is known"),
    ],
)
def test_is_active(rate_per_s, carriers, expected):
    assert is_active("own", rate_per_s, carriers) is expected


def test_active_vm_sends_to_its_whole_region():
    assert set(pick_recipients(True, REGION, ACTIVE, 7)) == REGION


def test_idle_vm_sends_to_each_active_vm_once_per_round():
    targets = [
        host
        for turn in range(IDLE_ROUND_INTERVALS)
        for host in pick_recipients(False, REGION, ACTIVE, turn)
    ]
    assert sorted(targets) == sorted(ACTIVE)


def test_three_consecutive_messages_may_be_lost():
    # Every tenth datagram is lost. If one or two lost ones were enough to drop
    # a VM, the directory would leave it out of its answers for no reason.
    assert PEER_TIMEOUT_S > 3 * STATE_INTERVAL_S
    assert IDLE_PEER_TIMEOUT_S > 3 * IDLE_ROUND_INTERVALS * STATE_INTERVAL_S


@pytest.mark.parametrize("vms", [12, 65, 200, 2000])
def test_send_rate_of_an_idle_vm_is_independent_of_region_size(vms):
    region = {f"host-{number}" for number in range(vms)}
    sent = sum(
        len(pick_recipients(False, region, ACTIVE, turn))
        for turn in range(IDLE_ROUND_INTERVALS)
    )
    assert sent / (IDLE_ROUND_INTERVALS * STATE_INTERVAL_S) < 6


def test_request_counts_go_to_few_vms_and_each_vm_gets_some():
    # Guards against bytes that grow with the number of VMs, and against VMs
    # that get no counts.
    hosts = {f"10.0.{n // 250}.{n % 250}" for n in range(667)}
    received = Counter()
    for host in hosts:
        received.update(pick_neighbours(host, hosts - {host}))
    assert set(received.values()) == {MAX_NEIGHBOURS}
    assert received.keys() == hosts
