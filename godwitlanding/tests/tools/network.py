"""Assigns loopback addresses to clusters, so that several can run at once.

Two runs at the same addresses would receive each other's requests, and would
see versions and upstreams that their own run did not change. A run therefore
claims its addresses by a listening socket, which is closed when the process
ends.
"""

import re
import socket
from contextlib import closing
from functools import cache
from typing import NamedTuple

CLAIM_PORT = 7900
# Lower numbers are those of VMs, at most eight.
FIRST_PLATFORM_NUMBER = 9
TEST_NETWORKS = 16
ADDRESSES_PER_TEST_NETWORK = 16
FIRST_UPSTREAM_NET = 64
FIRST_PROCESS_NET = 96
PROCESS_NETS = 32
_SAMPLE_ADDRESS = re.compile(r"127\.0\.[23]\.(\d+)")
_claim_sockets = []


class Network(NamedTuple):
    """Address prefixes of a cluster.

    ``offset`` is added to each number but those of upstreams, which have a
    prefix of their own.
    """

    vms: str
    upstreams: str
    control: str
    offset: int = 0

    def get_vm_address(self, number):
        """Return the address of a VM; numbers begin at 1."""
        return f"{self.vms}{self.offset + number}"

    def get_platform_host(self, zone_number):
        """Return a zone's own platform address, to disconnect it there."""
        return f"{self.vms}{self.offset + FIRST_PLATFORM_NUMBER + zone_number}"

    def move_upstreams(self, text):
        """Return a sample text with its upstreams moved to this network."""

        def move(match):
            return f"{self.upstreams}{match.group(1)}"

        return _SAMPLE_ADDRESS.sub(move, text)


DEMO_NETWORK = Network("127.0.1.", "127.0.2.", "127.0.0.9")


def make_network(number):
    """Return a network at 127.0.NUMBER.x and the one above it."""
    if number == 1:
        return DEMO_NETWORK
    return Network(f"127.0.{number}.", f"127.0.{number + 1}.", f"127.0.{number}.250")


def claim(network):
    """Claim a network until this process ends; ``False`` if it is in use."""
    claim_socket = socket.socket()
    try:
        claim_socket.bind((network.control, CLAIM_PORT))
        claim_socket.listen()
    except OSError:
        claim_socket.close()
        return False
    _claim_sockets.append(claim_socket)
    return True


def claim_test_network():
    """Claim and return a small network that no other test run uses."""
    for number in range(TEST_NETWORKS):
        offset = number * ADDRESSES_PER_TEST_NETWORK
        control = f"127.0.10.{offset + ADDRESSES_PER_TEST_NETWORK - 1}"
        # Samples have up to 40 upstreams, more than a test network has
        # addresses at 127.0.10.
        upstreams = f"127.0.{FIRST_UPSTREAM_NET + number}."
        network = Network("127.0.10.", upstreams, control, offset)
        if claim(network):
            return network
    raise OSError("all test networks at 127.0.10 are in use")


@cache
def claim_address_prefix():
    """Claim and return a prefix of 250 addresses for this process."""
    for net in range(FIRST_PROCESS_NET, FIRST_PROCESS_NET + PROCESS_NETS):
        prefix = f"127.0.{net}."
        if claim(Network(prefix, prefix, f"{prefix}250")):
            return prefix
    raise OSError("all address prefixes for test processes are in use")


def find_free_port(host):
    """Return a port of the host that is not in use at the moment."""
    with closing(socket.socket()) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]
