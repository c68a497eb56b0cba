"""``godwit-vm``: the one process of an entry VM on the users' platform.

>>> GODWITLANDING_SETTINGS=/etc/node.toml godwit-vm
"""

import argparse
import os
import signal
import sys

from godwitlanding import __version__
from godwitlanding.platform.settings import (
    SETTINGS_VARIABLE,
    get_change_time,
    read_settings,
)

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
METRICS_PORT = 9464


def parse_arguments(argv=None):
    """Return the command line's arguments."""
    parser = argparse.ArgumentParser(
        prog="godwit-vm", description="Serve callers on an entry VM."
    )
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE, ""),
        metavar="FILE",
        help=f"Settings of the platform; default: {SETTINGS_VARIABLE}",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=METRICS_PORT,
        metavar="PORT",
        help=f"Port on which /metrics is served; default: {METRICS_PORT}",
    )
    parser.add_argument(
        "--check", action="store_true", help="Check the settings and end"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args(argv)


def main(argv=None):
    """Run the program; return its exit code."""
    # What SIGHUP does by default is end the process, and a settings file may
    # change while a VM starts: the VM would be missing until somebody starts
    # it again. The settings are read after this line, so nothing is lost; the
    # kernel takes the signal later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    arguments = parse_arguments(argv)
    changed_at = get_change_time(arguments.settings)
    read = read_settings(arguments.settings)
    if read.is_err():
        for problem in read.unwrap_err():
            print(problem, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if arguments.check:
        return EXIT_OK
    # The imports of the services take most of a start, half a second of a
    # small VM, in which a signal that is not yet ignored would end it.
    from godwitlanding.program import run_program

    return run_program(read.unwrap(), changed_at, arguments)


if __name__ == "__main__":
    sys.exit(main())
