"""Plays a load on whole VMs, some upstreams in need, and tells what came out.

python -m godwitlanding.tests.load.load_gateway --limited 9 --limit 2.7
"""

import argparse
import asyncio
import random

import looptime

from godwitlanding.tests.load.gateway_model import CO_OP, World

LEARN_S = 10.0
PART_S = 10


async def play(arguments):
    """Play until upstreams know their objects, then with some limited."""
    async with World(CO_OP, arguments.seed) as world:
        await world.play(LEARN_S, arguments.times)
        print("before", _format(world.count(since_s=LEARN_S / 2)))
        world.outcomes.clear()
        rng = random.Random(arguments.seed)
        for name in rng.sample(list(world.upstream_by_id), arguments.limited):
            world.upstream_by_id[name].limit_per_s = arguments.limit
        await world.play(arguments.seconds, arguments.times)
        for begun in range(0, arguments.seconds, PART_S):
            shares = world.count(begun, begun + PART_S)
            print(f"from {begun} s", _format(shares))


def _format(shares):
    return " ".join(f"{name}={share:.3f}" for name, share in shares.items())


def parse_arguments(argv=None):
    """Return the command line's arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--limited", type=int, default=2, help="Upstreams in need")
    parser.add_argument(
        "--limit", type=float, default=2.7, help="Requests a second that each takes"
    )
    parser.add_argument(
        "--times", type=float, default=1.0, help="Times the usual rate of callers"
    )
    parser.add_argument("--seconds", type=int, default=30, help="Seconds to play")
    parser.add_argument("--seed", type=int, default=1, help="Seed of all draws")
    return parser.parse_args(argv)


if __name__ == "__main__":
    loop = looptime.new_event_loop(start=0.0)
    asyncio.set_event_loop(loop)
    loop.run_until_complete(play(parse_arguments()))
