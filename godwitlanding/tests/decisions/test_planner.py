"""Tests that the planner moves callers by capped steps into free headroom."""

import json

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from godwitlanding.base.config import parse_config
from godwitlanding.decisions.demand import Demand
from godwitlanding.decisions.plan import format_plan, parse_plan
from godwitlanding.decisions.planner import Planner

MAX_AGE_S = 5.0
STEP_S = 10.0
CAP = 0.2
ZONES = ("a", "b", "c")


def make_config(shift="", drains="", zones=ZONES, slots=10, depends_on="[]"):
    upstreams = ",".join(
        f'{{id:"s-{z}",address:"127.0.2.{n}:1",availability_zone:"{z}",slots:{slots}}}'
        for n, z in enumerate(zones)
    )
    text = f"""{{format:1,name:"t",regions:[
      {{name:"n",availability_zones:["a","b"],load_limit:0.8}},
      {{name:"s",availability_zones:["c"],load_limit:0.8}}],
      services:[{{name:"status",kind:"lookup",deadline_s:2,depends_on:{depends_on},
                 upstreams:[{upstreams}]}},
        {{name:"store",kind:"lookup",deadline_s:2,upstreams:[]}}],
      shifts:[{shift}],drains:[{drains}]}}"""
    return parse_config(text).unwrap()


def make_shift(share=0.6, **more):
    extra = "".join(f",{key}:{json.dumps(value)}" for key, value in more.items())
    return (
        f'{{name:"move",service:"status",from:"a",to:"c",share:{share},'
        f"cap_share:{CAP},step_s:{STEP_S}{extra}}}"
    )


class PlannerHarness:
    """Simulates a planner, the platform's plan and three reporting zones."""

    def __init__(self, config):
        self.config = config
        self.now = 0.0
        self.version = 0
        self.plan = None
        self.sequence = 0
        self.demand_by_zone = dict.fromkeys(ZONES, 2.0)
        self.store_row = {}
        self.silent_zones = set()
        self.behind = set()
        self.warm = 1.0
        self.plan_version_by_zone = dict.fromkeys(ZONES, 0)
        self.moves = []
        self.overgranted = []
        self.platform_down = False
        self.answers_lost = False
        self.reported_by_zone = {}
        self.start_planner()

    def start_planner(self):
        """Start a planner without state."""
        self.demand = Demand(8.0)
        self.planner = Planner(self.demand, MAX_AGE_S, self.now)
        if self.plan:
            self.planner.take_plan(self.plan, self.version, self.now)

    def report(self):
        for zone in ZONES:
            if zone in self.silent_zones:
                continue
            if zone not in self.behind:
                self.plan_version_by_zone[zone] = self.version
            self.sequence += 1
            self.reported_by_zone[zone] = self.demand_by_zone[zone]
            row = {
                "slots": 10,
                "usable_slots": 10,
                "busy": self.demand_by_zone[zone],
                "queued": 0,
                "warm_share": self.warm,
            }
            body = {
                "sequence": self.sequence,
                "plan_version": self.plan_version_by_zone[zone],
                "services": {"status": row, "store": {**row, **self.store_row}},
            }
            self.demand.add_summary(
                zone, self.sequence, json.dumps(body), {"status": 0.05}, self.now
            )

    def get_moved(self):
        return self.plan.get_weights("status", "a").get("c", 0.0) if self.plan else 0

    def run(self, duration_s):
        end = self.now + duration_s
        while self.now < end:
            self.now += 1.0
            if not self.platform_down:
                self.report()
            plan = self.planner.make_plan(self.config, self.now)
            is_current = self.planner.version == self.version
            if plan and is_current and not self.platform_down:
                before = self.get_moved()
                self.version += 1
                self.plan = parse_plan(format_plan(plan))
                if not self.answers_lost:
                    self.planner.take_plan(self.plan, self.version, self.now)
                self.check_allowances()
                if abs(self.get_moved() - before) > 1e-9:
                    self.moves.append((self.now, self.get_moved() - before))

    def check_allowances(self):
        """Record targets that were granted more than their headroom."""
        granted = self.plan.allowance_by_zones_by_service["status"]
        for zone in ZONES:
            into = sum(n for pair, n in granted.items() if pair.endswith(f">{zone}"))
            if into > max(0.0, 8.0 - self.reported_by_zone.get(zone, 0.0)):
                self.overgranted.append((self.now, zone, into))

    def get_max_moved(self, window_s):
        """Return the largest share moved within any window.

        Includes cached answers: a caller may act on a step up to
        ``MAX_AGE_S`` after it was made.
        """
        most = 0.0
        for at, _ in self.moves:
            inside = [
                abs(moved)
                for other, moved in self.moves
                if at <= other < at + MAX_AGE_S + window_s
            ]
            most = max(most, sum(inside))
        return most


def test_shift_completes_in_capped_steps():
    harness = PlannerHarness(make_config(make_shift()))
    harness.run(100)
    assert harness.get_moved() == pytest.approx(0.6)
    assert [round(moved, 6) for _, moved in harness.moves] == [CAP, CAP, CAP]
    waits = [b[0] - a[0] for a, b in zip(harness.moves, harness.moves[1:])]
    assert min(waits) >= STEP_S + MAX_AGE_S


@pytest.mark.parametrize("restart_s", [0.5, 4, 9, 14])
def test_restarted_planner_waits_in_full(restart_s):
    """The planner crashes right after a step and another one takes over.

    If it did not wait from when it first saw the plan it would step at once,
    and callers of both steps would arrive within one step time.
    """
    harness = PlannerHarness(make_config(make_shift()))
    while not harness.moves:
        harness.run(1)
    stepped_at = harness.now
    for _ in range(3):
        harness.run(restart_s)
        harness.start_planner()
    harness.run(60)
    assert harness.moves[1][0] - stepped_at >= STEP_S + MAX_AGE_S
    assert harness.get_max_moved(STEP_S) <= CAP + 1e-9


def stop_summaries(harness):
    harness.silent_zones = {"b"}


def keep_old_plan(harness):
    harness.behind = {"b"}


def cool_caches(harness):
    harness.warm = 0.5


def fill_target(harness):
    harness.demand_by_zone["c"] = 8.0


def pause_shift(harness):
    harness.config = make_config(make_shift(paused=True))


@pytest.mark.parametrize(
    ("fault", "after_s"),
    [
        (stop_summaries, 6),
        (keep_old_plan, 0),
        (cool_caches, 6),
        (fill_target, 6),
        (pause_shift, 6),
    ],
)
def test_shift_stops_on_fault(fault, after_s):
    """Summaries stop, a zone keeps an old plan, or caches are cold.

    Further steps would send callers to a zone of unknown state.
    """
    harness = PlannerHarness(make_config(make_shift()))
    while not harness.moves:
        harness.run(1)
    harness.run(after_s)
    fault(harness)
    before = len(harness.moves)
    harness.run(60)
    assert len(harness.moves) == before
    assert harness.planner.get_status(harness.now)["why"].startswith("status from a")


@pytest.mark.parametrize("outage_s", [1, 5, 20, 90])
@pytest.mark.parametrize("answers_lost", [False, True])
def test_outage_in_the_middle_of_a_shift(outage_s, answers_lost):
    """The platform fails during a shift, or stores a step but does not answer.

    Afterwards the shift continues as if the step had just been made; it does
    not catch up for the lost time.
    """
    harness = PlannerHarness(make_config(make_shift()))
    while not harness.moves:
        harness.run(1)
    harness.run(10)
    harness.answers_lost = answers_lost
    harness.run(8)
    harness.platform_down = True
    harness.run(outage_s)
    harness.platform_down = harness.answers_lost = False
    harness.planner.take_plan(harness.plan, harness.version, harness.now)
    harness.run(100)
    assert harness.get_moved() == pytest.approx(0.6)
    assert harness.get_max_moved(STEP_S) <= CAP + 1e-9


@pytest.mark.parametrize("config", [make_config(), make_config(make_shift(0.0))])
def test_removed_shift_is_reverted_in_capped_steps(config):
    """The operators remove a completed shift from the configuration."""
    harness = PlannerHarness(make_config(make_shift()))
    harness.run(100)
    harness.moves.clear()
    harness.config = config
    harness.run(100)
    assert harness.get_moved() == 0
    assert harness.get_max_moved(STEP_S) <= CAP + 1e-9


def test_step_is_no_larger_than_the_headroom():
    """The target's region has little headroom left."""
    harness = PlannerHarness(make_config(make_shift(1.0)))
    harness.demand_by_zone = {"a": 8.0, "b": 2.0, "c": 7.2}
    harness.run(200)
    granted = sum(
        amount
        for pair, amount in harness.plan.allowance_by_zones_by_service["status"].items()
        if pair.endswith(">c")
    )
    # The harness does not move demand with the callers, so each step sees 0.8
    # free slots.
    assert all(moved * 8.0 <= 0.8 + 1e-6 for _, moved in harness.moves)
    assert granted <= 0.8


@pytest.mark.parametrize(("busy", "moves"), [(2, True), (8, False)])
def test_shift_needs_headroom_in_dependencies(busy, moves):
    """Callers move to a zone where a dependency of the service is full."""
    harness = PlannerHarness(make_config(make_shift(), depends_on='["store"]'))
    harness.store_row = {"busy": busy}
    harness.run(40)
    assert bool(harness.moves) is moves


def test_drained_zone_is_emptied_in_capped_steps():
    harness = PlannerHarness(make_config(drains='{what:"availability_zone",name:"a"}'))
    harness.run(5)
    assert harness.plan.get_weights("status", "a") == {"a": 1.0}
    harness.run(100)
    assert harness.plan.get_weights("status", "a") == {"b": 1.0}


def test_allowance_of_a_partitioned_zone_stays_reserved():
    """A zone with an allowance is partitioned, and the target fills up.

    If its part were granted to another zone, both could spill at once.
    """
    harness = PlannerHarness(make_config())
    harness.run(20)
    before = harness.plan.allowance_by_zones_by_service["status"]["a>c"]
    harness.silent_zones = {"a"}
    harness.demand_by_zone["c"] = 6.0
    harness.run(30)
    reserved = harness.plan.outstanding_by_zones_by_service["status"]
    assert reserved["a>c"] == before
    assert harness.plan.allowance_by_zones_by_service["status"].get("b>c", 0) == 0


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["run", "restart", "silent", "heard", "load", "share", "drain", "plain"]
        ),
        st.floats(0, 1),
    ),
    min_size=5,
    max_size=25,
)


@given(events=EVENTS)
@settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
def test_no_schedule_exceeds_cap_or_headroom(events):
    """Planners restart, summaries stop, operators change shifts."""
    harness = PlannerHarness(make_config(make_shift()))
    for event, size in events:
        if event == "restart":
            harness.start_planner()
        elif event == "silent":
            harness.silent_zones = {ZONES[int(size * 2.99)]}
        elif event == "heard":
            harness.silent_zones = set()
        elif event == "load":
            harness.demand_by_zone["c"] = round(size * 10, 1)
        elif event == "share":
            harness.config = make_config(make_shift(round(size, 2)))
        elif event == "plain":
            harness.config = make_config()
        harness.run(1 + 20 * size)
        assert harness.get_max_moved(STEP_S) <= CAP + 1e-6
        assert harness.overgranted == []
