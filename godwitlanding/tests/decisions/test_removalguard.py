"""Tests when the removal or reappearance of an entry is held back."""

import pytest

from godwitlanding.decisions.removalguard import (
    REMOVED_MEMORY_S,
    REWRITE_WITHIN_S,
    STALE_ENTRY_TTL_S,
    RemovalGuard,
)


@pytest.mark.parametrize(
    ("expires", "outage_s", "is_restored", "is_held"),
    [
        pytest.param(True, 0.5, False, False, id="short outage"),
        pytest.param(True, 2.0, False, True, id="outage in which entries expire"),
        pytest.param(False, 2.0, False, False, id="outage, no expiry"),
        pytest.param(True, 0.5, True, True, id="older copy after a short outage"),
        pytest.param(False, 0.5, True, True, id="older copy, no expiry"),
    ],
)
def test_removal_is_held_until_its_writer_can_have_written_again(
    expires, outage_s, is_restored, is_held
):
    guard = RemovalGuard(expires)
    guard.note_store_lost(10.0)
    now = 10.0 + outage_s
    guard.note_store_response(now)
    if is_restored:
        guard.note_restored(now)
    assert guard.remove("a", now) is not is_held
    assert guard.take_due_removals(now + REWRITE_WITHIN_S) == (["a"] if is_held else [])


@pytest.mark.parametrize(
    ("expires", "removed_before_s", "waited_s", "is_suspect"),
    [
        pytest.param(True, 3.0, 0.0, True, id="removed before the restore"),
        pytest.param(True, 3.0, STALE_ENTRY_TTL_S, False, id="still listed later"),
        pytest.param(False, 3.0, 0.0, False, id="does not expire"),
        pytest.param(True, None, 0.0, False, id="never removed"),
    ],
)
def test_entry_restored_from_a_copy_is_suspect_until_it_would_expire(
    expires, removed_before_s, waited_s, is_suspect
):
    guard = RemovalGuard(expires)
    if removed_before_s is not None:
        guard.note_removed("a", 100.0 - removed_before_s)
    assert not guard.is_reappearance_suspect("a", 100.0)
    guard.note_restored(100.0)
    assert guard.is_reappearance_suspect("a", 100.0 + waited_s) is is_suspect


def test_old_removals_are_forgotten():
    guard = RemovalGuard()
    guard.note_removed("a", 0.0)
    guard.note_removed("b", REMOVED_MEMORY_S + 1.0)
    guard.note_restored(REMOVED_MEMORY_S + 1.0)
    assert not guard.is_reappearance_suspect("a", REMOVED_MEMORY_S + 1.0)
    assert guard.is_reappearance_suspect("b", REMOVED_MEMORY_S + 1.0)
