"""Commands of ``godwitctl`` that only read and print tables or JSON."""

import json
import sys

from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.config import CONFIG_KIND, CONFIG_NAME
from godwitlanding.base.storetypes import StoredObject
from godwitlanding.operator.apply import parse_applied, read_current, read_history
from godwitlanding.operator.daemonclient import (
    find_request_events,
    read_config_in_force,
    read_fleet,
)
from godwitlanding.operator.logtimeline import read_timeline
from godwitlanding.operator.summary import (
    read_plan,
    summarise_leases,
    summarise_plan,
    summarise_services,
    summarise_vms,
)
from godwitlanding.operator.table import format_table
from godwitlanding.operator.terminal import (
    EXIT_FAILED,
    EXIT_OK,
    fail_platform,
    fail_problems,
    find_applied,
    get_ports,
    open_store,
    print_configuration,
    print_diff,
    read_file,
)


async def run_validate(arguments):
    """Check a configuration file and print its problems or its contents."""
    loaded = read_file(arguments.file)
    if loaded.is_err():
        return fail_problems(loaded.unwrap_err(), arguments)
    config = loaded.unwrap()[1]
    if arguments.json:
        print(json.dumps({"valid": True, "problems": []}))
        return EXIT_OK
    print_configuration(config)
    return EXIT_OK


async def run_diff(arguments):
    """Print the changes that applying a configuration file would make."""
    loaded = read_file(arguments.file)
    if loaded.is_err():
        return fail_problems(loaded.unwrap_err(), arguments)
    async with open_store(arguments) as store:
        current = await read_current(store)
    if current.is_err():
        return fail_platform(current.unwrap_err())
    print_diff(current.unwrap(), loaded.unwrap()[1], arguments.json)
    return EXIT_OK


async def run_get(arguments):
    """Print the current text, an earlier one, or the one held by daemons."""
    async with open_store(arguments) as store:
        if arguments.in_force:
            found = await _find_in_force(store, arguments)
        else:
            found = await find_applied(store, arguments.at)
    if found.is_err():
        return fail_platform(found.unwrap_err())
    applied = found.unwrap()
    if arguments.json:
        print(json.dumps(applied._asdict()))
    else:
        sys.stdout.write(applied.text)
    return EXIT_OK


async def _find_in_force(store, arguments):
    """Return the newest text held by a daemon.

    A platform that was restored from a backup has lost the newest texts. The
    daemons hold them until their last process ends.
    """
    listed = await store.list_vms()
    if listed.is_err():
        return listed
    version, text = await read_config_in_force(
        listed.unwrap().vms, get_ports(arguments)
    )
    if not version:
        return Err(
            make_refusal(
                Code.NOT_FOUND, detail="no daemon responds with a configuration"
            )
        )
    return Ok(
        parse_applied(StoredObject(CONFIG_KIND, CONFIG_NAME, version, text.encode()))
    )


async def run_history(arguments):
    """Print all configuration versions, newest first."""
    async with open_store(arguments) as store:
        history = await read_history(store)
    if history.is_err():
        return fail_platform(history.unwrap_err())
    rows = [(a.version, a.apply_id[:8], a.note) for a in history.unwrap()]
    if arguments.json:
        print(json.dumps([a._asdict() for a in history.unwrap()]))
    else:
        print(format_table(("version", "apply", "note"), rows))
    return EXIT_OK


async def run_status(arguments):
    """Print VMs, services, the plan and leases."""
    async with open_store(arguments) as store:
        listed = await store.list_vms()
        current = await read_current(store)
        plan = await store.get("plan", "main")
        lease = await store.get("lease", "planner")
    if listed.is_err():
        return fail_platform(listed.unwrap_err())
    fleet = await read_fleet(listed.unwrap().vms, get_ports(arguments))
    version = current.unwrap().version if current.is_ok() else 0
    vms = summarise_vms(fleet, version)
    services = summarise_services(fleet, arguments.service)
    leases = summarise_leases(lease, plan)
    shares = summarise_plan(read_plan(plan), arguments.service)
    if arguments.json:
        print(
            json.dumps(
                {
                    "config_version": version,
                    "vms": [row._asdict() for row in vms],
                    "services": [row._asdict() for row in services],
                    "leases": leases,
                    "plan": [row._asdict() for row in shares],
                }
            )
        )
        return EXIT_OK
    print(f"configuration {version}")
    for rows in (vms, services, shares if arguments.plan else ()):
        if rows:
            print()
            print(format_table(rows[0]._fields, rows))
    print()
    print(format_table(("lease", "value"), list(leases.items())))
    return EXIT_OK


async def run_explain(arguments):
    """Print the recorded events of a request."""
    if arguments.logs:
        return _explain_from_logs(arguments)
    async with open_store(arguments) as store:
        listed = await store.list_vms()
    if listed.is_err():
        return fail_platform(listed.unwrap_err())
    vms = listed.unwrap().vms
    events = await find_request_events(vms, get_ports(arguments), arguments.request_id)
    if arguments.json:
        print(json.dumps(events))
    elif events:
        rows = [
            (e.pop("at", ""), e.pop("vm", ""), e.pop("event", ""), _format_fields(e))
            for e in events
        ]
        print(format_table(("at", "vm", "event", "why"), rows))
    if not events:
        error = "no entry process has recorded it; each keeps only its newest requests"
        print(f"{arguments.request_id}: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


def _explain_from_logs(arguments):
    try:
        timeline = read_timeline(arguments.logs, arguments.request_id)
    except OSError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    if not timeline:
        print(f"{arguments.request_id}: not found in the logs", file=sys.stderr)
        return EXIT_FAILED
    if arguments.json:
        print(json.dumps([row._asdict() for row in timeline]))
        return EXIT_OK
    started_at = timeline[0].at
    rows = [
        (f"+{row.at - started_at:.3f}", row.vm, row.what, _format_fields(row.fields))
        for row in timeline
    ]
    print(format_table(("seconds", "vm", "line", "fields"), rows))
    return EXIT_OK


def _format_fields(event):
    return ", ".join(f"{key}={value}" for key, value in event.items())
