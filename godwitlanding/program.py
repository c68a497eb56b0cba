"""Assembles the process of an entry VM on the users' platform.

Connects the gateway's services with the platform's names and formats; no
other module depends on the platform. The command is ``godwitlanding.vm``.
"""

import asyncio
import time

import orjson
from eliot import log_message

from godwitlanding.base.kernel import Kernel
from godwitlanding.base.logstream import set_up_log_stream
from godwitlanding.base.loophealth import LoopHealth
from godwitlanding.base.metrics import Counters, make_meter, render_metrics
from godwitlanding.base.suspension import get_suspended_s
from godwitlanding.base.tasks import Tasks, start_task
from godwitlanding.decisions.allotment import Allotments
from godwitlanding.decisions.fleet import Fleet
from godwitlanding.decisions.objectmap import ObjectMap
from godwitlanding.decisions.occupancy import Occupancy
from godwitlanding.decisions.poison import PoisonLedger
from godwitlanding.decisions.removalguard import RemovalGuard
from godwitlanding.decisions.retrybudget import RetryBudget
from godwitlanding.decisions.stopschedule import StopSchedule
from godwitlanding.decisions.worktime import WorkTimes
from godwitlanding.gateway.admission import Admission, ConfigFreshness
from godwitlanding.gateway.allotmentgossip import AllotmentGossip
from godwitlanding.gateway.chooser import Chooser
from godwitlanding.gateway.contention import Contention
from godwitlanding.gateway.crashgossip import CrashGossip
from godwitlanding.gateway.directory import Directory
from godwitlanding.gateway.feed import Feed
from godwitlanding.gateway.front import Front
from godwitlanding.gateway.heldbytes import HeldBytes
from godwitlanding.gateway.limitgossip import LimitGossip
from godwitlanding.gateway.mirror import Mirror
from godwitlanding.gateway.pages import Page, PageServer
from godwitlanding.gateway.peers import Peers
from godwitlanding.gateway.presence import Presence
from godwitlanding.gateway.reachmonitor import ReachMonitor
from godwitlanding.gateway.registry import Registry
from godwitlanding.gateway.relay import RELAY_PORT_OFFSET, Relay
from godwitlanding.gateway.relayhandler import RelayHandler, RelayListener
from godwitlanding.gateway.requesthandler import RequestHandler
from godwitlanding.gateway.retrytimes import RetryTimes
from godwitlanding.gateway.savedobjectmap import SavedObjectMap
from godwitlanding.gateway.servicefill import ServiceFill
from godwitlanding.gateway.sourceselector import SourceSelector
from godwitlanding.gateway.upstream import UpstreamPool
from godwitlanding.gateway.upstreamclient import UpstreamClient
from godwitlanding.gateway.workspacegauges import WorkspaceGauges
from godwitlanding.platform.endpoints import make_directory, make_readiness
from godwitlanding.platform.headers import HEADER_NAMES, read_self_report
from godwitlanding.platform.objects import (
    CONFIG_KIND,
    CONFIG_NAME,
    EVACUATION_KIND,
    OBJECT_MAP_KIND,
    UPSTREAM_KIND,
    VM_KIND,
    get_config_order,
    get_upstream_order,
    read_config_in_steps,
    read_upstream,
    read_vm,
)
from godwitlanding.platform.settings import get_change_time, read_settings
from godwitlanding.platform.store import ObjectStore

ROLE = "vm"
EXIT_OK = 0
EXIT_FAILED = 1
METRICS_PATH = "/metrics"
# Changed settings need not be in force sooner than a changed configuration.
SETTINGS_POLL_S = 1.0
# Log lines are written immediately; this flushes those that the pipe of a slow
# reader did not accept.
FLUSH_INTERVAL_S = 0.5
_DECODE_ERRORS = (ValueError, LookupError, TypeError, AttributeError, ArithmeticError)


class Program:
    """The services of one process and their shared state.

    ``pool`` opens the connections to upstreams; the default is an
    ``UpstreamPool``.
    """

    def __init__(self, settings, metrics_port, counters, pool=None):
        loop = asyncio.get_running_loop()
        self._settings = settings
        self._metrics_port = metrics_port
        self._counters = counters
        # Version and value of a configuration that has not been read.
        self._unread_config = None
        self._is_reading_config = False
        self.occupancy = Occupancy()
        self.worktimes = WorkTimes()
        self.fleet = Fleet()
        self.poison_ledger = PoisonLedger()
        bounds = settings.bounds
        self.retry_budget = RetryBudget(
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.retry_slack,
            _get_earning_start(settings, loop.time()),
            get_suspended_s,
        )
        self.store = ObjectStore(settings.store_address, counters)
        self.registry = Registry(settings.region_by_zone)
        self.stop_schedule = StopSchedule()
        self.object_map = ObjectMap()
        self.allotments = Allotments(
            settings.region,
            settings.region_by_zone.values(),
            bounds.allotment,
            loop.time(),
        )
        WorkspaceGauges(self.allotments, counters)
        self.limit_gossip = LimitGossip(
            self.registry, settings.region, settings.region_by_zone.values(), counters
        )
        self.peers = Peers(
            settings,
            self.fleet,
            self.occupancy,
            self.object_map,
            AllotmentGossip(self.allotments),
            self.limit_gossip,
            CrashGossip(self.registry, self.poison_ledger, counters),
        )
        self.peers.is_ready = self.is_ready
        self.reach = ReachMonitor(counters)
        self.peers.get_reach = self.reach.get_reach
        self.directory = Directory(
            settings,
            self.fleet,
            self.peers.digests,
            self.is_ready,
            self.reach.get_reach,
        )
        self.presence = Presence(self.store, VM_KIND, settings)
        self.chooser = Chooser(
            settings,
            self.occupancy,
            self.worktimes,
            self.fleet,
            self.object_map,
            self.limit_gossip,
        )
        self.chooser.is_cut_off = self.reach.is_cut_off
        self.held_bytes = HeldBytes(counters, settings.memory_mb)
        pool = pool or UpstreamPool(HEADER_NAMES.request_id, counters, self.held_bytes)
        self.upstream_client = UpstreamClient(
            HEADER_NAMES,
            read_self_report,
            pool,
            self.occupancy,
            self.worktimes,
            self.limit_gossip,
            counters,
            self.poison_ledger,
            self.reach,
            self.held_bytes,
        )
        self.relay = Relay(
            settings,
            HEADER_NAMES,
            self.fleet,
            self.peers.digests,
            UpstreamPool(HEADER_NAMES.request_id, None, self.held_bytes),
            counters,
        )
        self.relay_handler = RelayHandler(HEADER_NAMES, self.poison_ledger, counters)
        self.relay_handler.stop_schedule = self.stop_schedule
        self.admission = Admission(
            HEADER_NAMES,
            self.retry_budget,
            self.allotments,
            ConfigFreshness(self._is_config_fresh, self._may_trust_keys),
        )
        self.retry_times = RetryTimes(counters)
        fill = ServiceFill(settings.region, self.occupancy, self.fleet, self.worktimes)
        self.contention = Contention(fill, self.allotments, counters)
        self.request_handler = RequestHandler(
            HEADER_NAMES,
            self.retry_budget,
            self.poison_ledger,
            self.allotments,
            counters,
        )
        self.request_handler.get_vm_count = self.peers.count_vms
        self.request_handler.stop_schedule = self.stop_schedule
        self.vm_mirror = self._make_mirror(
            VM_KIND,
            self._apply_vm,
            guard=RemovalGuard(expires=False),
            on_known=self._note_vms_known,
        )
        self.mirrors = self._make_mirrors()
        self.saved_object_map = SavedObjectMap(
            self.store, OBJECT_MAP_KIND, settings.region, self.object_map
        )
        self.saved_object_map.may_read = self.registry.is_complete
        self.vm_mirror.on_restored.append(self.saved_object_map.note_restored)
        self.feed = Feed(settings, self.mirrors, counters)
        self.source_selector = SourceSelector(
            settings,
            self.fleet,
            self.peers.digests,
            self.feed,
            self.mirrors,
            counters,
        )
        self.peers.get_store_state = self.source_selector.get_store_state
        self.loop_health = LoopHealth(self._get_looping_services(), counters)
        self.relay_listener = RelayListener(
            (settings.ip, settings.peer_port + RELAY_PORT_OFFSET),
            bounds.stop_s,
            HEADER_NAMES,
            self.held_bytes,
            self.stop_schedule,
        )
        self.front = Front(
            settings.caller_address,
            bounds.stop_s,
            HEADER_NAMES,
            self.held_bytes,
            self.stop_schedule,
        )
        self.front.needs += ("directory", "readiness", "metrics", "presence", "reader")

    def _make_mirrors(self):
        # Two of the lists that a VM reads at startup must not be stale: the
        # VMs, because all VMs start at the same time and would not know each
        # other, and the configuration, because requests for a missing route
        # are refused. The other lists are updated by peers soon after.
        upstream_mirror = self._make_mirror(
            UPSTREAM_KIND,
            self._apply_upstream,
            guard=RemovalGuard(),
            begins_old=True,
            on_known=self._note_upstreams_known,
            get_entry_order=get_upstream_order,
        )
        upstream_mirror.on_restored.append(self.registry.note_restored)
        upstream_mirror.on_refused.append(self.registry.note_older_entry)
        upstream_mirror.is_current = lambda: self.source_selector.is_fresh()
        evacuation_mirror = self._make_mirror(
            EVACUATION_KIND,
            self._apply_evacuation,
            guard=RemovalGuard(expires=False),
            begins_old=True,
        )
        return [
            self._make_mirror(
                CONFIG_KIND, self._apply_config, get_order=get_config_order
            ),
            upstream_mirror,
            evacuation_mirror,
            self.vm_mirror,
        ]

    def _get_looping_services(self):
        return [
            self.peers,
            self.presence,
            self.chooser,
            self.upstream_client,
            *self.mirrors,
            self.feed,
            self.source_selector,
        ]

    def make_services(self):
        """Return all services of the process."""
        return [
            self.registry,
            *self._get_looping_services(),
            self.admission,
            self.contention,
            self.retry_times,
            self.reach,
            self.relay,
            self.relay_handler,
            self.relay_listener,
            self.request_handler,
            self.saved_object_map,
            self.loop_health,
            PageServer(
                "directory",
                self._settings.directory_address,
                make_directory(self.directory.choose),
            ),
            PageServer(
                "readiness",
                self._settings.ready_address,
                make_readiness(self.is_ready),
            ),
            PageServer(
                "metrics",
                (self._settings.ip, self._metrics_port),
                {METRICS_PATH: _get_metrics},
            ),
            self.front,
        ]

    def _make_mirror(self, kind, apply, **keywords):
        return Mirror(self.store, kind, apply, **keywords)

    def apply_settings(self, settings):
        """Apply changed settings; changed addresses need a restart."""
        self._settings = settings
        bounds = settings.bounds
        self.retry_budget.set_bounds(
            bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
        )
        self.allotments.set_bounds(settings.region_by_zone.values(), bounds.allotment)
        self.limit_gossip.set_regions(settings.region_by_zone.values())
        self.registry.set_regions(settings.region_by_zone)
        self.front.stop_s = bounds.stop_s
        self.relay_listener.stop_s = bounds.stop_s
        self.held_bytes.set_memory(settings.memory_mb)

    def begin_stop(self):
        """Count the time until the process is killed from now on."""
        now = asyncio.get_running_loop().time()
        self.stop_schedule.begin(now, self._settings.bounds.stop_s)
        self.retry_budget.begin_stop()

    def is_ready(self):
        """Return whether callers should be directed to this VM."""
        if not self.front.is_listening() or self.peers.leaving:
            return False
        if not self.loop_health.is_healthy():
            return False
        return self.registry.is_complete()

    def _is_config_fresh(self):
        selector = self.source_selector
        return selector.is_fresh() and not selector.misses(CONFIG_KIND)

    def _may_trust_keys(self):
        bounds = self._settings.bounds
        if not bounds.strict_revoke:
            return True
        return self.source_selector.get_staleness_s(CONFIG_KIND) <= bounds.revoke_s

    def _apply_config(self, name, version, value):
        if name != CONFIG_NAME or value is None:
            return
        self._unread_config = (version, value)
        if not self._is_reading_config:
            self._is_reading_config = True
            start_task(self._read_configs())

    async def _read_configs(self):
        """Read the newest configuration until there is no newer one.

        A large one takes a second and more on a slow processor. Without pauses
        followers would take this VM for silent, and callers would wait.
        """
        try:
            while self._unread_config:
                (version, value), self._unread_config = self._unread_config, None
                await self._read_config(version, value)
        finally:
            self._is_reading_config = False

    async def _read_config(self, version, value):
        try:
            config = await _run_in_steps(read_config_in_steps(orjson.loads(value)))
        except _DECODE_ERRORS as error:
            # The last valid configuration stays in force.
            self._note_unreadable(CONFIG_KIND, CONFIG_NAME, version, error)
            return
        for problem in config.problems:
            self._counters.add("config_rows_unreadable", table=problem.table)
            log_message(
                "vm:unreadable_row",
                level="error",
                version=config.version,
                **problem._asdict(),
            )
        self.registry.set_config(config)

    def _apply_upstream(self, name, version, value):
        if value is None:
            self.registry.remove_upstream(name)
            return
        try:
            upstream = read_upstream(name, orjson.loads(value))
        except _DECODE_ERRORS as error:
            # The object was overwritten by something else, so the address may
            # no longer belong to the upstream.
            self._note_unreadable(UPSTREAM_KIND, name, version, error)
            self.registry.remove_upstream(name)
            return
        self.registry.put_upstream(upstream)

    def _note_upstreams_known(self):
        self.registry.has_upstreams = True

    def _apply_evacuation(self, name, version, value):
        self.registry.set_evacuated(name, value is not None)

    def _note_vms_known(self):
        self.presence.note_stored_object(
            self.vm_mirror.get_confirmed(self._settings.vm)
        )

    def _apply_vm(self, name, version, value):
        if value is None:
            if name == self._settings.vm:
                self.presence.note_stored_object(None)
            self.peers.note_vm(name, None, "")
            return
        try:
            host, availability_zone = read_vm(orjson.loads(value))
        except _DECODE_ERRORS as error:
            self._note_unreadable(VM_KIND, name, version, error)
            self.peers.note_vm(name, None, "")
            return
        self.peers.note_vm(name, host, availability_zone)

    def _note_unreadable(self, kind, name, version, error):
        self._counters.add("objects_unreadable", kind=kind)
        log_message(
            "vm:unreadable_object",
            level="error",
            kind=kind,
            name=name,
            version=version,
            error=repr(error),
        )


def _get_earning_start(settings, now):
    """Return since when this VM earns a part of the allowance of retries.

    Before the first start of the whole system nobody has spent any.
    """
    if settings.is_first_start:
        return now - settings.bounds.retry_window_s
    return now


async def _run_in_steps(steps):
    """Return the generator's value; other tasks run between its steps."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        await asyncio.sleep(0)


def _get_metrics(query):
    return Page(200, "text/plain; version=0.0.4", render_metrics())


async def run(settings, changed_at, arguments, stream, counters):
    """Run the services until the process receives a stop signal.

    Returns ``False`` if it stopped because its loops failed.
    """
    path = arguments.settings
    program = Program(settings, arguments.metrics_port, counters)
    kernel = Kernel(program.make_services())
    kernel.on_stop_requested.append(program.begin_stop)
    tasks = Tasks()
    tasks.repeat(FLUSH_INTERVAL_S, stream.flush)
    watch = SettingsWatch(program, path, changed_at)
    tasks.repeat(SETTINGS_POLL_S, watch.check, first_after_s=SETTINGS_POLL_S)
    try:
        return await kernel.run(lambda: reload(program, path, "hangup"))
    finally:
        await tasks.stop()
        await program.store.close()
        stream.flush()


def reload(program, path, reason):
    """Reload the settings; if they are invalid, keep the former ones."""
    read = read_settings(path)
    if read.is_err():
        log_message(
            "vm:reload_failed",
            level="error",
            reason=reason,
            problems=read.unwrap_err(),
        )
        return
    program.apply_settings(read.unwrap())
    log_message("vm:reloaded", reason=reason)


class SettingsWatch:
    """Reloads the settings when their file changes without a SIGHUP."""

    def __init__(self, program, path, changed_at):
        self._program = program
        self._path = path
        self._changed_at = changed_at

    def check(self):
        """Reload if the file has changed since the last call."""
        changed_at = get_change_time(self._path)
        if changed_at != self._changed_at:
            self._changed_at = changed_at
            reload(self._program, self._path, "file changed")


def run_program(settings, changed_at, arguments):
    """Run until the process receives a stop signal; return the exit code.

    ``changed_at`` is the modification time of the settings file when it was
    read.
    """
    counters = Counters(make_meter(settings.vm, ROLE))
    stream = set_up_log_stream(settings.vm, ROLE, time.monotonic, counters)
    try:
        is_ok = asyncio.run(run(settings, changed_at, arguments, stream, counters))
    except OSError as error:
        log_message("vm:failed", level="error", error=repr(error))
        return EXIT_FAILED
    return EXIT_OK if is_ok else EXIT_FAILED
