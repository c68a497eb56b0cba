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
from godwitlanding.gateway.allotmentnews import AllotmentNews
from godwitlanding.gateway.bulletin import decode_bulletin, encode_bulletin
from godwitlanding.gateway.fartargets import SPREAD_EVERY, FarTargets
from godwitlanding.gateway.limitnews import LimitNews
from godwitlanding.gateway.objectnews import TELL_S
from godwitlanding.gateway.peers import Peers
from godwitlanding.gateway.registry import Registry, Upstream
from godwitlanding.tests.support_fleet import CAPACITY, make_bulletin, make_peer

pytestmark = pytest.mark.looptime

STRONG = {"capacity": Capacity(10_000.0, 8.6)}
REGION_BY_ZONE = {"a1": "a", "b1": "b"}
PORT = 7540


class Wire:
    """Keeps the datagrams that are sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((address[0], decode_bulletin(data)))

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
        self.limits = LimitNews(
            self.registry, "a", REGION_BY_ZONE.values(), self.counters
        )
        self.peers = Peers(
            identity,
            self.fleet,
            self.occupancy,
            self.crashes.append,
            self.object_map,
            AllotmentNews(self.allotments),
            self.limits,
        )
        self.peers.is_ready = lambda: True
        self.wire = Wire()
        self._monkeypatch = monkeypatch

    async def __aenter__(self):
        async def create(make, local_addr):
            return self.wire, make()

        loop = asyncio.get_running_loop()
        self._monkeypatch.setattr(loop, "create_datagram_endpoint", create)
        kernel = SimpleNamespace(get=lambda name: self.registry)
        await self.peers.start(kernel)
        return self

    async def __aexit__(self, *error):
        await self.peers.stop()

    def hear(self, vm, host, **changes):
        bulletin = make_bulletin(vm, region="a", **changes)
        self.peers.hear(encode_bulletin(bulletin), host)

    def list_region(self, count):
        """The store lists VMs of the own region."""
        for number in range(count):
            self.peers.note_vm(f"vm-{number}", f"10.0.2.{number}", "a1")

    def hear_strong(self, count, **changes):
        """Hear of VMs that are so strong that this one carries nothing."""
        for number in range(count):
            self.hear(f"strong-{number}", f"10.0.1.{number}", **STRONG, **changes)

    async def count_sent(self, seconds):
        self.wire.sent.clear()
        await asyncio.sleep(seconds)
        return self.wire.count_by_host()


async def test_idle_vm_says_little(monkeypatch):
    async with Setting(monkeypatch) as setting:
        for number in range(2, 5):
            setting.peers.note_vm(f"vm-{number}", f"10.0.0.{number}", "a1")
        sent = await setting.count_sent(2.0)
        assert set(sent) == {"10.0.0.2", "10.0.0.3", "10.0.0.4"}
        assert max(sent.values()) <= 5


async def test_vm_that_carries_nothing_tells_those_that_do(monkeypatch):
    # Sixty VMs of a region without a request told each other all the time,
    # which was nearly all that they did.
    async with Setting(monkeypatch) as setting:
        setting.list_region(60)
        for sequence in range(1, 6):
            setting.hear_strong(3, sequence=sequence)
            sent = await setting.count_sent(1.0)
        assert set(sent) <= {"10.0.1.0", "10.0.1.1", "10.0.1.2"}
        assert 1 <= sum(sent.values()) <= 3


async def test_strays_are_told_to_nobody(monkeypatch):
    # Each VM is asked now and then which routes it knows, and some callers
    # keep their connections. Each of sixty that carry nothing else would tell
    # the others of it thirty times a second.
    async with Setting(monkeypatch) as setting:
        setting.list_region(60)
        for sequence in range(1, 6):
            setting.hear_strong(3, sequence=sequence)
            setting.peers.note_arrival("s")
            setting.occupancy.begin("u")
            sent = await setting.count_sent(1.0)
        assert sum(sent.values()) <= 3
        assert not any(told.count_by_number for _, told in setting.wire.sent)


async def test_vm_carries_when_those_that_did_are_lost(monkeypatch):
    # The strong VMs of a region lose their power at once. The others have
    # hardly heard of each other, and each is asked by callers where to go.
    async with Setting(monkeypatch) as setting:
        setting.peers.note_vm("vm-2", "10.0.0.2", "a1")
        for sequence in range(1, 4):
            setting.hear_strong(3, sequence=sequence)
            sent = await setting.count_sent(1.0)
        assert "10.0.0.2" not in sent
        await asyncio.sleep(SILENT_S)
        sent = await setting.count_sent(1.0)
        assert sent["10.0.0.2"] >= 2
        assert setting.wire.sent[-1][1].active


async def test_vm_says_to_all_that_it_carries_no_longer(monkeypatch):
    # Those that heard it twice a second would take it for dead.
    async with Setting(monkeypatch) as setting:
        setting.peers.note_vm("vm-2", "10.0.0.2", "a1")
        await asyncio.sleep(1.0)
        for sequence in range(1, 4):
            setting.hear_strong(3, sequence=sequence)
            await asyncio.sleep(0.4)
        told = [b for host, b in setting.wire.sent if host == "10.0.0.2"]
        assert told[0].active
        assert not told[-1].active


async def test_busy_vms_hear_of_each_other_often(monkeypatch):
    # Two VMs send to the same upstreams. If they heard of each other only
    # twice a second, both would fill an upstream that they believe is idle.
    async with Setting(monkeypatch) as setting:
        setting.hear("vm-2", "10.0.0.2", rate_by_service={"s": 20.0})
        setting.occupancy.begin("u")
        sent = await setting.count_sent(1.0)
        assert sent["10.0.0.2"] >= 30


async def test_last_request_is_taken_back(monkeypatch):
    # A VM has nothing in progress any more and falls silent. Its peers would
    # count its last requests until they take it for dead.
    async with Setting(monkeypatch) as setting:
        setting.hear("vm-2", "10.0.0.2", rate_by_service={"s": 20.0})
        setting.occupancy.begin("u")
        await asyncio.sleep(0.2)
        setting.occupancy.end("u")
        await setting.count_sent(0.2)
        assert setting.wire.sent[0][1].count_by_number == {}


async def test_other_region_is_told_by_a_digest(monkeypatch):
    async with Setting(monkeypatch) as setting:
        setting.peers.note_vm("far", "10.0.9.1", "b1")
        setting.hear("vm-2", "10.0.0.2", rate_by_service={"s": 20.0})
        await setting.count_sent(1.2)
        told = [bulletin for host, bulletin in setting.wire.sent if host == "10.0.9.1"]
        assert 2 <= len(told) <= 4
        assert told[-1].digests[0].rate_by_service == {"s": 20.0}
        assert told[-1].digests[0].vms == 2


def test_one_more_is_another_one():
    # Now and then one more VM of a region is told, as the one that is told
    # each time may be lost. Chance may not pick that one again.
    targets = FarTargets(Digests("a"))
    targets.note_teller("b", "h0")
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
    async with Setting(monkeypatch) as setting:
        for number in range(9):
            setting.peers.note_vm(f"far-{number}", f"10.0.9.{number}", "b1")
        digest = Digest(
            "b", 9, tuple(f"10.0.9.{n}:80" for n in range(9)), {}, (), "", ()
        )
        for sequence in range(1, 9):
            far = make_bulletin(
                "far-3", region="b", sequence=sequence, digests=(digest,)
            )
            setting.peers.hear(encode_bulletin(far), "10.0.9.3")
            await asyncio.sleep(0.5)
        sent = setting.wire.count_by_host()
        others = {host for host in sent if host.startswith("10.0.9.")} - {"10.0.9.3"}
        assert sent["10.0.9.3"] >= 6
        assert 1 <= len(others) <= 3


async def test_sharers_of_an_upstream_elsewhere_are_told(monkeypatch):
    # A region sends away what it has no room for. The VMs there share the
    # upstreams with it, and would take them for idle.
    async with Setting(monkeypatch) as setting:
        digest = Digest("b", 1, ("10.0.9.1:80",), {}, (), "", ())
        setting.hear("vm-2", "10.0.0.2", digests=(digest,))
        setting.registry.put_upstream(
            Upstream("u", "s", ("10.0.9.7", 1), "b1", 3, False, 0.0)
        )
        setting.occupancy.begin("u")
        sent = await setting.count_sent(1.0)
        assert sent["10.0.9.1"] >= 5


async def test_digest_from_outside_reaches_the_neighbours(monkeypatch):
    async with Setting(monkeypatch) as setting:
        digest = Digest("b", 4, (), {"s": 9.0}, (), "", ())
        setting.hear("vm-2", "10.0.0.2")
        bulletin = make_bulletin("far", region="b", digests=(digest,))
        setting.peers.hear(encode_bulletin(bulletin), "10.0.9.1")
        assert setting.peers.get_rates("s") == {"a": 0.0, "b": 9.0}
        await setting.count_sent(0.5)
        assert any(bulletin.digests == (digest,) for _, bulletin in setting.wire.sent)


async def test_crash_is_told_at_once_everywhere(monkeypatch):
    # A request crashes the upstream that runs it and is sent again by its
    # caller, to any VM. The sooner they know, the fewer upstreams it takes.
    async with Setting(monkeypatch) as setting:
        setting.peers.note_vm("far", "10.0.9.1", "b1")
        setting.hear("vm-2", "10.0.0.2")
        setting.wire.sent.clear()
        crash = Crash(7, "u")
        setting.peers.note_crash(crash)
        assert {host for host, _ in setting.wire.sent} == {"10.0.0.2", "10.0.9.1"}
        heard = make_bulletin("far", region="b", crashes=(Crash(8, "v"),))
        setting.peers.hear(encode_bulletin(heard), "10.0.9.1")
        assert setting.crashes == [Crash(8, "v")]


async def test_new_vm_is_answered_at_once(monkeypatch):
    # A VM has just started and knows nobody. It cannot serve well before it
    # knows its peers.
    async with Setting(monkeypatch) as setting:
        setting.wire.sent.clear()
        setting.hear("vm-2", "10.0.0.2")
        assert [host for host, _ in setting.wire.sent] == ["10.0.0.2"]
        setting.hear("vm-2", "10.0.0.2", sequence=2)
        assert len(setting.wire.sent) == 1
        setting.hear("vm-2", "10.0.0.2", incarnation=2)
        assert len(setting.wire.sent) == 2


async def test_leaving_is_told_at_once(monkeypatch):
    async with Setting(monkeypatch) as setting:
        setting.hear("vm-2", "10.0.0.2")
        setting.wire.sent.clear()
        setting.peers.leave()
        assert all(bulletin.leaving for _, bulletin in setting.wire.sent)
        assert setting.wire.sent


async def test_vms_are_counted_by_the_store_and_by_hearing(monkeypatch):
    # Shares of what all VMs may repeat together must not grow because some
    # of them cannot be heard.
    async with Setting(monkeypatch) as setting:
        setting.peers.note_vm("vm-2", "10.0.0.2", "a1")
        setting.peers.note_vm("far", "10.0.9.1", "b1")
        setting.hear("vm-2", "10.0.0.2")
        setting.hear("vm-3", "10.0.0.3")
        assert setting.peers.count_vms() == 4
        setting.peers.note_vm("far", None, "")
        assert setting.peers.count_vms() == 3


MEETING = CacheEntry(7, 9)


async def test_peers_are_told_who_got_an_object(monkeypatch):
    # Another VM gets a request for the same object a moment later. Unless it
    # knows where the first one went, a second upstream learns the object. Any
    # datagram may be lost, so it is told more than once, and not for ever.
    async with Setting(monkeypatch) as setting:
        setting.hear("vm-2", "10.0.0.2", rate_by_service={"s": 20.0})
        setting.occupancy.begin("u")
        setting.peers.note_meeting(MEETING)
        await setting.count_sent(0.1)
        assert sum(MEETING in told.met for _, told in setting.wire.sent) >= 2
        await asyncio.sleep(TELL_S)
        await setting.count_sent(0.2)
        assert not any(told.met for _, told in setting.wire.sent)


async def test_other_regions_are_told_who_got_an_object(monkeypatch):
    # Callers move to another region and ask for the same objects there.
    async with Setting(monkeypatch) as setting:
        setting.peers.note_vm("far", "10.0.9.1", "b1")
        setting.hear("vm-2", "10.0.0.2", met=(MEETING,))
        await setting.count_sent(1.2)
        told = [bulletin for host, bulletin in setting.wire.sent if host == "10.0.9.1"]
        assert all(MEETING in bulletin.digests[0].met for bulletin in told)


async def test_word_of_another_region_is_taken(monkeypatch):
    async with Setting(monkeypatch) as setting:
        digest = make_digest("b", [make_peer("far")], (), (MEETING,))
        bulletin = make_bulletin("far", region="b", digests=(digest,))
        setting.peers.hear(encode_bulletin(bulletin), "10.0.9.1")
        assert setting.object_map.get_depth(*MEETING) == 0


async def test_vm_that_starts_is_told_all_that_is_known(monkeypatch):
    # A VM that was killed is back and knows no object. It would have each one
    # learnt anew wherever chance sends it.
    async with Setting(monkeypatch) as setting:
        meetings = {CacheEntry(number, 9) for number in range(300)}
        for cache_entry in meetings:
            setting.peers.note_meeting(cache_entry)
        await asyncio.sleep(TELL_S + 0.1)
        setting.wire.sent.clear()
        setting.hear("vm-2", "10.0.0.2", incarnation=5)
        assert set(setting.wire.sent[0][1].met) == meetings


async def test_vm_that_starts_is_told_all_by_two(monkeypatch):
    # Twenty VMs that each told all of it would fill the link of a weak one
    # just when it starts.
    names = [f"vm-{number}" for number in range(8)]
    greeted = 0
    for name in names:
        async with Setting(monkeypatch, vm=name) as setting:
            for other in names:
                if other != name:
                    setting.hear(other, f"10.0.1.{other[3:]}")
            setting.peers.note_meeting(MEETING)
            await asyncio.sleep(TELL_S + 0.1)
            setting.wire.sent.clear()
            setting.hear("new", "10.0.0.2")
            greeted += bool(setting.wire.sent[0][1].met)
    assert greeted <= REPRESENTATIVES
