"""What a steer process knows: the replica's objects in their typed form."""

import asyncio

from eliot import log_message

from godwitlanding.choice import (
    choose_origin,
    choose_targets,
    rank_all_zones,
    rank_targets,
)
from godwitlanding.config import CONFIG_KIND, CONFIG_NAME, parse_config
from godwitlanding.fleet import (
    list_targets,
    parse_leaving_vms,
    parse_members,
    parse_vms,
)
from godwitlanding.kernel import Service
from godwitlanding.plan import EMPTY_PLAN, parse_plan


class View(Service):
    """Parses each object once when it changes and answers from memory.

    ``generation`` grows with every change that can change an answer.
    """

    name = "view"

    def __init__(self, context):
        self.generation = 0
        self.config = None
        self.plan = EMPTY_PLAN
        self.targets_by_zone = {}
        self.member_by_vm = {}
        self.leaving_self = False
        self._context = context
        self._vms = ()
        self._leaving_by_zone = {}
        self._summary_time_by_zone = {}
        self._neighbours_by_key = {}
        self._zones = ()
        self._reader_by_kind = {
            "config": self._read_config,
            "plan": self._read_plan,
            "vms": self._read_vms,
            "members": self._read_members,
            "summary": self._read_summary,
        }

    async def start(self, kernel):
        """Read what the replica holds and follow its changes."""
        for state in list(self._context.replica.state_by_key.values()):
            self.take(state)
        self._context.replica.listen(self.take)

    def get_status(self):
        """Return versions and the number of VMs that answers may name."""
        targets = self.targets_by_zone.values()
        return {
            "config_version": self.config_version,
            "plan_version": self.plan_version,
            "usable_vms": sum(map(len, targets)),
            "generation": self.generation,
            "leaving": self.leaving_self,
        }

    @property
    def config_version(self):
        """Return the version of the configuration in force."""
        return self._context.replica.get_version(CONFIG_KIND, CONFIG_NAME)

    @property
    def plan_version(self):
        """Return the version of the plan in force."""
        return self._context.replica.get_version("plan", "main")

    def is_ready(self):
        """Tell whether there is a configuration and a VM to name."""
        return self.config is not None and bool(self.targets_by_zone)

    def take(self, state):
        """Take a changed object; one that cannot be read changes nothing."""
        read = self._reader_by_kind.get(state.kind)
        if read is None:
            return
        try:
            read(state)
        except ValueError as error:
            self._context.counters.add("steer_unreadable", kind=state.kind)
            log_message(
                "view:unreadable",
                level="error",
                kind=state.kind,
                name=state.name,
                version=state.version,
                error=str(error)[:500],
            )

    def leave(self):
        """Name this VM in no answer from now on."""
        self.leaving_self = True
        self._rebuild()

    def find_origin(self, caller):
        """Return the origin zone of a caller."""
        return choose_origin(caller, self._zones)

    def rank_zones(self, caller, service, origin):
        """Return the zones for a caller, the planned one first."""
        weights = self.plan.get_weights(service, origin)
        drained = {z for z in weights if self._is_drained(z, service)}
        weights = {z: w for z, w in weights.items() if z not in drained}
        neighbours = self._get_neighbours(service, origin)
        return rank_all_zones(caller, service, weights, neighbours)

    def choose(self, caller, service, origin):
        """Return the ordered targets for a caller of a service."""
        zones = self.rank_zones(caller, service, origin)
        return choose_targets(caller, zones, self.targets_by_zone)

    def rank_targets(self, caller, zone):
        """Return a zone's entry VMs in the order for a caller."""
        return rank_targets(caller, self.targets_by_zone.get(zone, ()))

    def is_fresh(self, zone):
        """Tell whether a zone's summary arrived within its maximum age."""
        now = asyncio.get_running_loop().time()
        at = self._summary_time_by_zone.get(zone)
        return at is not None and now - at < self._context.settings["summary_max_age_s"]

    def _is_drained(self, zone, service):
        return self.config.is_drained("availability_zone", zone, service)

    def _get_neighbours(self, service, origin):
        key = (service, origin)
        if key not in self._neighbours_by_key:
            self._neighbours_by_key[key] = self._find_neighbours(service, origin)
        return self._neighbours_by_key[key]

    def _find_neighbours(self, service, origin):
        upstreams = self.config.service_by_name[service].upstream_by_id.values()
        region_by_zone = self.config.region_by_zone
        home = region_by_zone.get(origin)
        zones = {upstream.availability_zone for upstream in upstreams}
        serving = [zone for zone in zones if not self._is_drained(zone, service)]
        return sorted(
            serving,
            key=lambda zone: (zone != origin, region_by_zone[zone] != home, zone),
        )

    def _read_config(self, state):
        parsed = parse_config(state.body.decode())
        if parsed.is_err():
            raise ValueError("; ".join(map(str, parsed.unwrap_err())))
        self.config = parsed.unwrap()
        self._zones = tuple(sorted(self.config.region_by_zone))
        self._rebuild()

    def _read_plan(self, state):
        self.plan = parse_plan(state.body)
        self.generation += 1

    def _read_vms(self, state):
        self._vms = parse_vms(state.body)
        self._rebuild()

    def _read_members(self, state):
        if state.name != self._context.availability_zone:
            return
        member_by_vm = {member.vm: member for member in parse_members(state.body)}
        if member_by_vm != self.member_by_vm:
            self.member_by_vm = member_by_vm
            self._rebuild()

    def _read_summary(self, state):
        self._summary_time_by_zone[state.name] = asyncio.get_running_loop().time()
        leaving = parse_leaving_vms(state.body)
        if leaving != self._leaving_by_zone.get(state.name, frozenset()):
            self._leaving_by_zone[state.name] = leaving
            self._rebuild()

    def _rebuild(self):
        leaving = frozenset().union(*self._leaving_by_zone.values())
        if self.leaving_self:
            leaving |= {self._context.vm}
        drains = self.config.drains if self.config else ()
        drained = frozenset(drain.name for drain in drains if drain.what == "vm")
        self.targets_by_zone = list_targets(
            self._context.availability_zone,
            self._vms,
            tuple(self.member_by_vm.values()),
            leaving,
            drained,
        )
        self._neighbours_by_key.clear()
        self.generation += 1
