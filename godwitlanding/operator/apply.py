"""Applies configuration texts by conditional writes with safe retries.

A configuration is accepted when its write is committed in the platform. Each
write is conditional on the version on which it is based, so of two
concurrent changes one is rejected with VERSION_CONFLICT.

A write may take effect although its response is lost. Reporting a failure
would make the operator apply the text again, over later changes of other
operators; reporting success might be wrong. Therefore each stored text
carries a unique apply id, and a write with an unknown result is repeated. The
repeated write either succeeds or conflicts; a conflict is resolved by looking
for the id in the current text and in the history, to which each change saves
the text that it replaces.
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
# Interval of retries while the platform is unavailable: short compared with
# the time an operator waits, long compared with the few milliseconds that a
# call of the platform takes.
RETRY_INTERVAL_S = 0.5
DEFAULT_RETRY_LIMIT_S = 30.0
MAX_HISTORY_TEXTS = 100


class AppliedText(NamedTuple):
    """A stored configuration text; ``apply_id`` is empty if it has none."""

    version: int
    apply_id: str
    note: str
    text: str


def make_apply_id():
    """Return a new unique apply id."""
    return uuid.uuid4().hex


def add_apply_line(text, apply_id, note):
    """Return the text to store: one comment line, then the operator's text."""
    one_line_note = " ".join(note.split())
    return f"//apply: {apply_id} {one_line_note}\n{remove_apply_line(text)}"


def remove_apply_line(text):
    """Return the text without its apply line."""
    return _APPLY_LINE.sub("", text, count=1)


def parse_applied(stored):
    """Return the ``AppliedText`` of a stored configuration object."""
    text = stored.value.decode()
    match = _APPLY_LINE.match(text)
    apply_id = match.group(1) if match else ""
    note = match.group(0).strip()[len("//apply: ") + len(apply_id) :] if match else ""
    return AppliedText(stored.version, apply_id, note.strip(), remove_apply_line(text))


async def read_current(store):
    """Return ``Ok(AppliedText)``; version 0 if there is no configuration."""
    got = await store.get(CONFIG_KIND, CONFIG_NAME)
    if got.is_ok():
        return Ok(parse_applied(got.unwrap()))
    if got.unwrap_err().code is Code.NOT_FOUND:
        return Ok(AppliedText(0, "", "", ""))
    return got


async def apply_text(
    store, text, base_version, note, retry_limit_s=DEFAULT_RETRY_LIMIT_S
):
    """Replace version ``base_version`` by ``text``.

    Returns ``Ok(AppliedText)`` if the write is committed. ``Err``
    VERSION_CONFLICT: another change was committed before and nothing was
    written. ``Err`` PLATFORM_UNAVAILABLE with ``run`` unknown: the result is
    still unknown after ``retry_limit_s`` seconds.
    """
    apply_id = make_apply_id()
    value = add_apply_line(text, apply_id, note).encode()
    loop = asyncio.get_running_loop()
    deadline = loop.time() + retry_limit_s
    while True:
        written = await _write_once(store, value, base_version, apply_id)
        is_resolved = written.is_ok() or written.unwrap_err().code not in (
            Code.PLATFORM_UNAVAILABLE,
            Code.RATE_LIMITED,
        )
        if is_resolved or loop.time() + RETRY_INTERVAL_S > deadline:
            break
        await asyncio.sleep(RETRY_INTERVAL_S)
    if written.is_err():
        return written
    return Ok(AppliedText(written.unwrap(), apply_id, note, text))


async def read_history(store):
    """Return ``Ok`` with all texts, newest first, also the current one."""
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
    """Delete all but the newest texts; failures are ignored."""
    listed = await store.list(HISTORY_KIND)
    if listed.is_err():
        return
    oldest = sorted(listed.unwrap(), key=lambda stored: stored.name)
    for stored in oldest[:-MAX_HISTORY_TEXTS]:
        await store.delete(HISTORY_KIND, stored.name, stored.version)


async def _write_once(store, value, base_version, apply_id):
    written = await _save_to_history(store, base_version)
    if written.is_ok():
        written = await store.put(CONFIG_KIND, CONFIG_NAME, value, base_version)
    if written.is_err() and written.unwrap_err().code is Code.VERSION_CONFLICT:
        return await _resolve_conflict(store, apply_id, written)
    return written


async def _save_to_history(store, base_version):
    # The replaced text is saved before the new one is written, so that it is
    # not lost if this process ends between the two writes.
    if not base_version:
        return Ok(0)
    got = await store.get(CONFIG_KIND, CONFIG_NAME)
    if got.is_err():
        return got
    if got.unwrap().version != base_version:
        return Err(make_refusal(Code.VERSION_CONFLICT))
    name = f"{base_version:012d}"
    saved = await store.put(HISTORY_KIND, name, got.unwrap().value, 0)
    if saved.is_err() and saved.unwrap_err().code is Code.VERSION_CONFLICT:
        return Ok(0)
    return saved


async def _resolve_conflict(store, apply_id, conflict):
    history = await read_history(store)
    if history.is_err():
        return history
    for applied in history.unwrap():
        if applied.apply_id == apply_id:
            return Ok(applied.version)
    return conflict
