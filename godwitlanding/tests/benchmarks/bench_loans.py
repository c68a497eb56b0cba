"""Compares loans to one arbiter with a fixed split of the upstreams.

    python -m godwitlanding.tests.benchmarks.bench_loans

Runs the zone in memory of the tests (three VMs, three upstreams of two slots)
and counts the requests that upstreams start in the 10 s after a fault, as
a share of those that loans start without one under even load. In a fixed
split every member grants its own upstreams to its own callers only.
"""

import argparse
import sys

from godwitlanding.tests.benchmarks.measure import format_table
from godwitlanding.tests.daemons.zone_simulation import ZoneSimulation

SEEDS = 20
WINDOW_S = 10.0
FAULT_S = 6.0
FINISH_SHARE = 0.1


def make_world(is_split, is_skewed, seed):
    """Return a zone in use."""
    world = ZoneSimulation(upstreams=3, slots=2, seed=seed)
    world.finish_probability = FINISH_SHARE
    if is_split:
        for vm, node in world.node_by_vm.items():
            node.zone.forced_arbiter = vm
    if is_skewed:
        for vm in ("vm0", "vm2"):
            world.node_by_vm[vm].entry.paused = True
    world.run(6)
    return world


def kill(world):
    """Kill the first member's zone daemon; it starts again at once."""
    forced = world.node_by_vm["vm0"].zone.forced_arbiter
    world.restart("vm0", "zone")
    world.node_by_vm["vm0"].zone.forced_arbiter = forced
    world.run(WINDOW_S)


def pause(world):
    """Pause the first member's zone daemon past its loans."""
    process = world.node_by_vm["vm0"].zone
    process.paused = True
    world.run(FAULT_S)
    process.paused = False
    world.run(WINDOW_S - FAULT_S)


def cut(world):
    """Cut the first member off from the two others."""
    world.partitions = {frozenset(("vm0", vm)) for vm in ("vm1", "vm2")}
    world.run(FAULT_S)
    world.partitions = set()
    world.run(WINDOW_S - FAULT_S)


def do_nothing(world):
    """Let the window pass without a fault."""
    world.run(WINDOW_S)


FAULT_BY_NAME = {"none": do_nothing, "kill": kill, "pause": pause, "cut": cut}


def count(is_split, is_skewed, fault):
    """Return the requests started in the window, summed over the seeds."""
    started = 0
    for seed in range(SEEDS):
        world = make_world(is_split, is_skewed, seed)
        before = world.started
        fault(world)
        started += world.started - before
        if world.slot_violations:
            raise RuntimeError(f"slots exceeded: {world.slot_violations}")
    return started


def main(argv=None):
    """Print the table; return the exit code."""
    argparse.ArgumentParser(description=__doc__.splitlines()[0]).parse_args(argv)
    whole = count(False, False, do_nothing)
    rows = []
    for name, fault in FAULT_BY_NAME.items():
        for load, is_skewed in (("even", False), ("at one VM", True)):
            shares = [count(s, is_skewed, fault) / whole for s in (False, True)]
            rows.append((name, load, *shares))
    print(format_table(("fault", "callers", "loans", "fixed split"), rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
