"""Runs a whole system locally until Ctrl-C (``make play``).

For trying the documented commands by hand: the same stand-ins and daemons as
``make demo-daemons``, with its sample applied.
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
Ctrl-C stops the system."""


async def play(sample, network, stop_event):
    """Run a system until the event ``stop_event`` is set."""
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
        await stop_event.wait()
    finally:
        await cluster.stop()


async def play_until_stopped(sample):
    """Run until SIGTERM or SIGINT; a shell's background jobs ignore SIGINT."""
    stop_event = asyncio.Event()
    for number in STOP_SIGNALS:
        asyncio.get_running_loop().add_signal_handler(number, stop_event.set)
    await play(sample, DEMO_NETWORK, stop_event)


def parse_arguments(argv=None):
    """Parse and return the arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument(
        "--sample",
        type=Path,
        default=ROOT / "samples/demo.json5",
        help="Configuration to apply",
    )
    return parser.parse_args(argv)


def main(argv=None):
    """Run until interrupted and return the exit code."""
    try:
        asyncio.run(play_until_stopped(parse_arguments(argv).sample))
        print("ended")
    except (TimeoutError, RuntimeError) as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
