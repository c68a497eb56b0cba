"""Estimates network round-trip times to upstreams, by availability zone."""

# Round-trip times in seconds that are assumed until one is measured.
ZONE_DISTANCE_S = 0.001
REGION_DISTANCE_S = 0.004
FAR_DISTANCE_S = 0.112


class Distances:
    """Round-trip times in seconds: defaults, then a moving average."""

    def __init__(self, identity, registry):
        self._identity = identity
        self._registry = registry
        self._distance_by_zone = {}

    def note(self, upstream, seconds):
        """Record the time that opening a connection took (one round trip)."""
        zone = upstream.availability_zone
        held = self._distance_by_zone.get(zone)
        mean = seconds if held is None else held + 0.2 * (seconds - held)
        self._distance_by_zone[zone] = mean

    def get_s(self, availability_zone):
        """Return the round-trip time in seconds to a zone's upstreams."""
        measured = self._distance_by_zone.get(availability_zone)
        if measured is not None:
            return measured
        if availability_zone == self._identity.availability_zone:
            return ZONE_DISTANCE_S
        region = self._registry.get_region(availability_zone)
        if region == self._identity.region:
            return REGION_DISTANCE_S
        return FAR_DISTANCE_S
