"""``godwit-vm``: the single process of an entry VM on the users' platform.

>>> GODWITLANDING_SETTINGS=/etc/node.toml godwit-vm
"""

import signal
import sys

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
METRICS_PORT = 9464


def parse_arguments(argv=None):
    """Return the command-line arguments."""
    import argparse
    import os

    from godwitlanding import __version__
    from godwitlanding.platform.settings import SETTINGS_VARIABLE

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
        "--check", action="store_true", help="Check the settings and exit"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args(argv)


def _exit_at_once(number, frame):
    sys.exit(EXIT_OK)


def main(argv=None):
    """Run the program; return its exit code."""
    # By default SIGTERM kills the process. Until the kernel handles it nothing
    # has been begun, so that a stop is complete at once.
    signal.signal(signal.SIGTERM, _exit_at_once)
    # By default SIGHUP ends the process. It may arrive during startup because
    # the settings file has changed; the VM would then be missing until it is
    # started again. The settings are read after this line, so no change is
    # lost. The kernel installs its own handler later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Everything else is imported after that: on a busy machine the imports
    # take most of the startup, a second and more.
    from godwitlanding.platform.settings import get_change_time, read_settings

    arguments = parse_arguments(argv)
    changed_at = get_change_time(arguments.settings)
    read = read_settings(arguments.settings)
    if read.is_err():
        for problem in read.unwrap_err():
            print(problem, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if arguments.check:
        return EXIT_OK
    # Not needed to check the settings.
    from godwitlanding.program import run_program

    return run_program(read.unwrap(), changed_at, arguments)


if __name__ == "__main__":
    sys.exit(main())
