"""Shared helpers of ``godwitctl`` commands: input, output and exit codes."""

import difflib
import json
import sys
from contextlib import asynccontextmanager
from pathlib import Path

from result import Err, Ok

from godwitlanding.base.codes import ROW_BY_CODE, Code, make_refusal
from godwitlanding.base.config import parse_config
from godwitlanding.base.store import HttpStore
from godwitlanding.operator.apply import read_current, read_history, remove_apply_line
from godwitlanding.operator.daemonclient import Ports
from godwitlanding.operator.diff import (
    describe_shifts,
    describe_slots,
    diff_configurations,
)
from godwitlanding.operator.table import format_table

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_PLATFORM = 5
EXIT_UNKNOWN = 6
EXIT_TIMEOUT = 7
EXIT_INTERRUPTED = 130

PLATFORM_TIMEOUT_S = 5.0


@asynccontextmanager
async def open_store(arguments):
    """Open the platform's store and close it at the end of the command."""
    store = HttpStore(arguments.platform, PLATFORM_TIMEOUT_S)
    try:
        yield store
    finally:
        await store.close()


async def find_applied(store, version):
    """Return ``Ok(AppliedText)`` of a version; ``None`` is the current."""
    if version is None:
        return await read_current(store)
    history = await read_history(store)
    if history.is_err():
        return history
    for applied in history.unwrap():
        if applied.version == version:
            return Ok(applied)
    return Err(make_refusal(Code.NOT_FOUND, detail=f"version {version}"))


def read_file(path):
    """Return ``Ok((text, configuration))`` of a file, ``-`` for stdin."""
    try:
        text = sys.stdin.read() if path == "-" else Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err(f"{path}: {error}")
    text = remove_apply_line(text)
    parsed = parse_config(text)
    return Ok((text, parsed.unwrap())) if parsed.is_ok() else parsed


def get_ports(arguments):
    """Return the daemons' HTTP ports given by the arguments."""
    return Ports(arguments.steer_port, arguments.entry_port, arguments.zone_port)


def print_configuration(config):
    """Print the services and shifts of a valid configuration."""
    print(f"{config.name}: the configuration is valid")
    print(
        format_table(
            ("service", "availability_zone", "upstreams", "not drained", "slots"),
            describe_slots(config),
        )
    )
    for line in describe_shifts(config):
        print(line)


def print_text_diff(base, text):
    """Print a diff of the configuration texts to stderr."""
    lines = difflib.unified_diff(
        base.text.splitlines(),
        text.splitlines(),
        f"version {base.version}",
        "new",
        lineterm="",
        n=1,
    )
    for line in lines:
        print(line, file=sys.stderr)


def print_diff(base, config, as_json, stream=None):
    """Print the changes from the base version to a configuration."""
    old = parse_config(base.text) if base.version else Err([])
    changes = diff_configurations(old.unwrap_or(None), config)
    shifts = describe_shifts(config)
    if as_json:
        value = {
            "base": base.version,
            "changes": [change._asdict() for change in changes],
            "shifts": shifts,
        }
        print(json.dumps(value))
        return
    if not changes:
        print(f"no difference from version {base.version}", file=stream)
    for change in changes:
        print(f"{change.sign} {change.path}  {change.detail}".rstrip(), file=stream)
    for line in shifts:
        print(line, file=stream)


def fail_problems(problems, arguments):
    """Print problems of a configuration file and return the exit code."""
    if isinstance(problems, str):
        print(problems, file=sys.stderr)
        return EXIT_FAILED
    if arguments.json:
        rows = [
            {**problem._asdict(), "code": problem.code.value} for problem in problems
        ]
        print(json.dumps({"valid": False, "problems": rows}))
    for problem in problems:
        print(problem, file=sys.stderr)
    return EXIT_INVALID


def fail_platform(refusal):
    """Print the refusal of a platform call and return the exit code."""
    title = ROW_BY_CODE[refusal.code].title
    print(f"{title} [{refusal.code.value}] {refusal.detail}".strip(), file=sys.stderr)
    is_client_error = refusal.code in (Code.NOT_FOUND, Code.VALUE_TOO_LARGE)
    return EXIT_FAILED if is_client_error else EXIT_PLATFORM
