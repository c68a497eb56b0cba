"""Fair shares of workspaces when the slots of a service are contended.

Load pattern: a few of dozens of workspaces send several times their usual
rate, within their allotments. A full service serves whoever asks most often,
so the workspaces at their usual rate are refused in the same proportion.

While requests of a service are refused for lack of slots or late, the rate
that it serves is divided by weighted max-min fairness (``decisions.sharing``):
workspaces below the common level get all that they ask for, the others are
denied what exceeds it. The weight is the workspace's allotment. The rate to
divide is the measured one, so slots are not left idle; when the pressure ends
it rises until the demand fits, and nothing is limited.

Equal shares instead of weighted ones would cut a large workspace at its usual
rate; buckets for each workspace and service would need a rate that is known
only after the contention. ``docs/design`` has the figures.
"""

from typing import NamedTuple

from godwitlanding.decisions.priority import TOLERATED_SHARE, get_pressed_share
from godwitlanding.decisions.requestcounts import Counts
from godwitlanding.decisions.sharing import find_fair_level

# Share of the former counts that is kept at each update of 0.4 s, so that
# they cover about the last second: a VM cut off from its peers has only a few
# dozen requests in an update.
KEPT_SHARE = 0.6
# Growth of the divided rate per update without pressure. After the end of a
# burst, half of the rate returns in 3 s.
GROWTH = 1.1


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

    def update(self, recent, get_demands):
        """Recompute the shares from the region's latest ``Counts``.

        ``get_demands`` returns the ``Demand`` by workspace and is called only
        while the service is contended.
        """
        self._asked = KEPT_SHARE * self._asked + recent.asked
        self._pressed = KEPT_SHARE * self._pressed + recent.pressed
        self._denied = KEPT_SHARE * self._denied + recent.denied
        counts = Counts(self._asked, self._pressed, self._denied)
        if get_pressed_share(counts) > TOLERATED_SHARE:
            served = max(0.0, 1.0 - (counts.pressed + counts.denied) / counts.asked)
            self.served_share = min(self.served_share, served)
        else:
            self.served_share = min(1.0, self.served_share * GROWTH + 0.01)
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
    {'b': 0.42857142857142855}
    """
    demands = {n: d for n, d in demand_by_workspace.items() if d.asked_per_s > 0}
    total = sum(demand.asked_per_s for demand in demands.values())
    level = find_fair_level(served_share * total, demands.values())
    return {
        name: level * demand.weight / demand.asked_per_s
        for name, demand in demands.items()
        if level * demand.weight < demand.asked_per_s
    }
