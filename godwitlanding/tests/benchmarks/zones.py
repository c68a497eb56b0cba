"""Runs the zone daemons of several zones in one process for benchmarks.

Uses the real services for members, replication, peers and listener over
loopback with an in-memory platform, and counts the messages that are sent.
"""

import asyncio
import json
from collections import Counter

from godwitlanding.base import channel
from godwitlanding.base.kernel import Kernel, Service
from godwitlanding.base.settings import check_settings
from godwitlanding.daemons.daemon import make_context
from godwitlanding.daemons.services.configuration import Configuration
from godwitlanding.daemons.services.members import Members
from godwitlanding.daemons.services.peerconnections import Listener, Peers
from godwitlanding.daemons.services.platform import Platform
from godwitlanding.daemons.services.replication import Replication
from godwitlanding.tests.support import FakeStore

PORT = 17301
SETTLE_S = 4.0
_TIMEOUT_S = 60


class TrafficCounter:
    """Counts messages and bytes by type as they are encoded.

    Of large messages, which are deflated and sent in pieces later, the bytes
    before that count.
    """

    def __init__(self):
        self.messages = Counter()
        self.bytes = Counter()
        self._encode = channel.encode

    def __enter__(self):
        channel.encode = self._count
        return self

    def __exit__(self, *error):
        channel.encode = self._encode

    def clear(self):
        """Reset all counts."""
        self.messages.clear()
        self.bytes.clear()

    def _count(self, envelope):
        data = self._encode(envelope)
        name = type(envelope.message).__name__
        self.messages[name] += 1
        self.bytes[name] += len(data) + channel._LENGTH.size
        return data


class PlaceholderService(Service):
    """A service without function, for dependencies by name."""

    def __init__(self, name):
        self.name = name


class Fleet:
    """Zone daemons of several zones in this process with one platform."""

    def __init__(self, zones, members):
        self.store = FakeStore()
        self.contexts = []
        self._kernels = []
        rows = []
        for zone in range(zones):
            for member in range(members):
                number = len(rows)
                address = f"127.0.{50 + number // 250}.{1 + number % 250}"
                rows.append((f"z{zone:02}-v{member:02}", address, f"z{zone:02}"))
        self.store.set_vms(*rows)
        for vm, address, zone in rows:
            self._add_daemon(vm, address, zone)

    def _add_daemon(self, vm, address, zone):
        text = json.dumps(
            {
                "vm": vm,
                "address": address,
                "availability_zone": zone,
                "platform_url": "http://127.0.50.1:1",
                "zone_port": PORT,
            }
        )
        context = make_context("zone", check_settings(text).unwrap())
        services = [
            Peers(context),
            Platform(self.store),
            Configuration(context),
            Members(context),
            Replication(context),
            PlaceholderService("lending"),
            PlaceholderService("arbitration"),
            Listener(context),
        ]
        self.contexts.append(context)
        self._kernels.append(Kernel(services))

    async def __aenter__(self):
        for kernel in self._kernels:
            await kernel.start()
        await asyncio.sleep(SETTLE_S)
        return self

    async def __aexit__(self, *error):
        await asyncio.gather(*(kernel.stop() for kernel in self._kernels))

    async def put(self, kind, name, body):
        """Overwrite an object at any version; return the new version."""
        current = self.store.objects.get(kind, name)
        expected = current.unwrap().version if current.is_ok() else 0
        return (await self.store.put(kind, name, body, expected)).unwrap()

    async def wait_for(self, version_by_key):
        """Wait until all daemons have ``{(kind, name): version}`` or later."""
        waiting = set()
        done = asyncio.Event()

        def has_versions(context):
            get = context.replica.get_version
            return all(get(*key) >= version for key, version in version_by_key.items())

        def subscribe(context, number):
            def listen(state):
                if number in waiting and has_versions(context):
                    waiting.discard(number)
                    if not waiting:
                        done.set()

            context.replica.listen(listen)

        for number, context in enumerate(self.contexts):
            if not has_versions(context):
                waiting.add(number)
                subscribe(context, number)
        if waiting:
            await asyncio.wait_for(done.wait(), _TIMEOUT_S)
