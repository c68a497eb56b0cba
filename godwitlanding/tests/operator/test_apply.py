"""Tests that a configuration is applied once despite failed writes."""

import asyncio

import pytest

from godwitlanding.base.codes import Code
from godwitlanding.operator.apply import apply_text, read_current, read_history
from godwitlanding.tests.support import FakeStore

pytestmark = pytest.mark.looptime


async def _apply(store, text, base=0, retry_limit_s=5.0):
    return await apply_text(store, text, base, "note", retry_limit_s)


async def test_applied_text_is_read_back_without_the_apply_line():
    store = FakeStore()
    applied = (await _apply(store, "{one: 1}")).unwrap()
    current = (await read_current(store)).unwrap()
    assert current == applied
    assert current.text == "{one: 1}"
    assert current.note == "note"


async def test_conflicting_apply_is_rejected_and_changes_nothing():
    """Two operators edit the same version and both apply their text.

    If the write were not conditional on its base version, the second would
    silently revert the change of the first.
    """
    store = FakeStore()
    base = (await _apply(store, "{}")).unwrap().version
    results = await asyncio.gather(
        _apply(store, "{a: 1}", base), _apply(store, "{b: 1}", base)
    )
    codes = [r.unwrap_err().code for r in results if r.is_err()]
    assert codes == [Code.VERSION_CONFLICT]
    winner = next(r.unwrap() for r in results if r.is_ok())
    assert (await read_current(store)).unwrap() == winner


@pytest.mark.parametrize("lost_answers", [1, 2, 3])
async def test_write_with_a_lost_response_is_resolved(lost_answers):
    """The platform commits the write, but the response is lost.

    The operator must be told that the change is accepted, with its actual
    version, and the history must contain it only once.
    """
    store = FakeStore()
    base = (await _apply(store, "{}")).unwrap()
    store.lost_answers = lost_answers
    applied = (await _apply(store, "{a: 1}", base.version)).unwrap()
    assert (await read_current(store)).unwrap() == applied
    history = (await read_history(store)).unwrap()
    assert [entry.text for entry in history] == ["{a: 1}", "{}"]


async def test_write_with_a_lost_response_is_resolved_after_another_change():
    """The response is lost, and a second operator changes the text at once.

    The repeated write of the first operator conflicts although its change was
    in force. The operator must not be told that nothing was written.
    """
    store = FakeStore()
    base = (await _apply(store, "{}")).unwrap()
    store.lost_answers = 2  # the write to the history and the write of the text

    async def apply_second_change():
        while (await read_current(store)).unwrap().text != "{a: 1}":
            await asyncio.sleep(0.01)
        replaced = (await read_current(store)).unwrap()
        return (await _apply(store, "{b: 1}", replaced.version)).unwrap()

    first, second = await asyncio.gather(
        _apply(store, "{a: 1}", base.version), apply_second_change()
    )
    assert first.unwrap().text == "{a: 1}"
    assert first.unwrap().version < second.version
    assert (await read_current(store)).unwrap() == second


@pytest.mark.parametrize(("outage_s", "accepted"), [(2.0, True), (60.0, False)])
async def test_apply_retries_during_an_outage_up_to_its_limit(outage_s, accepted):
    """The platform is unavailable when an operator applies a text.

    A short outage only delays the result. In a long one the result must be
    PLATFORM_UNAVAILABLE, never that the text was rejected.
    """
    store = FakeStore()
    store.set_available(False)
    loop = asyncio.get_running_loop()
    loop.call_later(outage_s, store.set_available, True)
    result = await _apply(store, "{a: 1}")
    assert result.is_ok() is accepted
    if not accepted:
        assert result.unwrap_err().code is Code.PLATFORM_UNAVAILABLE
