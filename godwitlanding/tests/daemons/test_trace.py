"""Tests the recorded events of requests and their page."""

import aiohttp

from godwitlanding.daemons.trace import MAX_EVENTS_PER_REQUEST, Trace
from godwitlanding.tests.daemons.support_entry import (
    ADDRESS,
    EntryHarness,
    respond_hello,
)


def test_oldest_requests_are_forgotten():
    trace = Trace(max_requests=2)
    for number in range(3):
        trace.add(f"r{number}", "arrived")
    assert [bool(trace.get(f"r{number}")) for number in range(3)] == [0, 1, 1]


def test_events_of_a_request_are_bounded():
    trace = Trace()
    for _ in range(MAX_EVENTS_PER_REQUEST + 5):
        trace.add("r", "retried")
    assert len(trace.get("r")) == MAX_EVENTS_PER_REQUEST


async def test_carried_and_refused_requests_are_explained():
    async with (
        EntryHarness(ADDRESS, [respond_hello]) as harness,
        aiohttp.ClientSession() as http,
    ):
        for path, wanted in (
            ("/s/status/x", ["arrived", "granted", "answered"]),
            ("/s/nothing/x", ["refused"]),
        ):
            async with http.get(harness.url + path) as answer:
                await answer.read()
            request_id = answer.headers["Godwit-Request-Id"]
            async with http.get(f"{harness.url}/-/requests/{request_id}") as answer:
                events = (await answer.json())["events"]
            assert [event["event"] for event in events] == wanted
        async with http.get(f"{harness.url}/-/requests/none") as answer:
            assert answer.status == 404
