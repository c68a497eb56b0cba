"""Exports limits and demand of the busiest workspaces as gauges.

A label for each of thousands of workspaces would cost more than all other
metrics. Workspaces whose requests are rejected are usually among the busiest.
"""

MAX_SHOWN = 8
OTHERS = "others"


class WorkspaceGauges:
    """Registers gauges of ``allotments`` with ``counters``."""

    def __init__(self, allotments, counters):
        self._allotments = allotments
        counters.observe("workspace_limit_per_s", self._make_reader("rate_per_s"))
        counters.observe("workspace_part_per_s", self._make_reader("part_per_s"))
        counters.observe("workspace_level", self._make_reader("level"))
        counters.observe("workspace_asked_per_s", self._make_reader("asked_per_s"))
        counters.observe("workspace_sent", self._make_reader("sent"))

    def read(self, field):
        """Return a status field of the busiest workspaces, by their name.

        All other workspaces are summed up under ``OTHERS``.
        """
        status = self._allotments.get_status()
        order = sorted(status, key=lambda name: -status[name]["asked_per_s"])
        shown = {name: status[name][field] for name in order[:MAX_SHOWN]}
        if len(order) > MAX_SHOWN:
            shown[OTHERS] = sum(status[name][field] for name in order[MAX_SHOWN:])
        return shown

    def _make_reader(self, field):
        return lambda: self.read(field)
