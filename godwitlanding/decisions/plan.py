"""The plan: traffic weights of each origin zone, and spill allowances.

One object in the platform; only the planner changes it, by conditional
update. All other processes only read it.
"""

import json
from typing import NamedTuple


class Plan(NamedTuple):
    """A version of the plan; shares of an origin zone sum to 1.

    ``outstanding_by_zones_by_service`` are the allowances that a zone which
    has not confirmed this version may still be using.
    ``cap_by_origin_by_service`` are the cap and step time with which a row
    was last moved, kept for moving it back when its shift is removed from the
    configuration.
    """

    weight_by_zone_by_origin_by_service: dict
    allowance_by_zones_by_service: dict
    moved_by_shift: dict
    step: int = 0
    why: str = ""
    outstanding_by_zones_by_service: dict = {}
    cap_by_origin_by_service: dict = {}

    def get_weights(self, service, origin_zone):
        """Return ``{zone: share}``; all to the origin if none is set."""
        by_origin = self.weight_by_zone_by_origin_by_service.get(service, {})
        return by_origin.get(origin_zone) or {origin_zone: 1.0}

    def get_allowances(self, service, from_zone):
        """Return the ``{to zone: requests in flight}`` that may spill."""
        by_zones = self.allowance_by_zones_by_service.get(service, {})
        prefix = f"{from_zone}>"
        return {
            zones.removeprefix(prefix): allowance
            for zones, allowance in by_zones.items()
            if zones.startswith(prefix)
        }


EMPTY_PLAN = Plan({}, {}, {})


def parse_plan(body):
    """Return the plan in a state's body; ``ValueError`` if invalid."""
    try:
        return Plan(**json.loads(body))
    except TypeError as error:
        raise ValueError(f"not a plan: {error}") from error


def format_plan(plan):
    """Return the bytes of a plan as the platform stores it."""
    return json.dumps(plan._asdict(), sort_keys=True).encode()
