"""Loopback addresses of a cluster, so that several can run side by side.

Two runs at the same addresses would answer in each other's place, which
shows as versions and upstreams that nobody has touched. A run claims its
addresses by a listening socket that ends with the process.
"""

import re
import socket
from contextlib import closing
from functools import cache
from typing import NamedTuple

CLAIM_PORT = 7900
# VMs are numbered below, at most eight of them.
FIRST_PLATFORM_NUMBER = 9
TEST_NETWORKS = 16
ADDRESSES_PER_TEST_NETWORK = 16
FIRST_UPSTREAM_NET = 64
FIRST_PROCESS_NET = 96
PROCESS_NETS = 32
_SAMPLE_ADDRESS = re.compile(r"127\.0\.[23]\.(\d+)")
_claim_sockets = []


class Network(NamedTuple):
    """Addresses are a prefix and a number counted from ``offset``."""

    vms: str
    upstreams: str
    control: str
    offset: int = 0

    def get_vm_address(self, number):
        """Return the address of a cluster's VM, counted from 1."""
        return f"{self.vms}{self.offset + number}"

    def get_platform_host(self, zone_number):
        """Return where a zone finds the platform; it can be cut off there."""
        return f"{self.vms}{self.offset + FIRST_PLATFORM_NUMBER + zone_number}"

    def move_upstreams(self, text):
        """Return a sample's text with its upstreams in this network."""

        def move(match):
            return f"{self.upstreams}{self.offset + int(match.group(1))}"

        return _SAMPLE_ADDRESS.sub(move, text)


DEMO_NETWORK = Network("127.0.1.", "127.0.2.", "127.0.0.9")


def make_network(number):
    """Return a network at 127.0.NUMBER.x and the one above it."""
    if number == 1:
        return DEMO_NETWORK
    return Network(f"127.0.{number}.", f"127.0.{number + 1}.", f"127.0.{number}.250")


def claim(network):
    """Tell whether nobody else has the network; keep it until the end."""
    guard = socket.socket()
    try:
        guard.bind((network.control, CLAIM_PORT))
        guard.listen()
    except OSError:
        guard.close()
        return False
    _claim_sockets.append(guard)
    return True


def claim_test_network():
    """Return a small network that no other run of the tests has."""
    for slot in range(TEST_NETWORKS):
        offset = slot * ADDRESSES_PER_TEST_NETWORK
        control = f"127.0.10.{offset + ADDRESSES_PER_TEST_NETWORK - 1}"
        # Samples have up to 40 upstreams, more than a slot has addresses.
        upstreams = f"127.0.{FIRST_UPSTREAM_NET + slot}."
        network = Network("127.0.10.", upstreams, control, offset)
        if claim(network):
            return network
    raise OSError("every test network is taken")


@cache
def claim_address_prefix():
    """Return the prefix of 250 addresses that only this process uses."""
    for net in range(FIRST_PROCESS_NET, FIRST_PROCESS_NET + PROCESS_NETS):
        prefix = f"127.0.{net}."
        if claim(Network(prefix, prefix, f"{prefix}250")):
            return prefix
    raise OSError("every network of the whole path's tests is taken")


def find_free_port(host):
    """Return a port on which nobody listens just now."""
    with closing(socket.socket()) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]
