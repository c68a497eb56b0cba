"""Which grants an entry process may use."""

import asyncio

import pytest

from godwitlanding.base.messages import Granted, HeldPermit, Holdings
from godwitlanding.daemons.holdings import EXPIRED, STALE, HeldPermits
from godwitlanding.tests.daemons.support_entry import (
    ADDRESS,
    Bench,
    answer_hello,
    wait_until,
)
from godwitlanding.tests.daemons.test_entry import fetch

GRANT = Granted(7, "u1", "127.0.30.9:80", 5.0, "old", 0.1)


def make_book(*permits):
    book = HeldPermits(0.5)
    for granted in permits:
        book.accept(granted, 0.0, "a:1", 0.2).unwrap()
    return book


@pytest.mark.parametrize(
    ("heeded", "upstreams", "now", "error"),
    [
        ("", (), 0.2, None),
        ("old", ("u1",), 0.2, None),
        ("new", ("u2",), 0.2, None),
        ("new", ("u1",), 0.2, STALE),
        ("", (), 0.7, EXPIRED),
        ("", (), 5.0, EXPIRED),
    ],
)
def test_grant_is_used_only_when_it_is_current(current_arbiter, upstreams, now, error):
    """A new arbiter has asked for the open permits while a grant of the
    former one is still under way, or the grant comes very late.

    Using it would put one request more on the upstream than it has slots.
    """
    book = make_book()
    if current_arbiter:
        book.answer(Holdings(current_arbiter, "status", upstreams), 0.1)
    accepted = book.accept(GRANT, 0.0, "a:1", now)
    assert accepted.err() == error


@pytest.mark.parametrize(
    ("now", "may"), [(0.2, True), (0.6, True), (0.61, False), (6.0, False)]
)
def test_permit_is_checked_again_before_dispatch(now, may):
    """The process is paused between the grant and the dispatch.

    By the time it goes on, the slot may be another request's.
    """
    book = make_book()
    permit = book.accept(GRANT, 0.0, "a:1", 0.2).unwrap()
    assert book.may_dispatch(permit, now) is may


def test_open_permits_are_reported_and_stay_usable():
    book = make_book(GRANT, GRANT._replace(permit_id=8, upstream="u2"))
    held = book.answer(Holdings("new", "status", ("u1",)), 1.0)
    assert held.permits == (HeldPermit(7, "u1", 4.0),)
    ended = book.answer(Holdings("new", "status", ("u1",)), 5.0)
    assert ended.permits == ()


async def test_grant_for_a_disconnected_caller_is_released():
    """The caller goes while the arbiter's grant is already under way.

    Its slot would stand idle until the permit expires.
    """
    async with Bench(ADDRESS, [answer_hello]) as bench:

        async def grant_late():
            await wait_until(lambda: bench.zone.withdrawn)
            return bench.zone.grant()

        bench.zone.answer = lambda asked: grant_late()
        task = asyncio.ensure_future(fetch(bench))
        await wait_until(lambda: bench.zone.asked)
        task.cancel()
        await wait_until(lambda: bench.zone.released)
        assert bench.zone.released[0].outcome == "unused"
        assert not bench.upstreams[0].heads


async def test_request_moves_from_a_silent_arbiter_to_its_replacement():
    """The arbiter is paused with requests in its queue and is replaced.

    Its callers would otherwise wait until their deadlines for nothing.
    """
    async with Bench(ADDRESS, [answer_hello]) as bench:

        async def stay_silent():
            await asyncio.sleep(60)

        bench.zone.answer = lambda asked: stay_silent()
        task = asyncio.ensure_future(fetch(bench))
        await wait_until(lambda: bench.zone.asked)
        bench.zone.answer = None
        members = bench.kernel.get("feed").view.get_members()
        row = members[0]._asdict()
        other = {**row, "vm": "za2"}
        arbiters = {"status": ["za2", "za1"]}
        body = {"members": [row, other], "arbiters_by_service": arbiters}
        bench.zone.push("members", "za", body)
        assert (await task)[0] == 200
