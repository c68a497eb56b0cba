"""Tests that non-idempotent requests run at most once under failures."""

import asyncio
import contextlib
import time

import pytest

from godwitlanding.base.messages import Refused
from godwitlanding.daemons.services import claims
from godwitlanding.daemons.services.idempotencykeys import CLAIM_KIND
from godwitlanding.daemons.services.journal import JOURNAL_KIND
from godwitlanding.daemons.ticket import JOURNALED, MEMORY_ONLY, Ticket, issue_ticket
from godwitlanding.tests.daemons.support_entry import (
    ADDRESS,
    KEY,
    SECOND_ADDRESS,
    EntryHarness,
    make_members,
    make_raw_response,
    wait_until,
)
from godwitlanding.tests.daemons.test_entry import fetch
from godwitlanding.tests.daemons.test_journal import run_until
from godwitlanding.tests.daemons.test_requestexecutor import crash, make_refusing_script
from godwitlanding.tests.support import FakeStore


async def pay(writer, head, body):
    """Respond to a payment."""
    line = "Content-Type: text/plain"
    writer.write(make_raw_response(head, b"paid", line, status="201 Created"))


async def pay_slowly(writer, head, body):
    """Respond to a payment after 0.3 seconds."""
    await asyncio.sleep(0.3)
    await pay(writer, head, body)


def make_ticket(harness, nonce="n1", kind=JOURNALED, vm=None, incarnation=None):
    home = incarnation or harness.context.incarnation
    ticket = Ticket(
        "pay", kind, vm or harness.context.vm, home, int(time.time()), nonce
    )
    return issue_ticket(KEY, ticket)


async def submit(harness, ticket, body=b"10 zl", path="/s/pay/renew"):
    """Submit a request; return its response, or the code of a refusal."""
    headers = {"Idempotency-Key": ticket}
    status, headers, text = await fetch(
        harness, path, "POST", data=body, headers=headers
    )
    code = headers.get("Godwit-Refused")
    return (int(code), headers["Godwit-Run"]) if code else (status, text)


def count_runs(harness):
    return sum(len(upstream.heads) for upstream in harness.upstreams)


async def test_second_submission_gets_the_recorded_response():
    async with EntryHarness(ADDRESS, [pay]) as harness:
        ticket = make_ticket(harness)
        assert await submit(harness, ticket) == (201, b"paid")
        assert await submit(harness, ticket) == (201, b"paid")
        assert await submit(harness, ticket, b"20 zl") == (1006, "no")
        assert count_runs(harness) == 1


async def test_concurrent_submissions_run_once():
    """A caller submits one ticket several times before any response."""
    async with EntryHarness(ADDRESS, [pay_slowly] * 3) as harness:
        ticket = make_ticket(harness)
        answers = await asyncio.gather(*(submit(harness, ticket) for _ in range(5)))
        assert sorted(answers)[0] == (201, b"paid")
        assert sorted(answers)[1:] == [(4001, "unknown")] * 4
        assert count_runs(harness) == 1


@pytest.mark.parametrize(
    ("key", "code"),
    [("", 1004), ("gwt1.forged", 1005), ("x" * 300, 1002)],
)
async def test_request_without_a_valid_key_is_refused(key, code):
    async with EntryHarness(ADDRESS, [pay]) as harness:
        assert await submit(harness, key) == (code, "no")
        assert count_runs(harness) == 0


@pytest.mark.parametrize("kind", [JOURNALED, MEMORY_ONLY])
async def test_crash_of_the_upstream_leaves_the_outcome_unknown(kind):
    """The upstream crashes during a payment; the caller submits it again.

    The payment may have run, so it must not go to another upstream.
    """
    async with EntryHarness(ADDRESS, [crash, pay]) as harness:
        ticket = make_ticket(harness, kind=kind)
        assert await submit(harness, ticket) == (3001, "unknown")
        assert await submit(harness, ticket) == (4002, "unknown")
        assert count_runs(harness) == 1


@pytest.mark.parametrize("reason", ["shed", "draining"])
async def test_request_refused_by_an_upstream_runs_at_another(reason):
    async with EntryHarness(ADDRESS, [make_refusing_script(reason), pay]) as harness:
        assert await submit(harness, make_ticket(harness)) == (201, b"paid")


async def test_request_refused_by_the_arbiter_may_run_later():
    """The zone is full at the first submission but not at the second."""
    async with EntryHarness(ADDRESS, [pay]) as harness:
        ticket = make_ticket(harness)
        harness.zone.answer = lambda asked: Refused(2001, 1.0)
        assert await submit(harness, ticket) == (2001, "no")
        harness.zone.answer = None
        assert await submit(harness, ticket) == (201, b"paid")


async def test_outcome_is_kept_after_the_caller_disconnects():
    """The caller's connection breaks while the payment runs.

    The payment was sent, so it is completed; the next submission gets its
    recorded response.
    """
    async with EntryHarness(ADDRESS, [pay_slowly]) as harness:
        ticket = make_ticket(harness)
        first = asyncio.ensure_future(submit(harness, ticket))
        await wait_until(lambda: count_runs(harness))
        first.cancel()
        await wait_until(lambda: harness.zone.released)
        assert await submit(harness, ticket) == (201, b"paid")
        assert count_runs(harness) == 1


async def test_request_is_withdrawn_if_the_caller_disconnects_before_dispatch():
    async with EntryHarness(ADDRESS, [pay]) as harness:
        ticket = make_ticket(harness)
        harness.zone.answer = lambda asked: asyncio.sleep(60)
        first = asyncio.ensure_future(submit(harness, ticket))
        await wait_until(lambda: harness.zone.asked)
        first.cancel()
        await wait_until(lambda: harness.zone.withdrawn)
        harness.zone.answer = None
        assert await submit(harness, ticket) == (201, b"paid")
        assert count_runs(harness) == 1


async def test_outage_of_the_platform():
    """The platform has an outage and recovers between three submissions.

    Without a recorded claim the request is refused as not run. A ticket that
    is issued during the outage is kept in memory only, and runs.
    """
    async with EntryHarness(ADDRESS, [pay]) as harness:
        harness.store.set_available(False)
        ticket = make_ticket(harness)
        assert await submit(harness, ticket) == (4003, "no")
        memory_only = make_ticket(harness, "n2", MEMORY_ONLY)
        assert await submit(harness, memory_only) == (201, b"paid")
        assert count_runs(harness) == 1
        harness.store.set_available(True)
        writer = harness.kernel.get("journal")
        await wait_until(lambda: not writer.journal.has_unresolved_writes)
        assert await submit(harness, ticket) == (201, b"paid")
        assert count_runs(harness) == 2


async def test_outcome_is_written_after_an_outage_without_another_submission():
    """The platform is down between the claim and the outcome of a payment.

    If the outcome was written only with the next payment, replacing the home
    before that would leave the outcome unknown.
    """
    async with EntryHarness(ADDRESS, [pay]) as harness:
        assert await submit(harness, make_ticket(harness)) == (201, b"paid")
        harness.store.set_available(False)
        await wait_until(lambda: harness.store.writes > 1)
        harness.store.set_available(True)
        name = harness.context.incarnation
        await wait_until(lambda: '"done"' in read_object(harness, JOURNAL_KIND, name))


def read_object(harness, kind, name):
    return harness.store.objects.get(kind, name).unwrap().value.decode()


async def test_claim_with_a_lost_write_response_runs_once():
    """The platform records the claim but its response is lost."""
    async with EntryHarness(ADDRESS, [pay]) as harness:
        harness.store.lost_answers = 1
        ticket = make_ticket(harness)
        assert await submit(harness, ticket) == (201, b"paid")
        assert await submit(harness, ticket) == (201, b"paid")
        assert count_runs(harness) == 1


@pytest.mark.parametrize(
    ("step", "expected", "runs"),
    [
        ("submitted", (201, b"paid"), 1),
        ("answer lost", (4002, "unknown"), 0),
        ("claimed", (4002, "unknown"), 0),
        ("done, not written", (4002, "unknown"), 0),
        ("done", (201, b"paid"), 0),
        ("unknown", (4002, "unknown"), 0),
    ],
)
@pytest.mark.parametrize("lost_answers", [0, 1])
async def test_submission_after_the_home_is_gone(
    step, expected, runs, lost_answers, monkeypatch
):
    """A home is killed during a payment and its VM is removed from the list.

    The caller submits again at another VM, which replaces the home, even if
    the response to its write that closes the journal is lost.
    """
    # The fingerprint that ``run_to`` uses.
    monkeypatch.setattr(claims, "compute_body_fingerprint", lambda request: 7)
    async with EntryHarness(ADDRESS, [pay]) as harness:
        _, platform = run_until(step)
        if platform.stored:
            stored = platform.stored
            await harness.store.put(JOURNAL_KIND, "h0", stored.value, 0)
        harness.store.lost_answers = lost_answers
        ticket = make_ticket(harness, "n1", vm="za9", incarnation="h0")
        assert await submit(harness, ticket) == expected
        assert await submit(harness, ticket) == expected
        assert count_runs(harness) == runs


@contextlib.asynccontextmanager
async def start_two_processes(scripts):
    """Start two entry processes of one zone that list each other."""
    store = FakeStore()
    async with EntryHarness(ADDRESS, scripts, store) as first:
        async with EntryHarness(SECOND_ADDRESS, [], store, vm="za2") as second:
            second.zone.upstreams = first.zone.upstreams
            rows = [
                (harness.context.vm, harness.address, harness.context.incarnation)
                for harness in (first, second)
            ]
            # Each requests permits from its own fake arbiter.
            for harness, own_first in ((first, rows), (second, rows[::-1])):
                harness.zone.push("members", "za", make_members(*own_first))
                feed = harness.kernel.get("feed")
                await wait_until(lambda feed=feed: len(feed.view.get_members()) == 2)
            yield first, second


async def test_submission_at_another_vm_is_forwarded_to_the_home():
    async with start_two_processes([pay]) as (first, second):
        ticket = make_ticket(first)
        assert await submit(second, ticket) == (201, b"paid")
        assert await submit(first, ticket) == (201, b"paid")
        assert await submit(second, ticket) == (201, b"paid")
        assert count_runs(first) == 1
        assert not second.zone.asked


async def test_replaced_home_runs_none_of_its_tickets():
    """A home is paused, replaced, and then resumes.

    It may complete what it had claimed; its replacement runs all else.
    """
    async with start_two_processes([pay] * 3) as (first, second):
        done, late = make_ticket(first, "n1"), make_ticket(first, "n2")
        assert await submit(first, done) == (201, b"paid")
        incarnation = first.context.incarnation
        closing = await second.kernel.get("journal").close(incarnation)
        assert closing.unwrap().closed_by.vm == "za2"
        assert await submit(first, late) == (4003, "no")
        assert await submit(first, late) == (201, b"paid")
        assert (len(first.zone.asked), len(second.zone.asked)) == (2, 1)
        assert await submit(second, late) == (201, b"paid")
        # The home still has the outcome, which was not written in time.
        assert await submit(first, done) == (201, b"paid")
        assert count_runs(first) == 2


async def test_home_that_stopped_recently_is_not_replaced():
    """The home does not respond, but the zone still lists it as alive.

    Replacing it at once would fence a home that is merely restarting.
    """
    async with start_two_processes([pay]) as (first, second):
        ticket = make_ticket(first)
        await first.kernel.stop()
        assert await submit(second, ticket) == (4004, "unknown")
        row = ("za2", second.address, second.context.incarnation)
        second.zone.push("members", "za", make_members(row))
        feed = second.kernel.get("feed")
        await wait_until(lambda: len(feed.view.get_members()) == 1)
        assert await submit(second, ticket) == (201, b"paid")
        assert count_runs(first) == 1


async def test_memory_only_ticket_is_unknown_after_its_home_ends():
    """A ticket was issued during an outage and its home has since ended.

    Only the home's memory recorded whether it ran, so it is not run again.
    """
    async with EntryHarness(ADDRESS, [pay]) as harness:
        ticket = make_ticket(harness, kind=MEMORY_ONLY, incarnation="za1-entry-0")
        assert await submit(harness, ticket) == (4002, "unknown")
        assert count_runs(harness) == 0


async def test_caller_key_submitted_at_two_vms_runs_once():
    """A caller without tickets submits at two VMs at the same time."""
    async with start_two_processes([pay_slowly] * 2) as (first, second):
        answers = await asyncio.gather(
            submit(first, "order-7"), submit(second, "order-7")
        )
        assert sorted(answers) == [(201, b"paid"), (4001, "unknown")]
        await wait_until(lambda: first.store.writes == 3)
        assert await submit(first, "order-7") == (201, b"paid")
        assert await submit(second, "order-7") == (201, b"paid")
        assert await submit(second, "order-7", b"other") == (1006, "no")
        assert count_runs(first) == 1


@pytest.mark.parametrize("lost_answers", [1, 2, 3])
async def test_caller_key_with_lost_write_responses_runs_once(lost_answers):
    async with EntryHarness(ADDRESS, [pay]) as harness:
        harness.store.lost_answers = lost_answers
        assert await submit(harness, "order-7") == (201, b"paid")
        assert await submit(harness, "order-7") == (201, b"paid")
        assert count_runs(harness) == 1


async def test_caller_key_is_refused_during_an_outage_and_runs_after():
    async with EntryHarness(ADDRESS, [pay]) as harness:
        harness.store.set_available(False)
        assert await submit(harness, "order-7") == (4003, "no")
        harness.store.set_available(True)
        assert await submit(harness, "order-7") == (201, b"paid")
        assert count_runs(harness) == 1


async def test_caller_key_that_was_not_run_is_deleted():
    async with EntryHarness(ADDRESS, [pay]) as harness:
        harness.zone.answer = lambda asked: Refused(2001, 1.0)
        assert await submit(harness, "order-7") == (2001, "no")
        await wait_until(lambda: not harness.store.objects.list(CLAIM_KIND))


async def test_caller_key_of_an_ended_process_is_unknown():
    """The process that claimed a key is gone before it wrote the outcome."""
    async with start_two_processes([pay_slowly]) as (first, second):
        task = asyncio.ensure_future(submit(first, "order-7"))
        await wait_until(lambda: count_runs(first))
        row = ("za2", second.address, second.context.incarnation)
        second.zone.push("members", "za", make_members(row))
        feed = second.kernel.get("feed")
        await wait_until(lambda: len(feed.view.get_members()) == 1)
        assert await submit(second, "order-7") == (4002, "unknown")
        await task
