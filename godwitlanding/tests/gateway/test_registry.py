"""Tests of upstreams that restart or announce that they are leaving."""

import asyncio

import pytest

from godwitlanding.gateway.registry import (
    MAX_ENTRY_DELAY_S,
    RECREATION_KNOWN_S,
    Registry,
    Upstream,
)

pytestmark = pytest.mark.looptime


def make_upstream(born_ms, cold_s=0.0, leaving=False):
    return Upstream("u", "s", ("127.0.0.1", 1), "a1", 3, leaving, cold_s, born_ms)


def make_registry(*upstreams):
    registry = Registry({"a1": "a"})
    gone = []
    registry.on_upstream_gone.append(gone.append)
    for upstream in upstreams:
        registry.put_upstream(upstream)
    return registry, gone


def get_cold_left_s(registry):
    return registry.get_cold_left_s("u", asyncio.get_running_loop().time())


async def test_restarted_upstream_is_reported_as_gone():
    # An upstream crashes and restarts before its entry expires, so the entry
    # never disappears. It is cold and knows no object. With the state from
    # before the restart it would be sent its full load and crash again.
    registry, gone = make_registry(make_upstream(100), make_upstream(200, 3.0))
    assert gone == ["u"]
    assert get_cold_left_s(registry) == pytest.approx(3.0)
    assert registry.get_usable_ids("s", "a") == ("u",)


async def test_leaving_upstream_is_usable_after_a_restart():
    registry, _ = make_registry(make_upstream(100, leaving=True), make_upstream(200))
    assert registry.get_usable_ids("s", "a") == ("u",)


async def test_delayed_write_from_before_a_restart_is_ignored():
    # The store applies a write seconds after it was sent, when the upstream
    # has restarted. Applied, it would take the restarted upstream out of use.
    registry, gone = make_registry(make_upstream(200), make_upstream(100, leaving=True))
    assert gone == []
    assert registry.get_usable_ids("s", "a") == ("u",)


@pytest.mark.parametrize("born_ms", [0, 100])
async def test_heartbeat_of_the_same_incarnation_changes_nothing(born_ms):
    upstream = make_upstream(born_ms)
    _, gone = make_registry(upstream, upstream)
    assert gone == []


async def test_upstream_reached_again_is_cold_until_its_next_entry():
    # An unreachable upstream accepts a connection again. It may have
    # restarted, and the entry that says so has not arrived yet.
    registry, _ = make_registry(make_upstream(100))
    now = asyncio.get_running_loop().time()
    registry.note_reached_again("u", now)
    assert get_cold_left_s(registry) == pytest.approx(MAX_ENTRY_DELAY_S)
    registry.put_upstream(make_upstream(100))
    assert get_cold_left_s(registry) == 0.0


async def test_each_start_of_an_upstream_has_its_own_incarnation():
    # One request crashes the same upstream twice. Counted by id alone, that
    # would be one crash, and the request would be sent to the next upstream.
    first, second = make_upstream(100), make_upstream(200)
    assert first.incarnation != second.incarnation


@pytest.mark.parametrize(
    "entries",
    [
        pytest.param([], id="unchanged entry"),
        pytest.param([make_upstream(100)], id="older entry is read again"),
        pytest.param([None, make_upstream(100)], id="entry expires and reappears"),
        pytest.param([make_upstream(50)], id="entry of an earlier start"),
    ],
)
async def test_leaving_upstream_is_unusable_whatever_its_entries_say(entries):
    # Guards against trusting entries that are older than the upstream's
    # response.
    registry, gone = make_registry(make_upstream(100))
    registry.note_leaving("u")
    assert gone == ["u"]
    for entry in entries:
        if entry:
            registry.put_upstream(entry)
        else:
            registry.remove_upstream("u")
    assert registry.get_usable_ids("s", "a") == ()
    # After a restart it is usable again.
    registry.put_upstream(make_upstream(200))
    assert registry.get_usable_ids("s", "a") == ("u",)
    assert registry.get_leaving_numbers() == ()


@pytest.mark.parametrize("is_gone", [False, True])
async def test_leaving_upstream_stays_unusable_after_a_store_restore(is_gone):
    registry, _ = make_registry(make_upstream(100, leaving=True))
    if is_gone:
        registry.remove_upstream("u")
    registry.note_restored()
    registry.put_upstream(make_upstream(100))
    assert registry.get_usable_ids("s", "a") == ()
    # A VM that has just started sees only the restored entry.
    assert registry.get_leaving_numbers() == (registry.number_by_id["u"],)


@pytest.mark.parametrize("is_restored", [False, True])
async def test_upstream_that_is_registered_again_is_usable(is_restored):
    # Guards against an upstream that is never used again because an earlier
    # start of the same id has left. A restored entry is that earlier start's.
    registry, _ = make_registry(make_upstream(0, leaving=True))
    registry.remove_upstream("u")
    if is_restored:
        registry.note_restored()
    registry.put_upstream(make_upstream(0))
    assert registry.get_usable_ids("s", "a") == (() if is_restored else ("u",))


async def test_late_report_of_another_vm_does_not_concern_the_next_start():
    # Guards against an upstream that is never used again because a VM that
    # does not know of its new entry yet reports that it is leaving.
    registry, _ = make_registry(make_upstream(0, leaving=True))
    registry.remove_upstream("u")
    registry.put_upstream(make_upstream(0))
    registry.note_leaving("u", "vm-2")
    assert registry.get_usable_ids("s", "a") == ("u",)
    # The upstream itself is believed at once, and other VMs later.
    await asyncio.sleep(RECREATION_KNOWN_S)
    registry.note_leaving("u", "vm-2")
    assert registry.get_usable_ids("s", "a") == ()


async def test_leaving_is_reported_while_the_store_has_an_older_entry():
    # Guards against a VM that starts and reads the older entry only.
    registry, _ = make_registry(make_upstream(0, leaving=True))
    registry.note_older_entry("u")
    assert registry.get_leaving_numbers() == (registry.number_by_id["u"],)
    registry.put_upstream(make_upstream(0, leaving=True))
    assert registry.get_leaving_numbers() == ()
    registry.note_older_entry("unknown")


async def test_leaving_is_reported_while_entries_do_not_say_so():
    registry, _ = make_registry(make_upstream(100))
    registry.note_leaving("u")
    number = registry.number_by_id["u"]
    assert registry.get_leaving_numbers() == (number,)
    registry.put_upstream(make_upstream(100, leaving=True))
    assert registry.get_leaving_numbers() == ()
    registry.put_upstream(make_upstream(100))
    assert registry.get_leaving_numbers() == (number,)
    registry.remove_upstream("u")
    assert registry.get_leaving_numbers() == ()


async def test_unknown_leaving_upstream_is_ignored():
    registry, _ = make_registry()
    registry.note_leaving("u")
    registry.note_leaving(None)
    assert registry.get_leaving_numbers() == ()
