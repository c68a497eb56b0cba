"""Fault settings of a simulated upstream."""

HEALTH_MODES = ("true", "always_ok", "always_bad", "hang")


class UpstreamFaults:
    """The faults that a simulated upstream currently has.

    The attribute names are the keys of the control API.
    """

    def __init__(self):
        self.draining = False
        self.refuses_when_draining = True
        self.health = "true"
        self.health_lag_s = 0.0
        self.load_lag_s = 0.0
        self.load_lie = -1
        self.shed_share = 0.0
        self.slow_factor = 1.0
        self.cold_s = 0.0
        self.cold_factor = 5.0
        self.truncate_next = 0
        self.late_s = 0.0
        self.down_s = 3.0

    def change(self, values):
        """Set the given faults; raises ``ValueError`` for an unknown one."""
        unknown = set(values) - set(vars(self))
        if unknown or values.get("health", "true") not in HEALTH_MODES:
            raise ValueError(f"unknown fault or health mode in {values}")
        vars(self).update(values)
