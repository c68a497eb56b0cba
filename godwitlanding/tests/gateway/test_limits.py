"""Upstreams that are limited or leave: what this VM does, hears and tells."""

import asyncio

import pytest

from godwitlanding.decisions.digest import make_digest
from godwitlanding.decisions.ratelimit import LimitedUpstream, LimitRow
from godwitlanding.gateway.chooser import Rejection
from godwitlanding.gateway.registry import Upstream
from godwitlanding.tests.gateway.test_chooser import (
    WARM,
    Setting as ChooserSetting,
    make_work,
)
from godwitlanding.tests.gateway.test_peers import Setting as PeersSetting
from godwitlanding.tests.support_fleet import make_peer

pytestmark = pytest.mark.looptime


async def count_sent(harness, upstream, seconds, keys):
    """Ask twenty times a second; return how often an upstream was chosen."""
    sent = 0
    for number in range(round(20 * seconds)):
        choice = harness.choose(make_work(key=keys[number % len(keys)]))
        sent += not isinstance(choice, Rejection) and choice.upstream.id == upstream
        await asyncio.sleep(0.05)
    return sent


async def test_upstream_in_need_gets_its_rate_and_others_learn_what_it_knew():
    # Guards against callers who are refused since their upstream is limited.
    async with ChooserSetting(WARM) as harness:
        keys = [f"k{number}" for number in range(8)]
        for key in keys:
            harness.choose(make_work(key=key))
        known = harness.choose(make_work(key=keys[0])).upstream
        harness.limits.note_answer(known, 2.0)
        refused = 0
        for _ in range(80):
            refused += isinstance(harness.choose(make_work(key=keys[0])), Rejection)
            await asyncio.sleep(0.05)
        assert refused == 0
        assert 6 <= await count_sent(harness, known.id, 4.0, keys) <= 10


async def test_upstream_in_need_gets_nothing_that_it_does_not_know():
    async with ChooserSetting(WARM) as harness:
        limited = harness.choose(make_work(key="known")).upstream
        harness.limits.note_answer(limited, 3.0)
        learnt = 0
        for number in range(80):
            harness.choose(make_work(key="known"))
            choice = harness.choose(make_work(key=f"k{number}"))
            learnt += choice.upstream == limited
            await asyncio.sleep(0.05)
        assert learnt == 0


async def test_limit_far_above_what_is_asked_changes_nothing():
    # Guards against upstreams that are shunned for naming any limit at all.
    sent = {}
    for limit_per_s in (None, 100.0):
        async with ChooserSetting(WARM) as harness:
            for upstream in list(harness.registry.upstream_by_id.values())[:2]:
                harness.limits.note_answer(upstream, limit_per_s)
            await asyncio.sleep(1.0)
            keys = [f"k{number}" for number in range(40)]
            sent[limit_per_s] = await count_sent(harness, "u0", 4.0, keys)
    assert sent[None] == sent[100.0] > 0


async def test_where_all_are_in_need_each_gets_its_rate():
    async with ChooserSetting(WARM) as harness:
        for upstream in list(harness.registry.upstream_by_id.values()):
            harness.limits.note_answer(upstream, 1.0)
        sent = 0
        for _ in range(100):
            sent += not isinstance(harness.choose(make_work(key="")), Rejection)
            await asyncio.sleep(0.05)
        assert 16 <= sent <= 24


async def test_region_in_need_sends_its_callers_elsewhere():
    # Guards against a region that is planned for all its slots while its
    # upstreams are limited: half of its callers were refused.
    near = [(f"u{number}", "a1", 0.0) for number in range(4)]
    far = [(f"f{number}", "b1", 0.0) for number in range(4)]
    rates = {"a": 20.0, "b": 0.0}
    async with ChooserSetting([*near, *far], rates=rates) as harness:
        loop = asyncio.get_running_loop()
        for upstream_id, _, _ in near:
            upstream = harness.registry.upstream_by_id[upstream_id]
            harness.limits.note_answer(upstream, 1.0)
        refused = []
        for number in range(600):
            choice = harness.choose(make_work(key=""))
            if isinstance(choice, Rejection):
                refused.append(number)
            else:
                harness.occupancy.begin(choice.upstream.id)
                loop.call_later(0.15, harness.occupancy.end, choice.upstream.id)
            await asyncio.sleep(0.05)
        assert sum(number >= 400 for number in refused) <= 20


async def test_neighbours_hear_of_a_limit_and_of_what_was_sent(monkeypatch):
    # Guards against VMs that send as if they were alone.
    async with PeersSetting(monkeypatch) as harness:
        upstream = Upstream("u", "s", ("127.0.0.1", 1), "a1", 3, False, 0.0)
        harness.registry.put_upstream(upstream)
        harness.hear("vm-2", "10.0.0.2", rate_by_service={"s": 20.0})
        harness.occupancy.begin("u")
        harness.limits.note_answer(upstream, 2.5)
        harness.limits.note_sent("u", asyncio.get_running_loop().time())
        harness.transport.sent.clear()
        await asyncio.sleep(0.3)
        told = [b for host, b in harness.transport.sent if host == "10.0.0.2"]
        assert {(row.per_s, row.sent) for b in told for row in b.limits} == {(2.5, 1)}


async def test_limit_that_a_neighbour_tells_of_binds(monkeypatch):
    # Guards against a VM that must be told by each upstream itself.
    async with PeersSetting(monkeypatch) as harness:
        upstream = Upstream("u", "s", ("127.0.0.1", 1), "a1", 3, False, 0.0)
        harness.registry.put_upstream(upstream)
        number = harness.registry.number_by_id["u"]
        rows = (LimitRow(number, 2.5, 0.1, 0), LimitRow(1, 2.5, 0.1, 0))
        harness.hear("vm-2", "10.0.0.2", limits=rows)
        assert harness.limits.is_limited("u")
        assert not harness.limits.may_send("u", asyncio.get_running_loop().time())


async def test_limit_that_comes_back_from_a_neighbour_is_no_news(monkeypatch):
    # Guards against a log line for each answer and each bulletin in turn.
    async with PeersSetting(monkeypatch) as harness:
        upstream = Upstream("u", "s", ("127.0.0.1", 1), "a1", 3, False, 0.0)
        harness.registry.put_upstream(upstream)
        rows = (LimitRow(harness.registry.number_by_id["u"], 2.7, 0.0, 0),)
        for sequence in range(1, 5):
            harness.limits.note_answer(upstream, 2.7)
            await asyncio.sleep(0.1)
            harness.hear("vm-2", "10.0.0.2", sequence=sequence, limits=rows)
            await asyncio.sleep(0.1)
        assert harness.counters.get("upstream_limits") == 1


async def test_other_region_hears_of_limits_and_leaves_them_alone(monkeypatch):
    async with PeersSetting(monkeypatch) as harness:
        upstream = Upstream("far", "s", ("127.0.0.1", 1), "b1", 3, False, 0.0)
        harness.registry.put_upstream(upstream)
        limited = (LimitedUpstream(harness.registry.number_by_id["far"], 2.5),)
        digest = make_digest("b", [make_peer("q", region="b")], ())
        digest = digest._replace(limited=limited)
        harness.hear("vm-2", "10.0.0.2", digests=(digest,))
        await asyncio.sleep(1.0)
        now = asyncio.get_running_loop().time()
        assert not harness.limits.may_send("far", now)


async def test_region_is_told_at_once_what_its_upstream_said(monkeypatch):
    # Guards against a limit that its own region does not know of.
    async with PeersSetting(monkeypatch) as harness:
        upstream = Upstream("far", "s", ("127.0.0.1", 1), "b1", 3, False, 0.0)
        harness.registry.put_upstream(upstream)
        digest = make_digest(
            "b", [make_peer("q", region="b", address="10.9.9.9:1")], ()
        )
        harness.hear("vm-2", "10.0.0.2", digests=(digest,))
        harness.transport.sent.clear()
        harness.limits.note_answer(upstream, 2.5)
        ((host, told),) = harness.transport.sent
        assert host == "10.9.9.9"
        assert told.limits[0].per_s == 2.5


async def test_upstream_that_leaves_is_told_until_the_store_says_so(monkeypatch):
    # Guards against VMs that must be told by the upstream itself.
    async with PeersSetting(monkeypatch) as harness:
        upstream = Upstream("u", "s", ("127.0.0.1", 1), "a1", 3, False, 0.0)
        harness.registry.put_upstream(upstream)
        harness.registry.note_leaving("u")
        number = harness.registry.number_by_id["u"]
        harness.peers.note_vm("vm-2", "10.0.0.2", "a1")
        harness.transport.sent.clear()
        await asyncio.sleep(1.0)
        assert {told.leaving_upstreams for _, told in harness.transport.sent} == {
            (number,)
        }
        harness.registry.put_upstream(upstream._replace(leaving=True))
        harness.transport.sent.clear()
        await asyncio.sleep(1.0)
        assert {told.leaving_upstreams for _, told in harness.transport.sent} == {()}


@pytest.mark.parametrize("far", [False, True])
async def test_upstream_that_leaves_by_a_peers_word_gets_nothing_new(monkeypatch, far):
    async with PeersSetting(monkeypatch) as harness:
        upstream = Upstream("u", "s", ("127.0.0.1", 1), "a1", 3, False, 0.0)
        harness.registry.put_upstream(upstream)
        numbers = (harness.registry.number_by_id["u"], 7)
        digest = make_digest("b", [make_peer("q", region="b")], ())
        if far:
            digests = (digest._replace(leaving_upstreams=numbers),)
            harness.hear("vm-2", "10.0.0.2", digests=digests)
        else:
            harness.hear("vm-2", "10.0.0.2", leaving_upstreams=numbers)
        assert harness.registry.get_usable_ids("s", "a") == ()


async def test_turn_of_a_limited_upstream_is_for_what_it_knows():
    # Guards against an object that takes the turns of others in its need.
    async with ChooserSetting(WARM) as harness:
        key_by_home = {}
        for number in range(20):
            key = f"k{number}"
            key_by_home[harness.choose(make_work(key=key)).upstream.id] = key
        for upstream in list(harness.registry.upstream_by_id.values()):
            harness.limits.note_answer(upstream, 4.0)
        await asyncio.sleep(1.05)
        for home, key in key_by_home.items():
            for _ in range(4 if home == "u0" else 2):
                assert harness.choose(make_work(key=key)).upstream.id == home
        assert len(key_by_home) == 4
        assert isinstance(harness.choose(make_work(key=key_by_home["u0"])), Rejection)
        assert not isinstance(harness.choose(make_work(key="new")), Rejection)
