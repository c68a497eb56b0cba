"""Tests retries, broken responses and spill from the caller's side."""

import asyncio
import contextlib

import aiohttp
import pytest

from godwitlanding.base.messages import PassOn, Refused
from godwitlanding.tests.daemons.support_entry import (
    ADDRESS,
    KEY,
    OTHER_ADDRESS,
    EntryHarness,
    get_header,
    make_config,
    make_raw_response,
    respond_hello,
    wait_until,
)
from godwitlanding.tests.daemons.test_entry import fetch

FULL_BODY = bytes(range(256)) * 1000


async def crash(writer, head, body):
    writer.close()


async def send_half_response(writer, head, body):
    """Announce 100 bytes and close the connection after 50."""
    writer.write(make_raw_response(head, b"x" * 100)[:-50])
    await writer.drain()
    writer.close()


def make_refusing_script(refusal_reason):
    async def refuse(writer, head, body):
        line = f"Upstream-Refused: {refusal_reason}"
        writer.write(make_raw_response(head, b"", line, status="503 No"))

    return refuse


async def respond_without_length(writer, head, body):
    """Respond without a length, so its end looks like a broken connection."""
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf an answer")
    await writer.drain()
    writer.close()


async def respond_to_another_request(writer, head, body):
    """Send a response that carries the id of another request."""
    response = make_raw_response(head, b"another caller's pass")
    request_id = get_header(head, "Request-Id").encode()
    writer.write(response.replace(request_id, b"0" * len(request_id)))


@pytest.mark.parametrize(
    ("script", "outcome", "reason"),
    [
        (crash, "crashed", "UPSTREAM_FAILED"),
        (send_half_response, "crashed", "UPSTREAM_FAILED"),
        (respond_without_length, "failed", "UPSTREAM_FAILED"),
        (respond_to_another_request, "failed", "UPSTREAM_FAILED"),
        (make_refusing_script("shed"), "shed", "UPSTREAM_SHED"),
        (make_refusing_script("draining"), "leaving", "UPSTREAM_LEAVING"),
    ],
)
async def test_failed_lookup_is_retried_at_another_upstream(script, outcome, reason):
    """The first upstream fails a look-up in one of several ways.

    The caller must receive only the complete response of the second one.
    """
    async with EntryHarness(ADDRESS, [script, respond_hello]) as harness:
        status, _, body = await fetch(harness)
        assert (status, body) == (200, b"hello")
        await wait_until(lambda: len(harness.zone.released) == 2)
        assert [r.outcome for r in harness.zone.released] == [outcome, "ok"]
        count = harness.counters.get(
            "requests_retried", reason=reason, service="status"
        )
        assert count == 1


async def test_unreachable_upstream_is_reported_as_not_run():
    """The upstream is gone, so nothing was sent: the refusal says "no"."""
    async with EntryHarness(ADDRESS, [respond_hello]) as harness:
        await harness.upstreams[0].stop()
        status, _, body = await fetch(harness)
        assert (status, b'"run":"no"' in body) == (503, True)


async def test_refused_retry_after_a_crash_is_reported_as_unknown():
    """The first upstream crashes and the arbiter refuses a second attempt.

    A "not run" status would hide that the request may have run in part.
    """
    async with EntryHarness(ADDRESS, [crash]) as harness:
        status, _, body = await fetch(harness)
        assert (status, b'"run":"unknown"' in body) == (503, True)


async def test_request_that_crashes_two_upstreams_is_rejected():
    """A request crashes each upstream that runs it, and is sent repeatedly."""

    async def crash_on_poison(writer, head, body):
        await (crash if "poison" in head else respond_hello)(writer, head, body)

    async with EntryHarness(ADDRESS, [crash_on_poison] * 3) as harness:
        for _ in range(3):
            status, _, body = await fetch(harness, "/s/status/poison")
            assert (status, b'"code":2007' in body) == (422, True)
        assert [len(u.heads) for u in harness.upstreams] == [1, 1, 0]
        assert (await fetch(harness, "/s/status/other"))[0] == 200


def serve_file(break_at=None, etag='"v1"', total=FULL_BODY):
    """Serve ``total`` with ranges; crash after byte ``break_at`` of it."""

    async def serve(writer, head, body):
        range_header = get_header(head, "Range")
        first = (
            int(range_header.removeprefix("bytes=").rstrip("-")) if range_header else 0
        )
        lines = [f"ETag: {etag}"]
        if first:
            lines.append(f"Content-Range: bytes {first}-{len(total) - 1}/{len(total)}")
        status = "206 Partial Content" if first else "200 OK"
        response = make_raw_response(head, total[first:], *lines, status=status)
        if break_at is None:
            writer.write(response)
            return
        writer.write(response[: break_at - len(total[first:])])
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
        ([serve_file(100_000), serve_file(None, '"v1"', FULL_BODY[:-1])], False),
        ([serve_file(100_000), respond_hello], False),
        ([serve_file(100_000)], False),
    ],
)
async def test_interrupted_download_is_resumed_or_fails_visibly(scripts, is_whole):
    """A download fails after part of it was sent to the caller.

    With the same strong ETag another upstream sends the rest. In all other
    cases the caller must see that the download is incomplete.
    """
    async with EntryHarness(ADDRESS, scripts) as harness:
        if is_whole:
            assert (await fetch(harness, "/s/passes/plan"))[2] == FULL_BODY
            return
        with pytest.raises(aiohttp.ClientPayloadError):
            await fetch(harness, "/s/passes/plan")


async def test_surplus_response_on_a_kept_connection_is_discarded():
    """An upstream sends a response twice on a kept-alive connection.

    The next request on it must not receive the response of another.
    """

    async def respond_twice(writer, head, body):
        response = make_raw_response(head, head.split()[1].encode())
        writer.write(response)
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(response)

    async def respond_with_path(writer, head, body):
        writer.write(make_raw_response(head, head.split()[1].encode()))

    async with EntryHarness(ADDRESS, [respond_twice, respond_with_path]) as harness:
        for number in range(6):
            path = f"/{number}"
            status, _, body = await fetch(harness, f"/s/status{path}")
            assert (status, body) == (200, path.encode())
            await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def start_two_zones(scripts_a, scripts_b):
    """Start an entry process in each of two zones that list each other."""
    async with EntryHarness(ADDRESS, scripts_a) as a:
        async with EntryHarness(OTHER_ADDRESS, scripts_b, vm="zb1") as b:
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
            for harness in (a, b):
                harness.zone.push("vms", "main", {"vms": rows})
                await wait_until(harness.kernel.get("feed").view.get_vms)
            yield a, b


async def test_spill_is_served_by_the_other_zone():
    async with start_two_zones([], [respond_hello]) as (a, b):
        a.zone.answer = lambda asked: PassOn("zb", 3.0)
        assert (await fetch(a))[::2] == (200, b"hello")
        (asked,) = b.zone.asked
        assert (asked.arrived_from_zone, asked.may_pass_on) == ("za", False)
        await wait_until(lambda: a.zone.withdrawn)
        assert a.zone.withdrawn[0].request_id == a.zone.asked[0].request_id


@pytest.mark.parametrize("is_gone", [False, True])
async def test_spill_that_was_not_run_is_retried_locally(is_gone):
    """The other zone is full or down since the plan was made."""
    async with start_two_zones([respond_hello], [respond_hello]) as (a, b):
        a.zone.answer = lambda asked: PassOn("zb", 3.0) if asked.may_pass_on else None
        b.zone.answer = lambda asked: Refused(2001, 1.0)
        if is_gone:
            await b.kernel.stop()
        assert (await fetch(a))[::2] == (200, b"hello")
        assert [asked.may_pass_on for asked in a.zone.asked] == [True, False]


async def test_poison_request_is_rejected_in_the_other_zone_too():
    """A request crashes two upstreams and its caller tries another zone.

    Without the report, that zone would lose two upstreams as well.
    """
    async with start_two_zones([crash] * 3, [respond_hello]) as (a, b):
        assert (await fetch(a, "/s/status/poison"))[0] == 422
        labels = {"name": "poison_noted", "upstream": "u1"}
        await wait_until(lambda: b.counters.get(**labels))
        assert (await fetch(b, "/s/status/poison"))[0] == 422
        assert not b.upstreams[0].heads


async def test_spill_respects_the_link_limit():
    """More requests spill than the link between the zones may carry.

    Requests over the limit are served locally, so the link stays usable.
    """
    async with start_two_zones([respond_hello], [respond_hello]) as (a, b):
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
        count = a.counters.get(
            "requests_retried", reason="LINK_LIMIT", service="status"
        )
        assert count == 2


async def test_forged_spill_is_refused():
    """A caller marks its own request as spill to bypass the tickets."""
    async with EntryHarness(ADDRESS, [respond_hello]) as harness:
        headers = {"Godwit-Hop": "1", "Godwit-Signature": KEY.hex()}
        status, _, body = await fetch(harness, "/s/pay/x", "POST", headers=headers)
        assert (status, b"forged" in body) == (400, True)
        assert not harness.zone.asked
