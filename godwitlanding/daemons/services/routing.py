"""Chooses the entry VMs that a steer process returns to a caller."""

import asyncio

from eliot import log_message

from godwitlanding.base.config import CONFIG_KIND, CONFIG_NAME
from godwitlanding.base.kernel import Service
from godwitlanding.daemons.entrytargets import list_targets, parse_leaving_vms
from godwitlanding.daemons.view import MAIN_NAME, MEMBERS_KIND, PLAN_KIND, VMS_KIND
from godwitlanding.decisions.choice import (
    choose_origin,
    choose_targets,
    rank_targets,
    rank_zones,
)

SUMMARY_KIND = "summary"
_TARGET_KINDS = frozenset({CONFIG_KIND, VMS_KIND, MEMBERS_KIND})


class Routing(Service):
    """Combines configuration, plan, members and VM list as they change."""

    name = "routing"
    needs = ("feed", "callers")

    def __init__(self, context):
        self.targets_by_zone = {}
        self._context = context
        self._view = None
        self._callers = None
        self._zones = ()
        self._is_leaving = False
        self._leaving_by_zone = {}
        self._summary_time_by_zone = {}
        self._ranking_by_key = {}

    async def start(self, kernel):
        """Apply the states in the replica and follow its changes."""
        self._view = kernel.get("feed").view
        self._callers = kernel.get("callers")
        for state in self._context.replica.get_kind(SUMMARY_KIND):
            self._apply_state(state)
        self._rebuild()
        self._context.replica.listen(self._apply_state)

    def get_status(self):
        """Return the number of VMs that responses may contain, by zone."""
        return {
            "usable_vms": {z: len(t) for z, t in sorted(self.targets_by_zone.items())},
            "leaving": self._is_leaving,
        }

    @property
    def config(self):
        """Return the current configuration, or ``None``."""
        return self._view.get_config()

    @property
    def versions(self):
        """Return the versions of the configuration and of the plan."""
        get_version = self._context.replica.get_version
        config_version = get_version(CONFIG_KIND, CONFIG_NAME)
        return config_version, get_version(PLAN_KIND, MAIN_NAME)

    def is_ready(self):
        """Tell whether configuration, targets and caller blocks are loaded."""
        has_config = self.config is not None
        return has_config and bool(self.targets_by_zone) and self._callers.is_ready()

    def leave(self):
        """Exclude this VM from all further responses."""
        self._is_leaving = True
        self._rebuild()

    def find_origin(self, caller):
        """Return the origin zone of a caller."""
        zone = self._callers.find_zone(caller)
        # A site may be listed in a zone that the configuration has removed.
        if zone and self.config and zone in self.config.region_by_zone:
            return zone
        return choose_origin(caller, self._zones)

    def rank_zones(self, caller, service, origin):
        """Return the zones for a caller: the plan's, then the nearest.

        A zone of the plan may occur again among the nearest.
        """
        weights, neighbours = self._get_ranking(service, origin)
        return rank_zones(caller, service, weights) + neighbours

    def choose(self, caller, service, origin):
        """Return the ordered targets for a caller of a service."""
        zones = self.rank_zones(caller, service, origin)
        return choose_targets(caller, zones, self.targets_by_zone)

    def rank_targets(self, caller, zone):
        """Return a zone's entry VMs, ranked for a caller."""
        return rank_targets(caller, self.targets_by_zone.get(zone, ()))

    def is_fresh(self, zone):
        """Tell whether a zone's summary arrived within its maximum age."""
        now = asyncio.get_running_loop().time()
        at = self._summary_time_by_zone.get(zone)
        max_age_s = self._context.settings["summary_max_age_s"]
        return at is not None and now - at < max_age_s

    def _get_ranking(self, service, origin):
        key = (service, origin)
        if key not in self._ranking_by_key:
            self._ranking_by_key[key] = self._make_ranking(service, origin)
        return self._ranking_by_key[key]

    def _make_ranking(self, service, origin):
        """Return the weights by zone and the serving zones, nearest first.

        Drained zones are in neither of them.
        """
        config = self.config
        weights = self._view.get_plan().get_weights(service, origin)

        def is_open(zone):
            return not config.is_drained("availability_zone", zone, service)

        upstreams = config.service_by_name[service].upstream_by_id.values()
        serving = {upstream.availability_zone for upstream in upstreams}
        region_by_zone = config.region_by_zone
        region = region_by_zone.get(origin)
        neighbours = sorted(
            filter(is_open, serving),
            key=lambda zone: (zone != origin, region_by_zone[zone] != region, zone),
        )
        return {z: w for z, w in weights.items() if is_open(z)}, neighbours

    def _apply_state(self, state):
        if state.kind == PLAN_KIND:
            self._ranking_by_key.clear()
        elif state.kind in _TARGET_KINDS:
            self._rebuild()
        elif state.kind == SUMMARY_KIND:
            self._apply_summary(state)

    def _apply_summary(self, state):
        try:
            leaving = parse_leaving_vms(state.body)
        except ValueError as error:
            self._context.counters.add("steer_unreadable", kind=state.kind)
            log_message(
                "routing:unreadable",
                level="error",
                kind=state.kind,
                name=state.name,
                error=str(error),
            )
            return
        self._summary_time_by_zone[state.name] = asyncio.get_running_loop().time()
        if leaving != self._leaving_by_zone.get(state.name, frozenset()):
            self._leaving_by_zone[state.name] = leaving
            self._rebuild()

    def _rebuild(self):
        config = self.config
        leaving = frozenset().union(*self._leaving_by_zone.values())
        if self._is_leaving:
            leaving |= {self._context.vm}
        drains = config.drains if config else ()
        targets_by_zone = list_targets(
            self._context.availability_zone,
            self._view.get_vms(),
            self._view.get_members(),
            leaving,
            frozenset(drain.name for drain in drains if drain.what == "vm"),
        )
        zones = tuple(sorted(config.region_by_zone)) if config else ()
        self.targets_by_zone = targets_by_zone
        self._zones = zones
        self._ranking_by_key.clear()
