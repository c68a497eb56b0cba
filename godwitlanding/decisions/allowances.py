"""How many requests in flight each zone may spill to each other zone.

Answers the pattern of several zones that are full at once, cut off from
each other and from the platform, and that all pick the same neighbour. The
allowances of a target are granted beforehand and sum to no more than its
headroom, so that nobody has to ask at the moment of need. A zone that has
not shown that it has the new plan may still use its old allowance: what was
granted to it stays reserved until it has. Without that, lowering one zone
and raising another would count the same slots twice for as long as the
first is cut off.

Half of the headroom is granted: the other half is for a shift's next step
and for the target's own growth within one summary interval.
"""

from math import floor

SPILL_SHARE = 0.5
MAX_TARGETS = 5


def get_sources(config, service_zones, target):
    """Return the zones that may spill to ``target``.

    Where the text has links, only over a link. Else the same region first
    and at most ``MAX_TARGETS``, since a plan with every pair of many zones
    would not fit the links that carry it.
    """
    if config.link_by_zones:
        return sorted(
            source
            for (source, to), link in config.link_by_zones.items()
            if to == target and link.requests_per_s > 0 and source != target
        )
    region = config.region_by_zone[target]
    others = sorted(
        (zone for zone in config.region_by_zone if zone != target),
        key=lambda zone: (config.region_by_zone[zone] != region, zone),
    )
    return sorted(others[:MAX_TARGETS])


def divide_headroom(headroom, in_use_by_source):
    """Return the allowance of each source, whole requests.

    ``in_use_by_source`` is what each may still use by an older plan. The
    sum of the larger of old and new never exceeds the spill share of
    ``headroom``, unless the old ones alone do; then nothing is raised.

    >>> share_out(8.0, {"a": 0, "b": 0})
    {'a': 2, 'b': 2}
    >>> share_out(8.0, {"a": 4, "b": 0})
    {'a': 2, 'b': 0}
    """
    if not in_use_by_source:
        return {}
    pool = max(0.0, headroom) * SPILL_SHARE
    fair_share = floor(pool / len(in_use_by_source))
    free = floor(max(0.0, pool - sum(in_use_by_source.values())))
    allowance_by_source = {}
    for source, in_use in sorted(in_use_by_source.items()):
        raised = min(max(0, fair_share - in_use), free)
        free -= raised
        allowance_by_source[source] = min(in_use, fair_share) + raised
    return allowance_by_source


def divide_small_headroom(headroom, in_use_by_source, allowance_by_source, heard):
    """Return the allowances with one request for some, where all are 0.

    In a zone of two upstreams the pool is two or three requests for as
    many sources: each fair share rounds to nothing, and nobody could spill
    though half of its slots are idle. Only sources in ``heard`` are given
    one, since what a silent zone has cannot be taken back. The bound is
    that of ``share_out``.

    >>> nothing = {"a": 0, "b": 0, "c": 0}
    >>> share_out_rest(4.7, nothing, nothing, {"a", "b", "c"})
    {'a': 1, 'b': 1, 'c': 0}
    """
    if any(allowance_by_source.values()):
        return allowance_by_source
    pool = max(0.0, headroom) * SPILL_SHARE
    result = dict(allowance_by_source)
    for source in sorted(heard & set(result)):
        raised = {**result, source: 1}
        in_force = sum(max(raised[name], in_use_by_source[name]) for name in raised)
        if in_use_by_source[source] <= 1 and in_force <= pool:
            result = raised
    return result
