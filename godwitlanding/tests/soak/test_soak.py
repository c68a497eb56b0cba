"""Short soak runs, and tests of the soak's own checker and links."""

import asyncio
from types import SimpleNamespace

import pytest

from godwitlanding.tests.soak import crashing
from godwitlanding.tests.soak.caller import RequestRecord, make_upload
from godwitlanding.tests.soak.checker import DRAIN_S, EVACUATE_S, SLACK_S, Checker
from godwitlanding.tests.soak.link import Link
from godwitlanding.tests.soak.regressions import REGRESSION_SCHEDULES
from godwitlanding.tests.soak.run import format_report, run_faults
from godwitlanding.tests.soak.schedule import FAULT_WINDOW_S, Fault, draw_faults
from godwitlanding.tests.standins.standin_worker import make_echo
from godwitlanding.tests.tools.network import claim_address_prefix

# The second seed draws upstreams that report a limit, leave and send
# Retry-After.
CI_SEEDS = (38, 347)


@pytest.mark.parametrize("name", REGRESSION_SCHEDULES)
async def test_regression_schedule_breaks_nothing(name, tmp_path):
    report = await run_faults(0, REGRESSION_SCHEDULES[name], tmp_path)
    assert not report.problems, format_report(report)


@pytest.mark.parametrize("seed", CI_SEEDS)
async def test_drawn_schedule_breaks_nothing(seed, tmp_path):
    report = await run_faults(seed, draw_faults(seed), tmp_path)
    assert not report.problems, format_report(report)
    assert report.count_by_outcome["200"] > 300


@pytest.mark.parametrize("seed", [3, 313, 318])
async def test_crashing_requests_are_stopped_in_all_regions(seed, tmp_path):
    # Guards against a request that crashes upstreams where its news does not
    # arrive: at VMs that are cut off, restarted or started late.
    report = await crashing.run_faults(seed, crashing.draw_faults(seed), tmp_path)
    assert not report.problems, crashing.format_report(report)


@pytest.mark.parametrize("seed", [5, 9])
async def test_vms_that_lose_their_upstreams_harm_no_others(seed, tmp_path):
    # Guards against what VMs that are cut off from upstreams tell the others.
    faults = crashing.draw_faults(seed) + crashing.draw_cuts(seed)
    report = await crashing.run_faults(seed, faults, tmp_path)
    assert not report.problems, crashing.format_report(report)


def test_seed_always_draws_the_same_faults():
    assert draw_faults(5) == draw_faults(5)
    assert draw_faults(5) != draw_faults(6)
    for seed in range(50):
        assert all(0 < fault.at_s <= FAULT_WINDOW_S for fault in draw_faults(seed))


def make_record(**changes):
    record = RequestRecord(
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
    return record._replace(**changes)


OFFICE_HEADERS = {b"godwitlanding-tenant": b"office"}
SMALL_HEADERS = {b"godwitlanding-tenant": b"small"}


def make_worker(
    *runs, service="pays", zone="a1", headers=OFFICE_HEADERS, paused=(), body=b""
):
    arrivals = [("c01-1", at) for at in runs]
    return SimpleNamespace(
        id="w",
        service=service,
        zone=zone,
        arrivals=arrivals,
        arrived_at=list(runs),
        bodies={"c01-1": body} if runs else {},
        paused=paused,
        ran=["c01-1"] * len(runs),
        ran_at=list(runs),
        headers_by_request={"c01-1": headers} if runs else {},
    )


def check(
    record,
    *workers,
    faults=(),
    drained=None,
    leaving=None,
    limited=None,
    evacuations=(),
    log="",
):
    injector = SimpleNamespace(
        problems=[],
        log=[[fault, fault.at_s, fault.at_s + fault.for_s] for fault in faults],
        drained_at_by_worker=drained or {},
        leave_announced_at_by_worker=leaving or {},
        limit_periods=[(workers[0], *limited)] if limited else [],
        evacuations=evacuations,
        stopped=[],
    )
    vm = SimpleNamespace(name="vm-0", address="10.0.0.1:80", read_log=lambda: log)
    world = SimpleNamespace(vms=[vm], get_all_workers=lambda: workers)
    found = Checker([record], world, injector).find_problems()
    return [problem.split()[0] for problem in found]


def make_upload_record(**changes):
    return make_record(path="/up/1", upload_bytes=UPLOAD_BYTES, **changes)


UPLOAD_BYTES = 60_000
UPLOADED = {"service": "looks", "body": make_upload("c01-1", UPLOAD_BYTES)}
KILL = Fault(9.0, 0.5, "vm", "kill", 0)
TERM = Fault(9.9, 0.5, "vm", "term", 0)
STORE = Fault(9.0, 9.0, "store", "down", 0)
PAUSE = Fault(10.5, 1.0, "vm", "pause", 0)
LATE_S = DRAIN_S + SLACK_S + 0.1
CASES = (
    pytest.param(make_record(), (make_worker(10.0),), {}, [], id="served"),
    pytest.param(make_record(), (make_worker(10.0, 10.1),), {}, ["TWICE"], id="twice"),
    pytest.param(
        make_record(status=503, retry_after=True),
        (make_worker(10.0),),
        {},
        ["REFUSED"],
        id="refused and run",
    ),
    pytest.param(make_record(status=503), (), {}, ["REFUSED"], id="no Retry-After"),
    pytest.param(
        make_record(body=b"c02"), (make_worker(10.0),), {}, ["MIXED"], id="cut"
    ),
    pytest.param(make_record(), (), {}, ["MIXED"], id="never run"),
    pytest.param(
        make_record(detail="foreign"), (make_worker(10.0),), {}, ["MIXED"], id="foreign"
    ),
    pytest.param(
        make_record(), (make_worker(10.0, service="looks"),), {}, ["ROUTE"], id="route"
    ),
    pytest.param(make_record(status=404), (), {}, ["DENIED"], id="denied"),
    pytest.param(make_record(status=401), (), {}, ["DENIED"], id="known key denied"),
    pytest.param(
        make_record(status=429, retry_after=True),
        (),
        {},
        ["DENIED"],
        id="429 without a limit",
    ),
    pytest.param(
        make_record(workspace="small", status=429),
        (),
        {},
        ["REFUSED"],
        id="429 without Retry-After",
    ),
    pytest.param(
        make_record(),
        (make_worker(10.0, headers={}),),
        {},
        ["UNASKED"],
        id="no tenant header",
    ),
    pytest.param(
        make_record(),
        (make_worker(10.0, headers=SMALL_HEADERS),),
        {},
        ["UNASKED"],
        id="another workspace",
    ),
    pytest.param(
        make_record(),
        (make_worker(10.0, headers={**OFFICE_HEADERS, b"authorization": b"x"}),),
        {},
        ["UNASKED"],
        id="API key forwarded",
    ),
    pytest.param(
        make_record(workspace="small", unsafe=False),
        (make_worker(*[10.0] * 70, headers=SMALL_HEADERS),),
        {},
        ["QUOTA"],
        id="over its allotment",
    ),
    pytest.param(
        make_upload_record(), (make_worker(10.0, **UPLOADED),), {}, [], id="uploaded"
    ),
    pytest.param(
        make_upload_record(),
        (make_worker(10.0, service="looks", body=b"c01"),),
        {},
        ["PARTIAL"],
        id="part of an upload run",
    ),
    pytest.param(
        make_upload_record(status=408, stalls=True),
        (make_worker(10.0, **UPLOADED),),
        {},
        ["REFUSED", "PARTIAL"],
        id="stalled upload run",
    ),
    pytest.param(
        make_upload_record(status=0, detail="silent", stalls=True),
        (),
        {},
        [],
        id="no response to a stalled upload",
    ),
    pytest.param(
        make_upload_record(status=413), (), {}, ["DENIED"], id="upload too large"
    ),
    pytest.param(
        make_record(unsafe=False, path="/look/31"),
        (make_worker(10.0, service="looks"),),
        {},
        ["MIXED"],
        id="short body for a long path",
    ),
    pytest.param(
        make_record(status=0, detail="closed"),
        (make_worker(10.0),),
        {"faults": [TERM]},
        ["LOST"],
        id="cut off by a planned stop",
    ),
    pytest.param(
        make_record(status=0, detail="closed"),
        (make_worker(10.0),),
        {"faults": [KILL]},
        [],
        id="cut off by a kill",
    ),
    pytest.param(
        make_record(status=0, detail="closed"),
        (),
        {},
        [],
        id="closed before it was read",
    ),
    pytest.param(
        make_record(status=0, detail="silent"), (), {}, ["HELD"], id="no response"
    ),
    pytest.param(
        make_record(),
        (make_worker(10.0),),
        {"drained": {"w": 10.0 - LATE_S}},
        ["DRAIN"],
        id="drained",
    ),
    pytest.param(
        make_record(),
        (make_worker(10.0),),
        {"drained": {"w": 10.0 - LATE_S}, "faults": [KILL]},
        [],
        id="drained during a fault",
    ),
    pytest.param(
        make_record(),
        (make_worker(10.0),),
        {"evacuations": [["a1", 10.0 - EVACUATE_S - 1.0, 20.0]]},
        ["EVAC"],
        id="evacuated",
    ),
    pytest.param(
        make_record(), (make_worker(10.0),), {"log": "Traceback"}, ["CRASH"], id="crash"
    ),
    pytest.param(
        make_record(unsafe=False),
        (make_worker(10.0, 10.2 + DRAIN_S),),
        {"leaving": {"w": 9.0}, "faults": [STORE]},
        ["DRAIN"],
        id="sent after leaving was reported, store down",
    ),
    pytest.param(
        make_record(unsafe=False),
        (make_worker(10.0, 10.2 + DRAIN_S),),
        {"leaving": {"w": 9.0}, "faults": [PAUSE]},
        [],
        id="sent after leaving was reported, VM paused",
    ),
    pytest.param(
        make_record(unsafe=False),
        (make_worker(*[20.0] * 20),),
        {"limited": (10.0, 30.0)},
        ["LIMIT"],
        id="over a limit",
    ),
    pytest.param(
        make_record(unsafe=False),
        (make_worker(*[20.0] * 10),),
        {"limited": (10.0, 30.0)},
        [],
        id="within a limit",
    ),
    pytest.param(
        make_record(unsafe=False),
        (make_worker(10.0, 10.6, 10.7, 10.8, paused=[("c01-1", 10.0)]),),
        {},
        ["BUDGET"],
        id="many requests in a pause",
    ),
    pytest.param(
        make_record(unsafe=False),
        (make_worker(10.0, 10.6, 10.7, 11.8, paused=[("c01-1", 10.0)]),),
        {},
        [],
        id="few requests in a pause",
    ),
)


@pytest.mark.parametrize(("record", "workers", "events", "expected"), CASES)
def test_checker_reports_expected_problems(record, workers, events, expected):
    assert check(record, *workers, **events) == expected


async def _serve_echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


@pytest.mark.parametrize(
    ("mode", "is_forwarded"),
    [("open", True), ("delayed", True)]
    + [(mode, False) for mode in ("silent", "deaf_up", "deaf_down")],
)
async def test_link_mode(mode, is_forwarded):
    prefix = claim_address_prefix()
    server = await asyncio.start_server(_serve_echo, f"{prefix}30", 9000)
    link = await Link((f"{prefix}31", 9000), (f"{prefix}30", 9000)).start()
    reader, writer = await asyncio.open_connection(*link.address)
    link.set_mode(mode, 0.05 if mode == "delayed" else 0.0)
    writer.write(b"x")
    try:
        async with asyncio.timeout(0.5):
            assert await reader.read(1) == b"x"
            assert is_forwarded
    except TimeoutError:
        assert not is_forwarded
    link.stop()
    server.close()
    writer.close()
