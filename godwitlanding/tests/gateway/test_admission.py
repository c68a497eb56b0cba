"""Tests of the deadlines that callers state."""

from types import SimpleNamespace

import pytest

from godwitlanding.gateway.admission import Admission
from godwitlanding.gateway.exchange import Exchange
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
