"""A short run of the soak, and whether it would notice what it checks."""

import asyncio
from types import SimpleNamespace

import pytest

from godwitlanding.tests.soak.caller import Tried
from godwitlanding.tests.soak.checker import DRAIN_S, EVACUATE_S, SLACK_S, Judge
from godwitlanding.tests.soak.link import Link
from godwitlanding.tests.soak.regressions import KEPT
from godwitlanding.tests.soak.run import format_report, run_faults
from godwitlanding.tests.soak.schedule import FAULTS_S, Fault, draw_faults
from godwitlanding.tests.standins.standin_worker import make_echo
from godwitlanding.tests.tools.network import claim_world_prefix

# The second draws upstreams that are limited, leave and want a pause.
CI_SEEDS = (38, 347)


@pytest.mark.parametrize("name", KEPT)
async def test_kept_schedule_breaks_nothing(name, tmp_path):
    report = await run_faults(0, KEPT[name], tmp_path)
    assert not report.problems, format_report(report)


@pytest.mark.parametrize("seed", CI_SEEDS)
async def test_drawn_schedule_breaks_nothing(seed, tmp_path):
    report = await run_faults(seed, draw_faults(seed), tmp_path)
    assert not report.problems, format_report(report)
    assert report.count_by_outcome["200"] > 300


def test_seed_always_draws_the_same():
    assert draw_faults(5) == draw_faults(5)
    assert draw_faults(5) != draw_faults(6)
    for seed in range(50):
        assert all(0 < fault.at_s <= FAULTS_S for fault in draw_faults(seed))


def make_tried(**changes):
    tried = Tried(
        request_id="c01-1",
        workspace="office",
        vm="10.0.0.1:80",
        path="/pay/1",
        unsafe=True,
        sent_at=10.0,
        ended_at=10.1,
        status=200,
        detail="",
        body=make_echo(b"c01-1"),
        retry_after=False,
    )
    return tried._replace(**changes)


OF_OFFICE = {b"godwitlanding-tenant": b"office"}
OF_SMALL = {b"godwitlanding-tenant": b"small"}


def make_worker(*runs, service="pays", zone="a1", headers=OF_OFFICE, paused=()):
    arrivals = [("c01-1", at) for at in runs]
    return SimpleNamespace(
        id="w",
        service=service,
        zone=zone,
        arrivals=arrivals,
        arrived_at=list(runs),
        paused=paused,
        ran=["c01-1"] * len(runs),
        ran_at=list(runs),
        headers_by_request={"c01-1": headers} if runs else {},
    )


def judge(
    tried,
    *workers,
    faults=(),
    drained=None,
    left=None,
    limited=None,
    evacuations=(),
    log="",
):
    striker = SimpleNamespace(
        problems=[],
        log=[[fault, fault.at_s, fault.at_s + fault.for_s] for fault in faults],
        drained_at_by_worker=drained or {},
        left_at_by_worker=left or {},
        limited=[(workers[0], *limited)] if limited else [],
        evacuations=evacuations,
        stopped=[],
    )
    vm = SimpleNamespace(name="vm-0", address="10.0.0.1:80", read_log=lambda: log)
    world = SimpleNamespace(vms=[vm], get_all_workers=lambda: workers)
    found = Judge([tried], world, striker).find_problems()
    return [problem.split()[0] for problem in found]


KILL = Fault(9.0, 0.5, "vm", "kill", 0)
TERM = Fault(9.9, 0.5, "vm", "term", 0)
STORE = Fault(9.0, 9.0, "store", "down", 0)
PAUSE = Fault(10.5, 1.0, "vm", "pause", 0)
LATE_S = DRAIN_S + SLACK_S + 0.1
BROKEN = (
    pytest.param(make_tried(), (make_worker(10.0),), {}, [], id="served"),
    pytest.param(make_tried(), (make_worker(10.0, 10.1),), {}, ["TWICE"], id="twice"),
    pytest.param(
        make_tried(status=503, retry_after=True),
        (make_worker(10.0),),
        {},
        ["REFUSED"],
        id="refused and run",
    ),
    pytest.param(make_tried(status=503), (), {}, ["REFUSED"], id="no Retry-After"),
    pytest.param(
        make_tried(body=b"c02"), (make_worker(10.0),), {}, ["MIXED"], id="cut"
    ),
    pytest.param(make_tried(), (), {}, ["MIXED"], id="never run"),
    pytest.param(
        make_tried(detail="foreign"), (make_worker(10.0),), {}, ["MIXED"], id="foreign"
    ),
    pytest.param(
        make_tried(), (make_worker(10.0, service="looks"),), {}, ["ROUTE"], id="route"
    ),
    pytest.param(make_tried(status=404), (), {}, ["DENIED"], id="denied"),
    pytest.param(make_tried(status=401), (), {}, ["DENIED"], id="known key denied"),
    pytest.param(
        make_tried(status=429, retry_after=True), (), {}, ["DENIED"], id="no limit"
    ),
    pytest.param(
        make_tried(workspace="small", status=429), (), {}, ["REFUSED"], id="until when"
    ),
    pytest.param(
        make_tried(), (make_worker(10.0, headers={}),), {}, ["UNASKED"], id="no name"
    ),
    pytest.param(
        make_tried(),
        (make_worker(10.0, headers=OF_SMALL),),
        {},
        ["UNASKED"],
        id="another workspace",
    ),
    pytest.param(
        make_tried(),
        (make_worker(10.0, headers={**OF_OFFICE, b"authorization": b"x"}),),
        {},
        ["UNASKED"],
        id="key passed on",
    ),
    pytest.param(
        make_tried(workspace="small", unsafe=False),
        (make_worker(*[10.0] * 70, headers=OF_SMALL),),
        {},
        ["QUOTA"],
        id="over its allotment",
    ),
    pytest.param(
        make_tried(status=0, detail="closed"),
        (make_worker(10.0),),
        {"faults": [TERM]},
        ["LOST"],
        id="cut off by a planned stop",
    ),
    pytest.param(
        make_tried(status=0, detail="closed"),
        (make_worker(10.0),),
        {"faults": [KILL]},
        [],
        id="cut off by a kill",
    ),
    pytest.param(
        make_tried(status=0, detail="closed"),
        (),
        {},
        [],
        id="closed before it was read",
    ),
    pytest.param(make_tried(status=0, detail="silent"), (), {}, ["HELD"], id="held"),
    pytest.param(
        make_tried(),
        (make_worker(10.0),),
        {"drained": {"w": 10.0 - LATE_S}},
        ["DRAIN"],
        id="drained",
    ),
    pytest.param(
        make_tried(),
        (make_worker(10.0),),
        {"drained": {"w": 10.0 - LATE_S}, "faults": [KILL]},
        [],
        id="drained in a disturbance",
    ),
    pytest.param(
        make_tried(),
        (make_worker(10.0),),
        {"evacuations": [["a1", 10.0 - EVACUATE_S - 1.0, 20.0]]},
        ["EVAC"],
        id="evacuated",
    ),
    pytest.param(
        make_tried(), (make_worker(10.0),), {"log": "Traceback"}, ["CRASH"], id="crash"
    ),
    pytest.param(
        make_tried(unsafe=False),
        (make_worker(10.0, 10.2 + DRAIN_S),),
        {"left": {"w": 9.0}, "faults": [STORE]},
        ["DRAIN"],
        id="told that it leaves, with the store away",
    ),
    pytest.param(
        make_tried(unsafe=False),
        (make_worker(10.0, 10.2 + DRAIN_S),),
        {"left": {"w": 9.0}, "faults": [PAUSE]},
        [],
        id="told that it leaves and then paused",
    ),
    pytest.param(
        make_tried(unsafe=False),
        (make_worker(*[20.0] * 20),),
        {"limited": (10.0, 30.0)},
        ["LIMIT"],
        id="over a limit",
    ),
    pytest.param(
        make_tried(unsafe=False),
        (make_worker(*[20.0] * 10),),
        {"limited": (10.0, 30.0)},
        [],
        id="within a limit",
    ),
    pytest.param(
        make_tried(unsafe=False),
        (make_worker(10.0, 10.6, 10.7, 10.8, paused=[("c01-1", 10.0)]),),
        {},
        ["BUDGET"],
        id="asked in a pause",
    ),
    pytest.param(
        make_tried(unsafe=False),
        (make_worker(10.0, 10.6, 10.7, 11.8, paused=[("c01-1", 10.0)]),),
        {},
        [],
        id="hardly asked in a pause",
    ),
)


@pytest.mark.parametrize(("tried", "workers", "happened", "expected"), BROKEN)
def test_judge_notices(tried, workers, happened, expected):
    assert judge(tried, *workers, **happened) == expected


async def _serve_echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


@pytest.mark.parametrize(
    ("mode", "arrives"),
    [("open", True), ("delayed", True)]
    + [(mode, False) for mode in ("silent", "deaf_up", "deaf_down")],
)
async def test_link(mode, arrives):
    prefix = claim_world_prefix()
    server = await asyncio.start_server(_serve_echo, f"{prefix}30", 9000)
    link = await Link((f"{prefix}31", 9000), (f"{prefix}30", 9000)).start()
    reader, writer = await asyncio.open_connection(*link.address)
    link.set_mode(mode, 0.05 if mode == "delayed" else 0.0)
    writer.write(b"x")
    try:
        async with asyncio.timeout(0.5):
            assert await reader.read(1) == b"x"
            assert arrives
    except TimeoutError:
        assert not arrives
    link.stop()
    server.close()
    writer.close()
