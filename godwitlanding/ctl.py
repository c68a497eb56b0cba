"""``godwitctl``: the operators' command line.

Exit codes: 0 done; 1 failed; 2 wrong usage; 3 the text has mistakes;
4 another change came first; 5 the platform does not answer; 6 not known
whether the change took effect; 7 waited in vain; 130 interrupted.
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
    """Return the arguments of ``godwitctl``."""
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
    """Run one command; return its exit code."""
    arguments = parse_arguments(argv)
    try:
        return asyncio.run(arguments.run(arguments))
    except KeyboardInterrupt:
        # Every write is one conditional update, so an interrupt leaves the
        # system either before the change or after it, never half way.
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
    parser.add_argument("--json", action="store_true", help="Print JSON for programs")
    return parser


def _add_file_argument(parser):
    parser.add_argument("file", metavar="FILE", help="The text; - for standard input")


def _add_write_options(parser):
    parser.add_argument(
        "--note", default="", help="A few words on the change, for the history"
    )
    parser.add_argument(
        "--yes", action="store_true", help="Send the change without asking"
    )
    parser.add_argument(
        "--patience",
        type=float,
        default=30.0,
        metavar="SECONDS",
        help="How long to go on trying while the platform does not answer",
    )
    _add_wait_options(parser)


def _add_wait_options(parser):
    parser.add_argument(
        "--wait", action="store_true", help="Wait until every VM has the change"
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=60.0,
        metavar="SECONDS",
        help="How long to wait with --wait",
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
        commands, "validate", run_validate, "Check a text; list every mistake."
    )
    _add_file_argument(parser)


def _add_diff(commands):
    parser = _add_command(
        commands, "diff", run_diff, "Show what applying a text would change."
    )
    _add_file_argument(parser)


def _add_apply(commands):
    parser = _add_command(
        commands, "apply", run_apply, "Check a text and put it in force."
    )
    _add_file_argument(parser)
    parser.add_argument(
        "--base",
        type=int,
        metavar="VERSION",
        help="Version that the text was based on (default: the one in force)",
    )
    _add_write_options(parser)


def _add_get(commands):
    parser = _add_command(commands, "get", run_get, "Print the accepted text.")
    version_group = parser.add_mutually_exclusive_group()
    version_group.add_argument(
        "--at", type=int, metavar="VERSION", help="An earlier version instead"
    )
    version_group.add_argument(
        "--in-force",
        action="store_true",
        help="What the daemons hold, if the platform has lost it",
    )
    _add_port_options(parser)


def _add_history(commands):
    _add_command(commands, "history", run_history, "List the texts, newest first.")


def _add_rollback(commands):
    parser = _add_command(
        commands, "rollback", run_rollback, "Apply an earlier text as a new version."
    )
    parser.add_argument("to", type=int, metavar="VERSION", help="Version to return to")
    _add_write_options(parser)


def _add_status(commands):
    parser = _add_command(
        commands, "status", run_status, "Show VMs, leases, permits and services."
    )
    parser.add_argument(
        "--service", default="", help="Show the zones of this service only"
    )
    parser.add_argument(
        "--plan", action="store_true", help="Show shares and spill allowances too"
    )
    _add_port_options(parser)


def _add_explain(commands):
    parser = _add_command(
        commands, "explain", run_explain, "Tell what became of a request."
    )
    parser.add_argument(
        "request_id", metavar="REQUEST_ID", help="From the answer's Godwit-Request-Id"
    )
    parser.add_argument(
        "--logs",
        nargs="+",
        metavar="FILE",
        help="Read it out of these logs of VMs, asking no process",
    )
    _add_port_options(parser)


def _add_workspaces(commands):
    parser = _add_command(
        commands,
        "workspaces",
        run_workspaces,
        "Show what workspaces may send, ask for and have sent.",
    )
    parser.add_argument(
        "vms",
        nargs="+",
        metavar="VM",
        help="IP:port of a VM's metrics, as 10.1.0.34:9464",
    )


def _add_drain(commands):
    parser = _add_command(
        commands, "drain", run_drain, "Edit the text so that something is drained."
    )
    parser.add_argument("what", choices=("upstream", "vm", "availability_zone"))
    parser.add_argument("name", metavar="NAME", help="Which one")
    parser.add_argument("--service", default="", help="Only this service of a zone")
    parser.add_argument("--end", action="store_true", help="End the drain")
    _add_write_options(parser)


def _add_shift(commands):
    parser = _add_command(
        commands, "shift", run_shift, "Edit the text so that callers move."
    )
    parser.add_argument("name", metavar="NAME", help="Name of the shift")
    parser.add_argument("--service", help="Service whose callers move")
    parser.add_argument("--from", dest="from_zone", help="Zone that they leave")
    parser.add_argument("--to", dest="to_zone", help="Zone to which they go")
    parser.add_argument("--share", type=float, help="Share to move in all, 0 to 1")
    parser.add_argument("--cap-share", type=float, help="Most to move in one step")
    parser.add_argument("--step", type=float, help="Seconds between steps")
    action = parser.add_mutually_exclusive_group()
    action.add_argument("--pause", action="store_true", help="Stay where it is")
    action.add_argument("--resume", action="store_true", help="Go on after a pause")
    action.add_argument("--back", action="store_true", help="Move everything back")
    action.add_argument("--end", action="store_true", help="Remove it from the text")
    _add_write_options(parser)


if __name__ == "__main__":
    sys.exit(main())
