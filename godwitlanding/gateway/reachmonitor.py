"""Finds out whether this VM is cut off from all upstreams.

It is told of each attempt to open a connection, and probes some more upstreams
when those fail (see ``decisions.reach``). Nothing is probed while connections
can be opened, apart from one probe after the start.
"""

import asyncio
import random

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import Tasks
from godwitlanding.decisions.reach import ReachState

# Upstreams of different zones that are probed at once.
PROBES = 4
# Interval of the probes while the VM is cut off.
PROBE_INTERVAL_S = 0.5
START_CHECK_S = 0.1


class ReachMonitor(Service):
    """The links of this VM to upstreams as a whole.

    The functions in ``on_restored`` are called with the time of the first
    failure (of the event loop's clock) when a cut has ended.
    """

    name = "reach"
    needs = ("registry", "chooser")

    def __init__(self, counters):
        self._counters = counters
        self._state = ReachState()
        self._registry = None
        self._chooser = None
        self._probe_task = None
        self.tasks = Tasks()
        # Opens a connection to an upstream and keeps it for later requests.
        self.connect = None
        self.on_restored = []

    async def start(self, kernel):
        """Probe once as soon as upstreams are known."""
        self._registry = kernel.get("registry")
        self._chooser = kernel.get("chooser")
        self.tasks.run(self._probe_at_start())

    async def stop(self):
        """Cancel the probes."""
        await self.tasks.stop()

    def get_status(self):
        """Return whether this VM reaches upstreams."""
        return {"reach": self.get_reach().name.lower()}

    def is_cut_off(self):
        """Return whether no upstream can be connected to."""
        return self._state.is_cut_off()

    def get_reach(self):
        """Return the ``Reach`` that others are told."""
        return self._state.get_reach(_now())

    def get_connected_age_s(self):
        """Return how long ago any upstream was connected to, or ``None``."""
        connected_at = self._state.connected_at
        return None if connected_at is None else round(_now() - connected_at, 3)

    def note_connected(self):
        """Record that a connection to an upstream was opened."""
        failing_since = self._state.failing_since
        if self._state.note_connected(_now()):
            log_message("reach:restored", cut_off_s=round(_now() - failing_since, 3))
            for callback in self.on_restored:
                callback(failing_since)

    def note_failed(self, upstream_id):
        """Record that an upstream could not be connected to."""
        self._state.note_failed(upstream_id, _now())
        if self._state.is_suspected(len(self._registry.upstream_by_id)):
            self._begin_probe()

    async def settle(self):
        """Wait until a probe that is under way has ended."""
        if self._probe_task and not self._probe_task.done():
            await asyncio.wait([self._probe_task])

    async def reaches_any_since(self, began_at):
        """Return whether an upstream was or can be connected to.

        Connections that were opened before ``began_at`` do not count.
        """
        if self._has_connected_since(began_at):
            return True
        self._begin_probe()
        await self.settle()
        return self._has_connected_since(began_at)

    def _has_connected_since(self, began_at):
        connected_at = self._state.connected_at
        return connected_at is not None and connected_at >= began_at

    def _begin_probe(self):
        if self._probe_task is None or self._probe_task.done():
            if not self.is_cut_off():
                self._probe_task = self.tasks.run(self._probe())

    async def _probe_at_start(self):
        while not self._registry.upstream_by_id:
            await asyncio.sleep(START_CHECK_S)
        if self._state.connected_at is None:
            self._begin_probe()

    async def _probe(self):
        """Connect to some upstreams; if that fails, repeat until it works."""
        if await self._connect_to_any():
            return
        if self._state.note_cut_off(_now()):
            self._counters.add("upstream_links_lost")
            log_message(
                "reach:cut_off",
                level="warning",
                connected_s=self.get_connected_age_s(),
                listed=len(self._registry.upstream_by_id),
                ejected=len(self._chooser.availability.ejected),
            )
            self.tasks.run(self._probe_until_restored())

    async def _probe_until_restored(self):
        while self.is_cut_off():
            await asyncio.sleep(PROBE_INTERVAL_S * random.uniform(0.8, 1.2))
            if self.is_cut_off():
                await self._connect_to_any()

    async def _connect_to_any(self):
        """Return whether one of some upstreams could be connected to."""
        upstreams = self._pick_upstreams()
        if not upstreams:
            return True
        began_at = _now()
        attempts = [self.tasks.run(self.connect(upstream)) for upstream in upstreams]
        while attempts and not self._has_connected_since(began_at):
            _, pending = await asyncio.wait(
                attempts, return_when=asyncio.FIRST_COMPLETED
            )
            attempts = list(pending)
        return self._has_connected_since(began_at)

    def _pick_upstreams(self):
        """Return upstreams of different zones, those in use first."""
        ejected = self._chooser.availability.ejected
        upstreams = list(self._registry.upstream_by_id.values())
        random.shuffle(upstreams)
        upstreams.sort(key=lambda upstream: upstream.id in ejected)
        first_by_zone = {}
        for upstream in upstreams:
            first_by_zone.setdefault(upstream.availability_zone, upstream)
        picked = list(first_by_zone.values())[:PROBES]
        others = [upstream for upstream in upstreams if upstream not in picked]
        return picked + others[: PROBES - len(picked)]


def _now():
    return asyncio.get_running_loop().time()
