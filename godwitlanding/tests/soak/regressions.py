"""Fault schedules that once found a defect, with its cause."""

from godwitlanding.tests.soak.schedule import Fault

# Faults by schedule name, unchanged since they were drawn.
REGRESSION_SCHEDULES = {
    # Seed 2. The store hung while the VMs that read it sent their watches
    # again. It responded to none of these watches after it had recovered, so
    # that no VM received a change until the watches timed out after 21 s. All
    # VMs responded with 404 on a new route.
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
    # Seed 205. A VM received SIGHUP while it was importing its libraries. The
    # default action of SIGHUP ended the process, and the VM stayed down.
    "hangup while a VM starts": (
        Fault(0.87, 4.06, "store_link", "deaf_up", 45),
        Fault(1.34, 3.18, "vm", "herd", 45),
        Fault(1.74, 0.78, "store", "down", 80),
        Fault(2.48, 0.88, "vm", "herd", 86),
        Fault(2.56, 0.36, "upstream", "slow", 9),
        Fault(3.12, 4.55, "store", "slow", 39),
        Fault(3.85, 1.28, "vm", "hangup", 96),
        Fault(3.99, 0.29, "operator", "config", 32),
        Fault(4.63, 0.9, "upstream", "drain", 2),
        Fault(4.75, 2.84, "upstream_link", "silent", 0),
        Fault(5.09, 3.04, "store", "hang", 11),
        Fault(6.49, 0.38, "upstream_link", "delayed", 30),
        Fault(6.64, 0.31, "vm", "term", 34),
        Fault(7.96, 1.92, "operator", "config", 91),
    ),
}
