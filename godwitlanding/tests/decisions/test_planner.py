"""The planner moves callers by small steps into room that is there."""

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


class Rig:
    """A planner, the platform's plan and three zones that report."""

    def __init__(self, config):
        self.config = config
        self.now = 0.0
        self.version = 0
        self.plan = None
        self.sequence = 0
        self.demand_by_zone = dict.fromkeys(ZONES, 2.0)
        self.store_row = {}
        self.silent = set()
        self.behind = set()
        self.warm = 1.0
        self.held_by_zone = dict.fromkeys(ZONES, 0)
        self.moves = []
        self.overgranted = []
        self.platform_down = False
        self.answers_lost = False
        self.reported_by_zone = {}
        self.start_planner()

    def start_planner(self):
        """Start a planner that knows nothing."""
        self.demand = Demand(8.0)
        self.planner = Planner(self.demand, MAX_AGE_S, self.now)
        if self.plan:
            self.planner.take_plan(self.plan, self.version, self.now)

    def report(self):
        for zone in ZONES:
            if zone in self.silent:
                continue
            if zone not in self.behind:
                self.held_by_zone[zone] = self.version
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
                "plan_version": self.held_by_zone[zone],
                "services": {"status": row, "store": {**row, **self.store_row}},
            }
            self.demand.take(
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
        """Note a target that was granted more than its headroom."""
        granted = self.plan.allowance_by_zones_by_service["status"]
        for zone in ZONES:
            into = sum(n for pair, n in granted.items() if pair.endswith(f">{zone}"))
            if into > max(0.0, 8.0 - self.reported_by_zone.get(zone, 0.0)):
                self.overgranted.append((self.now, zone, into))

    def get_most_moved(self, window_s):
        """Return the most that moved within any window, late answers too.

        A caller may act on a step up to ``MAX_AGE_S`` after it was made.
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


def test_shift_arrives_by_capped_steps():
    rig = Rig(make_config(make_shift()))
    rig.run(100)
    assert rig.get_moved() == pytest.approx(0.6)
    assert [round(moved, 6) for _, moved in rig.moves] == [CAP, CAP, CAP]
    waits = [b[0] - a[0] for a, b in zip(rig.moves, rig.moves[1:])]
    assert min(waits) >= STEP_S + MAX_AGE_S


@pytest.mark.parametrize("restart_s", [0.5, 4, 9, 14])
def test_planner_that_starts_afresh_waits_in_full(restart_s):
    """The planner dies right after a step and another takes over.

    Counting from its own start it would step at once, and callers of both
    steps would arrive within one step time.
    """
    rig = Rig(make_config(make_shift()))
    while not rig.moves:
        rig.run(1)
    stepped_at = rig.now
    for _ in range(3):
        rig.run(restart_s)
        rig.start_planner()
    rig.run(60)
    assert rig.moves[1][0] - stepped_at >= STEP_S + MAX_AGE_S
    assert rig.get_most_moved(STEP_S) <= CAP + 1e-9


def go_silent(rig):
    rig.silent = {"b"}


def fall_behind(rig):
    rig.behind = {"b"}


def get_cold(rig):
    rig.warm = 0.5


def get_full(rig):
    rig.demand_by_zone["c"] = 8.0


def be_paused(rig):
    rig.config = make_config(make_shift(paused=True))


@pytest.mark.parametrize(
    ("fault", "after_s"),
    [(go_silent, 6), (fall_behind, 0), (get_cold, 6), (get_full, 6), (be_paused, 6)],
)
def test_shift_stops(fault, after_s):
    """Measurements stop, a zone is cut off with an old plan, caches are cold.

    Stepping on would send callers where nobody knows what they meet.
    """
    rig = Rig(make_config(make_shift()))
    while not rig.moves:
        rig.run(1)
    rig.run(after_s)
    fault(rig)
    before = len(rig.moves)
    rig.run(60)
    assert len(rig.moves) == before
    assert rig.planner.get_status(rig.now)["why"].startswith("status from a")


@pytest.mark.parametrize("outage_s", [1, 5, 20, 90])
@pytest.mark.parametrize("answers_lost", [False, True])
def test_outage_in_the_middle_of_a_shift(outage_s, answers_lost):
    """The platform goes away during a shift, or takes a step unanswered.

    The shift goes on afterwards as if the step had been made just then;
    it makes nothing up for the time lost.
    """
    rig = Rig(make_config(make_shift()))
    while not rig.moves:
        rig.run(1)
    rig.run(10)
    rig.answers_lost = answers_lost
    rig.run(8)
    rig.platform_down = True
    rig.run(outage_s)
    rig.platform_down = rig.answers_lost = False
    rig.planner.take_plan(rig.plan, rig.version, rig.now)
    rig.run(100)
    assert rig.get_moved() == pytest.approx(0.6)
    assert rig.get_most_moved(STEP_S) <= CAP + 1e-9


@pytest.mark.parametrize("config", [make_config(), make_config(make_shift(0.0))])
def test_way_back_is_capped_too(config):
    """The operators take a shift out of the text when it has arrived."""
    rig = Rig(make_config(make_shift()))
    rig.run(100)
    rig.moves.clear()
    rig.config = config
    rig.run(100)
    assert rig.get_moved() == 0
    assert rig.get_most_moved(STEP_S) <= CAP + 1e-9


def test_step_is_no_larger_than_the_room():
    """The target's region has little headroom left."""
    rig = Rig(make_config(make_shift(1.0)))
    rig.demand_by_zone = {"a": 8.0, "b": 2.0, "c": 7.2}
    rig.run(200)
    granted = sum(
        amount
        for pair, amount in rig.plan.allowance_by_zones_by_service["status"].items()
        if pair.endswith(">c")
    )
    # Nothing in the rig follows the callers, so each step sees 0.8 free.
    assert all(moved * 8.0 <= 0.8 + 1e-6 for _, moved in rig.moves)
    assert granted <= 0.8


@pytest.mark.parametrize(("busy", "moves"), [(2, True), (8, False)])
def test_shift_needs_room_in_what_the_service_calls(busy, moves):
    """Callers of a service move, and the service it calls there is full."""
    rig = Rig(make_config(make_shift(), depends_on='["store"]'))
    rig.store_row = {"busy": busy}
    rig.run(40)
    assert bool(rig.moves) is moves


def test_drained_zone_is_emptied_by_capped_steps():
    rig = Rig(make_config(drains='{what:"availability_zone",name:"a"}'))
    rig.run(5)
    assert rig.plan.get_weights("status", "a") == {"a": 1.0}
    rig.run(100)
    assert rig.plan.get_weights("status", "a") == {"b": 1.0}


def test_allowance_of_a_zone_that_is_cut_off_stays_reserved():
    """A zone is cut off with an allowance, and the target fills up.

    Granting its part to another zone would let both send at once.
    """
    rig = Rig(make_config())
    rig.run(20)
    before = rig.plan.allowance_by_zones_by_service["status"]["a>c"]
    rig.silent = {"a"}
    rig.demand_by_zone["c"] = 6.0
    rig.run(30)
    reserved = rig.plan.outstanding_by_zones_by_service["status"]
    assert reserved["a>c"] == before
    assert rig.plan.allowance_by_zones_by_service["status"].get("b>c", 0) == 0


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
def test_no_schedule_passes_cap_or_headroom(events):
    """Planners come and go, measurements stop, operators change their mind."""
    rig = Rig(make_config(make_shift()))
    for event, size in events:
        if event == "restart":
            rig.start_planner()
        elif event == "silent":
            rig.silent = {ZONES[int(size * 2.99)]}
        elif event == "heard":
            rig.silent = set()
        elif event == "load":
            rig.demand_by_zone["c"] = round(size * 10, 1)
        elif event == "share":
            rig.config = make_config(make_shift(round(size, 2)))
        elif event == "plain":
            rig.config = make_config()
        rig.run(1 + 20 * size)
        assert rig.get_most_moved(STEP_S) <= CAP + 1e-6
        assert rig.overgranted == []
