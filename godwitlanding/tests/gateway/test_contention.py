"""Denials under contention: by priority, by workspace, after changes."""

import asyncio
import itertools
from types import SimpleNamespace

import pytest

from godwitlanding.base.codes import Code
from godwitlanding.base.metrics import Counters
from godwitlanding.decisions.occupancy import Occupancy
from godwitlanding.decisions.requestcounts import CountRow, Counts
from godwitlanding.decisions.routes import Workspace
from godwitlanding.gateway.contention import Contention, Result
from godwitlanding.gateway.servicefill import ServiceFill
from godwitlanding.tests.load.gateway_model import CO_OP, FleetModel

pytestmark = pytest.mark.looptime
HOT = Workspace("hot", 16.0, 16.0)
CALM = Workspace("calm", 16.0, 16.0)
ALLOTMENTS = SimpleNamespace(
    get_status=lambda: {
        "hot": {"asked_per_s": 40.0, "part_per_s": 40.0, "rate_per_s": 16.0},
        "calm": {"asked_per_s": 4.0, "part_per_s": 16.0, "rate_per_s": 16.0},
    }
)


def make_config(*priorities, workspaces=None):
    routes = [
        SimpleNamespace(priority=p, parts=(SimpleNamespace(service="s"),))
        for p in priorities
    ]
    return SimpleNamespace(
        route_by_prefix=dict(enumerate(routes)), workspace_by_key=workspaces
    )


def make_request(priority, workspace=None):
    return SimpleNamespace(
        service="s",
        route=SimpleNamespace(priority=priority),
        workspace=workspace,
        workspace_name=workspace.name if workspace else "",
        request_id=b"1",
        came_back=False,
        deadline_at=asyncio.get_running_loop().time() + 2.0,
    )


class World:
    """A VM with one upstream of three slots; peers are calls."""

    def __init__(self, config):
        self.occupancy = Occupancy()
        upstreams = [SimpleNamespace(id="u", slots=3, availability_zone="z")]
        self.registry = SimpleNamespace(
            on_config=[], config=config, get_usable=lambda service, region: upstreams
        )
        self.peers = SimpleNamespace()
        chooser = SimpleNamespace(
            get_status=lambda: {"shares": {}},
            get_turnover_s=lambda request, now: 0.3,
            distances=SimpleNamespace(get_s=lambda zone: 0.1),
            availability=SimpleNamespace(is_available=lambda upstream, now: True),
        )
        self.fleet = SimpleNamespace(peer_by_vm={})
        worktimes = SimpleNamespace(get_mean_s=lambda service: 0.1)
        fill = ServiceFill("r", self.occupancy, self.fleet, worktimes)
        self.contention = Contention(fill, ALLOTMENTS, Counters())
        self.service_by_name = {
            "registry": self.registry,
            "peers": self.peers,
            "chooser": chooser,
            "retrytimes": SimpleNamespace(get_retry_after_s=lambda request: 0.3),
        }

    async def start(self):
        kernel = SimpleNamespace(get=self.service_by_name.__getitem__)
        await self.contention.start(kernel)

    def fill(self, requests):
        for _ in range(requests):
            self.occupancy.begin("u")

    def ask(self, priority, workspace=None, result=None, times=20):
        """Return the reasons of requests that end with ``result``."""
        now = asyncio.get_running_loop().time()
        reasons = []
        for _ in range(times):
            request = make_request(priority, workspace)
            denial = self.contention.admit(request, now)
            reasons.append(denial and denial.reason)
            if result and not denial:
                self.contention.note_result(request, result, now)
        return reasons

    async def press(self, priority=0, workspace=None):
        """Let an interval pass in which all requests are refused."""
        self.ask(priority, workspace, Result.REFUSED)
        await asyncio.sleep(0.5)
        self.ask(priority, workspace, times=1)


async def start_world(*priorities, requests=9, workspaces=None):
    world = World(make_config(*priorities, workspaces=workspaces))
    await world.start()
    world.fill(requests)
    return world


@pytest.mark.parametrize(
    ("priorities", "pressed", "requests", "denied"),
    [
        ((0, 2), 0, 9, True),
        # The service has free slots.
        ((0, 2), 0, 2, False),
        # Only more urgent requests press.
        ((0, 2), 2, 9, False),
        # The feature is off without different priorities.
        ((2, 2), 2, 9, False),
    ],
)
async def test_less_urgent_requests_give_way(priorities, pressed, requests, denied):
    world = await start_world(*priorities, requests=requests)
    assert set(world.ask(2)) == {None}
    await world.press(pressed)
    assert (Code.OUTRANKED in world.ask(2)) is denied
    assert set(world.ask(0)) == {None}


@pytest.mark.parametrize(("region", "denied"), [("r", True), ("far", False)])
async def test_requests_on_the_way_between_regions_take_no_slots(region, denied):
    # Guards against denials while slots are free: half of the time of a
    # request from another region is spent on the way.
    world = await start_world(0, 2, requests=0)
    world.fleet.peer_by_vm["b"] = SimpleNamespace(region=region)
    now = asyncio.get_running_loop().time()
    world.occupancy.note_peer("b", {world.occupancy.get_number("u"): 6}, now)
    await world.press()
    assert (Code.OUTRANKED in world.ask(2)) is denied


async def test_late_responses_press_and_responses_in_time_do_not():
    world = await start_world(0, 2)
    for result, denied in ((Result.IN_TIME, False), (Result.LATE, True)):
        world.ask(0, result=result)
        await asyncio.sleep(0.5)
        world.ask(0, times=1)
        assert (Code.OUTRANKED in world.ask(2)) is denied


async def test_changed_priority_takes_effect_with_the_configuration():
    # Guards against counts and denials of a former configuration.
    world = await start_world(0, 2)
    await world.press()
    assert Code.OUTRANKED in world.ask(2)
    world.contention.apply_config(make_config(0))
    assert set(world.ask(2)) == {None}
    assert world.peers.get_request_counts() == ()
    world.contention.apply_config(make_config(0, 1, 2))
    assert set(world.ask(2)) == {None}


async def test_counts_of_a_peer_press_until_it_is_silent():
    world = await start_world(0, 2)
    number = world.contention._service_by_name["s"].number
    for asked in (0, 50):
        row = CountRow(number, 0, Counts(asked, asked, asked))
        message = SimpleNamespace(vm="b", incarnation=1, request_counts=(row,))
        world.peers.on_request_counts(message)
    assert Code.OUTRANKED in world.ask(2)
    await asyncio.sleep(6.0)
    assert set(world.ask(2)) == {None}


async def test_hot_workspace_is_limited_while_the_service_is_contended():
    # Guards against refusals of a workspace at its usual rate, and against a
    # limit while slots are free.
    world = await start_world(0, workspaces={b"k": HOT})
    world.ask(0, CALM, Result.REFUSED, times=10)
    world.ask(0, CALM, Result.IN_TIME, times=10)
    await asyncio.sleep(0.5)
    assert set(world.ask(0, CALM)) == {None}
    assert Code.OVER_SHARE in world.ask(0, HOT)
    for _ in range(9):
        world.occupancy.end("u")
    await asyncio.sleep(0.1)
    assert set(world.ask(0, HOT)) == {None}


async def test_request_handler_asks_and_reports():
    # Guards against a request handler that does not ask or report results.
    shape = CO_OP._replace(rate_by_zone={"a1": 150.0, "b1": 150.0, "c1": 150.0})
    async with FleetModel(shape, 1) as fleet:
        programs = [vm.program for vm in fleet._vm_by_host.values()]
        for program in programs:
            config = program.registry.config
            route = config.route_by_prefix["h", "/look/"]
            urgent = route._replace(name="u", priority=0, path_prefix="/u/")
            routes = {**config.route_by_prefix, ("h", "/u/"): urgent}
            config = config._replace(version=2, route_by_prefix=routes)
            program.registry.set_config(config)
            program.request_handler.take = make_take(program.request_handler.take)
        await fleet.run(4.0)
        rows = sum((p.contention._counts.get_rows() for p in programs), ())
        code = Code.OUTRANKED.name
        denied = sum(p._counters.get("requests_refused", code=code) for p in programs)
    totals = {
        priority: [
            sum(c) for c in zip(*(r.counts for r in rows if r.priority == priority))
        ]
        for priority in (0, 1)
    }
    for asked, first, pressed, _, in_time in totals.values():
        assert asked > first > 0 and pressed > 0 and in_time > 0
    assert any(p.contention._counts.count_peers() for p in programs)
    assert [totals[0][3], totals[1][3]] == [0, denied]
    assert denied > 0
    assert totals[0][4] / totals[0][1] > totals[1][4] / totals[1][1]


def make_take(take):
    """Return a ``take`` that makes every second request urgent."""
    turns = itertools.cycle((b"/look/", b"/u/"))

    def take_either(exchange):
        exchange.target = exchange.target.replace(b"/look/", next(turns))
        take(exchange)

    return take_either
