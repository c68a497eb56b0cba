"""Tests of the deadlines that callers state."""

from types import SimpleNamespace

import pytest

from godwitlanding.gateway.admission import Admission
from godwitlanding.gateway.exchange import Exchange
from godwitlanding.gateway.front import Front
from godwitlanding.platform.headers import HEADER_NAMES
from godwitlanding.tests.gateway.test_chooser import make_route


@pytest.mark.parametrize(
    ("deadline", "wait_s"),
    [
        (b"1500", 1.5),
        (b"", 2.0),
        (b"-1", 2.0),
        (b"9" * 400, 2.0),
        (b"9" * 5000, 2.0),
    ],
)
async def test_deadline_that_is_no_time_is_taken_for_none(deadline, wait_s):
    # Guards against 502 for a request that was not sent, because its deadline
    # cannot be converted.
    admission = Admission(HEADER_NAMES, None, None, None)
    registry = SimpleNamespace(
        config=SimpleNamespace(workspace_by_key=None), on_config=[]
    )
    services = {"registry": registry, "peers": None}
    await admission.start(SimpleNamespace(get=services.__getitem__))
    exchange = Exchange(None, 10.0)
    exchange.headers.append((HEADER_NAMES.deadline_ms, deadline))
    route = make_route()._replace(timeout_s=2.0)
    request = admission._make_request(exchange, route, b"", None)
    assert request.deadline_at == 10.0 + wait_s


@pytest.mark.parametrize(
    ("deadline", "body_s"),
    [(b"1500", 1.5), (b"", 5.0), (b"99000", 5.0), (b"9" * 400, 5.0)],
)
def test_time_for_a_body_is_bounded_for_any_deadline(deadline, body_s):
    # Guards against an exception in the parser, which closes the connection.
    front = Front(("127.0.0.1", 0), 1.0, HEADER_NAMES)
    front._registry = SimpleNamespace(config=None)
    exchange = Exchange(None, 0.0)
    exchange.headers = [(HEADER_NAMES.deadline_ms, deadline)]
    assert front.get_body_s(exchange) == body_s
