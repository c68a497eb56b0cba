"""Schedules that once broke a promise, as they were drawn, with the cause."""

from godwitlanding.tests.soak.schedule import Fault

# By name: the faults. Each has a line on its cause; none is changed.
KEPT = {
    # Seed 2. The store hung while the readers sent their watches again; it
    # answered none of them when it was back, and nobody heard of a change
    # for the 21 s after which a watch was given up. All VMs answered 404 for
    # a new route.
    "watches that hang after an outage": (
        Fault(2.74, 1.01, "vm", "kill", 46),
        Fault(3.02, 1.14, "vm", "term", 85),
        Fault(4.93, 0.31, "operator", "evacuate", 20),
        Fault(5.78, 4.37, "vm", "hangup", 31),
        Fault(6.36, 2.29, "store", "hang", 57),
        Fault(6.47, 2.57, "operator", "evacuate", 56),
        Fault(6.99, 2.45, "store", "down", 40),
        Fault(7.16, 1.04, "operator", "evacuate", 30),
        Fault(7.96, 4.71, "operator", "config", 94),
    ),
}
