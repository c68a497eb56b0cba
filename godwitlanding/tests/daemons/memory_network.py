"""Simulates connections between daemons in one process, without sockets.

Implements the interface of ``wire`` that services use, so that zone daemons
run on a paused clock. A VM can be disconnected or killed.
"""

import asyncio
import json

from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.kernel import Kernel, Service
from godwitlanding.base.messages import Failure, Held, Holdings, State, Subscribe
from godwitlanding.base.settings import check_settings
from godwitlanding.daemons.daemon import make_context
from godwitlanding.tests.support import FakeStore
from godwitlanding.zone import make_services

ZONE_PORT = 7101
ENTRY_PORT = 7102


class MemoryNetwork:
    """The listeners by address, and the pairs of VMs that are disconnected."""

    def __init__(self):
        self.listener_by_address = {}
        self.cuts = set()
        self.sent = 0

    def can_reach(self, first_vm, second_vm):
        return frozenset((first_vm, second_vm)) not in self.cuts


class MemoryChannel:
    """One endpoint of a connection; ``other`` is the opposite one."""

    def __init__(self, network, own, peer, handlers):
        self.peer = peer
        self.closed = asyncio.Event()
        self.other = None
        self._network = network
        self._own = own
        self._handlers = handlers
        self._tasks = set()

    def send(self, message):
        self._run(self.other.receive(message))

    async def call(self, message, timeout_s):
        task = self._run(self.other.receive(message))
        done, _ = await asyncio.wait((task,), timeout=timeout_s)
        if not done or task.result() is None:
            return Err(make_refusal(Code.CALL_TIMEOUT))
        response = task.result()
        if isinstance(response, Failure):
            return Err(make_refusal(Code(response.code)))
        return Ok(response)

    async def receive(self, message):
        self._network.sent += 1
        await asyncio.sleep(0.001)
        reachable = self._network.can_reach(self._own.vm, self.peer.vm)
        if self.closed.is_set() or not reachable:
            return None
        handler = self._handlers.get(type(message))
        if handler is None:
            return Failure(Code.UNEXPECTED_MESSAGE.value)
        return await handler(self, message) or Failure(Code.UNEXPECTED_MESSAGE.value)

    def close(self):
        self.closed.set()
        for task in self._tasks:
            task.cancel()

    def _run(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


class MemoryPool:
    """Replaces ``wire.Pool``."""

    def __init__(self, network, hello, handlers):
        self._network = network
        self._hello = hello
        self._handlers = handlers
        self._channel_by_address = {}

    async def get_channel(self, address):
        channel = self._channel_by_address.get(address)
        if channel and not channel.closed.is_set():
            return Ok(channel)
        listener = self._network.listener_by_address.get(address)
        if listener is None or not self._network.can_reach(
            self._hello.vm, listener.hello.vm
        ):
            return Err(make_refusal(Code.PEER_UNREACHABLE))
        network = self._network
        local = MemoryChannel(network, self._hello, listener.hello, self._handlers)
        remote = MemoryChannel(network, listener.hello, self._hello, listener.handlers)
        local.other, remote.other = remote, local
        listener.channels.update((local, remote))
        self._channel_by_address[address] = local
        return Ok(local)

    async def call(self, address, message, timeout_s):
        connected = await self.get_channel(address)
        if connected.is_err():
            return connected
        return await connected.unwrap().call(message, timeout_s)

    async def send(self, address, message):
        connected = await self.get_channel(address)
        if connected.is_ok():
            connected.unwrap().send(message)
        return connected

    async def stop(self):
        for channel in self._channel_by_address.values():
            channel.close()


class MemoryListener(Service):
    """Replaces ``links.Listener``."""

    name = "listener"
    needs = ("peers", "members", "replication", "lending", "arbitration")

    def __init__(self, network, context, address, handlers=None):
        self.hello = context.make_hello()
        self.handlers = handlers
        self.channels = set()
        self._network = network
        self._address = address

    async def start(self, kernel):
        if kernel:
            self.handlers = kernel.get("peers").handler_by_type
        self._network.listener_by_address[self._address] = self

    async def stop(self):
        if self._network.listener_by_address.get(self._address) is self:
            del self._network.listener_by_address[self._address]
        for channel in self.channels:
            channel.close()


class PlaceholderService(Service):
    """A service without function, for lookups by name."""

    def __init__(self, name):
        self.name = name


class Daemon:
    """A zone daemon and the simulated entry process of its VM."""

    def __init__(self, network, store, vm, zone="a", seeds=()):
        number = int(vm.rsplit("m", 1)[1])
        self.vm = vm
        self.address = f"10.0.0.{number}"
        read = check_settings(
            json.dumps(
                {
                    "vm": vm,
                    "address": self.address,
                    "availability_zone": zone,
                    "platform_url": "http://10.0.0.250:1",
                    "seeds": list(seeds),
                }
            )
        )
        self.context = make_context("zone", read.unwrap())
        services = make_services(self.context, store)
        services = [s for s in services if s.name not in ("http", "probes")]
        services = [s for s in services if s.name != "listener"]
        peers = next(s for s in services if s.name == "peers")
        hello = self.context.make_hello()
        peers.pool = MemoryPool(network, hello, peers.handler_by_type)
        self.listener = MemoryListener(
            network, self.context, f"{self.address}:{ZONE_PORT}"
        )
        services += [
            PlaceholderService("http"),
            PlaceholderService("probes"),
            self.listener,
        ]
        self.kernel = Kernel(services)
        self._make_entry(network, read.unwrap())

    def _make_entry(self, network, settings):
        self.entry_context = make_context("entry", settings)
        self.permits = ()

        async def handle_holdings(channel, message):
            return Held(self.permits)

        async def apply_state(channel, state):
            self.entry_context.replica.offer(state)

        address = f"{self.address}:{ENTRY_PORT}"
        handlers = {Holdings: handle_holdings}
        self._entry = MemoryListener(network, self.entry_context, address, handlers)
        hello = self.entry_context.make_hello()
        self.entry_pool = MemoryPool(network, hello, {State: apply_state})

    async def start(self):
        await self._entry.start(None)
        await self.kernel.start()
        kinds = ("config", "plan", "members", "vms")
        await self.entry_pool.call(self.own_address, Subscribe(kinds), 1.0)

    @property
    def own_address(self):
        return f"{self.address}:{ZONE_PORT}"

    def get(self, name):
        return self.kernel.get(name)

    async def kill(self):
        """Stop at once, without returning loans or ownership."""
        await self.listener.stop()
        for name in self.kernel.get_names():
            if name not in ("departure", "planner", "listener"):
                await self.kernel.get(name).stop()
        await self.kernel.get("planner")._tasks.stop()


class MemoryZone:
    """A group of daemons with their platform and network."""

    def __init__(self, vms, zone_by_vm=None):
        self.store = FakeStore()
        self.network = MemoryNetwork()
        zone_by_vm = zone_by_vm or {}
        self.daemon_by_vm = {
            vm: Daemon(self.network, self.store, vm, zone_by_vm.get(vm, "a"))
            for vm in vms
        }
        self.list_vms()

    def list_vms(self):
        """Write the current VMs to the platform's list."""
        self.store.set_vms(
            *(
                (d.vm, d.address, d.context.availability_zone)
                for d in self.daemon_by_vm.values()
            )
        )

    async def start(self):
        for daemon in self.daemon_by_vm.values():
            await daemon.start()

    async def stop(self):
        for daemon in self.daemon_by_vm.values():
            await daemon.kill()
