"""Tracks the headroom of each zone while a plan is computed.

Guards against several shifts, drains and spill allowances that end in the
same zone: each alone would fit, together they would overload it. All parts
of one plan reserve from the same headroom here: the usable slots times the
region's load limit, less the demand that the zone measured.

Pure: ``now`` is seconds of one monotonic clock.
"""


class CapacityBudget:
    """Headroom by zone and service, reserved as steps are planned."""

    def __init__(self, config, demand, now):
        self._config = config
        self._demand = demand
        self._now = now
        self._reserved = {}

    def get_load(self, zone, service):
        """Return the zone's ``ServiceLoad`` or ``None``."""
        return self._demand.get_load(zone, service, self._now)

    def get_headroom(self, zone, service):
        """Return the free slots; 0 if unknown, negative if overcommitted."""
        load = self.get_load(zone, service)
        if load is None:
            return 0.0
        region = self._config.region_by_name[self._config.region_by_zone[zone]]
        free = load.usable_slots * region.load_limit - load.demand
        return free - self._reserved.get((zone, service), 0.0)

    def reserve(self, zone, service, slots):
        """Reserve slots for a step or an allowance of this plan."""
        key = (zone, service)
        self._reserved[key] = self._reserved.get(key, 0.0) + slots

    def estimate_origin(self, service, origin, row):
        """Return an upper bound of an origin's demand, in slots.

        A zone's demand is the sum over the origins of their weight there,
        so an origin's demand is at most the zone's divided by its weight.
        ``None`` if a zone that it uses has no fresh summary.
        """
        bounds = []
        for zone, weight in row.items():
            if weight <= 0:
                continue
            load = self.get_load(zone, service)
            if load is None:
                return None
            bounds.append(load.demand / weight)
        return min(bounds, default=None)

    def get_dependencies(self, service):
        """Return the demand per slot of ``service`` on its dependencies."""
        own = self._sum_demand(service)
        factor_by_name = {}
        pending = list(self._config.service_by_name[service].depends_on)
        while pending:
            name = pending.pop()
            if name not in factor_by_name:
                factor_by_name[name] = self._sum_demand(name) / own if own else 0.0
                pending.extend(self._config.service_by_name[name].depends_on)
        return factor_by_name

    def _sum_demand(self, service):
        loads = (self.get_load(z, service) for z in self._config.region_by_zone)
        return sum(load.demand for load in loads if load)
