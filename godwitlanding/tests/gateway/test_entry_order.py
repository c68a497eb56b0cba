"""Entries of upstreams that arrive in another order than they were written."""

import asyncio
from typing import NamedTuple

import orjson
import pytest
from result import Ok

from godwitlanding.base.storetypes import (
    Snapshot,
    StoredObject,
    WatchBatch,
    WatchEvent,
    make_version,
)
from godwitlanding.gateway.changeset import ChangeSet
from godwitlanding.gateway.mirror import Mirror
from godwitlanding.gateway.valueorder import ACCEPT_AFTER_S
from godwitlanding.platform.objects import get_upstream_order
from godwitlanding.tests.gateway.test_mirror import ScriptedStore

pytestmark = pytest.mark.looptime

KIND = "servers"
NEXT_ERA = make_version(1, 0)


class Write(NamedTuple):
    """An entry as the store has it; ``None`` as state: it was removed."""

    version: int
    created: int
    seq: object
    state: str | None = "ready"
    born: int | None = None

    def store(self):
        value = {"seq": self.seq, "state": self.state}
        if self.born is not None:
            value["born"] = self.born
        return StoredObject(KIND, "u", self.version, orjson.dumps(value), self.created)


HELD = Write(10, 5, 41, "draining", 100)
LATE = Write(12, 5, 38, "ready", 100)
# What follows the entry above, and the state that is held in the end.
SEQUENCES = [
    pytest.param([LATE], "draining", id="delayed write"),
    pytest.param([LATE, Write(13, 5, 39, "ready", 100)], "draining", id="two"),
    pytest.param([LATE, Write(13, 5, 42, "x", 100)], "x", id="next write"),
    pytest.param([Write(12, 5, 41, "x", 100)], "x", id="same number"),
    pytest.param([Write(12, 5, 1, "ready", 200)], "ready", id="later start"),
    pytest.param([Write(12, 5, 90, "ready", 50)], "draining", id="earlier start"),
    pytest.param([Write(12, 11, 1, "ready", 100)], "ready", id="created again"),
    pytest.param([Write(12, 11, 1, "ready", 50)], "ready", id="clock was reset"),
    pytest.param([Write(12, 5, "x", "odd", 100)], "odd", id="no number"),
    pytest.param(
        [LATE, Write(13, 5, 0, None), Write(14, 14, 1, "ready", 100)],
        "ready",
        id="removed and created again",
    ),
    pytest.param(
        [Write(11, 5, 0, None), Write(14, 14, 42, "ready", 100)],
        "ready",
        id="expired and written again",
    ),
    pytest.param(
        [Write(NEXT_ERA + 6, NEXT_ERA + 5, 30, "ready", 100)],
        "ready",
        id="restored store",
    ),
]


class Setting:
    """A mirror of upstreams' entries and what it has applied."""

    def __init__(self, *steps):
        self.applied = []
        self.refused = []
        self.mirror = Mirror(
            ScriptedStore(*steps),
            KIND,
            lambda name, version, value: self.applied.append(value),
            get_entry_order=get_upstream_order,
        )
        self.mirror.on_refused.append(self.refused.append)

    def change(self, *writes):
        """Apply one change set for each write."""
        for write in writes:
            version, is_gone = write.version, write.state is None
            objects = () if is_gone else (write.store(),)
            removed = ("u",) if is_gone else ()
            self.mirror.apply_change_set(ChangeSet(version, version, objects, removed))

    @property
    def held_state(self):
        (held,) = self.mirror.get_objects()
        return orjson.loads(held.value)["state"]

    @property
    def applied_state(self):
        return orjson.loads(self.applied[-1])["state"]


def make_steps(writes, is_batch):
    first, *others = writes
    steps = [("snapshot", Ok(Snapshot(first.version, (first.store(),))))]
    events = [WatchEvent(write.store(), write.state is None) for write in others]
    batches = [events] if is_batch else [[event] for event in events]
    for batch in batches:
        version = batch[-1].stored.version
        steps.append(("watch", Ok(WatchBatch(version, tuple(batch)))))
    return steps


async def play(way, writes):
    """Return a ``Setting`` that has received the writes in one of the ways."""
    if way == "feed":
        setting = Setting()
        setting.change(*writes)
        return setting
    setting = Setting(*make_steps(writes, way == "batch"))
    setting.mirror.follow()
    await asyncio.sleep(1.5)
    return setting


@pytest.mark.parametrize(("writes", "state"), SEQUENCES)
@pytest.mark.parametrize("way", ["feed", "watch", "batch"])
async def test_older_entry_does_not_replace_a_newer_one(way, writes, state):
    # Guards against a delayed heartbeat that takes a leaving upstream back
    # into use, and against a new start that is taken for a delayed heartbeat.
    setting = await play(way, [HELD, *writes])
    assert setting.held_state == setting.applied_state == state
    # Later changes of the entry are still received.
    assert setting.mirror.revision == writes[-1].version
    await setting.mirror.stop()


async def test_older_entry_of_a_list_does_not_replace_a_newer_one():
    setting = Setting(("snapshot", Ok(Snapshot(12, (LATE.store(),)))))
    setting.change(HELD)
    setting.mirror.follow()
    await asyncio.sleep(0.1)
    assert setting.held_state == "draining"
    assert setting.refused == ["u"]
    await setting.mirror.stop()


async def test_other_vms_receive_the_newer_entry():
    # Guards against a VM that follows this one and gets the older entry only.
    setting = Setting()
    passed_on = []
    setting.mirror.on_change.append(lambda _, changes: passed_on.append(changes))
    setting.change(HELD, LATE)
    follower = Setting()
    follower.change(LATE)
    follower.mirror.apply_change_set(passed_on[-1])
    assert follower.applied_state == "draining"
    assert setting.mirror.make_full_change_set().objects[0].version == 12


@pytest.mark.parametrize("way", ["feed", "watch", "batch"])
async def test_delayed_write_does_not_bring_a_removed_entry_back(way):
    # Guards against requests to an upstream whose entry has been removed.
    writes = [Write(11, 5, 0, None), Write(14, 14, 38, "ready", 100)]
    setting = await play(way, [HELD, *writes])
    assert setting.applied[-1] is None
    # It is believed with its next write, or after some time.
    await asyncio.sleep(ACCEPT_AFTER_S + 0.5)
    assert setting.applied_state == "ready"
    await setting.mirror.stop()


@pytest.mark.parametrize("outage_s", [0.0, 30.0])
async def test_entry_that_stays_in_the_store_is_accepted(outage_s):
    # Guards against an upstream that is never used again because it counts
    # anew under the same entry, or because another writer wrote a high number.
    setting = Setting()
    follower = Setting()
    setting.mirror.on_change.append(
        lambda _, changes: follower.mirror.apply_change_set(changes)
    )
    setting.change(Write(10, 5, 10**9, "draining"), Write(12, 5, 1))
    setting.mirror.is_current = follower.mirror.is_current = lambda: False
    await asyncio.sleep(outage_s)
    assert setting.applied_state == "draining"
    setting.mirror.is_current = follower.mirror.is_current = lambda: True
    await asyncio.sleep(ACCEPT_AFTER_S + 1.5)
    for each in (setting, follower):
        # It is removed first, since it is another start of the upstream.
        assert each.applied[-2] is None
        assert each.applied_state == each.held_state == "ready"
    setting.change(Write(14, 5, 2, "x"))
    assert setting.applied_state == follower.applied_state == "x"
    setting.change(Write(15, 5, 1, "late"))
    assert setting.applied_state == follower.applied_state == "x"
    for each in (setting, follower):
        await each.mirror.stop()


@pytest.mark.parametrize(
    ("value", "order"),
    [
        (b'{"seq":7}', (0, 7)),
        (b'{"seq":7,"born":9}', (9, 7)),
        (b'{"seq":true}', None),
        (b'{"seq":"7"}', None),
        (b'{"seq":7,"born":"9"}', None),
        (b"{}", None),
        (b"[]", None),
        (b"null", None),
        (b"", None),
    ],
)
def test_order_of_an_entry(value, order):
    assert get_upstream_order(value) == order
