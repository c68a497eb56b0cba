"""Tests of what a VM learns from responses that report a pace."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from godwitlanding.decisions.pace import PaceRow
from godwitlanding.decisions.worktime import Warmth, WorkTimes
from godwitlanding.gateway.paces import REPORT_EXPIRY_S, Paces
from godwitlanding.gateway.registry import Registry, Upstream
from godwitlanding.tests.gateway.test_chooser import make_request

pytestmark = pytest.mark.looptime

USUAL_S = 0.15


class Setting:
    """One VM's estimates about two upstreams of a service."""

    def __init__(self):
        self.worktimes = WorkTimes()
        self.registry = Registry({"a1": "a"})
        for name in ("u0", "u1"):
            self.registry.put_upstream(
                Upstream(name, "s", ("127.0.0.1", 1), "a1", 3, False, 0.0)
            )
        self.number = self.registry.number_by_id["u0"]
        self.peers = SimpleNamespace()
        self.paces = Paces(self.registry, self.peers)
        for _ in range(50):
            self.respond(USUAL_S, None)

    async def gain_trust(self):
        for pace in (1.0, 1.0, 2.5, 1.0, 1.0, 2.5, 1.0) * 8:
            self.respond(pace * USUAL_S, pace, "u1")
            await asyncio.sleep(0.5)

    def respond(self, work_s, pace, name="u0"):
        upstream = self.registry.upstream_by_id[name]
        now = asyncio.get_running_loop().time()
        choice = SimpleNamespace(
            upstream=upstream,
            distance_s=0.01,
            finish_s=0.01 + USUAL_S,
            occupied=0.0,
            warmth=Warmth.WARM,
        )
        request = make_request()
        if pace is not None:
            self.paces.note_report(upstream, pace, now)
        measured = self.paces.note_response(request, choice, work_s, pace, now)
        if measured.work_s is not None:
            self.worktimes.note_response("s", name, measured.work_s, Warmth.WARM, False)
        return measured

    def get_margin(self):
        return self.paces.get_margin("s", asyncio.get_running_loop().time())

    def get_factor(self):
        now = asyncio.get_running_loop().time()
        return self.paces.get_factor("s", self.number, now)


async def test_learnt_factor_is_not_moved_by_slow_periods():
    # Guards against an upstream that counts as slow for seconds after a slow
    # period of half a second, so that requests avoid its cached objects.
    setting = Setting()
    await setting.gain_trust()
    for _ in range(10):
        for _ in range(4):
            setting.respond(2.5 * USUAL_S, 2.5)
            await asyncio.sleep(0.1)
        # This request ran in the slow period and ended after it.
        setting.respond(2.3 * USUAL_S, 1.0)
        for _ in range(16):
            await asyncio.sleep(0.2)
            setting.respond(USUAL_S, 1.0)
        assert 0.9 <= setting.worktimes.get_factor("u0") <= 1.1


async def test_slow_upstream_that_reports_the_usual_pace_counts_as_slow():
    # Guards against slowness that is never learnt where paces are reported.
    setting = Setting()
    for _ in range(20):
        setting.respond(5 * USUAL_S, 1.0)
        for _ in range(9):
            setting.respond(USUAL_S, 1.0, "u1")
        await asyncio.sleep(0.2)
    assert setting.worktimes.is_slow("u0")


async def test_single_long_requests_move_no_estimate():
    # Guards against an upstream that is avoided because of three long
    # requests in a hundred.
    setting = Setting()
    rng = random.Random(1)
    for _ in range(20):
        for _ in range(30):
            setting.respond(USUAL_S * rng.lognormvariate(0.0, 0.15), 1.0)
        assert not setting.respond(7 * USUAL_S, 1.0).is_short
        assert setting.worktimes.get_factor("u0") < 1.3
    assert setting.get_margin() < 1.4


async def test_service_without_reports_is_handled_as_before():
    # Guards against an effect on deployments without paces.
    setting = Setting()
    assert setting.respond(9 * USUAL_S, None) == (9 * USUAL_S, False)
    assert setting.get_margin() == 1.0
    setting.respond(USUAL_S, 2.5)
    assert setting.paces.is_active("s", asyncio.get_running_loop().time())
    await asyncio.sleep(REPORT_EXPIRY_S)
    assert not setting.paces.is_active("s", asyncio.get_running_loop().time())
    assert setting.get_factor() == 1.0


async def test_made_up_paces_are_neither_used_nor_sent():
    # Guards against false figures that change where requests go.
    setting = Setting()
    for _ in range(80):
        setting.respond(USUAL_S, 4.0)
        assert setting.worktimes.get_factor("u0") < 2.0
    assert setting.get_factor() == 1.0
    assert setting.peers.get_paces() == ()
    assert 0.9 <= setting.worktimes.get_factor("u0") <= 1.1


async def test_paces_of_other_vms_count_for_known_upstreams():
    # Guards against an unbounded table: numbers without an upstream are
    # dropped, as are those of removed upstreams.
    setting = Setting()
    await setting.gain_trust()
    setting.peers.on_paces((PaceRow(setting.number, 2.5, 0.0), PaceRow(5, 2.5, 0.0)))
    assert setting.get_factor() == 2.5
    now = asyncio.get_running_loop().time()
    assert setting.paces.get_factor("s", 5, now) == 1.0
    setting.paces.forget("u0")
    assert setting.get_factor() == 1.0


async def test_false_paces_of_one_service_do_not_displace_those_of_another():
    # Guards against made-up paces that fill all rows and are then left out.
    setting = Setting()
    await setting.gain_trust()
    setting.respond(2.5 * USUAL_S, 2.5)
    await asyncio.sleep(0.05)
    now = asyncio.get_running_loop().time()
    for number in range(5):
        upstream = Upstream(f"f{number}", "f", ("::1", 1), "a1", 3, False, 0.0)
        setting.registry.put_upstream(upstream)
        setting.paces.note_report(upstream, 4.0, now)
    assert setting.number in [row.upstream for row in setting.peers.get_paces()]


async def test_response_of_a_removed_upstream_leaves_no_state():
    # Guards against growth with each upstream that is removed while it works.
    setting = Setting()
    setting.respond(USUAL_S, 1.0, "u1")
    upstream = setting.registry.upstream_by_id["u0"]
    setting.registry.on_upstream_gone.append(setting.paces.forget)
    setting.registry.remove_upstream("u0")
    setting.registry.upstream_by_id["u0"] = upstream
    assert setting.respond(9 * USUAL_S, 1.0).work_s is None
    assert setting.paces._last_long == set()
