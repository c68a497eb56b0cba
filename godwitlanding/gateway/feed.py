"""Replicates the store's objects from one VM to another.

A VM that does not read the store follows another VM (its *source*): it sends
the revision that it holds of each kind, and receives what has changed since
and every change from then on. Any VM accepts followers, also one that follows
another VM itself. So a VM that starts while the store is unreachable takes
the state that other VMs still hold instead of answering 503 until the store
is back.

A source that stops, or a connection that hangs without being closed, would
leave the VM with stale state. Heartbeats on the same connection detect this
(``decisions.storereaders``).
"""

import asyncio

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.base.messages import (
    PROTOCOL_VERSION,
    Follow,
    Hello,
    Position,
    Sign,
    Update,
)
from godwitlanding.base.storetypes import StoredObject
from godwitlanding.base.tasks import Tasks, log_failed_round
from godwitlanding.base.wire import Pool, Server
from godwitlanding.decisions.storereaders import (
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TIMEOUT_S,
    STALLED_S,
)
from godwitlanding.gateway.changeset import ChangeSet
from godwitlanding.gateway.followers import Follower, UpdateEncoder

ROLE = "vm"
# Why following a VM has ended: this VM has chosen another one.
REPLACED = "replaced"
# A source in another region answers within 0.2 s.
FOLLOW_TIMEOUT_S = 1.0


class Feed(Service):
    """Sends changes to follower VMs, and follows one source at a time.

    ``is_reading`` is called to learn whether this VM reads the store itself.
    """

    name = "feed"
    needs = ("registry",)

    def __init__(self, identity, mirrors, counters):
        self._identity = identity
        self._mirror_by_kind = {mirror.kind: mirror for mirror in mirrors}
        hello = Hello(
            PROTOCOL_VERSION, ROLE, identity.vm, identity.availability_zone, ""
        )
        self._server = Server(hello, {Follow: self._add_follower}, counters)
        self._pool = Pool(
            hello,
            {Update: self._receive_update, Sign: self._receive_heartbeat},
            counters,
        )
        self._follower_by_channel = {}
        self._encoder = UpdateEncoder()
        self._parts_by_kind = {}
        self.tasks = Tasks()
        self._task = None
        self._channel = None
        self._followed_at = 0.0
        # IP address of the source, empty for none.
        self.source = ""
        self.source_reads = False
        self.is_reading = lambda: False
        for mirror in mirrors:
            mirror.on_change.append(self._forward)

    async def start(self, kernel):
        """Listen for followers."""
        await self._server.start(self._identity.ip, self._identity.peer_port)
        self.tasks.repeat(
            HEARTBEAT_INTERVAL_S,
            self._send_heartbeats,
            first_after_s=HEARTBEAT_INTERVAL_S,
        )

    async def stop(self):
        """Stop following and close all connections."""
        self.follow("")
        await self.tasks.stop()
        await self._pool.stop()
        await self._server.stop()

    def get_status(self):
        """Return the source and the number of followers."""
        return {"source": self.source, "fed": len(self._follower_by_channel)}

    def follow(self, host):
        """Follow the VM at ``host``; an empty one stops following."""
        if host == self.source:
            return
        if self._task:
            self._task.cancel()
            self._log_end(REPLACED)
        if self.source:
            self._pool.drop(self._get_address(self.source))
        self._channel = None
        self.source = host
        self.source_reads = False
        self._followed_at = _now()
        self._task = self.tasks.run(self._follow(host)) if host else None

    def has_reading_source(self):
        """Return whether the source reads the store itself."""
        return self.source_reads

    def is_receiving(self):
        """Return whether parts of a large change arrive from the source."""
        return self._channel is not None and self._channel.is_receiving(STALLED_S)

    def _get_address(self, host):
        return f"{host}:{self._identity.peer_port}"

    async def _follow(self, host):
        address = self._get_address(host)
        try:
            detail = await self._follow_until_lost(host, address)
        except Exception as error:
            # Without the lines below this VM would believe for good that it
            # follows a reading source, and never learn of changes again.
            log_failed_round("Feed._follow", error)
            detail = repr(error)
        self._log_end(detail)
        self.source = ""
        self.source_reads = False
        self._channel = None
        self._task = None
        self._pool.drop(address)

    def _log_end(self, reason):
        """Log what had arrived from the source when following it ended."""
        received_bytes = 0
        quiet_s = None
        if self._channel:
            received_bytes = self._channel.received_bytes
            quiet_s = round(_now() - self._channel.received_at, 3)
        log_message(
            "feed:left" if reason == REPLACED else "feed:lost",
            level="warning",
            source=self.source,
            detail=reason,
            followed_s=round(_now() - self._followed_at, 3),
            received_bytes=received_bytes,
            quiet_s=quiet_s,
        )

    async def _follow_until_lost(self, host, address):
        """Follow a VM; return why that has ended."""
        detail = await self._subscribe(address)
        if detail:
            return detail
        log_message("feed:following", source=host)
        while _now() - self._channel.received_at <= HEARTBEAT_TIMEOUT_S:
            if self._channel.closed.is_set():
                return "closed"
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        return "silent"

    async def _subscribe(self, address):
        """Begin to follow; return the reason of a failure, empty if none."""
        connected = await self._pool.get_channel(address)
        if connected.is_err():
            return connected.unwrap_err().detail
        self._channel = connected.unwrap()
        self._parts_by_kind = {}
        positions = tuple(map(_make_position, self._mirror_by_kind.values()))
        answer = await self._channel.call(Follow(positions), FOLLOW_TIMEOUT_S)
        return answer.unwrap_err().detail or "refused" if answer.is_err() else ""

    async def _receive_heartbeat(self, channel, sign):
        if channel is self._channel:
            self.source_reads = sign.reads

    async def _receive_update(self, channel, update):
        mirror = self._mirror_by_kind.get(update.kind)
        if channel is not self._channel or mirror is None:
            return
        objects = tuple(StoredObject(update.kind, *held) for held in update.objects)
        objects = self._parts_by_kind.pop(update.kind, ()) + objects
        if not update.last:
            self._parts_by_kind[update.kind] = objects
            return
        change_set = ChangeSet(
            update.revision, update.changed_at, objects, update.removed, update.whole
        )
        mirror.apply_change_set(change_set)

    async def _add_follower(self, channel, follow):
        follower = Follower(channel, self._encoder)
        self._follower_by_channel[channel] = follower
        bytes_by_kind = {}
        for position in follow.positions:
            mirror = self._mirror_by_kind.get(position.kind)
            if mirror is None or not mirror.is_known:
                continue
            if _is_behind(position, mirror):
                change_set = mirror.make_full_change_set()
                follower.send(mirror, change_set)
                sizes = (len(stored.value) for stored in change_set.objects)
                bytes_by_kind[position.kind] = sum(sizes)
        log_message("feed:follower", vm=channel.peer.vm, bytes_by_kind=bytes_by_kind)
        channel.send(Sign(self.is_reading()))

    def _forward(self, mirror, change_set):
        for follower in self._get_followers():
            follower.send(mirror, change_set)

    def _get_followers(self):
        """Return the connected followers; forget the others."""
        for channel in list(self._follower_by_channel):
            if channel.closed.is_set():
                del self._follower_by_channel[channel]
        return list(self._follower_by_channel.values())

    def _send_heartbeats(self):
        sign = Sign(self.is_reading())
        for follower in self._get_followers():
            follower.channel.send(sign)


def _make_position(mirror):
    revision = mirror.revision if mirror.is_known else 0
    count = len(mirror.get_objects())
    return Position(mirror.kind, revision, count, mirror.order)


def _is_behind(position, mirror):
    # An entry that was kept through an outage is later dropped without a
    # change in the store, which only the number of objects shows.
    if position.revision < mirror.changed_at or not position.revision:
        return True
    if position.objects != len(mirror.get_objects()):
        return True
    # A delayed write of an older value may be all that the store still has.
    return position.order < mirror.order


def _now():
    return asyncio.get_running_loop().time()
