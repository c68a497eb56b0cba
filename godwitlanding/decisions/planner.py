"""Computes the next plan: moves traffic weights in small, capped steps.

Guards against large shifts of traffic: callers arrive at cold caches, in a
region that has load of its own, while measurements lag and answers given to
callers stay in use for ``steer_max_age_s``. Without the caps and waits a
shift would arrive all at once; without the headroom check it would overload
the region it goes to.

A step of a row (a service and an origin zone) waits until every zone has
reported in its summary that all its members have the plan of the last step,
and from then on for the step time of the shift plus the age of callers'
answers. So within any step time no more callers move than one cap. Both
waits are measured on this process's own monotonic clock from when it first
saw the plan, so that a planner which restarts waits in full. A missing or
old summary stops the step.

Pure: ``now`` is seconds of one monotonic clock.
"""

from typing import NamedTuple

from godwitlanding.decisions.allowances import (
    divide_headroom,
    divide_small_headroom,
    get_sources,
)
from godwitlanding.decisions.capacity import CapacityBudget
from godwitlanding.decisions.plan import EMPTY_PLAN, Plan
from godwitlanding.decisions.targets import make_base_weights, make_targets

# A zone whose upstreams are less warm than this gets no more callers.
WARM_SHARE = 0.8
# Smaller steps are not worth a write that is sent to every process.
MIN_STEP = 0.001
# Minimum interval between writes that change only allowances, in seconds.
ALLOWANCE_INTERVAL_S = 5.0


class Step(NamedTuple):
    """A row's next weights, or the reason why it does not move."""

    weight_by_zone: dict
    why: str
    moved: bool


class Planner:
    """Computes the next plan from the current plan and the summaries."""

    def __init__(self, demand, steer_max_age_s, now):
        self.plan = EMPTY_PLAN
        self.version = 0
        self._demand = demand
        self._steer_max_age_s = steer_max_age_s
        self._started_at = now
        self._version_by_row = {}
        self._applied_since_by_row = {}
        self._written_at = now
        self._why = ""

    def take_plan(self, plan, version, now):
        """Set the current plan; rows that changed start a new wait."""
        if version <= self.version:
            return
        for row in _list_rows(plan) | _list_rows(self.plan):
            service, origin = row
            same = plan.get_weights(service, origin) == self.plan.get_weights(
                service, origin
            )
            if not same or not self.version:
                self._version_by_row[row] = version
                self._applied_since_by_row.pop(row, None)
        self.plan = plan
        self.version = version
        self._written_at = now

    def make_plan(self, config, now):
        """Return the next ``Plan``, or ``None`` if none need be written."""
        self._note_applied(config, now)
        capacity = CapacityBudget(config, self._demand, now)
        zones = config.region_by_zone
        stale_zones = [zone for zone in zones if not self._demand.is_fresh(zone, now)]
        self._reserve_allowances(config, capacity)
        weights = {}
        reasons = []
        moved = False
        targets = make_targets(config, self.plan.cap_by_origin_by_service)
        for row, target in sorted(targets.items()):
            step = self._make_step(row, target, capacity, stale_zones, config, now)
            weights.setdefault(row[0], {})[row[1]] = step.weight_by_zone
            moved = moved or step.moved
            if step.why:
                reasons.append(f"{row[0]} from {row[1]}: {step.why}")
        self._why = "; ".join(reasons[:5]) or "every row is where the text wants it"
        allowances, outstanding = self._make_allowances(config, capacity, now)
        plan = Plan(
            weight_by_zone_by_origin_by_service=weights,
            allowance_by_zones_by_service=allowances,
            moved_by_shift=_measure_shifts(config, weights),
            step=self.plan.step + moved,
            why=self._why,
            outstanding_by_zones_by_service=outstanding,
            cap_by_origin_by_service=_get_active_caps(weights, targets),
        )
        return plan if self._is_worth_writing(plan, moved, now) else None

    def get_status(self, now):
        """Return the planner's state and what it waits for, for operators."""
        return {
            "version": self.version,
            "step": self.plan.step,
            "why": self._why,
            "moved_by_shift": self.plan.moved_by_shift,
            "quiet_s_by_row": {
                f"{service} from {origin}": round(now - at, 1)
                for (service, origin), at in sorted(self._applied_since_by_row.items())
            },
        }

    def _note_applied(self, config, now):
        # Callers of a zone that still has the previous plan would later move
        # by two steps at once, so the wait begins when the last zone has it.
        applied_version = min(
            (self._demand.get_plan_version(zone) for zone in config.region_by_zone),
            default=0,
        )
        for service in config.service_by_name:
            for origin in config.region_by_zone:
                row = (service, origin)
                if applied_version >= self._version_by_row.get(row, self.version):
                    self._applied_since_by_row.setdefault(row, now)

    def _make_step(self, row, target, capacity, stale_zones, config, now):
        service, origin = row
        current = self.plan.get_weights(service, origin)
        gains, total = _get_gains(current, target.weight_by_zone)
        if total < MIN_STEP:
            return Step(current, "", False)
        if target.paused:
            return Step(current, f"{target.shift} is paused", False)
        if stale_zones:
            return Step(current, f"no fresh summary of {', '.join(stale_zones)}", False)
        wait_s = target.step_s + self._steer_max_age_s
        applied_since = self._applied_since_by_row.get(row)
        if applied_since is None or now - applied_since < wait_s:
            return Step(current, "waits for callers' cached answers", False)
        cold = [z for z in gains if not _is_warm(capacity.get_load(z, service))]
        if cold:
            return Step(current, f"{', '.join(cold)} not warm", False)
        share = min(1.0, target.cap_share / total)
        share = min(
            share, self._get_feasible_share(service, origin, current, gains, capacity)
        )
        if share * total < MIN_STEP:
            return Step(current, f"no headroom in {', '.join(gains)}", False)
        self._reserve_capacity(service, origin, current, gains, share, capacity)
        return Step(_interpolate(current, target.weight_by_zone, share), "", True)

    def _get_feasible_share(self, service, origin, current, gains, capacity):
        """Return the share of ``gains`` that fits every target's headroom."""
        demand = capacity.estimate_origin(service, origin, current)
        if demand is None:
            return 0.0
        share = 1.0
        factors = {service: 1.0, **capacity.get_dependencies(service)}
        for zone, gain in gains.items():
            for name, factor in factors.items():
                wanted = gain * demand * factor
                if wanted > 0:
                    headroom = max(0.0, capacity.get_headroom(zone, name))
                    share = min(share, headroom / wanted)
        return share

    def _reserve_capacity(self, service, origin, current, gains, share, capacity):
        demand = capacity.estimate_origin(service, origin, current)
        factors = {service: 1.0, **capacity.get_dependencies(service)}
        for zone, gain in gains.items():
            for name, factor in factors.items():
                capacity.reserve(zone, name, gain * share * demand * factor)

    def _get_in_use(self, service, source, target):
        """Return the allowance that ``source`` may still be using."""
        pair = f"{source}>{target}"
        granted = self.plan.allowance_by_zones_by_service.get(service, {})
        if self._demand.get_plan_version(source) >= self.version > 0:
            return granted.get(pair, 0)
        reserved = self.plan.outstanding_by_zones_by_service.get(service, {})
        return max(granted.get(pair, 0), reserved.get(pair, 0))

    def _list_sources(self, config, service, target):
        sources = set(get_sources(config, (), target))
        for granted in (
            self.plan.allowance_by_zones_by_service.get(service, {}),
            self.plan.outstanding_by_zones_by_service.get(service, {}),
        ):
            sources |= {p.split(">")[0] for p in granted if p.endswith(f">{target}")}
        return sorted(sources)

    def _reserve_allowances(self, config, capacity):
        """Reserve the granted allowances, so that steps cannot use them."""
        for service in config.service_by_name:
            for target in config.region_by_zone:
                for source in self._list_sources(config, service, target):
                    capacity.reserve(
                        target, service, self._get_in_use(service, source, target)
                    )

    def _make_allowances(self, config, capacity, now):
        allowances = {}
        outstanding = {}
        for service in config.service_by_name:
            allowed = allowances.setdefault(service, {})
            reserved = outstanding.setdefault(service, {})
            for target in config.region_by_zone:
                in_use = {
                    source: self._get_in_use(service, source, target)
                    for source in self._list_sources(config, service, target)
                }
                headroom = capacity.get_headroom(target, service) + sum(in_use.values())
                reporting = {
                    s for s in in_use if capacity.get_load(s, service) is not None
                }
                new = divide_headroom(headroom, in_use)
                new = divide_small_headroom(headroom, in_use, new, reporting)
                if capacity.get_load(target, service) is None:
                    new = {source: 0 for source in in_use}
                for source, amount in new.items():
                    pair = f"{source}>{target}"
                    if amount:
                        allowed[pair] = amount
                    if max(amount, in_use[source]) > amount:
                        reserved[pair] = in_use[source]
        return allowances, outstanding

    def _is_worth_writing(self, plan, moved, now):
        old = self.plan
        if moved or not self.version:
            return True
        if now - self._written_at < ALLOWANCE_INTERVAL_S:
            return False
        return (
            plan.allowance_by_zones_by_service != old.allowance_by_zones_by_service
            or plan.outstanding_by_zones_by_service
            != old.outstanding_by_zones_by_service
        )


def _list_rows(plan):
    return {
        (service, origin)
        for service, by_origin in plan.weight_by_zone_by_origin_by_service.items()
        for origin in by_origin
    }


def _get_gains(current, wanted):
    gains = {}
    for zone, weight in wanted.items():
        gain = weight - current.get(zone, 0.0)
        if gain > 1e-9:
            gains[zone] = gain
    return gains, sum(gains.values())


def _interpolate(current, wanted, share):
    if share >= 1.0:
        return {zone: weight for zone, weight in wanted.items() if weight > 0}
    moved = {
        zone: round(
            current.get(zone, 0.0)
            + share * (wanted.get(zone, 0.0) - current.get(zone, 0.0)),
            9,
        )
        for zone in {*current, *wanted}
    }
    return {zone: weight for zone, weight in sorted(moved.items()) if weight > 0}


def _is_warm(load):
    return load is not None and load.warm_share >= WARM_SHARE


def _measure_shifts(config, weights):
    moved_by_shift = {}
    for shift in config.shift_by_name.values():
        row = weights.get(shift.service, {}).get(shift.from_zone, {})
        base = make_base_weights(config, shift.service, shift.from_zone).get(
            shift.to_zone, 0
        )
        share = row.get(shift.to_zone, 0.0)
        moved_by_shift[shift.name] = round(max(0.0, share - base) / (1 - base or 1), 6)
    return moved_by_shift


def _get_active_caps(weights, target_by_row):
    """Return the caps of rows that are shifted or off their target."""
    caps = {}
    for (service, origin), target in target_by_row.items():
        row = weights[service][origin]
        _, distance = _get_gains(row, target.weight_by_zone)
        if target.shift or distance >= MIN_STEP:
            rows = caps.setdefault(service, {})
            rows[origin] = [target.cap_share, target.step_s]
    return caps
