"""Who is told what, and how often."""

import asyncio
from collections import Counter
from types import SimpleNamespace

import pytest

from godwitlanding.base.metrics import Counters
from godwitlanding.decisions.allotment import Allotments, Tolerance
from godwitlanding.decisions.digest import (
    REPRESENTATIVES,
    Crash,
    Digest,
    Digests,
    make_digest,
)
from godwitlanding.decisions.fleet import SILENT_S, Capacity, Fleet
from godwitlanding.decisions.objectmap import CacheEntry, ObjectMap
from godwitlanding.decisions.occupancy import Occupancy
from godwitlanding.gateway.allotmentgossip import AllotmentGossip
from godwitlanding.gateway.gossipmessage import decode_message, encode_message
from godwitlanding.gateway.limitgossip import LimitGossip
from godwitlanding.gateway.objectgossip import REPEAT_S
from godwitlanding.gateway.peers import Peers
from godwitlanding.gateway.registry import Registry, Upstream
from godwitlanding.gateway.remotetargets import SPREAD_EVERY, RemoteTargets
from godwitlanding.tests.support_fleet import CAPACITY, make_gossip_message, make_peer

pytestmark = pytest.mark.looptime

STRONG = {"capacity": Capacity(10_000.0, 8.6)}
REGION_BY_ZONE = {"a1": "a", "b1": "b"}
PORT = 7540


class RecordingTransport:
    """Keeps the datagrams that are sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((address[0], decode_message(data)))

    def close(self):
        pass

    def count_by_host(self):
        return Counter(host for host, _ in self.sent)


class Setting:
    """The peers of one VM, with a wire that goes nowhere."""

    def __init__(self, monkeypatch, vm="own"):
        identity = SimpleNamespace(
            vm=vm,
            ip="10.0.0.1",
            region="a",
            availability_zone="a1",
            peer_port=PORT,
            caller_address=("10.0.0.1", 80),
            capacity=CAPACITY,
        )
        self.fleet = Fleet()
        self.occupancy = Occupancy()
        self.registry = Registry(REGION_BY_ZONE)
        self.crashes = []
        self.object_map = ObjectMap()
        self.allotments = Allotments("a", ("a", "b"), Tolerance(), 0.0)
        self.counters = Counters()
        self.limits = LimitGossip(
            self.registry, "a", REGION_BY_ZONE.values(), self.counters
        )
        self.peers = Peers(
            identity,
            self.fleet,
            self.occupancy,
            self.crashes.append,
            self.object_map,
            AllotmentGossip(self.allotments),
            self.limits,
        )
        self.peers.is_ready = lambda: True
        self.transport = RecordingTransport()
        self._monkeypatch = monkeypatch

    async def __aenter__(self):
        async def create(make, local_addr):
            return self.transport, make()

        loop = asyncio.get_running_loop()
        self._monkeypatch.setattr(loop, "create_datagram_endpoint", create)
        kernel = SimpleNamespace(get=lambda name: self.registry)
        await self.peers.start(kernel)
        return self

    async def __aexit__(self, *error):
        await self.peers.stop()

    def hear(self, vm, host, **changes):
        message = make_gossip_message(vm, region="a", **changes)
        self.peers.hear(encode_message(message), host)

    def list_region(self, count):
        """The store lists VMs of the own region."""
        for number in range(count):
            self.peers.note_vm(f"vm-{number}", f"10.0.2.{number}", "a1")

    def receive_from_strong(self, count, **changes):
        """Hear of VMs that are so strong that this one carries nothing."""
        for number in range(count):
            self.hear(f"strong-{number}", f"10.0.1.{number}", **STRONG, **changes)

    async def count_sent(self, seconds):
        self.transport.sent.clear()
        await asyncio.sleep(seconds)
        return self.transport.count_by_host()


async def test_idle_vm_says_little(monkeypatch):
    async with Setting(monkeypatch) as harness:
        for number in range(2, 5):
            harness.peers.note_vm(f"vm-{number}", f"10.0.0.{number}", "a1")
        sent = await harness.count_sent(2.0)
        assert set(sent) == {"10.0.0.2", "10.0.0.3", "10.0.0.4"}
        assert max(sent.values()) <= 5


async def test_vm_that_carries_nothing_tells_those_that_do(monkeypatch):
    # Sixty VMs of a region without a request told each other all the time,
    # which was nearly all that they did.
    async with Setting(monkeypatch) as harness:
        harness.list_region(60)
        for sequence in range(1, 6):
            harness.receive_from_strong(3, sequence=sequence)
            sent = await harness.count_sent(1.0)
        assert set(sent) <= {"10.0.1.0", "10.0.1.1", "10.0.1.2"}
        assert 1 <= sum(sent.values()) <= 3


async def test_strays_are_told_to_nobody(monkeypatch):
    # Each VM is asked now and then which routes it knows, and some callers
    # keep their connections. Each of sixty that carry nothing else would tell
    # the others of it thirty times a second.
    async with Setting(monkeypatch) as harness:
        harness.list_region(60)
        for sequence in range(1, 6):
            harness.receive_from_strong(3, sequence=sequence)
            harness.peers.note_arrival("s")
            harness.occupancy.begin("u")
            sent = await harness.count_sent(1.0)
        assert sum(sent.values()) <= 3
        assert not any(told.count_by_number for _, told in harness.transport.sent)


async def test_vm_carries_when_those_that_did_are_lost(monkeypatch):
    # The strong VMs of a region lose their power at once. The others have
    # hardly heard of each other, and each is asked by callers where to go.
    async with Setting(monkeypatch) as harness:
        harness.peers.note_vm("vm-2", "10.0.0.2", "a1")
        for sequence in range(1, 4):
            harness.receive_from_strong(3, sequence=sequence)
            sent = await harness.count_sent(1.0)
        assert "10.0.0.2" not in sent
        await asyncio.sleep(SILENT_S)
        sent = await harness.count_sent(1.0)
        assert sent["10.0.0.2"] >= 2
        assert harness.transport.sent[-1][1].active


async def test_vm_says_to_all_that_it_carries_no_longer(monkeypatch):
    # Those that heard it twice a second would take it for dead.
    async with Setting(monkeypatch) as harness:
        harness.peers.note_vm("vm-2", "10.0.0.2", "a1")
        await asyncio.sleep(1.0)
        for sequence in range(1, 4):
            harness.receive_from_strong(3, sequence=sequence)
            await asyncio.sleep(0.4)
        told = [b for host, b in harness.transport.sent if host == "10.0.0.2"]
        assert told[0].active
        assert not told[-1].active


async def test_busy_vms_hear_of_each_other_often(monkeypatch):
    # Two VMs send to the same upstreams. If they heard of each other only
    # twice a second, both would fill an upstream that they believe is idle.
    async with Setting(monkeypatch) as harness:
        harness.hear("vm-2", "10.0.0.2", rate_by_service={"s": 20.0})
        harness.occupancy.begin("u")
        sent = await harness.count_sent(1.0)
        assert sent["10.0.0.2"] >= 30


async def test_last_request_is_taken_back(monkeypatch):
    # A VM has nothing in progress any more and falls silent. Its peers would
    # count its last requests until they take it for dead.
    async with Setting(monkeypatch) as harness:
        harness.hear("vm-2", "10.0.0.2", rate_by_service={"s": 20.0})
        harness.occupancy.begin("u")
        await asyncio.sleep(0.2)
        harness.occupancy.end("u")
        await harness.count_sent(0.2)
        assert harness.transport.sent[0][1].count_by_number == {}


async def test_other_region_is_told_by_a_digest(monkeypatch):
    async with Setting(monkeypatch) as harness:
        harness.peers.note_vm("far", "10.0.9.1", "b1")
        harness.hear("vm-2", "10.0.0.2", rate_by_service={"s": 20.0})
        await harness.count_sent(1.2)
        told = [
            message for host, message in harness.transport.sent if host == "10.0.9.1"
        ]
        assert 2 <= len(told) <= 4
        assert told[-1].digests[0].rate_by_service == {"s": 20.0}
        assert told[-1].digests[0].vms == 2


def test_one_more_is_another_one():
    # Now and then one more VM of a region is told, as the one that is told
    # each time may be lost. Chance may not pick that one again.
    targets = RemoteTargets(Digests("a"))
    targets.note_sender("b", "h0")
    numbers = []
    for _ in range(400):
        picked = targets.pick({"b": ["h0", "h1"]})
        assert set(picked) in ({"h0"}, {"h0", "h1"})
        numbers.append(len(picked))
    assert numbers.count(2) == len(numbers) // SPREAD_EVERY


async def test_few_pass_a_digest_on(monkeypatch):
    # Whoever gets a digest from outside passes it on to all its neighbours.
    # Sent to others each time, it is passed on by all of them, and most of
    # what an idle VM reads is the same digest again.
    async with Setting(monkeypatch) as harness:
        for number in range(9):
            harness.peers.note_vm(f"far-{number}", f"10.0.9.{number}", "b1")
        digest = Digest(
            "b", 9, tuple(f"10.0.9.{n}:80" for n in range(9)), {}, (), "", ()
        )
        for sequence in range(1, 9):
            far = make_gossip_message(
                "far-3", region="b", sequence=sequence, digests=(digest,)
            )
            harness.peers.hear(encode_message(far), "10.0.9.3")
            await asyncio.sleep(0.5)
        sent = harness.transport.count_by_host()
        others = {host for host in sent if host.startswith("10.0.9.")} - {"10.0.9.3"}
        assert sent["10.0.9.3"] >= 6
        assert 1 <= len(others) <= 3


async def test_sharers_of_an_upstream_elsewhere_are_told(monkeypatch):
    # A region sends away what it has no room for. The VMs there share the
    # upstreams with it, and would take them for idle.
    async with Setting(monkeypatch) as harness:
        digest = Digest("b", 1, ("10.0.9.1:80",), {}, (), "", ())
        harness.hear("vm-2", "10.0.0.2", digests=(digest,))
        harness.registry.put_upstream(
            Upstream("u", "s", ("10.0.9.7", 1), "b1", 3, False, 0.0)
        )
        harness.occupancy.begin("u")
        sent = await harness.count_sent(1.0)
        assert sent["10.0.9.1"] >= 5


async def test_digest_from_outside_reaches_the_neighbours(monkeypatch):
    async with Setting(monkeypatch) as harness:
        digest = Digest("b", 4, (), {"s": 9.0}, (), "", ())
        harness.hear("vm-2", "10.0.0.2")
        message = make_gossip_message("far", region="b", digests=(digest,))
        harness.peers.hear(encode_message(message), "10.0.9.1")
        assert harness.peers.get_arrival_rates("s") == {"a": 0.0, "b": 9.0}
        await harness.count_sent(0.5)
        assert any(
            message.digests == (digest,) for _, message in harness.transport.sent
        )


async def test_crash_is_told_at_once_everywhere(monkeypatch):
    # A request crashes the upstream that runs it and is sent again by its
    # caller, to any VM. The sooner they know, the fewer upstreams it takes.
    async with Setting(monkeypatch) as harness:
        harness.peers.note_vm("far", "10.0.9.1", "b1")
        harness.hear("vm-2", "10.0.0.2")
        harness.transport.sent.clear()
        crash = Crash(7, "u")
        harness.peers.note_crash(crash)
        assert {host for host, _ in harness.transport.sent} == {"10.0.0.2", "10.0.9.1"}
        heard = make_gossip_message("far", region="b", crashes=(Crash(8, "v"),))
        harness.peers.hear(encode_message(heard), "10.0.9.1")
        assert harness.crashes == [Crash(8, "v")]


async def test_new_vm_is_answered_at_once(monkeypatch):
    # A VM has just started and knows nobody. It cannot serve well before it
    # knows its peers.
    async with Setting(monkeypatch) as harness:
        harness.transport.sent.clear()
        harness.hear("vm-2", "10.0.0.2")
        assert [host for host, _ in harness.transport.sent] == ["10.0.0.2"]
        harness.hear("vm-2", "10.0.0.2", sequence=2)
        assert len(harness.transport.sent) == 1
        harness.hear("vm-2", "10.0.0.2", incarnation=2)
        assert len(harness.transport.sent) == 2


async def test_leaving_is_told_at_once(monkeypatch):
    async with Setting(monkeypatch) as harness:
        harness.hear("vm-2", "10.0.0.2")
        harness.transport.sent.clear()
        harness.peers.leave()
        assert all(message.leaving for _, message in harness.transport.sent)
        assert harness.transport.sent


async def test_vms_are_counted_by_the_store_and_by_hearing(monkeypatch):
    # Shares of what all VMs may repeat together must not grow because some
    # of them cannot be heard.
    async with Setting(monkeypatch) as harness:
        harness.peers.note_vm("vm-2", "10.0.0.2", "a1")
        harness.peers.note_vm("far", "10.0.9.1", "b1")
        harness.hear("vm-2", "10.0.0.2")
        harness.hear("vm-3", "10.0.0.3")
        assert harness.peers.count_vms() == 4
        harness.peers.note_vm("far", None, "")
        assert harness.peers.count_vms() == 3


CACHE_ENTRY = CacheEntry(7, 9)


async def test_peers_are_told_who_got_an_object(monkeypatch):
    # Another VM gets a request for the same object a moment later. Unless it
    # knows where the first one went, a second upstream learns the object. Any
    # datagram may be lost, so it is told more than once, and not for ever.
    async with Setting(monkeypatch) as harness:
        harness.hear("vm-2", "10.0.0.2", rate_by_service={"s": 20.0})
        harness.occupancy.begin("u")
        harness.peers.note_cache_entry(CACHE_ENTRY)
        await harness.count_sent(0.1)
        assert sum(CACHE_ENTRY in told.met for _, told in harness.transport.sent) >= 2
        await asyncio.sleep(REPEAT_S)
        await harness.count_sent(0.2)
        assert not any(told.met for _, told in harness.transport.sent)


async def test_other_regions_are_told_who_got_an_object(monkeypatch):
    # Callers move to another region and ask for the same objects there.
    async with Setting(monkeypatch) as harness:
        harness.peers.note_vm("far", "10.0.9.1", "b1")
        harness.hear("vm-2", "10.0.0.2", met=(CACHE_ENTRY,))
        await harness.count_sent(1.2)
        told = [
            message for host, message in harness.transport.sent if host == "10.0.9.1"
        ]
        assert all(CACHE_ENTRY in message.digests[0].met for message in told)


async def test_word_of_another_region_is_taken(monkeypatch):
    async with Setting(monkeypatch) as harness:
        digest = make_digest("b", [make_peer("far")], (), (CACHE_ENTRY,))
        message = make_gossip_message("far", region="b", digests=(digest,))
        harness.peers.hear(encode_message(message), "10.0.9.1")
        assert harness.object_map.get_depth(*CACHE_ENTRY) == 0


async def test_vm_that_starts_is_told_all_that_is_known(monkeypatch):
    # A VM that was killed is back and knows no object. It would have each one
    # learnt anew wherever chance sends it.
    async with Setting(monkeypatch) as harness:
        meetings = {CacheEntry(number, 9) for number in range(300)}
        for cache_entry in meetings:
            harness.peers.note_cache_entry(cache_entry)
        await asyncio.sleep(REPEAT_S + 0.1)
        harness.transport.sent.clear()
        harness.hear("vm-2", "10.0.0.2", incarnation=5)
        assert set(harness.transport.sent[0][1].met) == meetings


async def test_vm_that_starts_is_told_all_by_two(monkeypatch):
    # Twenty VMs that each told all of it would fill the link of a weak one
    # just when it starts.
    names = [f"vm-{number}" for number in range(8)]
    greeted = 0
    for name in names:
        async with Setting(monkeypatch, vm=name) as harness:
            for other in names:
                if other != name:
                    harness.hear(other, f"10.0.1.{other[3:]}")
            harness.peers.note_cache_entry(CACHE_ENTRY)
            await asyncio.sleep(REPEAT_S + 0.1)
            harness.transport.sent.clear()
            harness.hear("new", "10.0.0.2")
            greeted += bool(harness.transport.sent[0][1].met)
    assert greeted <= REPRESENTATIVES
