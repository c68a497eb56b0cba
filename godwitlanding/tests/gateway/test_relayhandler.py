"""Tests of the results that a VM returns for relayed requests."""

from types import SimpleNamespace

import pytest

from godwitlanding.base.metrics import Counters
from godwitlanding.gateway.attempt import Outcome
from godwitlanding.gateway.chooser import Rejection
from godwitlanding.gateway.relayhandler import RelayHandler
from godwitlanding.platform.headers import HEADER_NAMES
from godwitlanding.tests.gateway.test_chooser import make_request

pytestmark = pytest.mark.looptime


class Reach:
    """A VM that finds out whether it is cut off when it has settled."""

    def __init__(self, is_cut_off):
        self._settled = False
        self._is_cut_off = is_cut_off

    async def settle(self):
        self._settled = True

    def is_cut_off(self):
        return self._settled and self._is_cut_off


@pytest.mark.parametrize(
    ("is_cut_off", "outcome"),
    [(True, Outcome.UNREACHED), (False, Outcome.REJECTED)],
)
async def test_request_relayed_to_a_vm_that_is_cut_off_goes_on(is_cut_off, outcome):
    # The rejection of a VM without any upstream in reach was final.
    handler = RelayHandler(
        HEADER_NAMES, SimpleNamespace(may_send=lambda *row: True), Counters()
    )
    chooser = SimpleNamespace(choose=lambda *row: Rejection("none usable", None, 0.1))
    service_by_name = {
        "admission": None,
        "chooser": chooser,
        "courier": None,
        "reach": Reach(is_cut_off),
    }
    await handler.start(SimpleNamespace(get=service_by_name.__getitem__))
    results = []
    handler._respond = lambda exchange, result: results.append(result)
    await handler._attempt(None, make_request(), SimpleNamespace(tried=()))
    assert [result.outcome for result in results] == [outcome]
