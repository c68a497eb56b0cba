"""Simulates contention for slots on twelve VMs; prints what callers get.

python -m godwitlanding.tests.load.load_contended --times 1.5
"""

import argparse
import asyncio
import random
import sys

import looptime

from godwitlanding.tests.load.contended_model import (
    TWELVE_VMS,
    Burst,
    ContendedFleet,
)

WARM_UP_S = 6.0


async def simulate(
    shape, times, burst_s, seconds, seed, attempts=2, usual=1.0, wait=0.0
):
    """Return the ``ContendedFleet`` after a run.

    ``times`` is the factor on the shape's rates after the warm-up, for
    ``burst_s`` seconds or, if that is 0, until the end.
    """
    random.seed(seed)
    until_s = WARM_UP_S + (burst_s or seconds)
    count_from_s = WARM_UP_S if burst_s else WARM_UP_S + 2.0
    fleet = ContendedFleet(
        shape, seed, Burst(WARM_UP_S, until_s, times), count_from_s, attempts
    )
    fleet.use_waiting_rooms(wait)
    async with fleet:
        await fleet.run(WARM_UP_S + seconds, usual)
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
    parser.add_argument("--attempts", type=int, default=2, help="Attempts of a caller")
    parser.add_argument("--seed", type=int, default=1, help="Seed of random numbers")
    return parser.parse_args(argv)


def main(argv=None):
    """Run once and print the shares."""
    arguments = parse_arguments(argv)
    loop = looptime.new_event_loop(start=0.0)
    asyncio.set_event_loop(loop)
    fleet = loop.run_until_complete(
        simulate(
            TWELVE_VMS,
            arguments.times,
            arguments.burst,
            arguments.seconds,
            arguments.seed,
            arguments.attempts,
            arguments.usual,
            arguments.wait,
        )
    )
    print(arguments)
    print(dict(fleet.waits))
    print(" ".join(f"{name}={part:.3f}" for name, part in fleet.get_shares().items()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
