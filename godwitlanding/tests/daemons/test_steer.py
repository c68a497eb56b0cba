"""Tests the HTTP responses of a steer process."""

import asyncio
import json
import socket

import aiohttp
import pytest

from godwitlanding.base.kernel import Kernel
from godwitlanding.base.messages import State
from godwitlanding.base.settings import check_settings
from godwitlanding.base.web import HttpServer
from godwitlanding.daemons.blocks import make_piece
from godwitlanding.daemons.blockstore import Site, make_objects
from godwitlanding.daemons.daemon import make_context
from godwitlanding.daemons.ticket import read_ticket
from godwitlanding.steer import make_services

KEY = b"k" * 32
ADDRESS = "127.0.50.1"


def find_port(address):
    """Return a free port, so that concurrent test runs do not collide."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


PORT = find_port(ADDRESS)

SETTINGS = f"""{{
    vm: "a1", address: "{ADDRESS}", availability_zone: "za",
    platform_url: "http://127.0.50.9:1", steer_port: {PORT}, zone_port: 1,
    steer_max_age_s: 0.3, trust_caller_header: true,
}}"""

CONFIG = """{
    format: 1, name: "test",
    regions: [
        {name: "north", availability_zones: ["za", "zb"]},
        {name: "south", availability_zones: ["zc"]},
    ],
    services: [{name: "status", kind: "lookup", deadline_s: 2, upstreams: [
        {id: "u1", address: "127.0.50.20:1", availability_zone: "za"},
        {id: "u2", address: "127.0.50.21:1", availability_zone: "zb"},
        {id: "u3", address: "127.0.50.22:1", availability_zone: "zc"},
    ]}],
}"""


def make_state(kind, name, body, version=1):
    return State(kind, name, version, json.dumps(body).encode())


def make_plan(weights, version=1):
    by_origin = {origin: weights for origin in ("za", "zb", "zc")}
    body = {
        "weight_by_zone_by_origin_by_service": {"status": by_origin},
        "allowance_by_zones_by_service": {},
        "moved_by_shift": {},
    }
    return make_state("plan", "main", body, version)


def make_member(vm, number, **fields):
    return {
        "vm": vm,
        "address": f"127.0.50.{number}",
        "entry_incarnation": f"{vm}-i",
        "alive": True,
        "leaving": False,
        "platform_reachable": True,
        **fields,
    }


def make_members(*members):
    body = {"members": list(members), "arbiters_by_service": {}}
    return make_state("members", "za", body)


def make_vm(vm, number, zone):
    address = f"127.0.50.{number}"
    return {
        "vm": vm,
        "address": address,
        "availability_zone": zone,
        "state": "live",
    }


async def test_x_forwarded_for_from_a_caller_is_ignored():
    """A caller sends X-Forwarded-For although there is no proxy in front.

    If the header were trusted, the caller would be served as another caller
    and use up that caller's share.
    """
    clients = []

    async def app(scope, receive, send):
        clients.append(scope["client"][0])
        await send({"type": "http.response.start", "status": 204, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    port = find_port("127.0.0.1")
    server = HttpServer("http", app, "127.0.0.1", port)
    await server.start(None)
    headers = {"X-Forwarded-For": "10.1.2.3"}
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.get(f"http://127.0.0.1:{port}/") as response:
            assert response.status == 204
    await server.stop()
    assert clients == ["127.0.0.1"]


BASE_STATES = (
    State("config", "main", 4, CONFIG.encode()),
    make_plan({"za": 1.0}),
    make_state("secret", "ticket", {"key": KEY.hex()}),
    make_state(
        "vms",
        "main",
        {
            "vms": [
                make_vm("a1", 1, "za"),
                make_vm("a2", 2, "za"),
                make_vm("b1", 3, "zb"),
                make_vm("c1", 4, "zc"),
            ]
        },
    ),
    make_members(make_member("a1", 1), make_member("a2", 2)),
)


class SteerHarness:
    """Runs the services of a steer process; tests supply the states."""

    def __init__(self):
        settings = check_settings(SETTINGS).unwrap()
        self.context = make_context("steer", settings)
        self.kernel = Kernel(make_services(self.context))
        self.session = None

    def offer(self, *states):
        for state in states:
            self.context.replica.offer(state)

    async def fetch(self, path, method="GET", caller="10.0.0.1"):
        headers = {"X-Caller": caller}
        async with self.session.request(
            method,
            f"http://{ADDRESS}:{PORT}{path}",
            headers=headers,
            allow_redirects=False,
        ) as response:
            body = await response.read()
            return response, json.loads(body) if body else None


@pytest.fixture
async def harness():
    harness = SteerHarness()
    await harness.kernel.start()
    async with aiohttp.ClientSession() as harness.session:
        yield harness
    await harness.kernel.stop()


async def test_lookup_returns_ordered_targets(harness):
    harness.offer(*BASE_STATES)
    response, body = await harness.fetch("/v1/steer/status")
    assert response.status == 200
    assert response.headers["Cache-Control"] == "private, max-age=0.3"
    choices = body.pop("choices")
    assert [c["availability_zone"] for c in choices[:2]] == ["za", "za"]
    assert {c["vm"] for c in choices[:2]} == {"a1", "a2"}
    assert choices[0]["url"].endswith(":7002/s/status")
    assert body["origin_zone"] in ("za", "zb", "zc")
    assert (body["config_version"], body["plan_version"]) == (4, 1)
    assert (await harness.fetch("/v1/steer/status"))[1]["choices"] == choices


@pytest.mark.parametrize(
    ("states", "path", "method", "status", "name"),
    [
        ((), "/v1/steer/status", "GET", 503, "NOT_READY"),
        (BASE_STATES[:1], "/v1/steer/status", "GET", 503, "NOT_READY"),
        (BASE_STATES, "/v1/steer/nothing", "GET", 404, "UNKNOWN_SERVICE"),
        ((), "/v1/tickets/status", "POST", 503, "NOT_READY"),
        (BASE_STATES[:2], "/v1/tickets/status", "POST", 503, "NOT_READY"),
        (BASE_STATES, "/v1/tickets/nothing", "POST", 404, "UNKNOWN_SERVICE"),
    ],
)
async def test_refusals_have_a_code(harness, states, path, method, status, name):
    harness.offer(*states)
    response, body = await harness.fetch(path, method)
    assert response.status == status
    assert body["name"] == name
    assert body["run"] == "no"
    assert ("Retry-After" in response.headers) == (status == 503)
    assert harness.context.counters.get("steer_refused", code=name) == 1


async def test_new_plan_is_used_by_the_next_response(harness):
    harness.offer(*BASE_STATES)
    assert (await harness.fetch("/v1/steer/status"))[1]["choices"][0]["vm"][0] == "a"
    harness.offer(make_plan({"zb": 1.0}, version=2))
    body = (await harness.fetch("/v1/steer/status"))[1]
    assert body["choices"][0]["vm"] == "b1"
    assert body["plan_version"] == 2


@pytest.mark.parametrize(
    "state",
    [
        State("plan", "main", 9, b"not json"),
        State("plan", "main", 9, b'{"nothing": 1}'),
        State("config", "main", 9, b"{format: 1}"),
        State("vms", "main", 9, b"[]"),
        State("members", "za", 9, b'{"members": [{"vm": "a1"}]}'),
        State("summary", "zb", 9, b"[]"),
    ],
)
async def test_unreadable_object_changes_nothing(harness, state):
    """An object arrives that this process cannot parse.

    Callers must still get responses based on the last valid object.
    """
    harness.offer(*BASE_STATES)
    before = (await harness.fetch("/v1/steer/status"))[1]["choices"]
    harness.offer(state)
    assert (await harness.fetch("/v1/steer/status"))[1]["choices"] == before


@pytest.mark.parametrize(
    ("reachable", "kind"), [(True, "journaled"), (False, "memory")]
)
async def test_ticket_names_a_home_in_this_zone(harness, reachable, kind):
    """The home's VM may be unable to reach the platform.

    A journaled ticket would be refused until the connection is restored, so
    a ticket whose record is kept in the home's memory must be issued.
    """
    members = [
        make_member("a1", 1, platform_reachable=reachable),
        make_member("a2", 2, alive=False),
    ]
    harness.offer(*BASE_STATES[:-1], make_members(*members))
    response, body = await harness.fetch("/v1/tickets/status", "POST")
    assert response.status == 201
    assert response.headers["Cache-Control"] == "no-store"
    ticket = read_ticket(KEY, body["ticket"]).unwrap()
    assert (ticket.service, ticket.kind) == ("status", kind)
    assert (ticket.home_vm, ticket.home_incarnation) == ("a1", "a1-i")
    assert body["url"] == "http://127.0.50.1:7002/s/status"
    again = (await harness.fetch("/v1/tickets/status", "POST"))[1]["ticket"]
    assert again != body["ticket"]


@pytest.mark.parametrize(
    ("has_summary", "query", "status"),
    [(True, "", 307), (False, "", 201), (True, "?from=zb", 201)],
)
async def test_ticket_is_issued_in_the_planned_zone(
    harness, has_summary, query, status
):
    """The plan assigns the caller to a zone that may be unreachable.

    A caller redirected to an unreachable zone would get no ticket. Nor would
    one that two zones with different plan versions redirect back and forth.
    """
    harness.offer(*BASE_STATES, make_plan({"zb": 1.0}, version=2))
    if has_summary:
        harness.offer(make_state("summary", "zb", {"leaving_vms": []}))
    response, _ = await harness.fetch(f"/v1/tickets/status{query}", "POST")
    assert response.status == status
    if status == 307:
        expected = f"http://127.0.50.3:{PORT}/v1/tickets/status?from=za"
        assert response.headers["Location"] == expected


async def test_stopping_vm_is_left_out_of_responses(harness):
    """A VM is stopped while callers keep sending lookups to it.

    A response that contains this VM would send callers to a stopped process.
    """
    harness.offer(*BASE_STATES)
    harness.kernel.get("routing").leave()
    body = (await harness.fetch("/v1/steer/status"))[1]
    assert [choice["vm"] for choice in body["choices"]][0] == "a2"
    assert "a1" not in [choice["vm"] for choice in body["choices"]]
    response, _ = await harness.fetch("/v1/steer/status")
    assert response.headers.get("Connection") is None
    harness.kernel.get("answers").close_connections()
    response, _ = await harness.fetch("/v1/steer/status")
    assert response.headers["Connection"] == "close"


def make_block_states():
    pieces = [make_piece([(0, 0), (10 << 24, 1), (11 << 24, 2)])]
    sites = [Site("pontivy", "zc"), Site("closed", "gone")]
    objects = make_objects(pieces, sites)
    return [State("blocks", name, 1, body) for name, body in objects.items()]


@pytest.mark.parametrize(
    ("caller", "zones"),
    [("10.9.8.7", ["zc"]), ("11.0.0.1", ["za", "zb", "zc"]), ("9.0.0.1", "za zb zc")],
)
async def test_listed_caller_belongs_to_its_sites_zone(harness, caller, zones):
    harness.offer(*BASE_STATES, *make_block_states())
    body = (await harness.fetch("/v1/steer/status", caller=caller))[1]
    assert body["origin_zone"] in zones
    held = harness.context.replica.get("blocks", "piece-0000")
    assert (held.version, held.body) == (1, b"")


async def test_incomplete_blocks_are_not_used(harness):
    """A new VM has only some of the blocks when the first lookups arrive.

    If it responded now, a listed caller would be sent to a zone chosen by a
    hash and a moment later to the zone of its site.
    """
    piece, marker = make_block_states()
    harness.offer(*BASE_STATES, piece)
    assert (await harness.fetch("/v1/steer/status"))[0].status == 503
    assert (await harness.fetch("/-/health"))[0].status == 503
    harness.offer(marker)
    assert (await harness.fetch("/v1/steer/status"))[0].status == 200
    assert (await harness.fetch("/-/health"))[0].status == 200


async def test_planned_stop_interrupts_no_lookup(harness):
    """The process is stopped while callers send lookups continuously.

    Each lookup must get a response with another VM until the port is closed.
    A caller whose lookup is interrupted would wait for its own timeout.
    """
    harness.offer(*BASE_STATES)
    stopping = asyncio.ensure_future(harness.kernel.stop())
    await asyncio.sleep(0)
    responses = []
    with pytest.raises(aiohttp.ClientConnectorError):
        while True:
            response, body = await harness.fetch("/v1/steer/status")
            responses.append((response.status, body["choices"][0]["vm"]))
    assert set(responses) == {(200, "a2")}
    await stopping
