"""Command line, process identity, start and stop of the daemons."""

import argparse
import asyncio
import sys
import uuid
from typing import NamedTuple

from eliot import log_message

from godwitlanding import __version__
from godwitlanding.base.kernel import Kernel
from godwitlanding.base.log import set_up_logs
from godwitlanding.base.messages import PROTOCOL_VERSION, Hello
from godwitlanding.base.metrics import Counters, make_meter
from godwitlanding.base.settings import read_settings
from godwitlanding.daemons.replica import Replica

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


class Context(NamedTuple):
    """Settings, identity and shared state for all services of a process."""

    role: str
    settings: dict
    incarnation: str
    counters: Counters
    replica: Replica

    @property
    def vm(self):
        """Return the name of this VM."""
        return self.settings["vm"]

    @property
    def availability_zone(self):
        """Return the availability zone of this VM."""
        return self.settings["availability_zone"]

    def make_hello(self):
        """Return the ``Hello`` of this process for a new connection."""
        return Hello(
            PROTOCOL_VERSION,
            self.role,
            self.vm,
            self.availability_zone,
            self.incarnation,
        )


def parse_arguments(role, description, argv=None):
    """Return the parsed command line arguments of a daemon."""
    parser = argparse.ArgumentParser(prog=f"godwit-{role}", description=description)
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="Settings, JSON with comments"
    )
    parser.add_argument(
        "--check", action="store_true", help="Check the settings and exit"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args(argv)


def make_context(role, settings, meter=None):
    """Return the context of a new incarnation of a process."""
    counters = Counters(meter)
    incarnation = f"{settings['vm']}-{role}-{uuid.uuid4().hex[:12]}"
    return Context(role, settings, incarnation, counters, Replica(counters))


def run_daemon(role, description, make_services, argv=None):
    """Run a daemon until it is stopped; return its exit code.

    ``make_services(context)`` returns the services of the process.
    """
    arguments = parse_arguments(role, description, argv)
    read = read_settings(arguments.settings)
    if read.is_err():
        for problem in read.unwrap_err():
            print(problem, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if arguments.check:
        return EXIT_OK
    settings = read.unwrap()
    set_up_logs(settings["vm"], role, settings["log_level"])
    context = make_context(role, settings, make_meter(settings["vm"], role))
    try:
        asyncio.run(_run(context, make_services))
    except OSError as error:
        log_message("daemon:failed", level="error", error=str(error))
        return EXIT_FAILED
    return EXIT_OK


async def _run(context, make_services):
    await Kernel(make_services(context)).run()
