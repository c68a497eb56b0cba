"""Simulates load on a fleet with rate-limited upstreams; prints the outcomes.

python -m godwitlanding.tests.load.load_gateway --limited 9 --limit 2.7
"""

import argparse
import asyncio
import random

import looptime

from godwitlanding.tests.load.gateway_model import CO_OP, FleetModel

WARM_UP_S = 10.0
INTERVAL_S = 10


async def run(arguments):
    """Run until upstream caches are warm, then limit some upstreams."""
    async with FleetModel(CO_OP, arguments.seed) as fleet:
        await fleet.run(WARM_UP_S, arguments.times)
        print("before", _format(fleet.get_outcome_shares(since_s=WARM_UP_S / 2)))
        fleet.outcomes.clear()
        rng = random.Random(arguments.seed)
        for name in rng.sample(list(fleet.upstream_by_id), arguments.limited):
            fleet.upstream_by_id[name].limit_per_s = arguments.limit
        await fleet.run(arguments.seconds, arguments.times)
        for started_at in range(0, arguments.seconds, INTERVAL_S):
            shares = fleet.get_outcome_shares(started_at, started_at + INTERVAL_S)
            print(f"from {started_at} s", _format(shares))


def _format(shares):
    return " ".join(f"{name}={share:.3f}" for name, share in shares.items())


def parse_arguments(argv=None):
    """Return the command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument(
        "--limited", type=int, default=2, help="Number of limited upstreams"
    )
    parser.add_argument(
        "--limit",
        type=float,
        default=2.7,
        help="Requests per second that each limited upstream accepts",
    )
    parser.add_argument(
        "--times", type=float, default=1.0, help="Factor on the usual request rate"
    )
    parser.add_argument("--seconds", type=int, default=30, help="Simulated seconds")
    parser.add_argument(
        "--seed", type=int, default=1, help="Seed of all random numbers"
    )
    return parser.parse_args(argv)


if __name__ == "__main__":
    loop = looptime.new_event_loop(start=0.0)
    asyncio.set_event_loop(loop)
    loop.run_until_complete(run(parse_arguments()))
