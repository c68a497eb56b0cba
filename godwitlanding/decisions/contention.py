"""Fair shares of workspaces when the slots of a service are contended.

Load pattern: a few of dozens of workspaces send several times their usual
rate, within their allotments. A full service serves whoever asks most often,
so the workspaces at their usual rate are refused in the same proportion.

While requests of a service are refused for lack of slots or late, the rate
that it serves is divided by weighted max-min fairness (``decisions.sharing``):
workspaces below the common level get all that they ask for, the others are
denied what exceeds it. The weight is the workspace's allotment.

The level is at least ``SLACK`` times the mean use of allotments. If all
workspaces ask for too much alike, denying each its part serves nobody more:
without this bound all of them are limited, and fewer requests of calm
workspaces are in time than without any shares.

Equal shares instead of weighted ones would cut a large workspace at its usual
rate; buckets for each workspace and service would need a rate that is known
only after the contention. ``docs/design/priority.rst`` has the figures.
"""

import math
from typing import NamedTuple

from godwitlanding.decisions.priority import TOLERATED_SHARE, get_pressed_share
from godwitlanding.decisions.requestcounts import Counts
from godwitlanding.decisions.sharing import find_fair_level

# Time constant of the counts. A VM that is cut off from its peers has only a
# few dozen requests in an interval of 0.4 s.
WINDOW_S = 0.8
# Time constant of the growth of the divided rate without pressure: it doubles
# in 3 s, half of the time that bursts last.
GROWTH_S = 4.0
# From this share on it grows, even if nothing was served.
MIN_SERVED_SHARE = 0.05


# Demands are means of 3 s: that of a workspace with seven requests a second
# varies by a sixth. At 1.25, most denials hit workspaces at their usual rate.
SLACK = 1.5


class Demand(NamedTuple):
    """Requests a second of a workspace in the region, and its weight."""

    asked_per_s: float
    weight: float


class FairShares:
    """The shares of workspaces in one service, on one VM."""

    def __init__(self):
        self._asked = self._pressed = self._denied = 0.0
        # Share of the demand that is divided, 1 without contention.
        self.served_share = 1.0
        # Admitted share of the requests of limited workspaces.
        self.share_by_workspace = {}
        self._credit_by_workspace = {}

    def update(self, recent, get_demands, elapsed_s):
        """Recompute the shares from the region's latest ``Counts``.

        ``elapsed_s`` is the time since the former update. ``get_demands``
        returns the ``Demand`` by workspace and is called only while the
        service is contended.
        """
        kept_share = math.exp(-elapsed_s / WINDOW_S)
        self._asked = kept_share * self._asked + recent.asked
        self._pressed = kept_share * self._pressed + recent.pressed
        self._denied = kept_share * self._denied + recent.denied
        counts = Counts(self._asked, pressed=self._pressed, denied=self._denied)
        if get_pressed_share(counts) > TOLERATED_SHARE:
            unserved = (counts.pressed + counts.denied) / counts.asked
            self.served_share = max(0.0, 1.0 - unserved)
        else:
            share = self.served_share * math.exp(elapsed_s / GROWTH_S)
            self.served_share = min(1.0, max(MIN_SERVED_SHARE, share))
        if self.served_share >= 1.0:
            self.share_by_workspace = {}
            self._credit_by_workspace = {}
            return
        self.share_by_workspace = divide(self.served_share, get_demands())
        self._credit_by_workspace = {
            name: credit
            for name, credit in self._credit_by_workspace.items()
            if name in self.share_by_workspace
        }

    def admits(self, workspace):
        """Return whether a request is within its workspace's share."""
        share = self.share_by_workspace.get(workspace)
        if share is None:
            return True
        credit = self._credit_by_workspace.get(workspace, 1.0) + share
        is_admitted = credit >= 1.0
        self._credit_by_workspace[workspace] = credit - is_admitted
        return is_admitted


def divide(served_share, demand_by_workspace):
    """Return the admitted share of each workspace that is limited.

    >>> divide(0.5, {"a": Demand(1.0, 1.0), "b": Demand(7.0, 1.0)})
    {'b': 0.8571428571428571}
    """
    demands = {n: d for n, d in demand_by_workspace.items() if d.asked_per_s > 0}
    total = sum(demand.asked_per_s for demand in demands.values())
    if not demands:
        return {}
    mean_use = total / sum(demand.weight for demand in demands.values())
    level = find_fair_level(served_share * total, demands.values())
    level = max(level, SLACK * mean_use)
    return {
        name: level * demand.weight / demand.asked_per_s
        for name, demand in demands.items()
        if level * demand.weight < demand.asked_per_s
    }
