"""Simulates contention for slots on twelve VMs; prints what callers get.

python -m godwitlanding.tests.load.load_contended --times 1.5
"""

import argparse
import asyncio
import random
import sys

import looptime

from godwitlanding.tests.load.contended_model import (
    ONE_VM,
    TWELVE_VMS,
    Burst,
    ContendedFleet,
)

WARM_UP_S = 6.0


async def simulate(arguments):
    """Return the ``ContendedFleet`` after a run; see ``parse_arguments``."""
    random.seed(arguments.seed)
    until_s = WARM_UP_S + (arguments.burst or arguments.seconds)
    fleet = ContendedFleet(
        ONE_VM if arguments.one_vm else TWELVE_VMS,
        arguments.seed,
        Burst(WARM_UP_S, until_s, arguments.times),
        WARM_UP_S if arguments.burst else WARM_UP_S + 2.0,
        arguments.attempts,
    )
    fleet.use_waiting_rooms(arguments.wait, arguments.only_in_time)
    async with fleet:
        await fleet.run(WARM_UP_S + arguments.seconds, arguments.usual)
    return fleet


def parse_arguments(argv=None):
    """Return the command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--times", type=float, default=1.5, help="Factor on the rate")
    parser.add_argument(
        "--usual", type=float, default=1.0, help="Factor on all rates of the run"
    )
    parser.add_argument(
        "--burst", type=float, default=0.0, help="Seconds of the factor; 0: all"
    )
    parser.add_argument("--seconds", type=float, default=10, help="Simulated seconds")
    parser.add_argument("--wait", type=float, default=0.0, help="Turnovers to wait")
    parser.add_argument(
        "--only-in-time", action="store_true", help="Wait only to be in time"
    )
    parser.add_argument("--one-vm", action="store_true", help="One VM for all callers")
    parser.add_argument("--attempts", type=int, default=2, help="Attempts of a caller")
    parser.add_argument("--seed", type=int, default=1, help="Seed of random numbers")
    return parser.parse_args(argv)


def main(argv=None):
    """Run once and print the shares."""
    arguments = parse_arguments(argv)
    loop = looptime.new_event_loop(start=0.0)
    asyncio.set_event_loop(loop)
    fleet = loop.run_until_complete(simulate(arguments))
    print(arguments)
    print(dict(fleet.waits))
    print(" ".join(f"{name}={part:.3f}" for name, part in fleet.get_shares().items()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
