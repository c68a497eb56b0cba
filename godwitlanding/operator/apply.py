"""Accepts a configuration: one conditional write, settled if in doubt.

Accepted means committed in the platform. Two operators who apply at once
both name the version that they started from, so one of them loses and is
told what the other changed.

A write may take effect although its answer is lost. Reporting failure then
would make the operator apply again, over what somebody else has done
meanwhile; reporting success might be untrue. So every text carries a
unique id, and in doubt the same write is sent again: either it is accepted
now, or its conflict is settled by looking for the id, in the text in force
or in the history, where whoever replaced it has put it.
"""

import asyncio
import re
import uuid
from typing import NamedTuple

from result import Err, Ok

from godwitlanding.base.codes import Code, make_refusal
from godwitlanding.base.config import CONFIG_KIND, CONFIG_NAME

HISTORY_KIND = "history"
_APPLY_LINE = re.compile(r"\A//apply: (\S+)[^\n]*\n")
# Pause between two tries while the platform does not answer: short beside
# an operator's patience, long beside the platform's few milliseconds.
RETRY_INTERVAL_S = 0.5
DEFAULT_RETRY_LIMIT_S = 30.0
MAX_HISTORY_TEXTS = 100


class AppliedText(NamedTuple):
    """A text in the platform; ``apply_id`` is empty where it had none."""

    version: int
    apply_id: str
    note: str
    text: str


def make_apply_id():
    """Return an id that no other apply has."""
    return uuid.uuid4().hex


def add_apply_line(text, apply_id, note):
    """Return the text to store: the operators' own behind one line."""
    one_line_note = " ".join(note.split())
    return f"//apply: {apply_id} {one_line_note}\n{remove_apply_line(text)}"


def remove_apply_line(text):
    """Return the operators' own text."""
    return _APPLY_LINE.sub("", text, count=1)


def parse_applied(stored):
    """Return what a stored object says of its apply."""
    text = stored.value.decode()
    match = _APPLY_LINE.match(text)
    apply_id = match.group(1) if match else ""
    note = match.group(0).strip()[len("//apply: ") + len(apply_id) :] if match else ""
    return AppliedText(stored.version, apply_id, note.strip(), remove_apply_line(text))


async def read_current(store):
    """Return ``Ok(Applied)``; version 0 and no text before the first."""
    got = await store.get(CONFIG_KIND, CONFIG_NAME)
    if got.is_ok():
        return Ok(parse_applied(got.unwrap()))
    if got.unwrap_err().code is Code.NOT_FOUND:
        return Ok(AppliedText(0, "", "", ""))
    return got


async def apply_text(
    store, text, base_version, note, retry_limit_s=DEFAULT_RETRY_LIMIT_S
):
    """Write ``text`` over ``base_version``.

    ``Ok(Applied)`` is committed. ``Err`` VERSION_CONFLICT: another change
    came first and nothing was written. ``Err`` PLATFORM_UNAVAILABLE with
    ``run`` unknown: still not settled after ``patience_s`` seconds.
    """
    apply_id = make_apply_id()
    value = add_apply_line(text, apply_id, note).encode()
    loop = asyncio.get_running_loop()
    end = loop.time() + retry_limit_s
    while True:
        written = await _write_once(store, value, base_version, apply_id)
        is_resolved = written.is_ok() or written.unwrap_err().code not in (
            Code.PLATFORM_UNAVAILABLE,
            Code.RATE_LIMITED,
        )
        if is_resolved or loop.time() + RETRY_INTERVAL_S > end:
            break
        await asyncio.sleep(RETRY_INTERVAL_S)
    if written.is_err():
        return written
    return Ok(AppliedText(written.unwrap(), apply_id, note, text))


async def read_history(store):
    """Return ``Ok`` all known texts, newest first, the one in force too."""
    current = await read_current(store)
    if current.is_err():
        return current
    listed = await store.list(HISTORY_KIND)
    if listed.is_err():
        return listed
    applied_by_version = {}
    for stored in listed.unwrap():
        if stored.name.isdigit():
            applied = parse_applied(stored)._replace(version=int(stored.name))
            applied_by_version[applied.version] = applied
    if current.unwrap().version:
        applied_by_version[current.unwrap().version] = current.unwrap()
    versions = sorted(applied_by_version, reverse=True)
    return Ok([applied_by_version[version] for version in versions])


async def remove_old_history(store):
    """Keep the newest texts; a failure only means that more are kept."""
    listed = await store.list(HISTORY_KIND)
    if listed.is_err():
        return
    oldest = sorted(listed.unwrap(), key=lambda stored: stored.name)
    for stored in oldest[:-MAX_HISTORY_TEXTS]:
        await store.delete(HISTORY_KIND, stored.name, stored.version)


async def _write_once(store, value, base_version, apply_id):
    kept = await _save_to_history(store, base_version)
    if kept.is_ok():
        kept = await store.put(CONFIG_KIND, CONFIG_NAME, value, base_version)
    if kept.is_err() and kept.unwrap_err().code is Code.VERSION_CONFLICT:
        return await _resolve_conflict(store, apply_id, kept)
    return kept


async def _save_to_history(store, base_version):
    # The text that is replaced goes into the history first: a client that
    # dies between the two writes has then lost nothing.
    if not base_version:
        return Ok(0)
    got = await store.get(CONFIG_KIND, CONFIG_NAME)
    if got.is_err():
        return got
    if got.unwrap().version != base_version:
        return Err(make_refusal(Code.VERSION_CONFLICT))
    name = f"{base_version:012d}"
    kept = await store.put(HISTORY_KIND, name, got.unwrap().value, 0)
    if kept.is_err() and kept.unwrap_err().code is Code.VERSION_CONFLICT:
        return Ok(0)
    return kept


async def _resolve_conflict(store, apply_id, conflict):
    history = await read_history(store)
    if history.is_err():
        return history
    for applied in history.unwrap():
        if applied.apply_id == apply_id:
            return Ok(applied.version)
    return conflict
