"""Command-line interface for operators, ``godwitctl``.

Exit codes: 0 success; 1 failure; 2 usage error; 3 invalid configuration
text; 4 conflict with another change; 5 platform unavailable; 6 unknown
whether the change took effect; 7 timed out; 130 interrupted.
"""

import argparse
import asyncio
import os
import sys

from godwitlanding import __version__
from godwitlanding.operator.daemonclient import Ports
from godwitlanding.operator.readcommands import (
    run_diff,
    run_explain,
    run_get,
    run_history,
    run_status,
    run_validate,
)
from godwitlanding.operator.terminal import EXIT_FAILED, EXIT_INTERRUPTED
from godwitlanding.operator.workspaces import run_workspaces
from godwitlanding.operator.writecommands import (
    run_apply,
    run_drain,
    run_rollback,
    run_shift,
)

DEFAULT_PLATFORM = "http://127.0.0.9:8000"


def parse_arguments(argv=None):
    """Parse and return the arguments of ``godwitctl``."""
    parser = argparse.ArgumentParser(
        prog="godwitctl", description="Operate godwitlanding.", epilog=__doc__
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for add_command in (
        _add_validate,
        _add_diff,
        _add_apply,
        _add_get,
        _add_history,
        _add_rollback,
        _add_status,
        _add_explain,
        _add_drain,
        _add_shift,
        _add_workspaces,
    ):
        add_command(commands)
    return parser.parse_args(argv)


def main(argv=None):
    """Run one command and return its exit code."""
    arguments = parse_arguments(argv)
    try:
        return asyncio.run(arguments.run(arguments))
    except KeyboardInterrupt:
        # Each change is one conditional write, so an interrupted command has
        # either made the whole change or none of it.
        print("interrupted; see 'godwitctl history'", file=sys.stderr)
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        sys.stderr.close()
        return EXIT_FAILED


def _add_command(commands, name, run, help):
    parser = commands.add_parser(name, help=help, description=help)
    parser.set_defaults(run=run)
    parser.add_argument(
        "--platform",
        metavar="URL",
        default=os.environ.get("GODWIT_PLATFORM", DEFAULT_PLATFORM),
        help="Base URL of the platform (default: $GODWIT_PLATFORM)",
    )
    parser.add_argument("--json", action="store_true", help="Print the output as JSON")
    return parser


def _add_file_argument(parser):
    parser.add_argument(
        "file", metavar="FILE", help="Configuration file; - for standard input"
    )


def _add_write_options(parser):
    parser.add_argument(
        "--note", default="", help="Description of the change, stored in the history"
    )
    parser.add_argument(
        "--yes", action="store_true", help="Send the change without confirmation"
    )
    parser.add_argument(
        "--patience",
        type=float,
        default=30.0,
        metavar="SECONDS",
        help="How long to retry while the platform is unavailable",
    )
    _add_wait_options(parser)


def _add_wait_options(parser):
    parser.add_argument(
        "--wait",
        action="store_true",
        help="Wait until the change is in force on every VM",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=60.0,
        metavar="SECONDS",
        help="Time limit of --wait",
    )
    _add_port_options(parser)


def _add_port_options(parser):
    for role, port in Ports()._asdict().items():
        parser.add_argument(
            f"--{role}-port",
            type=int,
            default=port,
            metavar="PORT",
            help=f"HTTP port of the {role} daemons (default: {port})",
        )


def _add_validate(commands):
    parser = _add_command(
        commands,
        "validate",
        run_validate,
        "Check a configuration and list all problems.",
    )
    _add_file_argument(parser)


def _add_diff(commands):
    parser = _add_command(
        commands, "diff", run_diff, "Show what applying a configuration would change."
    )
    _add_file_argument(parser)


def _add_apply(commands):
    parser = _add_command(
        commands, "apply", run_apply, "Check a configuration and apply it."
    )
    _add_file_argument(parser)
    parser.add_argument(
        "--base",
        type=int,
        metavar="VERSION",
        help="Version on which the text is based (default: the current one)",
    )
    _add_write_options(parser)


def _add_get(commands):
    parser = _add_command(
        commands, "get", run_get, "Print the current configuration text."
    )
    version_group = parser.add_mutually_exclusive_group()
    version_group.add_argument(
        "--at", type=int, metavar="VERSION", help="Print this version instead"
    )
    version_group.add_argument(
        "--in-force",
        action="store_true",
        help="Print the newest text held by a daemon, if the platform has lost it",
    )
    _add_port_options(parser)


def _add_history(commands):
    _add_command(
        commands,
        "history",
        run_history,
        "List the configuration versions, newest first.",
    )


def _add_rollback(commands):
    parser = _add_command(
        commands,
        "rollback",
        run_rollback,
        "Apply an earlier version again as a new one.",
    )
    parser.add_argument(
        "to", type=int, metavar="VERSION", help="Version to apply again"
    )
    _add_write_options(parser)


def _add_status(commands):
    parser = _add_command(
        commands, "status", run_status, "Show VMs, leases, permits and services."
    )
    parser.add_argument("--service", default="", help="Show only this service")
    parser.add_argument(
        "--plan",
        action="store_true",
        help="Also show the plan's shares and spill allowances",
    )
    _add_port_options(parser)


def _add_explain(commands):
    parser = _add_command(
        commands, "explain", run_explain, "Show the recorded events of a request."
    )
    parser.add_argument(
        "request_id",
        metavar="REQUEST_ID",
        help="Godwit-Request-Id header of the response",
    )
    parser.add_argument(
        "--logs",
        nargs="+",
        metavar="FILE",
        help="Read the events from these log files of VMs, contacting no process",
    )
    _add_port_options(parser)


def _add_workspaces(commands):
    parser = _add_command(
        commands,
        "workspaces",
        run_workspaces,
        "Show the limits, demand and sent requests of workspaces.",
    )
    parser.add_argument(
        "vms",
        nargs="+",
        metavar="VM",
        help="IP:port of a VM's metrics endpoint, such as 10.1.0.34:9464",
    )


def _add_drain(commands):
    parser = _add_command(
        commands, "drain", run_drain, "Drain an upstream, a VM or an availability zone."
    )
    parser.add_argument("what", choices=("upstream", "vm", "availability_zone"))
    parser.add_argument(
        "name", metavar="NAME", help="Name of the upstream, VM or availability zone"
    )
    parser.add_argument(
        "--service", default="", help="Drain only this service of the zone"
    )
    parser.add_argument("--end", action="store_true", help="End the drain")
    _add_write_options(parser)


def _add_shift(commands):
    parser = _add_command(
        commands, "shift", run_shift, "Shift callers of a service to another zone."
    )
    parser.add_argument("name", metavar="NAME", help="Name of the shift")
    parser.add_argument("--service", help="Service whose callers are shifted")
    parser.add_argument(
        "--from", dest="from_zone", help="Zone from which callers are shifted"
    )
    parser.add_argument(
        "--to", dest="to_zone", help="Zone to which callers are shifted"
    )
    parser.add_argument(
        "--share", type=float, help="Total share of callers to shift, 0 to 1"
    )
    parser.add_argument(
        "--cap-share", type=float, help="Largest share to shift in one step, 0 to 1"
    )
    parser.add_argument("--step", type=float, help="Seconds between steps")
    action = parser.add_mutually_exclusive_group()
    action.add_argument(
        "--pause", action="store_true", help="Pause the shift at its current share"
    )
    action.add_argument("--resume", action="store_true", help="Resume a paused shift")
    action.add_argument("--back", action="store_true", help="Shift all callers back")
    action.add_argument(
        "--end", action="store_true", help="Remove the shift from the configuration"
    )
    _add_write_options(parser)


if __name__ == "__main__":
    sys.exit(main())
