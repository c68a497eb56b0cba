"""Tests which grants an entry process may use."""

import asyncio

import pytest

from godwitlanding.base.messages import Granted, HeldPermit, Holdings
from godwitlanding.daemons.holdings import EXPIRED, STALE, HeldPermits
from godwitlanding.tests.daemons.support_entry import (
    ADDRESS,
    EntryHarness,
    respond_hello,
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
    ("current_arbiter", "upstreams", "now", "error"),
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
    """A grant arrives late, or after a new arbiter collected open permits.

    If a stale or late grant were used, the upstream would run one request
    more than it has slots.
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

    When it resumes, the slot may have been granted to another request.
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
    """The caller disconnects while the arbiter's grant is in transit.

    If the grant were not released, its slot would be idle until the permit
    expires.
    """
    async with EntryHarness(ADDRESS, [respond_hello]) as harness:

        async def grant_late():
            await wait_until(lambda: harness.zone.withdrawn)
            return harness.zone.grant()

        harness.zone.answer = lambda asked: grant_late()
        task = asyncio.ensure_future(fetch(harness))
        await wait_until(lambda: harness.zone.asked)
        task.cancel()
        await wait_until(lambda: harness.zone.released)
        assert harness.zone.released[0].outcome == "unused"
        assert not harness.upstreams[0].heads


async def test_request_moves_from_a_silent_arbiter_to_its_replacement():
    """The arbiter is paused with queued requests and is replaced.

    If the requests did not move to the new arbiter, their callers would
    wait until their deadlines.
    """
    async with EntryHarness(ADDRESS, [respond_hello]) as harness:

        async def stay_silent():
            await asyncio.sleep(60)

        harness.zone.answer = lambda asked: stay_silent()
        task = asyncio.ensure_future(fetch(harness))
        await wait_until(lambda: harness.zone.asked)
        harness.zone.answer = None
        members = harness.kernel.get("feed").view.get_members()
        row = members[0]._asdict()
        other = {**row, "vm": "za2"}
        arbiters = {"status": ["za2", "za1"]}
        body = {"members": [row, other], "arbiters_by_service": arbiters}
        harness.zone.push("members", "za", body)
        assert (await task)[0] == 200
