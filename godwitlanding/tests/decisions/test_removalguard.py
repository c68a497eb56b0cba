"""Which entries that vanish or return are believed, and when."""

import pytest

from godwitlanding.decisions.removalguard import (
    GONE_MEMORY_S,
    REWRITE_WITHIN_S,
    STALE_ENTRY_TTL_S,
    RemovalGuard,
)


@pytest.mark.parametrize(
    ("expires", "lost_s", "is_restored", "is_held"),
    [
        pytest.param(True, 0.5, False, False, id="short outage"),
        pytest.param(True, 2.0, False, True, id="outage in which entries lapse"),
        pytest.param(False, 2.0, False, False, id="outage, nothing lapses"),
        pytest.param(True, 0.5, True, True, id="older copy after a short outage"),
        pytest.param(False, 0.5, True, True, id="older copy, nothing lapses"),
    ],
)
def test_removal_is_held_while_its_writer_may_not_have_written_again(
    expires, lost_s, is_restored, is_held
):
    guard = RemovalGuard(expires)
    guard.note_store_lost(10.0)
    now = 10.0 + lost_s
    guard.note_store_answer(now)
    if is_restored:
        guard.note_restored(now)
    assert guard.remove("a", now) is not is_held
    assert guard.take_due_removals(now + REWRITE_WITHIN_S) == (["a"] if is_held else [])


@pytest.mark.parametrize(
    ("expires", "gone_s", "waited_s", "is_doubted"),
    [
        pytest.param(True, 3.0, 0.0, True, id="gone before the copy came back"),
        pytest.param(True, 3.0, STALE_ENTRY_TTL_S, False, id="still listed later"),
        pytest.param(False, 3.0, 0.0, False, id="does not expire"),
        pytest.param(True, None, 0.0, False, id="was never gone"),
    ],
)
def test_entry_that_a_copy_has_brought_back_is_doubted_until_it_would_expire(
    expires, gone_s, waited_s, is_doubted
):
    guard = RemovalGuard(expires)
    if gone_s is not None:
        guard.note_removed("a", 100.0 - gone_s)
    assert not guard.is_reappearance_suspect("a", 100.0)
    guard.note_restored(100.0)
    assert guard.is_reappearance_suspect("a", 100.0 + waited_s) is is_doubted


def test_what_is_gone_for_long_is_forgotten():
    guard = RemovalGuard()
    guard.note_removed("a", 0.0)
    guard.note_removed("b", GONE_MEMORY_S + 1.0)
    guard.note_restored(GONE_MEMORY_S + 1.0)
    assert not guard.is_reappearance_suspect("a", GONE_MEMORY_S + 1.0)
    assert guard.is_reappearance_suspect("b", GONE_MEMORY_S + 1.0)
