"""Rate limits and leaving upstreams: effects, and exchange between VMs."""

import asyncio

import pytest

from godwitlanding.decisions.digest import make_digest
from godwitlanding.decisions.ratelimit import LimitedUpstream, LimitRow
from godwitlanding.gateway.chooser import Rejection
from godwitlanding.gateway.registry import Upstream
from godwitlanding.tests.gateway.test_chooser import (
    WARM,
    Setting as ChooserHarness,
    make_request,
)
from godwitlanding.tests.gateway.test_peers import PeersHarness
from godwitlanding.tests.support_fleet import make_peer

pytestmark = pytest.mark.looptime


async def count_sent(harness, upstream, seconds, keys):
    """Return how often an upstream is chosen, at 20 requests per second."""
    sent = 0
    for number in range(round(20 * seconds)):
        choice = harness.choose(make_request(key=keys[number % len(keys)]))
        sent += not isinstance(choice, Rejection) and choice.upstream.id == upstream
        await asyncio.sleep(0.05)
    return sent


async def test_limited_upstream_gets_its_rate_and_others_take_over_its_objects():
    # Guards against callers rejected because their upstream is limited.
    async with ChooserHarness(WARM) as harness:
        keys = [f"k{number}" for number in range(8)]
        for key in keys:
            harness.choose(make_request(key=key))
        known = harness.choose(make_request(key=keys[0])).upstream
        harness.limit_gossip.note_response(known, 2.0)
        refused = 0
        for _ in range(80):
            refused += isinstance(harness.choose(make_request(key=keys[0])), Rejection)
            await asyncio.sleep(0.05)
        assert refused == 0
        assert 6 <= await count_sent(harness, known.id, 4.0, keys) <= 10


async def test_limited_upstream_gets_no_new_objects():
    async with ChooserHarness(WARM) as harness:
        limited = harness.choose(make_request(key="known")).upstream
        harness.limit_gossip.note_response(limited, 3.0)
        newly_sent = 0
        for number in range(80):
            harness.choose(make_request(key="known"))
            choice = harness.choose(make_request(key=f"k{number}"))
            newly_sent += choice.upstream == limited
            await asyncio.sleep(0.05)
        assert newly_sent == 0


async def test_limit_far_above_demand_changes_nothing():
    # Guards against avoiding upstreams that set any limit at all.
    sent = {}
    for limit_per_s in (None, 100.0):
        async with ChooserHarness(WARM) as harness:
            for upstream in list(harness.registry.upstream_by_id.values())[:2]:
                harness.limit_gossip.note_response(upstream, limit_per_s)
            await asyncio.sleep(1.0)
            keys = [f"k{number}" for number in range(40)]
            sent[limit_per_s] = await count_sent(harness, "u0", 4.0, keys)
    assert sent[None] == sent[100.0] > 0


async def test_each_upstream_gets_its_rate_when_all_are_limited():
    async with ChooserHarness(WARM) as harness:
        for upstream in list(harness.registry.upstream_by_id.values()):
            harness.limit_gossip.note_response(upstream, 1.0)
        sent = 0
        for _ in range(100):
            sent += not isinstance(harness.choose(make_request(key="")), Rejection)
            await asyncio.sleep(0.05)
        assert 16 <= sent <= 24


async def test_requests_of_a_limited_region_go_to_another_region():
    # Guards against computing a region's capacity from all its slots while its
    # upstreams are limited: half of its callers were rejected.
    near = [(f"u{number}", "a1", 0.0) for number in range(4)]
    far = [(f"f{number}", "b1", 0.0) for number in range(4)]
    rates = {"a": 20.0, "b": 0.0}
    async with ChooserHarness([*near, *far], rates=rates) as harness:
        loop = asyncio.get_running_loop()
        for upstream_id, _, _ in near:
            upstream = harness.registry.upstream_by_id[upstream_id]
            harness.limit_gossip.note_response(upstream, 1.0)
        refused = []
        for number in range(600):
            choice = harness.choose(make_request(key=""))
            if isinstance(choice, Rejection):
                refused.append(number)
            else:
                harness.occupancy.begin(choice.upstream.id)
                loop.call_later(0.15, harness.occupancy.end, choice.upstream.id)
            await asyncio.sleep(0.05)
        assert sum(number >= 400 for number in refused) <= 20


async def test_limit_and_requests_sent_are_sent_to_peers(monkeypatch):
    # Guards against VMs that each use the whole limit.
    async with PeersHarness(monkeypatch) as harness:
        upstream = Upstream("u", "s", ("127.0.0.1", 1), "a1", 3, False, 0.0)
        harness.registry.put_upstream(upstream)
        harness.receive("vm-2", "10.0.0.2", rate_by_service={"s": 20.0})
        harness.occupancy.begin("u")
        harness.limit_gossip.note_response(upstream, 2.5)
        harness.limit_gossip.note_sent("u", asyncio.get_running_loop().time())
        harness.transport.sent.clear()
        await asyncio.sleep(0.3)
        messages = [m for host, m in harness.transport.sent if host == "10.0.0.2"]
        assert {(row.per_s, row.sent) for m in messages for row in m.limits} == {
            (2.5, 1)
        }


async def test_limit_received_from_a_peer_is_enforced(monkeypatch):
    # Guards against a VM that only knows the limits of upstreams' responses.
    async with PeersHarness(monkeypatch) as harness:
        upstream = Upstream("u", "s", ("127.0.0.1", 1), "a1", 3, False, 0.0)
        harness.registry.put_upstream(upstream)
        number = harness.registry.number_by_id["u"]
        rows = (LimitRow(number, 2.5, 0.1, 0), LimitRow(1, 2.5, 0.1, 0))
        harness.receive("vm-2", "10.0.0.2", limits=rows)
        assert harness.limit_gossip.is_limited("u")
        assert not harness.limit_gossip.may_send("u", asyncio.get_running_loop().time())


async def test_limit_echoed_by_a_peer_is_not_a_change(monkeypatch):
    # Guards against a log line for each response and each message in turn.
    async with PeersHarness(monkeypatch) as harness:
        upstream = Upstream("u", "s", ("127.0.0.1", 1), "a1", 3, False, 0.0)
        harness.registry.put_upstream(upstream)
        rows = (LimitRow(harness.registry.number_by_id["u"], 2.7, 0.0, 0),)
        for sequence in range(1, 5):
            harness.limit_gossip.note_response(upstream, 2.7)
            await asyncio.sleep(0.1)
            harness.receive("vm-2", "10.0.0.2", sequence=sequence, limits=rows)
            await asyncio.sleep(0.1)
        assert harness.counters.get("upstream_limits") == 1


async def test_limited_upstream_of_another_region_is_not_used(monkeypatch):
    async with PeersHarness(monkeypatch) as harness:
        upstream = Upstream("far", "s", ("127.0.0.1", 1), "b1", 3, False, 0.0)
        harness.registry.put_upstream(upstream)
        limited = (LimitedUpstream(harness.registry.number_by_id["far"], 2.5),)
        digest = make_digest("b", [make_peer("q", region="b")], ())
        digest = digest._replace(limited=limited)
        harness.receive("vm-2", "10.0.0.2", digests=(digest,))
        await asyncio.sleep(1.0)
        now = asyncio.get_running_loop().time()
        assert not harness.limit_gossip.may_send("far", now)


async def test_limit_is_sent_at_once_to_the_region_of_its_upstream(monkeypatch):
    # Guards against a limit that is unknown in the region of its upstream.
    async with PeersHarness(monkeypatch) as harness:
        upstream = Upstream("far", "s", ("127.0.0.1", 1), "b1", 3, False, 0.0)
        harness.registry.put_upstream(upstream)
        digest = make_digest(
            "b", [make_peer("q", region="b", address="10.9.9.9:1")], ()
        )
        harness.receive("vm-2", "10.0.0.2", digests=(digest,))
        harness.transport.sent.clear()
        harness.limit_gossip.note_response(upstream, 2.5)
        ((host, message),) = harness.transport.sent
        assert host == "10.9.9.9"
        assert message.limits[0].per_s == 2.5


async def test_leaving_upstream_is_reported_until_the_store_lists_it_as_leaving(
    monkeypatch,
):
    # Guards against VMs that only know of it from the upstream's responses.
    async with PeersHarness(monkeypatch) as harness:
        upstream = Upstream("u", "s", ("127.0.0.1", 1), "a1", 3, False, 0.0)
        harness.registry.put_upstream(upstream)
        harness.registry.note_leaving("u")
        number = harness.registry.number_by_id["u"]
        harness.peers.note_vm("vm-2", "10.0.0.2", "a1")
        harness.transport.sent.clear()
        await asyncio.sleep(1.0)
        assert {message.leaving_upstreams for _, message in harness.transport.sent} == {
            (number,)
        }
        harness.registry.put_upstream(upstream._replace(leaving=True))
        harness.transport.sent.clear()
        await asyncio.sleep(1.0)
        assert {message.leaving_upstreams for _, message in harness.transport.sent} == {
            ()
        }


@pytest.mark.parametrize("far", [False, True])
async def test_upstream_that_a_peer_reports_as_leaving_gets_no_requests(
    monkeypatch, far
):
    async with PeersHarness(monkeypatch) as harness:
        upstream = Upstream("u", "s", ("127.0.0.1", 1), "a1", 3, False, 0.0)
        harness.registry.put_upstream(upstream)
        numbers = (harness.registry.number_by_id["u"], 7)
        digest = make_digest("b", [make_peer("q", region="b")], ())
        if far:
            digests = (digest._replace(leaving_upstreams=numbers),)
            harness.receive("vm-2", "10.0.0.2", digests=digests)
        else:
            harness.receive("vm-2", "10.0.0.2", leaving_upstreams=numbers)
        assert harness.registry.get_usable_ids("s", "a") == ()


async def test_limit_is_reserved_for_cached_objects():
    # Guards against an object whose own upstream is exhausted and that uses up
    # the limits of other upstreams.
    async with ChooserHarness(WARM) as harness:
        key_by_home = {}
        for number in range(20):
            key = f"k{number}"
            key_by_home[harness.choose(make_request(key=key)).upstream.id] = key
        for upstream in list(harness.registry.upstream_by_id.values()):
            harness.limit_gossip.note_response(upstream, 4.0)
        await asyncio.sleep(1.05)
        for home, key in key_by_home.items():
            for _ in range(4 if home == "u0" else 2):
                assert harness.choose(make_request(key=key)).upstream.id == home
        assert len(key_by_home) == 4
        assert isinstance(
            harness.choose(make_request(key=key_by_home["u0"])), Rejection
        )
        assert not isinstance(harness.choose(make_request(key="new")), Rejection)
