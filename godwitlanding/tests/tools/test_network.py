"""Tests of the addresses that test clusters get."""

import ipaddress

import pytest

from godwitlanding.tests.tools.network import (
    ADDRESSES_PER_TEST_NETWORK,
    FIRST_UPSTREAM_NET,
    TEST_NETWORKS,
    Network,
)


@pytest.mark.parametrize("number", range(TEST_NETWORKS))
def test_each_test_network_holds_the_upstreams_of_a_sample(number):
    # Guards against clusters that fail to start if many test runs share a
    # machine: the last networks had upstreams beyond 255.
    upstreams = f"127.0.{FIRST_UPSTREAM_NET + number}."
    offset = number * ADDRESSES_PER_TEST_NETWORK
    network = Network("127.0.10.", upstreams, "", offset)
    for upstream in (1, 40):
        moved = network.move_upstreams(f"127.0.2.{upstream}")
        assert ipaddress.ip_address(moved)
