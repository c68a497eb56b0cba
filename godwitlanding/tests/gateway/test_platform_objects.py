"""Tests of reading entries from the store, valid and invalid ones."""

import orjson
import pytest

from godwitlanding.base.codes import Code
from godwitlanding.base.metrics import Counters
from godwitlanding.decisions.routes import Limits, Workspace, find_route
from godwitlanding.platform.objects import (
    read_config,
    read_config_in_steps,
    read_upstream,
    read_vm,
)
from godwitlanding.platform.store import ObjectStore
from godwitlanding.tests.gateway.world import make_config
from godwitlanding.tests.standins.standin_store import StandinStore
from godwitlanding.tests.tools.network import claim_address_prefix

ENTRY = {
    "service": "s",
    "address": "127.0.0.1:9000",
    "zone": "a1",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining": "1500ms",
    "seq": 0,
    "born": 1_790_000_000_123,
}
MISSING = object()
# Invalid values for each field of an entry.
INVALID_VALUES_BY_FIELD = {
    "service": (MISSING, None, 7, ["s"]),
    "address": (MISSING, None, "", "127.0.0.1", "host:9000", "127.0.0.1:0", 9000),
    "zone": (MISSING, None, 1, {}),
    "version": (MISSING, None, 1),
    "slots": (MISSING, None, "3", 3.5, 0, -1, True),
    "state": (MISSING, None, "resting", 1, ["ready"]),
    "cold_remaining": (MISSING, None, 0, "soon", "nans", "infs", "-1s"),
    "seq": (MISSING, None, "4", 1.5),
    "born": (None, "1790000000123", 1.5, True),
}
CASES = [
    pytest.param(field, value, id=f"{field}-{number}")
    for field, values in INVALID_VALUES_BY_FIELD.items()
    for number, value in enumerate(values)
]
UNREADABLE = (ValueError, LookupError, TypeError, AttributeError)


def test_entry_of_an_upstream_is_read():
    upstream = read_upstream("u", ENTRY)
    assert upstream.address == ("127.0.0.1", 9000)
    assert upstream.cold_s == 1.5
    assert not upstream.leaving
    assert upstream.born_ms == ENTRY["born"]


def test_entry_without_start_time_is_read():
    entry = {name: value for name, value in ENTRY.items() if name != "born"}
    assert read_upstream("u", entry).born_ms == 0


@pytest.mark.parametrize(("field", "value"), CASES)
def test_invalid_entry_is_rejected(field, value):
    # Another program writes to the same store. Read as an upstream, its entry
    # would send callers' requests to an address where no upstream responds.
    entry = dict(ENTRY)
    if value is MISSING:
        del entry[field]
    else:
        entry[field] = value
    with pytest.raises(UNREADABLE):
        read_upstream("u", entry)


@pytest.mark.parametrize("spec", [None, [], "text", 7, {}], ids=repr)
def test_object_of_another_type_is_rejected(spec):
    with pytest.raises(UNREADABLE):
        read_upstream("u", spec)
    with pytest.raises(UNREADABLE):
        read_vm(spec)


OFFICE_ROW = ["office", ["k1", "k2"], 0, 184, 90.5, ["a"]]
PLAIN_ROW = ["plain", ["k3"], None, None, None, None]


def test_workspaces_are_read():
    config = read_config(make_config(workspaces=[OFFICE_ROW, PLAIN_ROW]))
    office = Workspace("office", 184.0, 90.5, 0, frozenset({"a"}))
    assert config.workspace_by_key == {
        b"k1": office,
        b"k2": office,
        # A missing value sets no limit, priority or region.
        b"k3": Workspace("plain", 0.0, 0.0, None, frozenset()),
    }


@pytest.mark.parametrize(
    ("workspaces", "keys"),
    [
        pytest.param(None, None, id="no keys required"),
        pytest.param([], {}, id="no keys defined"),
        pytest.param([["office", [], 0, 1, 1, []]], {}, id="all keys revoked"),
    ],
)
def test_configuration_without_keys(workspaces, keys):
    assert read_config(make_config(workspaces=workspaces)).workspace_by_key == keys


@pytest.mark.parametrize(
    "rows",
    [
        pytest.param([[None, ["k"], 0, 1, 1, []]], id="no name"),
        pytest.param([["", ["k"], 0, 1, 1, []]], id="empty name"),
        pytest.param([["a\r\nx: y", ["k"], 0, 1, 1, []]], id="line break in the name"),
        pytest.param([["w", ["k"], 0, -1, 1, []]], id="negative rate"),
        pytest.param([["w", ["k"], 0, "many", 1, []]], id="rate is no number"),
        pytest.param([["w", [7], 0, 1, 1, []]], id="key is no string"),
        pytest.param([["w", [""], 0, 1, 1, []]], id="empty key"),
        pytest.param([["w", ["k"], 0, 1, 1]], id="short row"),
        pytest.param([OFFICE_ROW, OFFICE_ROW], id="duplicate name"),
        pytest.param([OFFICE_ROW, ["w", ["k1"], 0, 1, 1, []]], id="shared key"),
    ],
)
def test_invalid_workspace_error_contains_no_key(rows):
    # An operator's mistake must not grant access, nor put a key into the
    # error.
    with pytest.raises(UNREADABLE) as raised:
        read_config(make_config(workspaces=rows))
    assert "k1" not in str(raised.value)


def make_split_config(*weights):
    names = ("looks", "pays")
    split = [{"service": s, "weight": w} for s, w in zip(names, weights)]
    row = ["split", "h", "/split/", "safe", "2s", "400ms", 2, split]
    return make_config(extra=[row])


def test_split_with_an_unused_part_is_read():
    config = read_config(make_split_config(0, 3))
    weights = [part.weight for part in config.route_by_prefix["h", "/split/"].parts]
    assert weights == [0.0, 3.0]


@pytest.mark.parametrize(
    "weights", [(0, 0), (-1, 2), ("nan", 1), ("inf", 1), (None, 1)]
)
def test_split_without_usable_weights_is_not_served(weights):
    # Guards against a route on which every request ends with status 500,
    # because the weights are divided by their sum.
    config = read_config(make_split_config(*weights))
    assert config.route_by_prefix["h", "/split/"].parts == ()
    assert [(p.table, p.row) for p in config.problems] == [("routes", "split")]


def make_route_row(**changes):
    """Return a valid route row with some fields changed."""
    row = {
        "name": "new",
        "host": "h",
        "path_prefix": "/look/new/",
        "kind": "safe",
        "timeout": "2s",
        "target_latency": "400ms",
        "priority": 2,
        "traffic_split": None,
        "max_attempts": 2,
        "sticky": True,
        "allowed_regions": [],
        "service": "looks",
    }
    row.update(changes)
    return list(row.values())


@pytest.mark.parametrize(
    ("kind", "is_idempotent", "problems"),
    [
        ("safe", True, 0),
        ("download", True, 0),
        ("unsafe", False, 0),
        ("upload", False, 0),
        ("stream", False, 1),
    ],
)
def test_unknown_kind_of_route_is_served_at_most_once(kind, is_idempotent, problems):
    # Guards against one unknown word that makes the configuration unreadable,
    # so that no VM serves anything, and against repeating such requests.
    config = read_config(make_config(extra=[make_route_row(kind=kind)]))
    route = config.route_by_prefix["h", "/look/new/"]
    assert route.parts
    assert route.kind.is_idempotent is is_idempotent
    assert len(config.problems) == problems


@pytest.mark.parametrize(
    "changes",
    [
        {"kind": None},
        {"kind": 7},
        {"timeout": "2m"},
        {"timeout": 2},
        {"target_latency": None},
        {"priority": "high"},
        {"max_attempts": "many"},
        {"allowed_regions": 7},
        {"service": "unknown"},
        {"service": None},
        {"traffic_split": [{"name": "looks"}]},
        {"traffic_split": [{"service": "unknown", "weight": 1}]},
    ],
    ids=str,
)
def test_unreadable_route_is_refused_and_the_others_are_served(changes):
    # Guards against one unreadable row that makes the whole configuration
    # unreadable, and against serving its requests by a shorter prefix, whose
    # service may not run them.
    config = read_config(make_config(extra=[make_route_row(**changes)]))
    assert find_route(config, "h", "/look/new/x").parts == ()
    assert find_route(config, "h", "/look/x").parts
    assert [(p.table, p.row) for p in config.problems] == [("routes", "new")]


@pytest.mark.parametrize(
    "changes", [{"host": None}, {"host": 7}, {"path_prefix": None}, {"path_prefix": 7}]
)
def test_route_without_a_readable_prefix_makes_the_version_invalid(changes):
    # Guards against serving requests by a shorter prefix when it is unknown
    # which of them the row is about.
    with pytest.raises(UNREADABLE):
        read_config(make_config(extra=[make_route_row(**changes)]))


def test_unknown_field_is_ignored():
    spec = make_config()
    for table in (spec["routes"], spec["services"]):
        table["columns"] = [*table["columns"], "added"]
        table["rows"] = [[*row, {"any": 1}] for row in table["rows"]]
    spec["added"] = {"any": 1}
    assert read_config(spec) == read_config(make_config())


def test_routes_of_an_unreadable_service_are_not_served():
    spec = make_config()
    # The warm-up time of "pays", in a unit that this version does not know.
    spec["services"]["rows"][1][5] = "1m"
    config = read_config(spec)
    assert config.route_by_prefix["h", "/pay/"].parts == ()
    assert config.route_by_prefix["h", "/look/"].parts
    assert [(p.table, p.row) for p in config.problems] == [
        ("services", "pays"),
        ("routes", "pay"),
    ]


def test_unreadable_limit_has_its_default():
    spec = make_config()
    spec["limits"] = {**spec["limits"], "idle_timeout": "1m", "max_body_bytes": "9"}
    config = read_config(spec)
    assert config.limits.idle_timeout_s == Limits().idle_timeout_s
    assert config.limits.max_body_bytes == 9
    assert [(p.table, p.row) for p in config.problems] == [("limits", "idle_timeout")]


def test_vm_with_a_host_name_is_rejected():
    # Sending a datagram to a host name would block the event loop on the
    # resolver.
    with pytest.raises(ValueError):
        read_vm({"host": "example.org", "zone": "a1"})


# Items of a list that cannot be read, as the store sends them.
UNREADABLE_ITEMS = [
    pytest.param(
        b'{"metadata":{"name":"x","rev":9},"spec":"\xff\xfe"}', id="invalid UTF-8"
    ),
    pytest.param(
        b'{"metadata":{"name":"x","rev":9},"spec":"\\ud800"}', id="lone surrogate"
    ),
    pytest.param(
        b'{"metadata":{"name":"x","rev":9},"spec":1e999}', id="infinite number"
    ),
    pytest.param(
        b'{"metadata":{"name":"x","rev":9},"spec":%d}' % 10**30,
        id="integer out of range",
    ),
    pytest.param(b'{"metadata":{"name":"x","rev":9}}', id="without spec"),
    pytest.param(b'{"metadata":{"rev":9},"spec":{}}', id="without name"),
    pytest.param(b'{"metadata":7,"spec":{}}', id="metadata is no object"),
    pytest.param(b"7", id="item is no object"),
]
VALID_ITEM = b'{"metadata":{"name":"u","rev":8},"spec":{"x":1}}'


@pytest.fixture
async def standin():
    standin = await StandinStore(f"{claim_address_prefix()}2", 8541).start()
    yield standin
    standin.crash()


@pytest.mark.parametrize("item", UNREADABLE_ITEMS)
@pytest.mark.parametrize("call", ["snapshot", "watch"])
async def test_unreadable_object_does_not_hide_others(standin, item, call):
    # Another program leaves an unreadable object in the store. If the whole
    # list were rejected, every VM would keep its previous upstreams, and a
    # draining one would still get requests.
    standin.raw_items = [VALID_ITEM, item]
    store = ObjectStore(standin.address, Counters())
    try:
        if call == "snapshot":
            objects = (await store.snapshot("things")).unwrap().objects
        else:
            batch = (await store.watch("things", 1, 0.2)).unwrap()
            objects = [event.stored for event in batch.events]
    finally:
        await store.close()
    assert [o.value for o in objects if o.name == "u"] == [orjson.dumps({"x": 1})]
    assert {o.name for o in objects} <= {"u", "x"}


async def test_invalid_list_is_an_error(standin):
    standin.raw_body = b'{"items":'
    store = ObjectStore(standin.address, Counters())
    try:
        error = (await store.snapshot("things")).unwrap_err()
    finally:
        await store.close()
    assert error.code is Code.PLATFORM_UNAVAILABLE


def test_large_configuration_is_read_in_short_steps():
    # Guards against a VM that its followers take for silent, and that answers
    # no caller, while it reads a configuration of 1 MB.
    rows = [make_route_row(name=f"r{n}", path_prefix=f"/p{n}/") for n in range(5000)]
    spec = make_config(extra=rows)
    steps = read_config_in_steps(spec)
    count = 0
    while True:
        try:
            next(steps)
        except StopIteration as end:
            assert end.value == read_config(spec)
            break
        count += 1
    assert count == 5000 // 100
