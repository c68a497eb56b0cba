"""Runs an entry process in the event loop of a test, with fake peers."""

import asyncio
import contextlib
import json

from godwitlanding import entry
from godwitlanding.base.kernel import Kernel
from godwitlanding.base.messages import (
    PROTOCOL_VERSION,
    Acquire,
    Fetch,
    Granted,
    Heartbeat,
    Hello,
    Refused,
    Release,
    Signal,
    State,
    Subscribe,
    Withdraw,
)
from godwitlanding.base.metrics import Counters
from godwitlanding.base.settings import check_settings
from godwitlanding.base.wire import Server
from godwitlanding.daemons.daemon import make_context
from godwitlanding.tests.support import FakeStore
from godwitlanding.tests.tools.network import Network, claim


def _claim_addresses():
    """Reserve and return three addresses that no other test run uses."""
    for offset in range(4, 240, 4):
        control = f"127.0.30.{offset}"
        network = Network("127.0.30.", "127.0.30.", control, offset)
        if claim(network):
            return [network.get_vm_address(number) for number in (1, 2, 3)]
    raise OSError("every address of the entry tests is taken")


ADDRESS, SECOND_ADDRESS, OTHER_ADDRESS = _claim_addresses()
ZONE = "za"
KEY = b"k" * 32
ZONE_PORT = 7101
ENTRY_PORT = 7002
UPSTREAM_PORT = 8000


def make_config(upstreams, zone=ZONE, other=()):
    """Return a configuration whose three services share ``upstreams``."""

    def make_service(name, kind, deadline_s):
        rows = [
            {"id": f"{name}-{number}", "address": address, "availability_zone": zone}
            for number, address in enumerate(upstreams)
        ]
        return {
            "name": name,
            "kind": kind,
            "deadline_s": deadline_s,
            "upstreams": rows,
        }

    # A configuration may contain an address only once, so the upstreams of
    # the other services come from the fake arbiter.
    services = [
        make_service("status", "lookup", 5),
        {**make_service("pay", "transaction", 5), "upstreams": []},
        {**make_service("passes", "bulk", 20), "upstreams": []},
    ]
    zones = [zone, *other]
    links = [{"from": zone, "to": name, "requests_per_s": 100} for name in other]
    return {
        "format": 1,
        "name": "test",
        "regions": [{"name": "north", "availability_zones": zones}],
        "services": services,
        "links": links,
    }


class FakeZoneDaemon:
    """A zone daemon that grants every request unless ``answer`` is set.

    ``answer`` is a function or coroutine function that maps an ``Acquire`` to
    a response; a result of ``None`` means the usual grant.
    """

    def __init__(self, address, vm="za1", zone=ZONE):
        self.address = address
        self.vm = vm
        self.zone = zone
        self.upstreams = []
        self.answer = None
        self.asked = []
        self.released = []
        self.withdrawn = []
        self.signals = []
        self.heartbeats = []
        self.states = {}
        self.channels = []
        self.valid_s = 5.0
        self._next_permit_id = 0
        hello = Hello(PROTOCOL_VERSION, "zone", vm, zone, f"{vm}-zone-1")
        handlers = {
            Subscribe: self._subscribe,
            Fetch: self._fetch,
            Acquire: self._acquire,
            Release: self._make_recorder(self.released),
            Withdraw: self._make_recorder(self.withdrawn),
            Signal: self._make_recorder(self.signals),
            Heartbeat: self._make_recorder(self.heartbeats),
        }
        self._server = Server(hello, handlers, Counters())

    async def start(self):
        await self._server.start(self.address, ZONE_PORT)

    async def stop(self):
        await self._server.stop()

    def push(self, kind, name, body, version=None):
        """Store an object and send it to every subscriber."""
        current = self.states.get((kind, name))
        version = version or (current.version + 1 if current else 1)
        state = State(kind, name, version, json.dumps(body).encode())
        self.states[(kind, name)] = state
        for channel in self.channels:
            channel.send(state)

    def grant(self, upstream=None, address=None, **fields):
        """Return a grant with a new permit id."""
        self._next_permit_id += 1
        number = (self._next_permit_id - 1) % max(1, len(self.upstreams))
        values = {
            "permit_id": self._next_permit_id,
            "upstream": upstream or f"u{number}",
            "address": address or self.upstreams[number],
            "valid_s": self.valid_s,
            "arbiter": f"{self.vm}-zone-1",
            **fields,
        }
        return Granted(**values)

    async def _subscribe(self, channel, message):
        self.channels.append(channel)
        for state in self.states.values():
            channel.send(state)

    async def _fetch(self, channel, message):
        return self.states.get((message.kind, message.name))

    async def _acquire(self, channel, message):
        self.asked.append(message)
        answer = self.answer(message) if self.answer else None
        if asyncio.iscoroutine(answer):
            answer = await answer
        if answer is None:
            answer = self._grant_first_allowed(message)
        return answer

    def _grant_first_allowed(self, message):
        for number, address in enumerate(self.upstreams):
            if f"u{number}" not in message.excluded_upstreams:
                return self.grant(f"u{number}", address)
        return Refused(2004, 1.0)

    def _make_recorder(self, messages):
        async def record(channel, message):
            messages.append(message)

        return record


class RawUpstream:
    """An upstream whose raw response bytes are written by a test.

    ``script`` is a coroutine function ``(writer, head, body)``; it closes the
    writer to simulate a crash.
    """

    def __init__(self, address, script):
        self.address = address
        self.script = script
        self.heads = []
        self.bodies = []
        self._server = None

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while not writer.is_closing():
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = 0
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length)
                self.heads.append(head)
                self.bodies.append(body)
                await self.script(writer, head, body)
                await writer.drain()
        writer.close()


def get_header(head, name):
    """Return a header value of a raw request head, or ``""``."""
    for line in head.split("\r\n")[1:]:
        found_name, _, value = line.partition(":")
        if found_name.lower() == name.lower():
            return value.strip()
    return ""


def make_raw_response(head, body, *lines, status="200 OK"):
    """Return a complete raw response to the request in ``head``."""
    rows = [
        f"HTTP/1.1 {status}",
        f"Content-Length: {len(body)}",
        f"Request-Id: {get_header(head, 'Request-Id')}",
        *lines,
    ]
    return "\r\n".join([*rows, "", ""]).encode() + body


async def respond_hello(writer, head, body):
    """Respond like a healthy upstream."""
    writer.write(make_raw_response(head, b"hello"))


def make_members(*rows, service_names=("status", "pay", "passes")):
    """Return a ``members`` body from ``(vm, address, incarnation)`` rows."""
    members = [
        {
            "vm": vm,
            "address": address,
            "entry_incarnation": incarnation,
            "alive": True,
            "leaving": False,
            "platform_reachable": True,
        }
        for vm, address, incarnation in rows
    ]
    vms = [row[0] for row in rows]
    return {
        "members": members,
        "arbiters_by_service": {name: vms for name in service_names},
    }


def make_settings(address, vm="za1", zone=ZONE, **fields):
    """Return validated settings of an entry process."""
    values = {
        "vm": vm,
        "address": address,
        "availability_zone": zone,
        "platform_url": f"http://{address}:1",
        "steer_max_age_s": 0.01,
        "summary_s": 0.01,
        "heartbeat_s": 0.01,
        "member_timeout_s": 0.5,
        **fields,
    }
    return check_settings(json.dumps(values)).unwrap()


class EntryHarness:
    """Starts and stops an entry process, its zone daemon and upstreams."""

    def __init__(self, address, scripts, store=None, **settings):
        self.address = address
        self.url = f"http://{address}:{ENTRY_PORT}"
        self.zone = FakeZoneDaemon(address)
        self.upstreams = [
            RawUpstream(f"{address}:{UPSTREAM_PORT + number}", script)
            for number, script in enumerate(scripts)
        ]
        self.zone.upstreams = [upstream.address for upstream in self.upstreams]
        self.context = make_context("entry", make_settings(address, **settings))
        self.store = store or FakeStore()
        self.kernel = Kernel(entry.make_services(self.context, self.store))

    @property
    def counters(self):
        return self.context.counters

    async def __aenter__(self):
        addresses = [upstream.address for upstream in self.upstreams]
        self.zone.push("config", "main", make_config(addresses))
        self.zone.push("secret", "ticket", {"key": KEY.hex()})
        row = (self.context.vm, self.address, self.context.incarnation)
        self.zone.push("members", ZONE, make_members(row))
        for upstream in self.upstreams:
            await upstream.start()
        await self.zone.start()
        await self.kernel.start()
        await wait_until(self.kernel.get("feed").is_ready)
        return self

    async def __aexit__(self, *_):
        await self.kernel.stop()
        await self.zone.stop()
        for upstream in self.upstreams:
            await upstream.stop()


async def wait_until(check, limit_s=20.0):
    """Wait for a condition; the limit allows for slow machines."""
    async with asyncio.timeout(limit_s):
        while not check():
            await asyncio.sleep(0.005)
