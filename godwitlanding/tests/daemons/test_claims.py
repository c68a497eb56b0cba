"""Payments, orders and bookings over HTTP: at most once, whoever fails."""

import asyncio
import contextlib
import time

import pytest

from godwitlanding.base.messages import Refused
from godwitlanding.daemons.services import claims
from godwitlanding.daemons.services.journal import JOURNAL_KIND
from godwitlanding.daemons.services.keys import CLAIM_KIND
from godwitlanding.daemons.ticket import JOURNALED, MEMORY_ONLY, Ticket, issue_ticket
from godwitlanding.tests.daemons.support_entry import (
    ADDRESS,
    KEY,
    SECOND_ADDRESS,
    Bench,
    make_answer,
    make_members,
    wait_until,
)
from godwitlanding.tests.daemons.test_carry import crash, refuse_with
from godwitlanding.tests.daemons.test_entry import fetch
from godwitlanding.tests.daemons.test_journal import run_until
from godwitlanding.tests.support import FakeStore


async def pay(writer, head, body):
    """Run a payment."""
    line = "Content-Type: text/plain"
    writer.write(make_answer(head, b"paid", line, status="201 Created"))


async def pay_slowly(writer, head, body):
    """Run a payment that takes a moment."""
    await asyncio.sleep(0.3)
    await pay(writer, head, body)


def make_ticket(bench, nonce="n1", kind=JOURNALED, vm=None, incarnation=None):
    home = incarnation or bench.context.incarnation
    ticket = Ticket("pay", kind, vm or bench.context.vm, home, int(time.time()), nonce)
    return issue_ticket(KEY, ticket)


async def press(bench, ticket, body=b"10 zl", path="/s/pay/renew"):
    """Press once; return the status, or the code of a refusal."""
    headers = {"Idempotency-Key": ticket}
    status, headers, text = await fetch(bench, path, "POST", data=body, headers=headers)
    code = headers.get("Godwit-Refused")
    return (int(code), headers["Godwit-Run"]) if code else (status, text)


def count_runs(bench):
    return sum(len(upstream.heads) for upstream in bench.upstreams)


async def test_second_press_gets_the_recorded_answer():
    async with Bench(ADDRESS, [pay]) as bench:
        ticket = make_ticket(bench)
        assert await press(bench, ticket) == (201, b"paid")
        assert await press(bench, ticket) == (201, b"paid")
        assert await press(bench, ticket, b"20 zl") == (1006, "no")
        assert count_runs(bench) == 1


async def test_presses_at_once_run_once():
    """An impatient caller presses several times before any answer comes."""
    async with Bench(ADDRESS, [pay_slowly] * 3) as bench:
        ticket = make_ticket(bench)
        answers = await asyncio.gather(*(press(bench, ticket) for _ in range(5)))
        assert sorted(answers)[0] == (201, b"paid")
        assert sorted(answers)[1:] == [(4001, "unknown")] * 4
        assert count_runs(bench) == 1


@pytest.mark.parametrize(
    ("key", "code"),
    [("", 1004), ("gwt1.forged", 1005), ("x" * 300, 1002)],
)
async def test_work_without_a_good_key_is_refused(key, code):
    async with Bench(ADDRESS, [pay]) as bench:
        assert await press(bench, key) == (code, "no")
        assert count_runs(bench) == 0


@pytest.mark.parametrize("kind", [JOURNALED, MEMORY_ONLY])
async def test_crash_of_the_upstream_leaves_the_outcome_unknown(kind):
    """The upstream dies with a payment in hand; the caller presses again.

    Nobody knows whether it ran, so it must not go to another upstream.
    """
    async with Bench(ADDRESS, [crash, pay]) as bench:
        ticket = make_ticket(bench, kind=kind)
        assert await press(bench, ticket) == (3001, "unknown")
        assert await press(bench, ticket) == (4002, "unknown")
        assert count_runs(bench) == 1


@pytest.mark.parametrize("word", ["shed", "draining"])
async def test_work_that_an_upstream_refused_runs_at_another(word):
    async with Bench(ADDRESS, [refuse_with(word), pay]) as bench:
        assert await press(bench, make_ticket(bench)) == (201, b"paid")


async def test_work_that_the_arbiter_refused_may_run_later():
    """The zone is full at the first press and not at the second."""
    async with Bench(ADDRESS, [pay]) as bench:
        ticket = make_ticket(bench)
        bench.zone.answer = lambda asked: Refused(2001, 1.0)
        assert await press(bench, ticket) == (2001, "no")
        bench.zone.answer = None
        assert await press(bench, ticket) == (201, b"paid")


async def test_outcome_is_kept_for_a_caller_who_left():
    """The caller's connection breaks while the payment runs.

    The payment has been sent, so it goes on; the next press learns of it.
    """
    async with Bench(ADDRESS, [pay_slowly]) as bench:
        ticket = make_ticket(bench)
        first = asyncio.ensure_future(press(bench, ticket))
        await wait_until(lambda: count_runs(bench))
        first.cancel()
        await wait_until(lambda: bench.zone.released)
        assert await press(bench, ticket) == (201, b"paid")
        assert count_runs(bench) == 1


async def test_caller_who_leaves_before_dispatch_takes_the_work_along():
    async with Bench(ADDRESS, [pay]) as bench:
        ticket = make_ticket(bench)
        bench.zone.answer = lambda asked: asyncio.sleep(60)
        first = asyncio.ensure_future(press(bench, ticket))
        await wait_until(lambda: bench.zone.asked)
        first.cancel()
        await wait_until(lambda: bench.zone.withdrawn)
        bench.zone.answer = None
        assert await press(bench, ticket) == (201, b"paid")
        assert count_runs(bench) == 1


async def test_outage_of_the_platform():
    """The platform goes away and comes back between three presses.

    Without a record nothing is run, and the caller is told just that; a
    ticket issued meanwhile is kept in memory only and runs.
    """
    async with Bench(ADDRESS, [pay]) as bench:
        bench.store.set_available(False)
        ticket = make_ticket(bench)
        assert await press(bench, ticket) == (4003, "no")
        memory_only = make_ticket(bench, "n2", MEMORY_ONLY)
        assert await press(bench, memory_only) == (201, b"paid")
        assert count_runs(bench) == 1
        bench.store.set_available(True)
        writer = bench.kernel.get("journal")
        await wait_until(lambda: not writer.journal.has_unresolved_writes)
        assert await press(bench, ticket) == (201, b"paid")
        assert count_runs(bench) == 2


async def test_outcome_is_written_after_an_outage_without_another_press():
    """The platform goes away between a payment's claim and its outcome.

    Did the outcome wait for the next payment, a home that is replaced
    meanwhile would leave "unknown" behind.
    """
    async with Bench(ADDRESS, [pay]) as bench:
        assert await press(bench, make_ticket(bench)) == (201, b"paid")
        bench.store.set_available(False)
        await wait_until(lambda: bench.store.writes > 1)
        bench.store.set_available(True)
        name = bench.context.incarnation
        await wait_until(lambda: '"done"' in read_object(bench, JOURNAL_KIND, name))


def read_object(bench, kind, name):
    return bench.store.objects.get(kind, name).unwrap().value.decode()


async def test_claim_whose_answer_was_lost_runs_once():
    """The platform records the claim and its answer gets lost."""
    async with Bench(ADDRESS, [pay]) as bench:
        bench.store.lost_answers = 1
        ticket = make_ticket(bench)
        assert await press(bench, ticket) == (201, b"paid")
        assert await press(bench, ticket) == (201, b"paid")
        assert count_runs(bench) == 1


@pytest.mark.parametrize(
    ("step", "expected", "runs"),
    [
        ("pressed", (201, b"paid"), 1),
        ("answer lost", (4002, "unknown"), 0),
        ("claimed", (4002, "unknown"), 0),
        ("done, not written", (4002, "unknown"), 0),
        ("done", (201, b"paid"), 0),
        ("unknown", (4002, "unknown"), 0),
    ],
)
@pytest.mark.parametrize("lost_answers", [0, 1])
async def test_press_after_the_home_is_gone(
    step, expected, runs, lost_answers, monkeypatch
):
    """A home is killed at some step of a payment; its VM leaves the list.

    The caller presses again at another VM, which takes over, even if the
    answer to its closing of the journal is lost.
    """
    # ``run_to`` presses with this fingerprint.
    monkeypatch.setattr(claims, "compute_body_fingerprint", lambda request: 7)
    async with Bench(ADDRESS, [pay]) as bench:
        _, platform = run_until(step)
        if platform.stored:
            stored = platform.stored
            await bench.store.put(JOURNAL_KIND, "h0", stored.value, 0)
        bench.store.lost_answers = lost_answers
        ticket = make_ticket(bench, "n1", vm="za9", incarnation="h0")
        assert await press(bench, ticket) == expected
        assert await press(bench, ticket) == expected
        assert count_runs(bench) == runs


@contextlib.asynccontextmanager
async def open_two(scripts):
    """Start two entry processes of one zone that know each other."""
    store = FakeStore()
    async with Bench(ADDRESS, scripts, store) as first:
        async with Bench(SECOND_ADDRESS, [], store, vm="za2") as second:
            second.zone.upstreams = first.zone.upstreams
            rows = [
                (bench.context.vm, bench.address, bench.context.incarnation)
                for bench in (first, second)
            ]
            # Each asks its own fake arbiter.
            for bench, own_first in ((first, rows), (second, rows[::-1])):
                bench.zone.push("members", "za", make_members(*own_first))
                feed = bench.kernel.get("feed")
                await wait_until(lambda feed=feed: len(feed.view.get_members()) == 2)
            yield first, second


async def test_press_at_another_vm_reaches_the_home():
    async with open_two([pay]) as (first, second):
        ticket = make_ticket(first)
        assert await press(second, ticket) == (201, b"paid")
        assert await press(first, ticket) == (201, b"paid")
        assert await press(second, ticket) == (201, b"paid")
        assert count_runs(first) == 1
        assert not second.zone.asked


async def test_home_that_was_replaced_runs_none_of_its_tickets():
    """A home is paused and replaced, and goes on as if nothing had happened.

    What it had claimed it may end; all else is run by its replacement.
    """
    async with open_two([pay] * 3) as (first, second):
        done, late = make_ticket(first, "n1"), make_ticket(first, "n2")
        assert await press(first, done) == (201, b"paid")
        incarnation = first.context.incarnation
        closing = await second.kernel.get("journal").close(incarnation)
        assert closing.unwrap().closed_by.vm == "za2"
        assert await press(first, late) == (4003, "no")
        assert await press(first, late) == (201, b"paid")
        assert (len(first.zone.asked), len(second.zone.asked)) == (2, 1)
        assert await press(second, late) == (201, b"paid")
        # Its memory knows an outcome that was not written in time.
        assert await press(first, done) == (201, b"paid")
        assert count_runs(first) == 2


async def test_home_that_died_a_moment_ago_is_not_taken_for_gone():
    """The home does not answer, but the zone has not noticed yet.

    Taking over at once would fence a home that is merely restarting.
    """
    async with open_two([pay]) as (first, second):
        ticket = make_ticket(first)
        await first.kernel.stop()
        assert await press(second, ticket) == (4004, "unknown")
        row = ("za2", second.address, second.context.incarnation)
        second.zone.push("members", "za", make_members(row))
        feed = second.kernel.get("feed")
        await wait_until(lambda: len(feed.view.get_members()) == 1)
        assert await press(second, ticket) == (201, b"paid")
        assert count_runs(first) == 1


async def test_memory_only_ticket_dies_with_its_home():
    """A ticket was issued during an outage and its home has ended since.

    Only the home's memory knew whether it ran: it is never run again.
    """
    async with Bench(ADDRESS, [pay]) as bench:
        ticket = make_ticket(bench, kind=MEMORY_ONLY, incarnation="za1-entry-0")
        assert await press(bench, ticket) == (4002, "unknown")
        assert count_runs(bench) == 0


async def test_own_key_pressed_at_two_vms_runs_once():
    """A caller without tickets presses at two VMs in the same moment."""
    async with open_two([pay_slowly] * 2) as (first, second):
        answers = await asyncio.gather(
            press(first, "order-7"), press(second, "order-7")
        )
        assert sorted(answers) == [(201, b"paid"), (4001, "unknown")]
        await wait_until(lambda: first.store.writes == 3)
        assert await press(first, "order-7") == (201, b"paid")
        assert await press(second, "order-7") == (201, b"paid")
        assert await press(second, "order-7", b"other") == (1006, "no")
        assert count_runs(first) == 1


@pytest.mark.parametrize("lost_answers", [1, 2, 3])
async def test_own_key_whose_claim_was_answered_by_silence(lost_answers):
    async with Bench(ADDRESS, [pay]) as bench:
        bench.store.lost_answers = lost_answers
        assert await press(bench, "order-7") == (201, b"paid")
        assert await press(bench, "order-7") == (201, b"paid")
        assert count_runs(bench) == 1


async def test_own_key_is_refused_without_the_platform_and_runs_after():
    async with Bench(ADDRESS, [pay]) as bench:
        bench.store.set_available(False)
        assert await press(bench, "order-7") == (4003, "no")
        bench.store.set_available(True)
        assert await press(bench, "order-7") == (201, b"paid")
        assert count_runs(bench) == 1


async def test_own_key_that_was_not_run_is_free_again():
    async with Bench(ADDRESS, [pay]) as bench:
        bench.zone.answer = lambda asked: Refused(2001, 1.0)
        assert await press(bench, "order-7") == (2001, "no")
        await wait_until(lambda: not bench.store.objects.list(CLAIM_KIND))


async def test_own_key_of_a_process_that_is_gone_is_unknown():
    """The process that claimed a key is killed before it wrote an outcome."""
    async with open_two([pay_slowly]) as (first, second):
        task = asyncio.ensure_future(press(first, "order-7"))
        await wait_until(lambda: count_runs(first))
        row = ("za2", second.address, second.context.incarnation)
        second.zone.push("members", "za", make_members(row))
        feed = second.kernel.get("feed")
        await wait_until(lambda: len(feed.view.get_members()) == 1)
        assert await press(second, "order-7") == (4002, "unknown")
        await task
