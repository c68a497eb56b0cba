"""Describes the differences between two configurations and their effect."""

import math
from typing import NamedTuple


class Change(NamedTuple):
    """One difference; ``sign`` is ``+`` (added), ``-`` (removed) or ``~``."""

    sign: str
    path: str
    detail: str


def diff_configurations(old, new):
    """Return the changes from ``old`` (``None`` for none) to ``new``."""
    changes = []
    if old is None:
        old = new._replace(
            region_by_name={},
            service_by_name={},
            link_by_zones={},
            shift_by_name={},
            drains=frozenset(),
        )
    changes += _diff_tables("region", old.region_by_name, new.region_by_name)
    changes += _diff_services(old.service_by_name, new.service_by_name)
    links = [
        {" to ".join(zones): link for zones, link in config.link_by_zones.items()}
        for config in (old, new)
    ]
    changes += _diff_tables("link", *links)
    changes += _diff_tables("shift", old.shift_by_name, new.shift_by_name)
    changes += _diff_drains(old.drains, new.drains)
    return changes


def describe_shifts(config):
    """Return a line for each shift: its steps, least duration and slots."""
    return [_describe_shift(config, shift) for shift in config.shift_by_name.values()]


def describe_slots(config):
    """Return a row for each service and zone with upstreams.

    Each has service, zone, number of upstreams, number of those that are not
    drained, and their slots.
    """
    rows = []
    for service in config.service_by_name.values():
        for zone in config.region_by_zone:
            upstreams = service.get_upstreams(zone)
            if not upstreams:
                continue
            usable = [u for u in upstreams if not _is_drained(config, service, u)]
            slots = sum(upstream.slots for upstream in usable)
            rows.append((service.name, zone, len(upstreams), len(usable), slots))
    return rows


def _is_drained(config, service, upstream):
    if config.is_drained("upstream", upstream.id):
        return True
    zone = upstream.availability_zone
    return config.is_drained("availability_zone", zone, service.name)


def _describe_shift(config, shift):
    steps = math.ceil(round(shift.share / shift.cap_share, 9)) if shift.share else 0
    min_duration_s = max(0, steps - 1) * shift.step_s
    service = config.service_by_name[shift.service]
    slots = sum(u.slots for u in service.get_upstreams(shift.to_zone))
    paused = ", paused" if shift.paused else ""
    return (
        f"shift {shift.name}: {shift.share:.0%} of {shift.service} callers of "
        f"{shift.from_zone} to {shift.to_zone} ({slots} slots there) in {steps} "
        f"steps of at most {shift.cap_share:.0%}, {min_duration_s:g} s at least{paused}"
    )


def _diff_tables(kind, old_by_name, new_by_name):
    changes = []
    for name in sorted(old_by_name.keys() | new_by_name.keys()):
        old, new = old_by_name.get(name), new_by_name.get(name)
        if old is None:
            changes.append(Change("+", f"{kind} {name}", _format_fields(new)))
        elif new is None:
            changes.append(Change("-", f"{kind} {name}", _format_fields(old)))
        elif old != new:
            changes.append(Change("~", f"{kind} {name}", _format_changed(old, new)))
    return changes


def _diff_services(old_by_name, new_by_name):
    tables_without_upstreams = [
        {name: s._replace(upstream_by_id={}) for name, s in by_name.items()}
        for by_name in (old_by_name, new_by_name)
    ]
    upstreams = [
        {u.id: u for s in by_name.values() for u in s.upstream_by_id.values()}
        for by_name in (old_by_name, new_by_name)
    ]
    return _diff_tables("service", *tables_without_upstreams) + _diff_tables(
        "upstream", *upstreams
    )


def _diff_drains(old, new):
    changes = []
    for sign, drains in (("+", new - old), ("-", old - new)):
        for drain in sorted(drains):
            scope = f" for {drain.service}" if drain.service else ""
            changes.append(
                Change(sign, f"drain {drain.what} {drain.name}", scope.strip())
            )
    return changes


def _format_fields(value):
    pairs = value._asdict().items()
    return ", ".join(
        f"{key}={_format_value(item)}" for key, item in pairs if item != {}
    )


def _format_changed(old, new):
    pairs = zip(old._asdict().items(), new, strict=True)
    return ", ".join(
        f"{key} {_format_value(before)} -> {_format_value(after)}"
        for (key, before), after in pairs
        if before != after
    )


def _format_value(value):
    if isinstance(value, (tuple, list)):
        return "[" + " ".join(map(str, value)) + "]"
    return str(value)
