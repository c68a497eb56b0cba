"""End-to-end tests of workspaces: API keys, regions and allotments."""

import asyncio

import aiohttp
import pytest

from godwitlanding.operator.workspaces import read_rows
from godwitlanding.tests.gateway.world import World, make_config

OFFICE = ["office", ["office-key", "spare-key"], 0, 0, 0, []]
SMALL = ["small", ["small-key"], None, 4, 8, []]
ABROAD = ["abroad", ["abroad-key"], None, 0, 0, ["b"]]
OPEN_ROUTE = [
    *("open", "h", "/open/", "safe", "2s", "400ms", 2, None, 2, True, [], "looks"),
    True,
]
AT_HOME = ["home", "h", "/home/", "safe", "2s", "400ms", 2, None, 2, True, ["a"]]
AT_HOME = [*AT_HOME, "looks", None]
TENANT = "Godwitlanding-Tenant"


def make_workspaces(version="r7", office=OFFICE, small=SMALL):
    return make_config(version, [OPEN_ROUTE, AT_HOME], [office, small, ABROAD])


def bearer(key):
    return {"Authorization": f"Bearer {key}"}


@pytest.fixture
async def world(tmp_path):
    async with World(tmp_path) as world:
        await world.store.put("config", "main", make_workspaces())
        await world.start()
        yield world


def find_headers(world, request_id):
    """Return the headers of a request as its upstream received them."""
    for worker_id in ("look-1", "look-2", "pay-1", "pay-2"):
        worker = world.get_worker(worker_id)
        if request_id in worker.headers_by_request:
            return worker.headers_by_request[request_id]
    return None


@pytest.mark.parametrize(
    ("path", "headers", "status", "workspace"),
    [
        pytest.param("/look/1", bearer("office-key"), 200, b"office", id="known key"),
        pytest.param("/look/1", bearer("spare-key"), 200, b"office", id="second key"),
        pytest.param(
            "/look/1",
            {**bearer("office-key"), "GODWITLANDING-TENANT": "small"},
            200,
            b"office",
            id="claims another workspace",
        ),
        pytest.param("/look/1", bearer("lost-key"), 401, None, id="unknown key"),
        pytest.param("/look/1", {}, 401, None, id="without a key"),
        pytest.param("/open/1", {TENANT: "office"}, 200, None, id="anonymous"),
        pytest.param(
            "/open/1", bearer("lost-key"), 200, None, id="anonymous, unknown key"
        ),
        pytest.param(
            "/home/1", bearer("abroad-key"), 503, None, id="no allowed region"
        ),
        pytest.param("/none/1", bearer("office-key"), 404, None, id="no route"),
    ],
)
async def test_upstream_gets_the_workspace_of_a_request(
    world, path, headers, status, workspace
):
    # An upstream bills requests to a workspace. It must not depend on headers
    # of the caller, and must not see the caller's key.
    response, _ = await world.ask(world.vms[0], path, request_id="r", **headers)
    assert response.status == status
    seen = find_headers(world, "r")
    assert (seen is not None) is (status == 200)
    if seen:
        assert b"authorization" not in seen
        assert seen.get(TENANT.lower().encode()) == workspace
    if status == 401:
        assert response.headers["WWW-Authenticate"] == "Bearer"
    await asyncio.sleep(0.2)
    logs = "".join(vm.read_log() for vm in world.vms)
    assert not any(key in logs for key in ("office-key", "spare-key", "lost-key"))


async def test_trailer_does_not_set_the_workspace(world):
    # A caller sends a second key and a workspace name as trailer fields after
    # the body, when the headers have already been checked.
    vm = world.vms[0]
    host, port = vm.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /pay/1 HTTP/1.1\r\nHost: h\r\nGodwitlanding-Request-Id: r\r\n"
        b"Authorization: Bearer office-key\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\nx\r\n0\r\nGodwitlanding-Tenant: small\r\n"
        b"Authorization: Bearer small-key\r\nGodwitlanding-Request-Id: s\r\n\r\n"
    )
    assert b" 200 " in await reader.readline()
    writer.close()
    seen = find_headers(world, "r")
    assert seen[TENANT.lower().encode()] == b"office"
    assert b"authorization" not in seen


async def test_revoked_key_is_refused_on_an_open_connection(world):
    # A clerk leaves the office and the key is revoked. The browser keeps its
    # connection open and continues to send requests.
    async with aiohttp.TCPConnector(limit=1) as connector:
        async with aiohttp.ClientSession(connector=connector) as session:
            world.session, kept = session, world.session
            response, _ = await world.ask(world.vms[0], **bearer("office-key"))
            assert response.status == 200
            without = ["office", ["spare-key"], 0, 0, 0, []]
            changed = make_workspaces("r9", office=without)
            await world.store.put("config", "main", changed)
            await asyncio.sleep(0.5)
            response, _ = await world.ask(world.vms[0], **bearer("office-key"))
            assert response.status == 401
            response, _ = await world.ask(world.vms[0], **bearer("spare-key"))
            assert response.status == 200
            world.session = kept


async def test_unknown_key_is_refused_with_retry_after_during_a_store_outage(world):
    # The store is unavailable and a caller sends an unknown key. It may have
    # been issued just now, so the response asks the caller to retry.
    world.store.crash()
    await asyncio.sleep(6.0)
    response, _ = await world.ask(world.vms[0], **bearer("lost-key"))
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0
    response, _ = await world.ask(world.vms[0], **bearer("office-key"))
    assert response.status == 200


async def test_vms_share_one_allotment(world):
    # A workspace with a rate of 4 requests a second and a burst of 8 sends
    # forty requests to two VMs. Each VM by itself would admit the whole burst.
    async def ask(number):
        vm = world.vms[number % 2]
        return await world.ask(vm, f"/look/{number}", **bearer("small-key"))

    responses = []
    for number in range(40):
        responses.append((await ask(number))[0])
        await asyncio.sleep(0.01)
    statuses = [response.status for response in responses]
    assert set(statuses) == {200, 429}
    # The burst of 8, what accrues meanwhile, and the initial shares of two
    # regions.
    assert 4 <= statuses.count(200) <= 14
    waits = [
        float(response.headers["Retry-After"])
        for response in responses
        if response.status == 429
    ]
    assert all(0.0 < wait <= 0.7 for wait in waits)
    others = await world.ask(world.vms[0], **bearer("office-key"))
    assert others[0].status == 200


async def test_request_that_did_not_run_costs_no_allotment(world):
    # Both upstreams shed all requests for a moment. These have not run, so
    # they must not reduce the allotment of the workspace.
    for worker_id in ("look-1", "look-2"):
        world.get_worker(worker_id).fault = "shed"
    for number in range(20):
        response, _ = await world.ask(
            world.vms[0], f"/look/{number}", **bearer("small-key")
        )
        assert response.status == 503
    for worker_id in ("look-1", "look-2"):
        world.get_worker(worker_id).fault = ""
    response, _ = await world.ask(world.vms[0], **bearer("small-key"))
    assert response.status == 200


async def test_metrics_show_the_requests_of_a_workspace(world):
    for number in range(3):
        await world.ask(world.vms[0], f"/look/{number}", **bearer("small-key"))
    async with world.session.get(world.vms[0].metrics) as response:
        (row,) = read_rows("vm-0", await response.text())
    assert (row.workspace, row.limit_per_s, row.sent) == ("small", 4.0, 3.0)
