"""Keeps the zones' load summaries and derives each service's demand from them.

Guards against measurements that lag or stop. The age of a summary counts
from when this process first received it, on its own clock; one older than
``max_age_s`` counts as missing, and decisions that need it are not taken.
Otherwise a zone that stopped reporting at low load would look empty for
ever, and callers would be sent to it.

Pure: ``now`` is seconds of one monotonic clock.
"""

import json
from collections import deque
from typing import NamedTuple

# Demand is the highest of three samples, so that a dip in one interval does
# not count as headroom.
SAMPLES = 3


class ServiceLoad(NamedTuple):
    """Load of one service in one zone; ``demand`` is measured in slots."""

    demand: float
    slots: float
    usable_slots: float
    warm_share: float


class _Summary(NamedTuple):
    at: float
    version: int
    value: dict


class Demand:
    """The newest summary of each zone, and recent demand by service."""

    def __init__(self, max_age_s):
        self._max_age_s = max_age_s
        self._summary_by_zone = {}
        self._samples_by_key = {}

    def add_summary(self, zone, version, body, work_s_by_service, now):
        """Store a zone's summary; an older or equal version is ignored."""
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
        """Return whether the zone's summary is recent enough to be used."""
        summary = self._summary_by_zone.get(zone)
        return summary is not None and now - summary.at <= self._max_age_s

    def get_plan_version(self, zone):
        """Return the plan version that all members of a zone have reached.

        0 if the zone has not reported.
        """
        summary = self._summary_by_zone.get(zone)
        return summary.value.get("plan_version", 0) if summary else 0

    def get_load(self, zone, service, now):
        """Return the ``ServiceLoad``, or ``None`` if it is not known."""
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
