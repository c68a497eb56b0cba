"""Computes the target weights of each origin zone from the configuration.

Pure. ``planner`` moves the plan towards these weights step by step.
"""

from typing import NamedTuple

KIND_ZONE = "availability_zone"
# A drain or a change of the upstreams has no cap in the configuration: it
# moves a quarter of the callers per step, so that caches warm up with a mix of
# old and new callers.
DEFAULT_CAP_SHARE = 0.25
DEFAULT_STEP_S = 5.0


class WeightTarget(NamedTuple):
    """Target weights of a row, and how fast they may be approached."""

    weight_by_zone: dict
    cap_share: float
    step_s: float
    shift: str = ""
    paused: bool = False


def find_serving_zones(config, service):
    """Return the slots of each zone that may serve a service."""
    slots_by_zone = {}
    for upstream in config.service_by_name[service].upstream_by_id.values():
        zone = upstream.availability_zone
        slots_by_zone[zone] = slots_by_zone.get(zone, 0) + upstream.slots
    return {
        zone: slots
        for zone, slots in slots_by_zone.items()
        if not config.is_drained(KIND_ZONE, zone, service)
    }


def make_base_weights(config, service, origin):
    """Return an origin's weights without shifts.

    All to itself if it serves, else to the zones of its region, or if none
    serves to all zones, in proportion to their slots.
    """
    return _make_base_weights(config, origin, find_serving_zones(config, service))


def _make_base_weights(config, origin, slots_by_zone):
    if origin in slots_by_zone:
        return {origin: 1.0}
    region = config.region_by_zone.get(origin)
    near = {
        zone: slots
        for zone, slots in slots_by_zone.items()
        if config.region_by_zone.get(zone) == region
    }
    chosen = near or slots_by_zone
    total = sum(chosen.values())
    return {zone: slots / total for zone, slots in chosen.items()}


def make_targets(config, cap_by_origin_by_service):
    """Return every ``WeightTarget`` by ``(service, origin)``."""
    shift_by_row = {(s.service, s.from_zone): s for s in config.shift_by_name.values()}
    target_by_row = {}
    for service in config.service_by_name:
        kept = cap_by_origin_by_service.get(service, {})
        # Computed once for all origins: for thousands of upstreams, computing
        # it for each origin would delay heartbeats.
        slots_by_zone = find_serving_zones(config, service)
        upstreams = config.service_by_name[service].upstream_by_id.values()
        upstream_zones = {upstream.availability_zone for upstream in upstreams}
        for origin in config.region_by_zone:
            base = _make_base_weights(config, origin, slots_by_zone)
            if not base:
                continue
            shift = shift_by_row.get((service, origin))
            if shift:
                target = _apply_shift(shift, base, slots_by_zone)
            elif origin not in upstream_zones:
                # No upstream serves these callers in their zone: only
                # headroom bounds the move.
                target = WeightTarget(base, 1.0, DEFAULT_STEP_S)
            else:
                cap_share, step_s = kept.get(
                    origin, (DEFAULT_CAP_SHARE, DEFAULT_STEP_S)
                )
                target = WeightTarget(base, cap_share, step_s)
            target_by_row[service, origin] = target
    return target_by_row


def _apply_shift(shift, base, zones):
    weights = dict(base)
    if shift.to_zone in zones:
        weights = {zone: (1 - shift.share) * w for zone, w in base.items()}
        weights[shift.to_zone] = weights.get(shift.to_zone, 0.0) + shift.share
    return WeightTarget(
        weights, shift.cap_share, shift.step_s, shift.name, shift.paused
    )
