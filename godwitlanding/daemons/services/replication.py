"""Replicates versioned objects from the platform to a zone's processes.

Two members of a zone watch the platform and send each change to the other
members at once, so that the load on the platform grows with the number of
zones and not of VMs. Each member pushes its objects to the processes of its
VM.
"""

import asyncio
import json
import secrets

from godwitlanding.base.codes import Code
from godwitlanding.base.kernel import Service
from godwitlanding.base.log import log_warning
from godwitlanding.base.messages import Failure, Fetch, State, Subscribe
from godwitlanding.base.storetypes import get_era
from godwitlanding.base.tasks import Tasks, end_tasks
from godwitlanding.daemons.membership import choose_reachable
from godwitlanding.daemons.services.members import ENTRY_ROLE, VMS_KIND, format_vm_list

WATCHED_KINDS = ("config", "plan", "secret", "roster", "summary", "blocks")
WATCHER_COUNT = 2
WATCH_TIMEOUT_S = 30.0
RETRY_INTERVAL_S = 0.5
# A member that does not watch checks only every this many list intervals
# whether it can reach the platform; with 2,000 nodes that is 200 reads a
# second.
REACHABILITY_CHECK_INTERVALS = 5
SECRET_BYTES = 32
FETCH_TIMEOUT_S = 1.0


class Replication(Service):
    """Watches the platform, serves ``Fetch`` and pushes to subscribers."""

    name = "replication"
    needs = ("peers", "members", "platform")

    def __init__(self, context):
        self._context = context
        self._tasks = Tasks()
        self._kinds_by_channel = {}
        self._after_by_kind = {}
        self._watch_task_by_kind = {}
        self._older_version_by_key = {}
        self._members = None
        self._peers = None
        self._store = None
        self._list_rounds = 0
        self._handler_by_kind = {}

    async def start(self, kernel):
        """Start watching the platform and handling messages of peers."""
        self._members = kernel.get("members")
        self._peers = kernel.get("peers")
        self._store = kernel.get("platform").store
        self._peers.handle(Subscribe, self._handle_subscribe)
        self._peers.handle(State, self._handle_state)
        self._peers.handle(Fetch, self._handle_fetch)
        self._context.replica.listen(self._push)
        interval_s = self._context.settings["vm_list_s"]
        self._tasks.repeat(interval_s, self._read_vm_list)
        self._tasks.repeat(RETRY_INTERVAL_S, self._update_watches)
        self._tasks.repeat(RETRY_INTERVAL_S, self._fetch_from_seeds)

    async def stop(self):
        """Stop the watches."""
        await self._tasks.stop()

    def is_ready(self):
        """Tell whether the configuration and the VM list are available."""
        replica = self._context.replica
        return bool(replica.get("config", "main") and replica.get(VMS_KIND, "main"))

    def is_watcher(self):
        """Tell whether this member watches the platform for the zone."""
        return self._context.vm in self._choose_reachable(WATCHER_COUNT)

    def is_zone_writer(self):
        """Tell whether this member writes the zone's own objects."""
        return self._context.vm == self.choose_zone_writer()

    def handle_kind(self, kind, handler):
        """Call ``handler(state)`` for states of a kind not on the platform."""
        self._handler_by_kind[kind] = handler

    def choose_zone_writer(self):
        """Return the member that writes the zone's own objects, or ``""``."""
        return next(iter(self._choose_reachable(1)), "")

    async def publish(self, state):
        """Store a state that this process has written and send it to peers."""
        self._context.replica.offer(state)
        self._send_to_peers(state)

    async def write(self, kind, name, body, version):
        """Write an object of the system itself; return ``Ok(new version)``.

        A platform that was restored from an older backup has lost
        ``version`` and would reject every write conditional on it. The write
        is then made conditional on the older version that is stored.
        """
        written = await self._store.put(kind, name, body, version)
        if written.is_ok() or written.unwrap_err().code is not Code.VERSION_CONFLICT:
            return written
        stored = await self._find_older_version(kind, name, version)
        if stored is None:
            return written
        log_warning(
            "replication:written_over_older",
            kind=kind,
            name=name,
            lost=version,
            stored=stored,
        )
        return await self._store.put(kind, name, body, stored)

    async def _find_older_version(self, kind, name, version):
        read = await self._store.get(kind, name)
        if read.is_ok():
            stored = read.unwrap().version
            return stored if stored < version else None
        if version and read.unwrap_err().code is Code.NOT_FOUND:
            return 0
        return None

    def get_status(self):
        """Return the versions held and whether this member watches."""
        replica = self._context.replica
        return {
            "is_watcher": bool(self._watch_task_by_kind),
            "watched_kinds": sorted(self._watch_task_by_kind),
            "ready": self.is_ready(),
            "version_by_object": {
                f"{kind}/{name}": state.version
                for (kind, name), state in sorted(replica.state_by_key.items())
            },
            "older_on_platform": self._older_version_by_key,
            "subscribers": len(self._kinds_by_channel),
        }

    def _choose_reachable(self, count):
        zone = self._context.availability_zone
        members = self._members.member_by_vm
        return choose_reachable(f"watch/{zone}", members, count)

    async def _update_watches(self):
        should_watch = self.is_watcher() or not self._members.is_settled()
        for kind in WATCHED_KINDS:
            task = self._watch_task_by_kind.get(kind)
            if should_watch and (task is None or task.done()):
                self._watch_task_by_kind[kind] = self._tasks.run(self._watch(kind))
            elif task and not should_watch:
                del self._watch_task_by_kind[kind]
                await end_tasks([task])

    async def _watch(self, kind):
        while True:
            after = self._after_by_kind.get(kind, 0)
            # The first watch must not wait: for a kind without objects it
            # returns only after its timeout, and until then there would be
            # no key for tickets.
            timeout_s = WATCH_TIMEOUT_S if kind in self._after_by_kind else 0.0
            answer = await self._store.watch(kind, after, timeout_s)
            if answer.is_err():
                await self._handle_watch_failure(kind, answer.unwrap_err())
                continue
            self._members.platform_reachable = True
            batch = answer.unwrap()
            self._after_by_kind[kind] = batch.version
            for event in batch.events:
                if not event.deleted:
                    self._apply_from_platform(event.stored, batch.version)
            if kind == "secret":
                await self._create_secret()
            if kind == "summary":
                # Summaries change all the time: one watch a second returns
                # several of them instead of one response for each.
                await asyncio.sleep(1.0)

    async def _handle_watch_failure(self, kind, refusal):
        code = refusal.code
        self._context.counters.add("platform_watch_failed", code=code.name)
        if code is Code.WATCH_EXPIRED:
            self._after_by_kind[kind] = 0
            return
        if code is Code.PLATFORM_UNAVAILABLE:
            self._members.platform_reachable = False
        await asyncio.sleep(max(RETRY_INTERVAL_S, refusal.retry_after_s))

    def _apply_from_platform(self, stored, platform_version):
        state = State(stored.kind, stored.name, stored.version, stored.value)
        key = f"{state.kind}/{state.name}"
        held = self._context.replica.get_version(state.kind, state.name)
        is_same_era = get_era(held) == get_era(platform_version)
        includes_held = is_same_era and held <= platform_version
        if includes_held or state.version >= held:
            self._older_version_by_key.pop(key, None)
        if includes_held and state.version < held:
            # The event is only late: the version held came from a peer or
            # from a write of this process, and the watch will return it too.
            return
        if state.version < held:
            self._older_version_by_key[key] = state.version
        if self._context.replica.offer(state):
            self._send_to_peers(state)

    def _send_to_peers(self, state):
        for address in self._members.get_peer_addresses().values():
            self._tasks.run(self._peers.pool.send(address, state))

    async def _create_secret(self):
        if self._context.replica.get("secret", "ticket"):
            return
        key = secrets.token_hex(SECRET_BYTES)
        body = json.dumps({"key": key}).encode()
        # If another process creates the key first, the watch returns that key.
        await self._store.put("secret", "ticket", body, 0)

    async def _read_vm_list(self):
        self._list_rounds += 1
        must_read = self.is_watcher() or not self.is_ready()
        if not must_read and self._list_rounds % REACHABILITY_CHECK_INTERVALS:
            return
        answer = await self._store.list_vms()
        if answer.is_err():
            code = answer.unwrap_err().code
            self._context.counters.add("platform_read_failed", code=code.name)
            if code is Code.PLATFORM_UNAVAILABLE:
                self._members.platform_reachable = False
            return
        self._members.platform_reachable = True
        state = format_vm_list(answer.unwrap())
        if self._context.replica.offer(state):
            self._send_to_peers(state)

    async def _fetch_from_seeds(self):
        """Fetch the required objects from the configured seeds.

        A VM that is started during an outage of the platform has no VM list.
        It fetches it from the addresses in its settings, in any zone.
        """
        if self.is_ready():
            return
        port = self._context.settings["zone_port"]
        for seed in self._context.settings["seeds"]:
            for kind, name in (
                (VMS_KIND, "main"),
                ("config", "main"),
                ("plan", "main"),
                ("secret", "ticket"),
                ("roster", self._context.availability_zone),
            ):
                fetch = Fetch(kind, name)
                answer = await self._peers.pool.call(
                    f"{seed}:{port}", fetch, FETCH_TIMEOUT_S
                )
                if answer.is_ok() and isinstance(answer.unwrap(), State):
                    self._context.replica.offer(answer.unwrap())

    async def _handle_subscribe(self, channel, message):
        self._kinds_by_channel[channel] = frozenset(message.kinds)
        if channel.peer.role == ENTRY_ROLE and channel.peer.vm == self._context.vm:
            self._members.entry_incarnation = channel.peer.incarnation
            self._members.refresh()
        for state in list(self._context.replica.state_by_key.values()):
            if state.kind in message.kinds:
                channel.send(state)
        self._tasks.run(self._unsubscribe_when_closed(channel))

    async def _unsubscribe_when_closed(self, channel):
        await channel.closed.wait()
        self._kinds_by_channel.pop(channel, None)
        # An entry process that has ended is removed from the members, or
        # tickets and callers would be sent to it until another one starts.
        if channel.peer.role == ENTRY_ROLE and channel.peer.vm == self._context.vm:
            self._members.remove_entry(channel.peer.incarnation)

    def _push(self, state):
        for channel, kinds in self._kinds_by_channel.items():
            if state.kind in kinds:
                channel.send(state)

    async def _handle_state(self, channel, state):
        if state.kind in self._handler_by_kind:
            self._handler_by_kind[state.kind](state)
            return
        if state.kind == "members":
            return
        if state.version > self._context.replica.get_version(state.kind, state.name):
            self._context.counters.add("states_from_peers", kind=state.kind)
            self._context.replica.offer(state)
        elif state.version < self._context.replica.get_version(state.kind, state.name):
            log_warning("replication:peer_is_behind", peer=channel.peer.vm)

    async def _handle_fetch(self, channel, fetch):
        held = self._context.replica.get(fetch.kind, fetch.name)
        return held or Failure(Code.NOT_FOUND.value)
