"""Computes how many requests in flight each zone may spill to each other zone.

Guards against several zones that are full at once, partitioned from each
other and from the platform, and all spill to the same neighbour. The
allowances for a target are granted in advance and sum to no more than its
headroom, so that no zone has to ask when it needs to spill. A zone that has
not confirmed the new plan may still use its old allowance, which stays
reserved until it confirms. Otherwise, lowering one zone and raising another
would count the same slots twice for as long as the first is partitioned.

Half of the headroom is granted: the other half is for a shift's next step
and for the growth of the target's own load within one summary interval.
"""

from math import floor

SPILL_SHARE = 0.5
MAX_TARGETS = 5


def get_sources(config, service_zones, target):
    """Return the zones that may spill to ``target``.

    If the configuration has links, only zones with a link to it. Otherwise
    at most ``MAX_TARGETS`` zones, those of the same region first: a plan with
    every pair of many zones would be too large for the links that carry it.
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
    """Return the allowance of each source in whole requests.

    ``in_use_by_source`` is what each may still use under an older plan. The
    sum of each source's larger value, old or new, never exceeds the spill
    share of ``headroom``, unless the old ones alone do; then no allowance is
    raised.

    >>> divide_headroom(8.0, {"a": 0, "b": 0})
    {'a': 2, 'b': 2}
    >>> divide_headroom(8.0, {"a": 4, "b": 0})
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


def divide_small_headroom(headroom, in_use_by_source, allowance_by_source, reporting):
    """Return allowances of one request for some sources, if all are 0.

    In a zone of two upstreams the pool is two or three requests for as many
    sources: each fair share rounds down to 0, and no zone could spill though
    half of the target's slots are idle. Only sources in ``reporting`` get
    one, since an allowance cannot be revoked from a zone that does not
    report. The bound is that of ``divide_headroom``.

    >>> nothing = {"a": 0, "b": 0, "c": 0}
    >>> divide_small_headroom(4.7, nothing, nothing, {"a", "b", "c"})
    {'a': 1, 'b': 1, 'c': 0}
    """
    if any(allowance_by_source.values()):
        return allowance_by_source
    pool = max(0.0, headroom) * SPILL_SHARE
    result = dict(allowance_by_source)
    for source in sorted(reporting & set(result)):
        raised = {**result, source: 1}
        in_force = sum(max(raised[name], in_use_by_source[name]) for name in raised)
        if in_use_by_source[source] <= 1 and in_force <= pool:
            result = raised
    return result
