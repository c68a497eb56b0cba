"""Keeps the replica of a process up to date from a zone daemon.

``entry`` and ``steer`` do not read the configuration from the platform. They
subscribe to the zone daemon of their own VM, or of another member while that
one is unreachable, and receive each change.

>>> feed = Feed(context, ("config", "plan", "vms", "members"))
>>> feed.view.get_config().service_by_name
"""

import asyncio
import contextlib

from eliot import log_message

from godwitlanding.base.codes import Code
from godwitlanding.base.kernel import Service
from godwitlanding.base.messages import Fetch, State, Subscribe
from godwitlanding.base.tasks import end_tasks
from godwitlanding.base.wire import Pool
from godwitlanding.daemons.view import MEMBERS_KIND, View

RETRY_S = 0.2
# Any other response, even a refusal, shows that the daemon is running.
_NO_RESPONSE_CODES = (Code.CALL_TIMEOUT, Code.PEER_UNREACHABLE)


class Feed(Service):
    """Subscribes to a zone daemon and applies its updates to the replica.

    ``kinds`` are the object kinds to subscribe to. ``handler_by_type`` may
    add handlers for messages that a zone daemon sends on the same connection.
    Other services share the connection pool ``pool`` for their own calls.
    """

    name = "feed"

    def __init__(self, context, kinds, handler_by_type=None):
        self.view = View(context.replica, context.availability_zone)
        self.source = ""
        self._context = context
        self._kinds = tuple(kinds)
        handlers = {State: self._apply_state, **(handler_by_type or {})}
        self.pool = Pool(context.make_hello(), handlers, context.counters)
        self._task = None

    async def start(self, kernel):
        """Start following a zone daemon, without waiting for a connection."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self):
        """Stop following and close all connections."""
        if self._task:
            await end_tasks([self._task])
        await self.pool.stop()

    def is_ready(self):
        """Return whether the configuration and the members are known."""
        return self.view.get_config() is not None and bool(self.view.get_members())

    def get_own_address(self):
        """Return ``ip:port`` of this VM's own zone daemon."""
        settings = self._context.settings
        return f"{settings['address']}:{settings['zone_port']}"

    def get_status(self):
        """Return the address of the zone daemon and the object versions."""
        versions = {
            f"{kind}/{name}": state.version
            for (kind, name), state in self._context.replica.state_by_key.items()
        }
        return {"source": self.source, "versions": versions}

    async def _apply_state(self, channel, message):
        self._context.replica.offer(message)

    def _get_daemon_addresses(self):
        own = self.get_own_address()
        port = self._context.settings["zone_port"]
        members = self.view.get_members()
        others = [f"{member.address}:{port}" for member in members if member.alive]
        zone = self._context.availability_zone
        zone_vms = [
            f"{row.address}:{port}"
            for row in self.view.get_vms()
            if row.availability_zone == zone
        ]
        return list(dict.fromkeys([own, *others, *zone_vms]))

    async def _run(self):
        while True:
            for address in self._get_daemon_addresses():
                if await self._subscribe(address):
                    await self._follow(address)
                    break
            await asyncio.sleep(RETRY_S)

    async def _subscribe(self, address):
        timeout_s = self._context.settings["member_timeout_s"]
        message = Subscribe(self._kinds)
        response = await self.pool.call(address, message, timeout_s)
        if response.is_err():
            return False
        self.source = address
        log_message("feed:following", address=address)
        self._context.counters.add("feed_followed")
        return True

    async def _follow(self, address):
        """Return when the daemon at ``address`` no longer responds.

        A paused daemon keeps its connection open but sends no updates, so
        this process would keep stale data. A small request at regular
        intervals detects this.
        """
        timeout_s = self._context.settings["member_timeout_s"]
        own = self.get_own_address()
        probe = Fetch(MEMBERS_KIND, self._context.availability_zone)
        while True:
            connected = await self.pool.get_channel(address)
            if connected.is_err():
                break
            channel = connected.unwrap()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(channel.closed.wait(), timeout_s)
            if channel.closed.is_set():
                break
            response = await channel.call(probe, timeout_s)
            if response.is_err() and response.unwrap_err().code in _NO_RESPONSE_CODES:
                break
            if address != own and await self._subscribe(own):
                self.pool.drop(address)
                address = own
        self.pool.drop(address)
        self.source = ""
        log_message("feed:lost", level="warning", address=address)
