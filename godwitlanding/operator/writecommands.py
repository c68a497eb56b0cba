"""Commands of ``godwitctl`` that change the configuration.

Each command prints the differences, asks for confirmation and sends one
conditional write.
"""

import asyncio
import json
import sys

from result import Err

from godwitlanding.base.codes import Code
from godwitlanding.base.config import CONFIG_KIND, parse_config
from godwitlanding.base.schema import read_text
from godwitlanding.operator.apply import apply_text, read_current, remove_old_history
from godwitlanding.operator.daemonclient import read_fleet
from godwitlanding.operator.edit import add_item, remove_item, replace_item
from godwitlanding.operator.summary import count_in_progress
from godwitlanding.operator.terminal import (
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_OK,
    EXIT_TIMEOUT,
    EXIT_UNKNOWN,
    fail_platform,
    fail_problems,
    find_applied,
    get_ports,
    open_store,
    print_diff,
    print_text_diff,
    read_file,
)

POLL_INTERVAL_S = 0.3


async def run_apply(arguments):
    """Check a configuration file and apply it."""
    loaded = read_file(arguments.file)
    if loaded.is_err():
        return fail_problems(loaded.unwrap_err(), arguments)
    text, _ = loaded.unwrap()
    async with open_store(arguments) as store:
        current = await read_current(store)
        if current.is_err():
            return fail_platform(current.unwrap_err())
        base = current.unwrap()
        if arguments.base is not None and arguments.base != base.version:
            return await _fail_conflict(store, arguments.base)
        return await _confirm_and_send(store, base, text, arguments, arguments.note)


async def run_rollback(arguments):
    """Apply an earlier version again as a new one."""
    async with open_store(arguments) as store:
        found = await find_applied(store, arguments.to)
        if found.is_err():
            return fail_platform(found.unwrap_err())
        current = await read_current(store)
        if current.is_err():
            return fail_platform(current.unwrap_err())
        note = arguments.note or f"rollback to {arguments.to}"
        text = found.unwrap().text
        return await _confirm_and_send(store, current.unwrap(), text, arguments, note)


async def run_drain(arguments):
    """Add a drain to the configuration, or remove it with ``--end``."""
    item = {"what": arguments.what, "name": arguments.name}
    if arguments.service:
        item["service"] = arguments.service

    def edit(text):
        is_drained = item in _get_items(text, "drains")
        if arguments.end and not is_drained:
            return Err(f"{arguments.name} is not drained")
        if not arguments.end and is_drained:
            return Err(f"{arguments.name} is already drained")
        change = remove_item if arguments.end else add_item
        return change(text, "drains", item)

    action = "end drain of" if arguments.end else "drain"
    note = arguments.note or f"{action} {arguments.what} {arguments.name}"
    code = await _edit_and_send(arguments, edit, note)
    if code == EXIT_OK and arguments.wait and not arguments.end:
        return await _wait_for_drain(arguments, item)
    return code


async def run_shift(arguments):
    """Add, change or remove a shift of callers in the configuration."""

    def edit(text):
        items = _get_items(text, "shifts")
        old = next((i for i in items if i.get("name") == arguments.name), None)
        if arguments.end:
            if old is None:
                return Err(f"no shift is named {arguments.name}")
            return remove_item(text, "shifts", old)
        new = _make_shift(arguments, old)
        if new == old:
            return Err(f"shift {arguments.name} is unchanged")
        if old is None:
            return add_item(text, "shifts", new)
        return replace_item(text, "shifts", old, new)

    return await _edit_and_send(
        arguments, edit, arguments.note or f"shift {arguments.name}"
    )


def _make_shift(arguments, old):
    new = dict(old or {"name": arguments.name})
    options = {
        "service": arguments.service,
        "from": arguments.from_zone,
        "to": arguments.to_zone,
        "share": arguments.share,
        "cap_share": arguments.cap_share,
        "step_s": arguments.step,
    }
    new.update({key: value for key, value in options.items() if value is not None})
    if arguments.pause:
        new["paused"] = True
    if arguments.resume or arguments.back:
        new.pop("paused", None)
    if arguments.back:
        new["share"] = 0
    return new


async def _edit_and_send(arguments, edit, note):
    async with open_store(arguments) as store:
        current = await read_current(store)
        if current.is_err():
            return fail_platform(current.unwrap_err())
        base = current.unwrap()
        if not base.version:
            print("the platform has no configuration to edit", file=sys.stderr)
            return EXIT_FAILED
        edited = edit(base.text)
        if edited.is_err():
            return fail_problems(edited.unwrap_err(), arguments)
        return await _confirm_and_send(store, base, edited.unwrap(), arguments, note)


async def _confirm_and_send(store, base, text, arguments, note):
    parsed = parse_config(text)
    if parsed.is_err():
        return fail_problems(parsed.unwrap_err(), arguments)
    if text == base.text:
        print(
            f"no difference from version {base.version}; nothing to do", file=sys.stderr
        )
        return EXIT_OK
    print_text_diff(base, text)
    print_diff(base, parsed.unwrap(), False, stream=sys.stderr)
    if not arguments.yes and not _is_confirmed(base.version):
        print("nothing was sent", file=sys.stderr)
        return EXIT_FAILED
    sent = await apply_text(store, text, base.version, note, arguments.patience)
    if sent.is_err():
        return await _fail_send(store, base, sent.unwrap_err())
    await remove_old_history(store)
    applied = sent.unwrap()
    if arguments.json:
        print(json.dumps({"version": applied.version, "apply_id": applied.apply_id}))
    else:
        print(f"accepted as version {applied.version}")
    if arguments.wait:
        return await _wait_until_in_force(store, applied.version, arguments)
    return EXIT_OK


async def _wait_for_drain(arguments, item):
    """Wait until the drained item has no requests in progress."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + arguments.timeout
    shown_count = None
    unreachable = []
    async with open_store(arguments) as store:
        while loop.time() < deadline:
            listed = await store.list_vms()
            if listed.is_ok():
                fleet = await read_fleet(listed.unwrap().vms, get_ports(arguments))
                count = count_in_progress(fleet, item)
                if count != shown_count:
                    print(f"in progress: {count}", file=sys.stderr)
                shown_count = count
                # A daemon that does not respond may still have requests.
                unreachable = [f"{d.vm} {d.role}" for d in fleet if d.status is None]
                if not count and not unreachable:
                    return EXIT_OK
            await asyncio.sleep(POLL_INTERVAL_S)
    print(f"{item['name']} still has requests in progress", file=sys.stderr)
    if unreachable:
        print(f"no response from {', '.join(unreachable)}", file=sys.stderr)
    return EXIT_TIMEOUT


async def _wait_until_in_force(store, version, arguments):
    loop = asyncio.get_running_loop()
    deadline = loop.time() + arguments.timeout
    shown = set()
    outdated = {("the platform", "does not respond")}
    while loop.time() < deadline:
        listed = await store.list_vms()
        if listed.is_ok():
            vms = listed.unwrap().vms
            fleet = await read_fleet(vms, get_ports(arguments))
            newest = max((d.get_version(CONFIG_KIND) for d in fleet), default=0)
            if newest > version and await _is_platform_older(store, newest):
                return _fail_restored_platform(version, newest)
            outdated = {
                (d.vm, d.role) for d in fleet if d.get_version(CONFIG_KIND) < version
            }
            for daemon in fleet:
                key = (daemon.vm, daemon.role)
                if key not in outdated and key not in shown:
                    shown.add(key)
                    print(f"in force: {daemon.vm} {daemon.role}", file=sys.stderr)
            if not outdated:
                print(f"version {version} is in force everywhere", file=sys.stderr)
                return EXIT_OK
        await asyncio.sleep(POLL_INTERVAL_S)
    names = ", ".join(f"{vm} {role}" for vm, role in sorted(outdated))
    print(f"not yet in force: {names}", file=sys.stderr)
    return EXIT_TIMEOUT


async def _is_platform_older(store, newest):
    current = await read_current(store)
    return current.is_ok() and current.unwrap().version < newest


def _fail_restored_platform(version, newest):
    print(
        f"the daemons hold version {newest}, newer than {version}: the platform "
        "was restored to an older state; save the output of 'godwitctl get "
        "--in-force', and apply again until the version is higher",
        file=sys.stderr,
    )
    return EXIT_TIMEOUT


def _get_items(text, key):
    return read_text(text).unwrap().get(key, [])


def _is_confirmed(version):
    if not sys.stdin.isatty():
        print("use --yes to send without confirmation", file=sys.stderr)
        return False
    answer = input(f"replace version {version}? [y/N] ")
    return answer.strip().lower() in ("y", "yes")


async def _fail_conflict(store, base_version):
    print(f"the text is based on version {base_version}", file=sys.stderr)
    found = await find_applied(store, base_version)
    current = await read_current(store)
    if current.is_ok():
        latest = current.unwrap()
        conflict = f"version {latest.version} was applied before"
        print(f"{conflict}: {latest.note or 'no note'}", file=sys.stderr)
        if found.is_ok():
            print_text_diff(found.unwrap(), latest.text)
    print(
        "nothing was sent; base the change on that version and retry", file=sys.stderr
    )
    return EXIT_CONFLICT


async def _fail_send(store, base, refusal):
    if refusal.code is Code.VERSION_CONFLICT:
        return await _fail_conflict(store, base.version)
    fail_platform(refusal)
    if refusal.code is Code.PLATFORM_UNAVAILABLE:
        print(
            "it is unknown whether the change took effect; "
            "see 'godwitctl history' once the platform is available",
            file=sys.stderr,
        )
        return EXIT_UNKNOWN
    return EXIT_FAILED
