"""Bytes and seconds of a large configuration to all VMs of a region.

One VM reads the store and feeds the others, as where the second reader has
just been lost. The VMs share this process, so that the times contain the
decoding of all; the links are those of ``narrow_links``: the reader's of
``--reader-mbps``, the others' of ``--mbps``.

    python -m godwitlanding.tests.benchmarks.bench_large_config --vms 30 100
"""

import argparse
import asyncio
import sys
import time
from types import SimpleNamespace

import orjson

from godwitlanding.base.metrics import Counters
from godwitlanding.base.storetypes import StoredObject
from godwitlanding.gateway.changeset import ChangeSet
from godwitlanding.gateway.feed import Feed
from godwitlanding.gateway.mirror import Mirror
from godwitlanding.platform.objects import get_config_order
from godwitlanding.tests.gateway.narrow_links import LinkEnd, NarrowLink
from godwitlanding.tests.gateway.test_large_config import make_large_config
from godwitlanding.tests.tools.network import claim_address_prefix

KIND = "config"
PORT = 7540
LINK_PORT = 7560
LIMIT_S = 120.0
ROUTES = 2800
SETTLE_S = 1.0


class Vm:
    """A feed with a mirror of the configuration."""

    def __init__(self, number, host):
        identity = SimpleNamespace(
            vm=f"vm-{number}", ip=host, availability_zone="a1", peer_port=PORT
        )
        self.mirror = Mirror(
            None, KIND, lambda *applied: None, get_order=get_config_order
        )
        self.feed = Feed(identity, [self.mirror], Counters())
        self.feed.is_reading = lambda: number == 0


class Region:
    """A reader, its followers and their links."""

    def __init__(self, vms, reader_mbps, mbps):
        prefix = claim_address_prefix()
        self.vms = [Vm(number, f"{prefix}{2 + number % 200}") for number in range(vms)]
        self.reader, *self.followers = self.vms
        self.reader_end = LinkEnd(reader_mbps)
        self.links = []
        self._prefix = prefix
        self._mbps = mbps

    async def __aenter__(self):
        await self.reader.feed.start(None)
        reader_address = (f"{self._prefix}2", PORT)
        for number, vm in enumerate(self.followers):
            # Each follower reaches the reader by a link of its own, which has
            # the reader's end in common with the others.
            end = LinkEnd(self._mbps)
            address = (f"{self._prefix}201", 20_000 + number)
            link = NarrowLink(
                address, reader_address, self.reader_end, {"127.0.0.1": end}
            )
            self.links.append(await link.start())
            vm.feed._get_address = (
                lambda host, address=address: f"{address[0]}:{address[1]}"
            )
            vm.feed.follow("reader")
        await self._wait(
            lambda: len(self.reader.feed._get_followers()) == len(self.vms) - 1
        )
        return self

    async def __aexit__(self, *error):
        for vm in self.followers:
            vm.feed.follow("")
        await self.reader.feed.stop()
        for link in self.links:
            link.stop()

    async def change(self, revision, routes):
        """Apply a version at the reader; return the seconds to all VMs."""
        begun = time.monotonic()
        value = orjson.dumps(make_large_config(f"{revision}", routes))
        stored = StoredObject(KIND, "main", revision, value)
        self.reader.mirror.apply_change_set(
            ChangeSet(revision, revision, (stored,), (), revision == 1)
        )
        await self._wait(lambda: all(vm.mirror.revision == revision for vm in self.vms))
        return time.monotonic() - begun

    async def _wait(self, check):
        async with asyncio.timeout(LIMIT_S):
            while not check():
                await asyncio.sleep(0.01)


async def measure(vms, arguments):
    """Print a row of the table for a region of ``vms`` VMs."""
    async with Region(vms, arguments.reader_mbps, arguments.mbps) as region:
        await region.change(1, 10)
        await asyncio.sleep(SETTLE_S)
        before = region.reader_end.sent.passed_bytes
        took_s = await region.change(2, arguments.routes)
        sent_bytes = region.reader_end.sent.passed_bytes - before
        print(
            f"{vms:4} VMs: {sent_bytes / 1e6:7.2f} MB sent by the reader,"
            f" {sent_bytes / max(1, vms - 1) / 1e3:6.1f} KB to each,"
            f" {took_s:6.2f} s to all"
        )


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--vms", type=int, nargs="+", default=[30, 100, 300])
    parser.add_argument("--routes", type=int, default=ROUTES)
    parser.add_argument("--mbps", type=float, default=5.0)
    parser.add_argument("--reader-mbps", type=float, default=200.0)
    return parser.parse_args(argv)


async def main(argv=None):
    """Measure each size in turn."""
    arguments = parse_arguments(argv)
    for vms in arguments.vms:
        await measure(vms, arguments)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
