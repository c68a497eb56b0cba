"""What this VM knows of the configuration, the upstreams and evacuations."""

import asyncio
from collections import OrderedDict
from typing import NamedTuple

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.decisions.occupancy import get_upstream_number

# Upstreams renew their entries every 1.5 s; a change needs 0.25 s to get here.
ENTRY_WITHIN_S = 2.0
# Starts of upstreams that have said that they leave. Each is gone within a
# minute, however long the store keeps its entry.
MAX_LEFT = 4096
# What a datagram has room for beside the rest.
MAX_TOLD = 64


class Upstream(NamedTuple):
    """An upstream as its entry in the store tells it.

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
    # When it started, as Unix milliseconds by its own clock; 0 where it does
    # not say. One that starts again under its id knows nothing of before.
    born_ms: int = 0

    @property
    def incarnation(self):
        """Return the name of this start of it, unlike that of any other."""
        return f"{self.id}@{self.born_ms}" if self.born_ms else self.id


class Registry(Service):
    """Holds the newest known state; others ask it and are told of changes.

    ``on_upstream_gone`` is called with the id of each upstream that leaves,
    is gone or has started anew, ``on_config`` with each new configuration.
    """

    name = "registry"

    def __init__(self, region_by_zone):
        self._region_by_zone = region_by_zone
        self._evacuated_until_by_zone = {}
        self._listed = {}
        self._usable_by_place = {}
        self._usable_ids_by_place = {}
        self._region_by_usable_id = {}
        # Whether what is sorted by place above lags behind.
        self._is_stale = False
        self._cold_until_by_upstream = {}
        self._unsure_until_by_upstream = {}
        # Those that have left whatever entries say, by incarnation, and of
        # them those whose entry says otherwise, by number.
        self._left = OrderedDict()
        self._id_by_untold_number = {}
        # Numbers stand for the present starts of upstreams among VMs.
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
        """Take the regions of the availability zones."""
        if region_by_zone != self._region_by_zone:
            self._region_by_zone = region_by_zone
            self._is_stale = True

    def is_complete(self):
        """Tell whether enough is known to serve callers."""
        return self.config is not None and self.has_upstreams

    def get_region(self, availability_zone):
        """Return a zone's region, empty for an unknown zone."""
        return self._region_by_zone.get(availability_zone, "")

    def get_usable(self, service, region):
        """Return the upstreams of a service in a region that take new work."""
        self._refresh()
        return self._usable_by_place.get((service, region), ())

    def get_usable_ids(self, service, region):
        """Return the ids of ``get_usable``, the same tuple while it stands."""
        self._refresh()
        return self._usable_ids_by_place.get((service, region), ())

    def get_usable_region(self, upstream_id):
        """Return the region of an upstream that takes new work, else empty."""
        self._refresh()
        return self._region_by_usable_id.get(upstream_id, "")

    def get_cold_left_s(self, upstream_id, now):
        """Return the seconds for which an upstream stays cold, 0 if warm."""
        cold_until = self._cold_until_by_upstream.get(upstream_id, 0.0)
        unsure_until = self._unsure_until_by_upstream.get(upstream_id, 0.0)
        return max(0.0, max(cold_until, unsure_until) - now)

    def note_reached_again(self, upstream_id, now):
        """An upstream that could not be reached answers again.

        It may have started anew under its id, cold, and a cold one crashes
        under the load that it bore before. Its next entry tells; until then
        it is taken for cold.
        """
        self._unsure_until_by_upstream[upstream_id] = now + ENTRY_WITHIN_S

    def note_cold(self, upstream_id, cold_s, now):
        """An upstream says that it is cold for this long."""
        if cold_s > 0:
            held = self._cold_until_by_upstream.get(upstream_id, 0.0)
            self._cold_until_by_upstream[upstream_id] = max(held, now + cold_s)

    def note_leaving(self, upstream_id, told_by=""):
        """An upstream says that it leaves, to this VM or to ``told_by``.

        Its entry may say for long that it is ready, where the store is away
        or the upstream does not reach it; so the entries of this start of it
        are not believed any more.
        """
        upstream = self.upstream_by_id.get(upstream_id)
        if upstream is None or upstream.leaving:
            return
        log_message("registry:leaving", upstream=upstream_id, told_by=told_by)
        self._remember_left(upstream)
        self.put_upstream(upstream)

    def note_restored(self):
        """The store has come back from an older copy.

        An entry there may say of an upstream that it is ready, though it has
        said since that it leaves.
        """
        for upstream in self.upstream_by_id.values():
            if upstream.leaving:
                self._remember_left(upstream)

    def _remember_left(self, upstream):
        self._left[upstream.incarnation] = None
        if len(self._left) > MAX_LEFT:
            self._left.popitem(last=False)

    def get_leaving_numbers(self):
        """Return those that leave though the store does not say so."""
        return tuple(self._id_by_untold_number)[-MAX_TOLD:]

    def set_config(self, config):
        """Take a configuration unless it is older than the one in force."""
        held = self.config
        if held and config.version < held.version:
            log_message(
                "registry:older_config",
                level="warning",
                version=config.version,
                in_force=held.version,
            )
            return
        if held and config.version == held.version:
            return
        self.config = config
        self.config_seen_at = _now()
        log_message(
            "registry:config",
            version=config.version,
            former=held.version if held else 0,
            routes=len(config.route_by_prefix),
            keys=len(config.workspace_by_key or ()),
        )
        for tell in self.on_config:
            tell(config)

    def put_upstream(self, upstream):
        """Take an upstream's entry."""
        held = self.upstream_by_id.get(upstream.id)
        if held and upstream.born_ms < held.born_ms:
            # A write of its former life that the store did late.
            log_message(
                "registry:older_start",
                level="warning",
                upstream=upstream.id,
                born_ms=upstream.born_ms,
                known_born_ms=held.born_ms,
            )
            return
        reborn = held is not None and upstream.born_ms > held.born_ms > 0
        if reborn:
            self._forget_start(upstream, held)
        self._give_number(upstream)
        upstream = self._mark_leaving(upstream)
        self.upstream_by_id[upstream.id] = upstream
        self._unsure_until_by_upstream.pop(upstream.id, None)
        self.note_cold(upstream.id, upstream.cold_s, _now())
        if held and held._replace(cold_s=upstream.cold_s) == upstream:
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
            self._tell_gone(upstream.id)

    def _mark_leaving(self, upstream):
        number = self.number_by_id[upstream.id]
        if upstream.leaving or upstream.incarnation not in self._left:
            self._id_by_untold_number.pop(number, None)
            return upstream
        self._id_by_untold_number[number] = upstream.id
        return upstream._replace(leaving=True)

    def _forget_start(self, upstream, held):
        log_message(
            "registry:upstream_reborn",
            upstream=upstream.id,
            born_ms=upstream.born_ms,
            former_born_ms=held.born_ms,
        )
        self._cold_until_by_upstream.pop(upstream.id, None)
        self._tell_gone(upstream.id)

    def remove_upstream(self, upstream_id):
        """An upstream's entry is gone."""
        upstream = self.upstream_by_id.pop(upstream_id, None)
        if upstream is None:
            return
        log_message("registry:upstream_gone", upstream=upstream_id)
        if upstream.leaving:
            # A store that comes back from an older copy has its entry again.
            self._remember_left(upstream)
        self._cold_until_by_upstream.pop(upstream_id, None)
        self._unsure_until_by_upstream.pop(upstream_id, None)
        self._is_stale = True
        self._tell_gone(upstream_id)
        number = self.number_by_id.pop(upstream_id)
        self.id_by_number.pop(number, None)
        self._id_by_untold_number.pop(number, None)

    def _give_number(self, upstream):
        number = get_upstream_number(upstream.incarnation)
        former = self.number_by_id.get(upstream.id)
        if former != number:
            self.id_by_number.pop(former, None)
            self._id_by_untold_number.pop(former, None)
            self.number_by_id[upstream.id] = number
            self.id_by_number[number] = upstream.id

    def set_evacuated(self, availability_zone, evacuated):
        """A zone's upstreams are to get nothing, or may be used again.

        What was not used for a while comes back cold, and its entries may
        say so only with the next heartbeat; so it is taken for cold as long
        as its service needs to warm up.
        """
        if evacuated == (availability_zone in self.evacuated_zones):
            return
        log_message("registry:evacuation", zone=availability_zone, evacuated=evacuated)
        if evacuated:
            self.evacuated_zones.add(availability_zone)
        else:
            self.evacuated_zones.discard(availability_zone)
            self._chill(availability_zone)
        self._is_stale = True

    def _chill(self, availability_zone):
        for upstream in self.upstream_by_id.values():
            if upstream.availability_zone != availability_zone:
                continue
            service = self.config and self.config.service_by_name.get(upstream.service)
            if service:
                self.note_cold(upstream.id, service.warmup_s, _now())

    def _tell_gone(self, upstream_id):
        for tell in self.on_upstream_gone:
            tell(upstream_id)

    def _refresh(self):
        """Sort the upstreams by place again if any has changed.

        A VM that starts learns hundreds of them at once; sorted after each,
        they would hold up its first callers.
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
            place = (upstream.service, self.get_region(upstream.availability_zone))
            usable.setdefault(place, []).append(upstream)
        self._usable_by_place = usable
        self._region_by_usable_id = {
            upstream.id: region
            for (_, region), upstreams in usable.items()
            for upstream in upstreams
        }
        self._usable_ids_by_place = {
            place: tuple(sorted(upstream.id for upstream in upstreams))
            for place, upstreams in usable.items()
        }


def _now():
    return asyncio.get_running_loop().time()
