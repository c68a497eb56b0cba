"""What the zones measured, and how much room that leaves.

Answers the pattern of measurements that lag or stop. A summary counts from
when this process first saw it, on its own clock; one that is older than
``max_age_s`` counts as missing, and whoever needs it does nothing. Without
this a zone that fell silent at low load would look empty for ever, and
callers would be sent to it.

Pure: ``now`` is seconds of one monotonic clock.
"""

import json
from collections import deque
from typing import NamedTuple

# The highest of three: demand that falls for one interval is no headroom.
SAMPLES = 3


class ServiceLoad(NamedTuple):
    """One service in one zone; demand and slots in slots."""

    demand: float
    slots: float
    usable_slots: float
    warm_share: float


class _Summary(NamedTuple):
    at: float
    version: int
    value: dict


class Demand:
    """The newest summary of each zone."""

    def __init__(self, max_age_s):
        self._max_age_s = max_age_s
        self._summary_by_zone = {}
        self._samples_by_key = {}

    def add_summary(self, zone, version, body, work_s_by_service, now):
        """Take a summary; one seen before does not count as newer."""
        summary = self._summary_by_zone.get(zone)
        if summary and version <= summary.version:
            return
        value = json.loads(body)
        self._summary_by_zone[zone] = _Summary(now, version, value)
        for service, row in value.get("services", {}).items():
            work_s = work_s_by_service.get(service, 0.0)
            in_progress = row.get("busy", 0) + row.get("queued", 0)
            arriving = row.get("arrivals_per_s", 0.0) * work_s
            samples = self._samples_by_key.setdefault(
                (zone, service), deque(maxlen=SAMPLES)
            )
            samples.append(max(in_progress, arriving))

    def is_fresh(self, zone, now):
        """Tell whether the zone's measurements may be used."""
        summary = self._summary_by_zone.get(zone)
        return summary is not None and now - summary.at <= self._max_age_s

    def get_plan_version(self, zone):
        """Return the plan that every member of a zone has at least."""
        summary = self._summary_by_zone.get(zone)
        return summary.value.get("plan_version", 0) if summary else 0

    def get_load(self, zone, service, now):
        """Return a ``ServiceLoad``, or ``None`` where it is not known."""
        if not self.is_fresh(zone, now):
            return None
        row = self._summary_by_zone[zone].value.get("services", {}).get(service)
        if row is None:
            return None
        return ServiceLoad(
            demand=max(self._samples_by_key[zone, service], default=0.0),
            slots=row.get("slots", 0),
            usable_slots=row.get("usable_slots", 0),
            warm_share=row.get("warm_share", 0.0),
        )
