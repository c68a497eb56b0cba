"""Tests of the selection of an upstream for each attempt."""

import asyncio
from collections import Counter
from types import SimpleNamespace

import pytest

from godwitlanding.base.metrics import Counters
from godwitlanding.decisions.objectmap import (
    CacheEntry,
    ObjectMap,
    get_object_number,
)
from godwitlanding.decisions.occupancy import Occupancy
from godwitlanding.decisions.routes import (
    Limits,
    Route,
    RouteConfig,
    RouteKind,
    Service,
    SplitPart,
)
from godwitlanding.decisions.shiftguard import WINDOW_S
from godwitlanding.decisions.worktime import Warmth, WorkTimes
from godwitlanding.gateway.attempt import AdmittedRequest
from godwitlanding.gateway.chooser import OVERFLOW_SHARE, Chooser, Rejection
from godwitlanding.gateway.limitgossip import LimitGossip
from godwitlanding.gateway.registry import Registry, Upstream
from godwitlanding.tests.support_fleet import CAPACITY, make_fleet, make_gossip_message

pytestmark = pytest.mark.looptime

REGION_BY_ZONE = {"a1": "a", "b1": "b"}
COLD_PER_S = 5.0


def make_route(allowed_regions=()):
    return Route(
        "r",
        "h",
        "/",
        RouteKind.SAFE,
        2.0,
        0.4,
        1,
        (SplitPart("s", 1.0),),
        2,
        True,
        frozenset(allowed_regions),
    )


def make_request(key="k", route=None, came_back=False):
    now = asyncio.get_running_loop().time()
    return AdmittedRequest(
        request_id=b"r1",
        route=route or make_route(),
        service="s",
        key=key,
        fingerprint=1,
        deadline_at=now + 2.0,
        target_at=now + 0.4,
        respond_by=now + 2.0,
        came_back=came_back,
    )


class Setting:
    """The chooser of one VM with its registry and simulated peers."""

    def __init__(self, upstreams, vm="vm-1", peers=(), rates=None):
        self.registry = Registry(REGION_BY_ZONE)
        service = Service("s", "/healthz", 100, 3.0, COLD_PER_S)
        self.registry.set_config(RouteConfig(1, {}, {"s": service}, Limits()))
        self.occupancy = Occupancy()
        self.worktimes = WorkTimes()
        self.object_map = ObjectMap()
        fleet = make_fleet(*(make_gossip_message(peer, region="a") for peer in peers))
        identity = SimpleNamespace(
            vm=vm,
            region="a",
            availability_zone="a1",
            region_by_zone=REGION_BY_ZONE,
            caller_address=("127.0.0.1", 1),
            capacity=CAPACITY,
        )
        self.limit_gossip = LimitGossip(
            self.registry, "a", REGION_BY_ZONE.values(), Counters()
        )
        self.chooser = Chooser(
            identity,
            self.occupancy,
            self.worktimes,
            fleet,
            self.object_map,
            self.limit_gossip,
        )
        self._rates = rates or {}
        for name, zone, cold_s in upstreams:
            self.registry.put_upstream(
                Upstream(name, "s", ("127.0.0.1", 1), zone, 3, False, cold_s)
            )

    async def __aenter__(self):
        peers = SimpleNamespace(
            count_vms=lambda: 1,
            get_arrival_rates=lambda service: dict(self._rates),
            note_cache_entry=lambda cache_entry: self.object_map.note(
                cache_entry, asyncio.get_running_loop().time()
            ),
        )
        kernel = {"registry": self.registry, "peers": peers}
        await self.chooser.start(SimpleNamespace(get=kernel.get))
        await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *error):
        await self.chooser.stop()

    def choose(self, request=None, tried=()):
        now = asyncio.get_running_loop().time()
        return self.chooser.choose(request or make_request(), set(tried), now)

    def fill(self, upstream, count):
        for _ in range(count):
            self.occupancy.begin(upstream)


WARM = [(f"u{number}", "a1", 0.0) for number in range(4)]


async def test_cold_upstream_gets_its_rate_from_all_vms_together():
    # Restarted upstreams are cold and crash if they get much more than their
    # rate. Four VMs that each used the full rate would send four times as
    # much.
    vms = [f"vm-{number}" for number in range(4)]
    sent = Counter()
    for vm in vms:
        peers = [other for other in vms if other != vm]
        async with Setting([("cold", "a1", 9.0)], vm=vm, peers=peers) as setting:
            for _ in range(100):
                if not isinstance(setting.choose(), Rejection):
                    sent[vm] += 1
                await asyncio.sleep(0.01)
    assert len(sent) == 1
    assert COLD_PER_S - 1 <= sum(sent.values()) <= COLD_PER_S + 1


async def test_zone_is_cold_after_its_evacuation_ends():
    # The upstreams of an evacuated zone get no requests and become cold. Their
    # entries say so only at the next heartbeat; full load until then would
    # crash them.
    async with Setting(WARM) as setting:
        setting.registry.set_evacuated("a1", True)
        assert isinstance(setting.choose(), Rejection)
        setting.registry.set_evacuated("a1", False)
        sent = 0
        for _ in range(100):
            sent += not isinstance(setting.choose(make_request(key="")), Rejection)
            await asyncio.sleep(0.01)
        assert sent <= (COLD_PER_S + 1) * len(WARM)


@pytest.mark.parametrize(
    ("allowed", "expected"),
    [((), {"u0", "far"}), (("a",), {"u0"}), (("b",), {"far"}), (("c",), set())],
)
async def test_route_is_limited_to_its_allowed_regions(allowed, expected):
    # A route stays in its allowed regions even while those are full.
    upstreams = [("u0", "a1", 0.0), ("far", "b1", 0.0)]
    async with Setting(upstreams) as setting:
        seen = set()
        for filled in (0, 9):
            setting.fill("u0", filled)
            for number in range(20):
                request = make_request(str(number), make_route(allowed))
                choice = setting.choose(request)
                if not isinstance(choice, Rejection):
                    seen.add(choice.upstream.id)
        assert seen <= expected


async def test_full_home_moves_few_requests_to_another_region():
    # An object's home is full. If its requests went to any region with free
    # slots, all callers would switch regions within a second.
    upstreams = [*WARM, *((f"f{n}", "b1", 0.0) for n in range(4))]
    async with Setting(upstreams, rates={"a": 1.0, "b": 1.0}) as setting:
        for number in range(200):
            choice = setting.choose(make_request(str(number % 20)))
            assert choice.upstream.id.startswith("u")
        await asyncio.sleep(WINDOW_S)
        for name, _, _ in WARM:
            setting.fill(name, 20)
        far = 0
        for number in range(1000):
            choice = setting.choose(make_request(str(number % 20)))
            far += not isinstance(choice, Rejection)
        assert far <= 1000 * OVERFLOW_SHARE * 1.5


async def test_region_without_upstreams_is_served_by_another_region():
    # All upstreams of the region are gone. Its requests go to another region
    # at once, however many callers that moves.
    async with Setting([*WARM, ("far", "b1", 0.0)]) as setting:
        for name, _, _ in WARM:
            setting.registry.remove_upstream(name)
        for number in range(50):
            choice = setting.choose(make_request(str(number)))
            assert choice.upstream.id == "far"


async def test_object_stays_on_its_home_unless_that_was_tried_or_ejected():
    async with Setting(WARM) as setting:
        home = setting.choose().upstream.id
        assert {setting.choose().upstream.id for _ in range(20)} == {home}
        assert setting.choose(tried=[home]).upstream.id != home
        setting.chooser.availability.ejected.add(home)
        assert setting.choose().upstream.id != home


async def test_rejection_contains_its_reason():
    async with Setting([("u0", "a1", 0.0)]) as setting:
        setting.fill("u0", 6)
        now = asyncio.get_running_loop().time()
        rejection = setting.choose(make_request()._replace(target_at=now + 0.2))
        assert rejection.reason == "full"
        assert rejection.placement.candidate.occupied == 6
        assert rejection.to_target_s == pytest.approx(0.2, abs=0.01)


@pytest.mark.parametrize(
    ("in_progress", "failing", "expected"),
    [
        pytest.param(0, ("u0", "u1"), True, id="all shed at random"),
        pytest.param(3, ("u0", "u1"), False, id="full"),
        pytest.param(0, ("u0",), False, id="it alone sheds"),
    ],
)
async def test_upstream_that_shed_at_random_is_tried_again(
    in_progress, failing, expected
):
    # A service sheds half of its requests regardless of its load. Another
    # upstream sheds as well, and does not know the object.
    async with Setting(WARM[:2]) as setting:
        for _ in range(40):
            for upstream in ("u0", "u1"):
                setting.worktimes.note_response("s", upstream, 0.1, Warmth.WARM, False)
                if upstream in failing:
                    setting.worktimes.note_failure("s", upstream)
        setting.fill("u0", in_progress)
        upstream = setting.registry.upstream_by_id["u0"]
        now = asyncio.get_running_loop().time()
        assert setting.chooser.may_try_again("s", upstream, now) is expected


def send_objects(setting, keys):
    """Send one request for each object; return the upstreams by object."""
    home_by_key = {}
    for key in keys:
        home_by_key[key] = setting.choose(make_request(key)).upstream.id
    return home_by_key


KEYS = [str(number) for number in range(40)]


async def test_new_upstream_gets_one_object_at_first():
    # An upstream joins a service. If each object for which it is first in
    # order moved there at once, each of these responses would be late.
    async with Setting(WARM) as setting:
        home_by_key = send_objects(setting, KEYS)
        setting.registry.put_upstream(
            Upstream("new", "s", ("127.0.0.1", 1), "a1", 3, False, 0.0)
        )
        moved = [
            key
            for key, home in send_objects(setting, KEYS).items()
            if home != home_by_key[key]
        ]
        assert len(moved) == 1
        assert setting.choose(make_request(moved[0])).upstream.id == "new"


async def test_object_goes_to_the_upstream_that_a_peer_reported():
    # Two VMs get requests for the same new object at nearly the same time.
    # Without the report of the peer, two upstreams would load it.
    async with Setting(WARM) as setting:
        numbers = setting.registry.number_by_id
        for number, key in enumerate(KEYS):
            name = WARM[number % len(WARM)][0]
            cache_entry = CacheEntry(numbers[name], get_object_number("s", key))
            setting.object_map.receive(cache_entry, 0.0)
            assert setting.choose(make_request(key)).upstream.id == name


async def test_objects_are_distributed_evenly():
    # With hashing alone, one of four upstreams gets twice its share of the
    # objects and is full while the others are idle.
    async with Setting(WARM) as setting:
        counts = Counter(send_objects(setting, KEYS).values())
        assert max(counts.values()) <= 1.3 * len(KEYS) / len(WARM)


async def test_full_home_gives_up_few_objects_at_once():
    # One upstream is full. Its objects may get further homes, but each first
    # run there is a late response, so not all of them may move at once.
    async with Setting(WARM) as setting:
        home_by_key = send_objects(setting, KEYS)
        full = home_by_key[KEYS[0]]
        setting.fill(full, 6)
        objects = [key for key, home in home_by_key.items() if home == full]
        moved = set()
        for number in range(60):
            choice = setting.choose(make_request(objects[number % len(objects)]))
            if not isinstance(choice, Rejection) and choice.upstream.id != full:
                moved.add(objects[number % len(objects)])
        assert 1 <= len(moved) <= 4


@pytest.mark.parametrize(
    "objects",
    [
        pytest.param(30, id="the other region can take all objects"),
        pytest.param(46, id="the other region has more objects than its target"),
    ],
)
async def test_region_that_loses_most_slots_to_limits_is_relieved_at_once(objects):
    # Guards against callers refused for ten seconds while the other region has
    # free slots: three of four upstreams announce limits.
    upstreams = [*WARM, *((f"f{n}", "b1", 0.0) for n in range(4))]
    async with Setting(upstreams, rates={"a": 30.0, "b": 30.0}) as setting:
        keys = [str(number) for number in range(objects)]
        for _ in range(8):
            send_objects(setting, keys)
            await asyncio.sleep(WINDOW_S)
        assert setting.chooser.get_status()["shares"]["s"] == {}
        for name, _, _ in WARM[1:]:
            upstream = setting.registry.upstream_by_id[name]
            setting.limit_gossip.note_response(upstream, 2.0)
            await asyncio.sleep(0.2)
        await asyncio.sleep(1.0)
        share = setting.chooser.get_status()["shares"]["s"]["b"]
        assert 0.2 < share
        # The other region is not pushed past its slots.
        work_s = setting.worktimes.get_mean_s("s")
        assert 30.0 * (1.0 + share) <= 4 * 3 / work_s


async def test_upstreams_that_leave_one_by_one_move_few_callers_at_once():
    # Guards against a planned removal that changes the region of many callers
    # within two seconds, as only a loss may.
    upstreams = [*WARM, *((f"f{n}", "b1", 0.0) for n in range(4))]
    async with Setting(upstreams, rates={"a": 60.0, "b": 10.0}) as setting:
        for _ in range(8):
            send_objects(setting, KEYS)
            await asyncio.sleep(WINDOW_S)
        before = setting.chooser.get_status()["shares"]["s"].get("b", 0.0)
        for name, _, _ in WARM[2:]:
            setting.registry.remove_upstream(name)
            await asyncio.sleep(0.6)
        await asyncio.sleep(0.8)
        share = setting.chooser.get_status()["shares"]["s"]["b"]
        assert before < share <= before + 0.08 + 1e-9


async def test_region_with_unreachable_upstreams_is_served_by_another_region():
    # The region's upstreams are listed but cannot be reached. All its requests
    # go to the region where their objects are known, at once.
    upstreams = [*WARM, ("far", "b1", 0.0)]
    async with Setting(upstreams, rates={"a": 1.0, "b": 1.0}) as setting:
        send_objects(setting, KEYS)
        await asyncio.sleep(WINDOW_S)
        far = setting.registry.number_by_id["far"]
        for key in KEYS:
            cache_entry = CacheEntry(far, get_object_number("s", key))
            setting.object_map.receive(cache_entry, 0.0)
        setting.chooser.availability.ejected.update(name for name, _, _ in WARM)
        assert set(send_objects(setting, KEYS[:10]).values()) == {"far"}


@pytest.mark.parametrize("in_progress", [0, 1])
async def test_object_that_is_known_far_away_only_is_learnt_here(in_progress):
    # Callers have moved to a region and request objects that are known only in
    # another one. Only some of them may change the region at once. The rest
    # was refused repeatedly although every upstream in this region was idle.
    upstreams = [*WARM, *((f"f{n}", "b1", 0.0) for n in range(4))]
    async with Setting(upstreams, rates={"a": 1.0, "b": 1.0}) as setting:
        for name, _, _ in WARM:
            setting.fill(name, in_progress)
        send_objects(setting, KEYS)
        await asyncio.sleep(WINDOW_S)
        send_objects(setting, KEYS)
        numbers = setting.registry.number_by_id
        moved = [f"moved-{number}" for number in range(60)]
        for number, key in enumerate(moved):
            far = numbers[f"f{number % 4}"]
            setting.object_map.receive(
                CacheEntry(far, get_object_number("s", key)), 0.0
            )
        choices = [setting.choose(make_request(key)) for key in moved]
        assert not any(isinstance(choice, Rejection) for choice in choices)
        far = sum(choice.upstream.id.startswith("f") for choice in choices)
        assert far <= 0.15 * len(moved)


@pytest.mark.parametrize("in_progress", [0, 1])
async def test_object_whose_only_home_is_full_far_away_is_learnt_here(in_progress):
    # Guards against refusals while this region has free slots: the only
    # upstream that knows the object is in another region and full.
    upstreams = [*WARM, ("f0", "b1", 0.0)]
    async with Setting(upstreams, rates={"a": 1.0, "b": 1.0}) as setting:
        send_objects(setting, KEYS)
        for name, _, _ in WARM:
            setting.fill(name, in_progress)
        setting.fill("f0", 6)
        moved = [f"moved-{number}" for number in range(20)]
        for key in moved:
            far = setting.registry.number_by_id["f0"]
            setting.object_map.receive(
                CacheEntry(far, get_object_number("s", key)), 0.0
            )
        choices = [setting.choose(make_request(key)) for key in moved]
        assert not any(isinstance(choice, Rejection) for choice in choices)


async def test_removed_upstream_affects_its_own_objects_only():
    async with Setting(WARM) as setting:
        home_by_key = send_objects(setting, KEYS)
        gone = home_by_key[KEYS[0]]
        setting.registry.remove_upstream(gone)
        for key, home in send_objects(setting, KEYS).items():
            assert home == home_by_key[key] or home_by_key[key] == gone


async def test_object_stays_on_a_home_that_sheds_at_random():
    # A service sheds half of its requests. If an object lost each home that
    # shed its first request, every upstream would load it in turn.
    async with Setting(WARM) as setting:
        request = make_request("k")
        home = setting.choose(request).upstream.id
        setting.choose(request, tried=[home])
        assert setting.choose(request).upstream.id == home


async def test_object_that_did_not_reach_its_upstream_gets_another_home():
    # A connection could not be opened, so the upstream does not know the
    # object. Treated as known, it would be expected to be answered in time.
    async with Setting(WARM) as setting:
        request = make_request("k")
        choice = setting.choose(request)
        setting.chooser.learning.note_unreached(request, choice)
        other = setting.choose(request, tried=[choice.upstream.id]).upstream.id
        assert setting.choose(request).upstream.id == other


@pytest.mark.parametrize("key", ["k", ""])
async def test_upstream_removed_during_a_request_causes_no_error(key):
    # An upstream is removed while a request is being sent to it. With an error
    # here, the caller of a payment that did not run would be told that it may
    # have run.
    async with Setting(WARM) as setting:
        request = make_request(key)
        choice = setting.choose(request)
        setting.registry.remove_upstream(choice.upstream.id)
        setting.chooser.learning.note_unreached(request, choice)
        setting.chooser.learning.note_response(request, choice, 0.1)
        assert setting.choose(request).upstream.id != choice.upstream.id


@pytest.mark.parametrize("slow_s", [0.0, 2.0])
async def test_cold_time_is_estimated_when_first_runs_are_fast(slow_s):
    # A service is as fast for new objects as for known ones, or its upstreams
    # were slow for a moment. With a cold time of half a second, callers with
    # new objects would be refused permanently if they had to wait a few
    # milliseconds.
    async with Setting([("u0", "a1", 0.0)]) as setting:
        for number in range(5 if slow_s else 0):
            request = make_request(f"slow{number}")
            choice = setting.choose(request._replace(respond_by=request.respond_by + 9))
            setting.chooser.learning.note_response(request, choice, slow_s)
        for number in range(60):
            request = make_request(f"k{number}")
            request = request._replace(respond_by=request.respond_by + 9)
            setting.chooser.learning.note_response(
                request, setting.choose(request), 0.02
            )
        setting.fill("u0", 4)
        assert not isinstance(setting.choose(make_request("new")), Rejection)


@pytest.mark.parametrize("key", ["", "new"])
async def test_estimate_that_refuses_every_request_is_corrected(key):
    # Guards against free slots that are not used again after a few slow
    # responses, since no response arrives that would lower the estimate.
    async with Setting([("u", "a1", 0.0)]) as setting:
        chooser = setting.chooser
        warmth = Warmth.COLD if key else Warmth.NO_OBJECT
        setting.worktimes.note_response("s", "u", 1.9, warmth, False)
        accepted = []
        for number in range(100):
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            request = make_request(key and f"{key}-{number}")
            choice = chooser.choose(request, set(), now)
            accepted.append(not isinstance(choice, Rejection))
            if accepted[-1]:
                chooser.learning.note_response(request, choice, 1.2)
        # One in ten is sent until the estimate is right again.
        assert 1 <= accepted[:20].count(True) <= 3
        assert all(accepted[-20:])


async def test_request_with_little_time_left_is_not_sent_to_explore():
    # Guards against requests that are sent although their time is nearly over.
    async with Setting([("u", "a1", 0.0)]) as setting:
        setting.worktimes.note_response("s", "u", 1.2, Warmth.NO_OBJECT, False)
        for _ in range(100):
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            request = make_request("")._replace(respond_by=now + 1.0)
            choice = setting.chooser.choose(request, set(), now)
            assert isinstance(choice, Rejection)


async def test_service_that_stays_too_slow_is_tried_less_and_less():
    # Guards against callers that wait in vain for a service that is too slow.
    async with Setting([("u", "a1", 0.0)]) as setting:
        setting.worktimes.note_response("s", "u", 9.0, Warmth.NO_OBJECT, False)
        tried = 0
        for _ in range(1000):
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            choice = setting.chooser.choose(make_request(""), set(), now)
            tried += not isinstance(choice, Rejection)
        assert 4 <= tried <= 10


async def test_evicted_objects_do_not_make_an_upstream_slow():
    # More objects than the upstream caches are requested in turn, so each run
    # is a first run. The upstream is not slower than before; its cache is
    # smaller than estimated.
    async with Setting([("u0", "a1", 0.0)]) as setting:
        for _ in range(10):
            setting.worktimes.note_response("s", "u0", 0.1, Warmth.WARM, False)
            setting.worktimes.note_response("s", "u0", 0.4, Warmth.COLD, False)
        for number in range(240):
            request = make_request(str(number % 12))
            choice = setting.choose(request)
            setting.chooser.learning.note_response(request, choice, 0.4)
        assert setting.worktimes.get_factor("u0") < 2.0
        assert setting.chooser.learning.get_cache_size("s") < 12


async def test_request_without_object_is_not_judged_by_cold_time():
    # Guards against refusing requests that upstreams would respond to at once.
    async with Setting(WARM) as setting:
        for name, _, _ in WARM:
            for _ in range(10):
                setting.worktimes.note_response("s", name, 0.5, Warmth.WARM, False)
                setting.worktimes.note_response("s", name, 1.6, Warmth.COLD, False)
                setting.worktimes.note_response(
                    "s", name, 0.004, Warmth.NO_OBJECT, False
                )
        hurried = make_request(key="")._replace(respond_by=0.9, target_at=0.9)
        assert not isinstance(setting.choose(hurried), Rejection)
        now = asyncio.get_running_loop().time()
        patient = make_request()._replace(respond_by=now + 5.0, target_at=now + 3.0)
        assert setting.choose(patient).finish_s == pytest.approx(1.6, abs=0.1)
