"""Compares loans to one arbiter with a fixed split of the upstreams.

    python -m godwitlanding.tests.benchmarks.bench_loans

Runs the tests' in-memory zone simulation (three VMs, three upstreams of two
slots) and counts the requests that upstreams start in the 10 s after a fault,
as a share of those started with loans, without a fault and under even load.
In a fixed split every member grants its own upstreams to its own callers
only.
"""

import argparse
import sys

from godwitlanding.tests.benchmarks.measure import format_table
from godwitlanding.tests.daemons.zone_simulation import ZoneSimulation

SEEDS = 20
WINDOW_S = 10.0
FAULT_S = 6.0
FINISH_SHARE = 0.1


def make_simulation(is_split, is_skewed, seed):
    """Return a zone simulation that has run under load for 6 s."""
    simulation = ZoneSimulation(upstreams=3, slots=2, seed=seed)
    simulation.finish_probability = FINISH_SHARE
    if is_split:
        for vm, node in simulation.node_by_vm.items():
            node.zone.forced_arbiter = vm
    if is_skewed:
        for vm in ("vm0", "vm2"):
            simulation.node_by_vm[vm].entry.paused = True
    simulation.run(6)
    return simulation


def kill_zone_daemon(simulation):
    """Kill the first member's zone daemon; it restarts at once."""
    forced = simulation.node_by_vm["vm0"].zone.forced_arbiter
    simulation.restart("vm0", "zone")
    simulation.node_by_vm["vm0"].zone.forced_arbiter = forced
    simulation.run(WINDOW_S)


def pause_zone_daemon(simulation):
    """Pause the first member's zone daemon until its loans have expired."""
    process = simulation.node_by_vm["vm0"].zone
    process.paused = True
    simulation.run(FAULT_S)
    process.paused = False
    simulation.run(WINDOW_S - FAULT_S)


def partition_vm(simulation):
    """Partition the first member from the two others."""
    simulation.partitions = {frozenset(("vm0", vm)) for vm in ("vm1", "vm2")}
    simulation.run(FAULT_S)
    simulation.partitions = set()
    simulation.run(WINDOW_S - FAULT_S)


def do_nothing(simulation):
    """Run for ``WINDOW_S`` without a fault."""
    simulation.run(WINDOW_S)


FAULT_BY_NAME = {
    "none": do_nothing,
    "kill": kill_zone_daemon,
    "pause": pause_zone_daemon,
    "cut": partition_vm,
}


def count_started(is_split, is_skewed, fault):
    """Return the requests started in the window, summed over the seeds."""
    started = 0
    for seed in range(SEEDS):
        simulation = make_simulation(is_split, is_skewed, seed)
        before = simulation.started
        fault(simulation)
        started += simulation.started - before
        if simulation.slot_violations:
            raise RuntimeError(f"slots exceeded: {simulation.slot_violations}")
    return started


def main(argv=None):
    """Run the benchmark; return the exit code."""
    argparse.ArgumentParser(description=__doc__.splitlines()[0]).parse_args(argv)
    baseline = count_started(False, False, do_nothing)
    rows = []
    for name, fault in FAULT_BY_NAME.items():
        for load, is_skewed in (("even", False), ("at one VM", True)):
            shares = [
                count_started(s, is_skewed, fault) / baseline for s in (False, True)
            ]
            rows.append((name, load, *shares))
    print(format_table(("fault", "callers", "loans", "fixed split"), rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
