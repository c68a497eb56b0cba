"""How far upstreams are, by availability zone."""

# First word on distance, in seconds there and back, until it is measured.
ZONE_DISTANCE_S = 0.001
REGION_DISTANCE_S = 0.004
FAR_DISTANCE_S = 0.112


class Distances:
    """Times there and back in seconds, first guessed, then measured."""

    def __init__(self, identity, registry):
        self._identity = identity
        self._registry = registry
        self._distance_by_zone = {}

    def note(self, upstream, seconds):
        """Take the time that a connection took to open, there and back."""
        zone = upstream.availability_zone
        held = self._distance_by_zone.get(zone)
        moved = seconds if held is None else held + 0.2 * (seconds - held)
        self._distance_by_zone[zone] = moved

    def get_s(self, availability_zone):
        """Return the time there and back to a zone's upstreams."""
        measured = self._distance_by_zone.get(availability_zone)
        if measured is not None:
            return measured
        if availability_zone == self._identity.availability_zone:
            return ZONE_DISTANCE_S
        region = self._registry.get_region(availability_zone)
        if region == self._identity.region:
            return REGION_DISTANCE_S
        return FAR_DISTANCE_S
