"""Holds the current configuration, upstreams and evacuated zones of a VM."""

import asyncio
import math
from collections import OrderedDict
from typing import NamedTuple

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.decisions.occupancy import get_upstream_number

# Upstreams renew their entries every 1.5 s; a change arrives within 0.25 s.
MAX_ENTRY_DELAY_S = 2.0
# How many incarnations that have announced their shutdown are remembered. Each
# ends within a minute, however long the store keeps its entry.
MAX_DEPARTED = 4096
# Leaving upstreams that fit into a datagram with its other contents.
MAX_REPORTED = 64
# Other VMs know within this time that an entry was created again, and no
# longer report that the upstream is leaving.
RECREATION_KNOWN_S = 4.0


class Upstream(NamedTuple):
    """An upstream's entry in the store.

    ``cold_s`` is the time for which it stays cold, counted from when the
    entry was read.
    """

    id: str
    service: str
    address: tuple[str, int]
    availability_zone: str
    slots: int
    leaving: bool
    cold_s: float
    # When it started, in Unix milliseconds by its own clock; 0 if the entry
    # does not say. After a restart under the same id its caches are empty.
    born_ms: int = 0

    @property
    def incarnation(self):
        """Return a name that is unique to this start of the upstream."""
        return f"{self.id}@{self.born_ms}" if self.born_ms else self.id


class Registry(Service):
    """Holds the latest known state and notifies others of changes.

    The functions in ``on_upstream_gone`` are called with the id of each
    upstream that is leaving, was removed or has restarted, those in
    ``on_config`` with each new configuration.
    """

    name = "registry"

    def __init__(self, region_by_zone):
        self._region_by_zone = region_by_zone
        self._evacuated_until_by_zone = {}
        self._listed = {}
        self._usable_by_service_region = {}
        self._usable_ids_by_service_region = {}
        self._region_by_usable_id = {}
        # Whether the three indexes above must be rebuilt.
        self._is_stale = False
        self._cold_until_by_upstream = {}
        self._assumed_cold_until_by_upstream = {}
        # Incarnations that are leaving or have left, whatever their entries
        # say, and the ids of those whose entries do not say so, by number.
        self._departed = OrderedDict()
        # Incarnations without a start time of their own that were removed
        # while they were leaving.
        self._removed_leaving = OrderedDict()
        # When entries of these ids were created again.
        self._recreated_at_by_id = {}
        self._id_by_unlisted_number = {}
        # VMs identify the current incarnations of upstreams by number.
        self.number_by_id = {}
        self.id_by_number = {}
        self.config = None
        self.config_seen_at = 0.0
        self.upstream_by_id = {}
        self.evacuated_zones = set()
        self.has_upstreams = False
        self.on_upstream_gone = []
        self.on_config = []

    def set_regions(self, region_by_zone):
        """Set the regions of the availability zones."""
        if region_by_zone != self._region_by_zone:
            self._region_by_zone = region_by_zone
            self._is_stale = True

    def is_complete(self):
        """Return whether configuration and upstreams are known."""
        return self.config is not None and self.has_upstreams

    def get_region(self, availability_zone):
        """Return a zone's region, empty for an unknown zone."""
        return self._region_by_zone.get(availability_zone, "")

    def get_usable(self, service, region):
        """Return a service's upstreams in a region that accept requests."""
        self._update_index()
        return self._usable_by_service_region.get((service, region), ())

    def get_usable_ids(self, service, region):
        """Return the ids of ``get_usable``, the same tuple until a change."""
        self._update_index()
        return self._usable_ids_by_service_region.get((service, region), ())

    def get_usable_region(self, upstream_id):
        """Return the region of an upstream, empty if it is not usable."""
        self._update_index()
        return self._region_by_usable_id.get(upstream_id, "")

    def get_cold_left_s(self, upstream_id, now):
        """Return the seconds until an upstream is warm, 0 if it is."""
        cold_until = self._cold_until_by_upstream.get(upstream_id, 0.0)
        assumed_cold_until = self._assumed_cold_until_by_upstream.get(upstream_id, 0.0)
        return max(0.0, max(cold_until, assumed_cold_until) - now)

    def note_reached_again(self, upstream_id, now):
        """Record that an unreachable upstream can be reached again.

        It may have restarted under the same id. It is cold then, and a cold
        upstream crashes under its former load. Until its next entry arrives
        it is treated as cold.
        """
        self._assumed_cold_until_by_upstream[upstream_id] = now + MAX_ENTRY_DELAY_S

    def note_cold(self, upstream_id, cold_s, now):
        """Record that an upstream is cold for ``cold_s`` seconds."""
        if cold_s > 0:
            current = self._cold_until_by_upstream.get(upstream_id, 0.0)
            self._cold_until_by_upstream[upstream_id] = max(current, now + cold_s)

    def note_leaving(self, upstream_id, told_by=""):
        """Record that an upstream has announced that it is leaving.

        ``told_by`` is the VM that relayed it, empty if the upstream told this
        VM itself.

        The upstream's entry may say for a long time that it is ready, if the
        store is unavailable or the upstream cannot reach it. So entries of
        this incarnation are no longer trusted.
        """
        upstream = self.upstream_by_id.get(upstream_id)
        if upstream is None or upstream.leaving:
            return
        if told_by and self._was_just_recreated(upstream_id):
            return
        log_message("registry:leaving", upstream=upstream_id, told_by=told_by)
        self._remember_departed(upstream)
        self.put_upstream(upstream)

    def _was_just_recreated(self, upstream_id):
        recreated_at = self._recreated_at_by_id.get(upstream_id, -math.inf)
        return _now() - recreated_at < RECREATION_KNOWN_S

    def note_restored(self):
        """Record that the store was restored from an older backup.

        An entry of the backup may say that an upstream is ready although it
        has announced since that it is leaving.
        """
        for upstream in self.upstream_by_id.values():
            if upstream.leaving:
                self._remember_departed(upstream)
        for incarnation in self._removed_leaving:
            _remember(self._departed, incarnation)
        self._removed_leaving.clear()

    def note_older_entry(self, upstream_id):
        """Record that an upstream's entry in the store is an older one.

        A VM that starts reads it and does not know that the upstream is
        leaving.
        """
        upstream = self.upstream_by_id.get(upstream_id)
        if upstream and upstream.leaving:
            number = self.number_by_id[upstream_id]
            self._id_by_unlisted_number[number] = upstream_id

    def _remember_departed(self, upstream):
        _remember(self._departed, upstream.incarnation)

    def get_leaving_numbers(self):
        """Return leaving upstreams whose entries do not say so, as numbers."""
        return tuple(self._id_by_unlisted_number)[-MAX_REPORTED:]

    def set_config(self, config):
        """Apply a configuration unless it is older than the current one."""
        current = self.config
        if current and config.version < current.version:
            log_message(
                "registry:older_config",
                level="warning",
                version=config.version,
                in_force=current.version,
            )
            return
        if current and config.version == current.version:
            return
        self.config = config
        self.config_seen_at = _now()
        log_message(
            "registry:config",
            version=config.version,
            former=current.version if current else 0,
            routes=len(config.route_by_prefix),
            keys=len(config.workspace_by_key or ()),
        )
        for callback in self.on_config:
            callback(config)

    def put_upstream(self, upstream):
        """Apply an upstream's entry, unless it is of an earlier start."""
        current = self.upstream_by_id.get(upstream.id)
        if current and upstream.born_ms < current.born_ms:
            # A delayed write from before the restart.
            log_message(
                "registry:older_start",
                level="warning",
                upstream=upstream.id,
                born_ms=upstream.born_ms,
                known_born_ms=current.born_ms,
            )
            return
        if upstream.incarnation in self._removed_leaving:
            del self._removed_leaving[upstream.incarnation]
            self._recreated_at_by_id[upstream.id] = _now()
        restarted = current is not None and upstream.born_ms > current.born_ms > 0
        if restarted:
            self._forget_previous_start(upstream, current)
        self._assign_number(upstream)
        upstream = self._mark_leaving(upstream)
        self.upstream_by_id[upstream.id] = upstream
        self._assumed_cold_until_by_upstream.pop(upstream.id, None)
        self.note_cold(upstream.id, upstream.cold_s, _now())
        if current and current._replace(cold_s=upstream.cold_s) == upstream:
            return
        log_message(
            "registry:upstream",
            upstream=upstream.id,
            service=upstream.service,
            availability_zone=upstream.availability_zone,
            leaving=upstream.leaving,
            cold_s=upstream.cold_s,
            born_ms=upstream.born_ms,
        )
        self._is_stale = True
        if upstream.leaving:
            self._notify_gone(upstream.id)

    def _mark_leaving(self, upstream):
        number = self.number_by_id[upstream.id]
        if upstream.leaving or upstream.incarnation not in self._departed:
            self._id_by_unlisted_number.pop(number, None)
            return upstream
        self._id_by_unlisted_number[number] = upstream.id
        return upstream._replace(leaving=True)

    def _forget_previous_start(self, upstream, current):
        log_message(
            "registry:upstream_reborn",
            upstream=upstream.id,
            born_ms=upstream.born_ms,
            former_born_ms=current.born_ms,
        )
        self._cold_until_by_upstream.pop(upstream.id, None)
        self._notify_gone(upstream.id)

    def remove_upstream(self, upstream_id):
        """Remove an upstream whose entry was removed."""
        upstream = self.upstream_by_id.pop(upstream_id, None)
        self._recreated_at_by_id.pop(upstream_id, None)
        if upstream is None:
            return
        log_message("registry:upstream_gone", upstream=upstream_id)
        if upstream.born_ms and upstream.leaving:
            # A store restored from an older backup contains the entry again.
            self._remember_departed(upstream)
        elif upstream.leaving:
            # Without a restore, an entry that is created again under this id
            # is that of another start.
            self._departed.pop(upstream.incarnation, None)
            _remember(self._removed_leaving, upstream.incarnation)
        self._cold_until_by_upstream.pop(upstream_id, None)
        self._assumed_cold_until_by_upstream.pop(upstream_id, None)
        self._is_stale = True
        self._notify_gone(upstream_id)
        number = self.number_by_id.pop(upstream_id)
        self.id_by_number.pop(number, None)
        self._id_by_unlisted_number.pop(number, None)

    def _assign_number(self, upstream):
        number = get_upstream_number(upstream.incarnation)
        previous = self.number_by_id.get(upstream.id)
        if previous != number:
            self.id_by_number.pop(previous, None)
            self._id_by_unlisted_number.pop(previous, None)
            self.number_by_id[upstream.id] = number
            self.id_by_number[number] = upstream.id

    def set_evacuated(self, availability_zone, evacuated):
        """Mark a zone as evacuated, or as usable again.

        Upstreams without requests for a while are cold, and their entries may
        say so only at the next heartbeat. So they are treated as cold for the
        warm-up time of their service.
        """
        if evacuated == (availability_zone in self.evacuated_zones):
            return
        log_message("registry:evacuation", zone=availability_zone, evacuated=evacuated)
        if evacuated:
            self.evacuated_zones.add(availability_zone)
        else:
            self.evacuated_zones.discard(availability_zone)
            self._mark_zone_cold(availability_zone)
        self._is_stale = True

    def _mark_zone_cold(self, availability_zone):
        for upstream in self.upstream_by_id.values():
            if upstream.availability_zone != availability_zone:
                continue
            service = self.config and self.config.service_by_name.get(upstream.service)
            if service:
                self.note_cold(upstream.id, service.warmup_s, _now())

    def _notify_gone(self, upstream_id):
        for callback in self.on_upstream_gone:
            callback(upstream_id)

    def _update_index(self):
        """Rebuild the indexes by service and region after a change.

        A VM reads hundreds of entries at startup. Rebuilding after each one
        would delay its first callers.
        """
        if not self._is_stale:
            return
        self._is_stale = False
        usable = {}
        for upstream in self.upstream_by_id.values():
            if upstream.leaving:
                continue
            if upstream.availability_zone in self.evacuated_zones:
                continue
            service_region = (
                upstream.service,
                self.get_region(upstream.availability_zone),
            )
            usable.setdefault(service_region, []).append(upstream)
        self._usable_by_service_region = usable
        self._region_by_usable_id = {
            upstream.id: region
            for (_, region), upstreams in usable.items()
            for upstream in upstreams
        }
        self._usable_ids_by_service_region = {
            service_region: tuple(sorted(upstream.id for upstream in upstreams))
            for service_region, upstreams in usable.items()
        }


def _remember(incarnations, incarnation):
    incarnations[incarnation] = None
    if len(incarnations) > MAX_DEPARTED:
        incarnations.popitem(last=False)


def _now():
    return asyncio.get_running_loop().time()
