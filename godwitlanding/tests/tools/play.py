"""Runs a whole system on this machine until Ctrl-C (``make play``).

For a person who wants to try the commands of the pages by hand: the same
stand-ins and daemons as the demo, with the demo's sample applied.
"""

import argparse
import asyncio
import sys
from pathlib import Path

from godwitlanding.base.kernel import STOP_SIGNALS
from godwitlanding.tests.tools.cluster import Cluster
from godwitlanding.tests.tools.network import DEMO_NETWORK
from godwitlanding.tests.tools.processes import ROOT

HELP = """
ready. In another terminal, with {bin} on the PATH:
    export GODWIT_PLATFORM={platform}
    godwitctl status
    curl -s {steer}/v1/steer/status
    curl -si {entry}/s/status/one
    curl -sL -X POST {steer}/v1/tickets/renewal
logs and settings: {directory}
Ctrl-C ends it all."""


async def play(sample, network, end):
    """Start it all, wait until the event ``end`` is set, and end it all."""
    cluster = Cluster(sample.read_text(), network)
    try:
        print(f"starting {len(cluster.vm_by_name)} entry VMs and the stand-ins")
        cluster.stop_on_sigterm()
        await cluster.start()
        vm = next(iter(cluster.vm_by_name))
        print(
            HELP.format(
                bin=Path(sys.executable).parent,
                platform=cluster.standins.platform_url,
                steer=cluster.get_url(vm, "steer"),
                entry=cluster.get_url(vm, "entry"),
                directory=cluster.directory,
            )
        )
        await end.wait()
    finally:
        await cluster.stop()


async def play_until_stopped(sample):
    """Run until SIGTERM or SIGINT; a shell's background job has no SIGINT."""
    end = asyncio.Event()
    for number in STOP_SIGNALS:
        asyncio.get_running_loop().add_signal_handler(number, end.set)
    await play(sample, DEMO_NETWORK, end)


def parse_arguments(argv=None):
    """Return the arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument(
        "--sample", type=Path, default=ROOT / "samples/demo.json5", help="Text to apply"
    )
    return parser.parse_args(argv)


def main(argv=None):
    """Run until interrupted; return the exit code."""
    try:
        asyncio.run(play_until_stopped(parse_arguments(argv).sample))
        print("ended")
    except (TimeoutError, RuntimeError) as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
