"""Retries, broken answers and spill, as the caller sees them."""

import asyncio
import contextlib

import aiohttp
import pytest

from godwitlanding.base.messages import PassOn, Refused
from godwitlanding.tests.daemons.support_entry import (
    ADDRESS,
    KEY,
    OTHER_ADDRESS,
    Bench,
    answer_hello,
    get_header,
    make_answer,
    make_config,
    wait_until,
)
from godwitlanding.tests.daemons.test_entry import fetch

WHOLE = bytes(range(256)) * 1000


async def crash(writer, head, body):
    writer.close()


async def break_off(writer, head, body):
    """Promise 100 bytes and die after 50."""
    writer.write(make_answer(head, b"x" * 100)[:-50])
    await writer.drain()
    writer.close()


def refuse_with(word):
    async def refuse(writer, head, body):
        line = f"Upstream-Refused: {word}"
        writer.write(make_answer(head, b"", line, status="503 No"))

    return refuse


async def answer_endless(writer, head, body):
    """Answer without a length: its end cannot be told from a break."""
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf an answer")
    await writer.drain()
    writer.close()


async def answer_another(writer, head, body):
    """Give the answer to somebody else's request."""
    answer = make_answer(head, b"another caller's pass")
    request_id = get_header(head, "Request-Id").encode()
    writer.write(answer.replace(request_id, b"0" * len(request_id)))


@pytest.mark.parametrize(
    ("script", "outcome", "reason"),
    [
        (crash, "crashed", "UPSTREAM_FAILED"),
        (break_off, "crashed", "UPSTREAM_FAILED"),
        (answer_endless, "failed", "UPSTREAM_FAILED"),
        (answer_another, "failed", "UPSTREAM_FAILED"),
        (refuse_with("shed"), "shed", "UPSTREAM_SHED"),
        (refuse_with("draining"), "leaving", "UPSTREAM_LEAVING"),
    ],
)
async def test_look_up_is_tried_at_another_upstream(script, outcome, reason):
    """The first upstream fails a look-up in one of the ways that it can.

    The caller sees nothing of it but the complete answer of the second.
    """
    async with Bench(ADDRESS, [script, answer_hello]) as bench:
        status, _, body = await fetch(bench)
        assert (status, body) == (200, b"hello")
        await wait_until(lambda: len(bench.zone.released) == 2)
        assert [r.outcome for r in bench.zone.released] == [outcome, "ok"]
        counted = bench.counters.get(
            "requests_retried", reason=reason, service="status"
        )
        assert counted == 1


async def test_upstream_that_cannot_be_reached_has_not_run_it():
    """An upstream is gone; nothing was sent, and the caller is told so."""
    async with Bench(ADDRESS, [answer_hello]) as bench:
        await bench.upstreams[0].stop()
        status, _, body = await fetch(bench)
        assert (status, b'"run":"no"' in body) == (503, True)


async def test_not_run_is_not_said_when_an_earlier_try_may_have_run():
    """The first upstream crashes and the arbiter then refuses a second try.

    Told that nothing ran, the caller would take a half-done work for none.
    """
    async with Bench(ADDRESS, [crash]) as bench:
        status, _, body = await fetch(bench)
        assert (status, b'"run":"unknown"' in body) == (503, True)


async def test_request_that_crashes_upstreams_is_stopped_after_two():
    """One request crashes each upstream that runs it, and is sent again."""

    async def crash_on_poison(writer, head, body):
        await (crash if "poison" in head else answer_hello)(writer, head, body)

    async with Bench(ADDRESS, [crash_on_poison] * 3) as bench:
        for _ in range(3):
            status, _, body = await fetch(bench, "/s/status/poison")
            assert (status, b'"code":2007' in body) == (422, True)
        assert [len(u.heads) for u in bench.upstreams] == [1, 1, 0]
        assert (await fetch(bench, "/s/status/other"))[0] == 200


def serve_file(break_at=None, etag='"v1"', total=WHOLE):
    """Serve ``total`` with ranges, dying after ``break_at`` bytes of it."""

    async def serve(writer, head, body):
        wanted = get_header(head, "Range")
        first = int(wanted.removeprefix("bytes=").rstrip("-")) if wanted else 0
        lines = [f"ETag: {etag}"]
        if first:
            lines.append(f"Content-Range: bytes {first}-{len(total) - 1}/{len(total)}")
        status = "206 Partial Content" if first else "200 OK"
        answer = make_answer(head, total[first:], *lines, status=status)
        if break_at is None:
            writer.write(answer)
            return
        writer.write(answer[: break_at - len(total[first:])])
        await writer.drain()
        writer.close()

    return serve


@pytest.mark.parametrize(
    ("scripts", "is_whole"),
    [
        ([serve_file(100_000), serve_file()], True),
        ([serve_file(100_000), serve_file(200_000), serve_file()], True),
        ([serve_file(100_000, 'W/"v1"'), serve_file(None, 'W/"v1"')], False),
        ([serve_file(100_000), serve_file(None, '"v2"')], False),
        ([serve_file(100_000), serve_file(None, '"v1"', WHOLE[:-1])], False),
        ([serve_file(100_000), answer_hello], False),
        ([serve_file(100_000)], False),
    ],
)
async def test_broken_download_is_continued_or_visibly_cut(scripts, is_whole):
    """A plan bundle breaks off after part of it has gone to the caller.

    Under the same strong validator another upstream gives the rest; in all
    other cases the caller must see that its bundle is not complete.
    """
    async with Bench(ADDRESS, scripts) as bench:
        if is_whole:
            assert (await fetch(bench, "/s/passes/plan"))[2] == WHOLE
            return
        with pytest.raises(aiohttp.ClientPayloadError):
            await fetch(bench, "/s/passes/plan")


async def test_second_answer_on_a_kept_connection_reaches_nobody():
    """An upstream sends an answer twice over a connection that is kept.

    The next request on it would be answered with the pass of another.
    """

    async def answer_twice(writer, head, body):
        answer = make_answer(head, head.split()[1].encode())
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(answer)

    async def answer_path(writer, head, body):
        writer.write(make_answer(head, head.split()[1].encode()))

    async with Bench(ADDRESS, [answer_twice, answer_path]) as bench:
        for number in range(6):
            path = f"/{number}"
            status, _, body = await fetch(bench, f"/s/status{path}")
            assert (status, body) == (200, path.encode())
            await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def open_two_zones(scripts_a, scripts_b):
    """Start an entry process in each of two zones that know each other."""
    async with Bench(ADDRESS, scripts_a) as a:
        async with Bench(OTHER_ADDRESS, scripts_b, vm="zb1") as b:
            rows = [
                {
                    "vm": vm,
                    "address": address,
                    "availability_zone": zone,
                    "state": "live",
                }
                for vm, address, zone in (
                    ("za1", ADDRESS, "za"),
                    ("zb1", OTHER_ADDRESS, "zb"),
                )
            ]
            for bench in (a, b):
                bench.zone.push("vms", "main", {"vms": rows})
                await wait_until(bench.kernel.get("feed").view.get_vms)
            yield a, b


async def test_spill_is_served_by_the_other_zone():
    async with open_two_zones([], [answer_hello]) as (a, b):
        a.zone.answer = lambda asked: PassOn("zb", 3.0)
        assert (await fetch(a))[::2] == (200, b"hello")
        (asked,) = b.zone.asked
        assert (asked.arrived_from_zone, asked.may_pass_on) == ("za", False)
        await wait_until(lambda: a.zone.withdrawn)
        assert a.zone.withdrawn[0].request_id == a.zone.asked[0].request_id


@pytest.mark.parametrize("is_gone", [False, True])
async def test_spill_that_was_not_run_is_asked_for_here_again(is_gone):
    """The other zone has filled up, or died, since the plan was made."""
    async with open_two_zones([answer_hello], [answer_hello]) as (a, b):
        a.zone.answer = lambda asked: PassOn("zb", 3.0) if asked.may_pass_on else None
        b.zone.answer = lambda asked: Refused(2001, 1.0)
        if is_gone:
            await b.kernel.stop()
        assert (await fetch(a))[::2] == (200, b"hello")
        assert [asked.may_pass_on for asked in a.zone.asked] == [True, False]


async def test_crashing_request_is_stopped_in_the_other_zone_too():
    """A request crashes two upstreams and its caller tries the next zone.

    That zone would lose two of its own before it knew.
    """
    async with open_two_zones([crash] * 3, [answer_hello]) as (a, b):
        assert (await fetch(a, "/s/status/poison"))[0] == 422
        noted = {"name": "poison_noted", "upstream": "u1"}
        await wait_until(lambda: b.counters.get(**noted))
        assert (await fetch(b, "/s/status/poison"))[0] == 422
        assert not b.upstreams[0].heads


async def test_spill_keeps_to_the_limit_of_its_link():
    """More is to be passed on than the link between the zones may carry.

    What is over the limit is served here, so that the link stays usable.
    """
    async with open_two_zones([answer_hello], [answer_hello]) as (a, b):
        config = make_config([], other=("zb",))
        config["links"][0]["requests_per_s"] = 0.001
        a.zone.push("config", "main", config)
        view = a.kernel.get("feed").view
        await wait_until(lambda: view.get_config().link_by_zones)
        a.zone.answer = lambda asked: PassOn("zb", 3.0) if asked.may_pass_on else None
        for _ in range(3):
            assert (await fetch(a))[::2] == (200, b"hello")
        assert [asked.may_pass_on for asked in a.zone.asked][1:] == [True, False] * 2
        assert len(b.zone.asked) == 1
        counted = a.counters.get(
            "requests_retried", reason="LINK_LIMIT", service="status"
        )
        assert counted == 2


async def test_forged_spill_is_refused():
    """A caller marks its own request as spill to get around the tickets."""
    async with Bench(ADDRESS, [answer_hello]) as bench:
        headers = {"Godwit-Hop": "1", "Godwit-Signature": KEY.hex()}
        status, _, body = await fetch(bench, "/s/pay/x", "POST", headers=headers)
        assert (status, b"forged" in body) == (400, True)
        assert not bench.zone.asked
