"""A model of VMs that keep a workspace's allotment, on a clock of its own.

Callers ask the VMs that carry at random; VMs tell each other what they would
by datagrams, late, with losses, and not across a cut. What was sent is held
against the limit in every window, and what was refused against one exact
bucket that sees every request.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from godwitlanding.decisions.reachability import Reachability
from godwitlanding.decisions.routes import Workspace
from godwitlanding.tests.load.allotment_strategies import TOLERANCE, Place

REGIONS = ("a", "b", "c")
TELL_S = 0.08
DIGEST_S = 1.0
UPDATE_S = 0.5
NEAR_S = 0.005
# A digest comes by a representative and by who passes it on.
FAR_S = 0.6
LENGTH_S = 30.0


class Scenario(NamedTuple):
    """What happens in a day; times in seconds.

    ``times`` are how many times its usual the workspace sends from
    ``hot_at`` for ``hot_s``; ``weights`` the parts of the regions' callers,
    and ``later`` those from ``moved_at``. Each of ``killed`` VMs' share ends
    at ``kill_at`` and is back after ``down_s``. Between ``cut_at`` and
    ``healed_at`` the ``cut`` share of each region's VMs hears the rest no
    more. The limit is multiplied by ``limit_times`` at ``limit_at``.
    """

    vms: int = 12
    times: float = 1.0
    hot_at: float = 10.0
    hot_s: float = 10.0
    weights: tuple = (1, 1, 1)
    later: tuple = ()
    moved_at: float = 12.0
    killed: float = 0.0
    kill_at: float = 12.0
    down_s: float = 2.0
    cut: float = 0.0
    cut_at: float = 9.0
    healed_at: float = 18.0
    limit_times: float = 1.0
    limit_at: float = 10.0
    loss: float = 0.02


class Result(NamedTuple):
    """What came of a day.

    ``over`` are the requests beyond the limit in the worst window, and
    ``over_share`` those as a part of what is tolerated; ``wrongly_refused``
    is a share of what one exact bucket grants.
    """

    over: float
    over_share: float
    wrongly_refused: float
    granted: int
    told_rows: int


class _Vm:
    def __init__(self, name, region, group, make):
        self.name = name
        self.region = region
        self.group = group
        self.make = make
        self.incarnation = 0
        self.up = True
        self.way = make(0.0)
        self.quorum = Reachability()

    def restart(self, now):
        self.incarnation += 1
        self.quorum = Reachability()
        self.up = True
        self.way = self.make(now)


class World:
    """One workspace, its callers and the VMs; ``play`` runs a day."""

    def __init__(self, scenario, way, usual_per_s, seed):
        self._scenario = scenario
        self._random = random.Random(seed)
        self._usual_per_s = usual_per_s
        limit = 1.6 * usual_per_s
        self._workspace = Workspace("w", limit, limit)
        self._order = itertools.count()
        self._due = []
        self._vms = self._make_vms(way)
        self._exact_level = limit
        self._exact_at = 0.0
        self._exact_granted = 0
        self._sent_at = []
        self._limits = [(0.0, self._workspace)]
        self._told_rows = 0

    def _make_vms(self, way):
        scenario = self._scenario
        names = [(f"vm-{n}", REGIONS[n % 3]) for n in range(scenario.vms)]
        region_by_vm = dict(names)
        vms = []
        for number, (name, region) in enumerate(names):
            place = Place(name, region, region_by_vm)
            cut = (number // 3 + 0.5) / (scenario.vms / 3) < scenario.cut

            def make(now, place=place):
                return way(place, self._workspace, now)

            vms.append(_Vm(name, region, cut, make))
        return vms

    def play(self):
        """Return the ``Result`` of a day."""
        self._plan()
        while self._due:
            now, _, act, arguments = heapq.heappop(self._due)
            if now > LENGTH_S:
                break
            act(now, *arguments)
        return self._judge()

    def _plan(self):
        scenario = self._scenario
        for vm in self._vms:
            self._at(self._random.uniform(0, TELL_S), self._tell, vm)
            self._at(self._random.uniform(0, UPDATE_S), self._update, vm)
        for region in REGIONS:
            self._at(self._random.uniform(0, DIGEST_S), self._tell_region, region)
        self._at(1.0, self._arrive)
        if scenario.killed:
            self._at(scenario.kill_at, self._kill)
        if scenario.limit_times != 1.0:
            self._at(scenario.limit_at, self._change_limit)

    def _at(self, when, act, *arguments):
        heapq.heappush(self._due, (when, next(self._order), act, arguments))

    def _arrive(self, now):
        scenario = self._scenario
        rate = self._usual_per_s
        if scenario.hot_at <= now < scenario.hot_at + scenario.hot_s:
            rate *= scenario.times
        self._at(now + self._random.expovariate(rate), self._arrive)
        weights = scenario.weights
        if scenario.later and now >= scenario.moved_at:
            weights = scenario.later
        region = self._random.choices(REGIONS, weights)[0]
        near = [vm for vm in self._vms if vm.up and vm.region == region]
        if not near:
            near = [vm for vm in self._vms if vm.up]
        if not near:
            return
        exact = self._take_exactly(now)
        if self._random.choice(near).way.take(now):
            self._sent_at.append(now)
        self._exact_granted += exact

    def _take_exactly(self, now):
        limit = self._workspace
        self._exact_level += limit.rate_per_s * (now - self._exact_at)
        self._exact_level = min(limit.burst, self._exact_level)
        self._exact_at = now
        if self._exact_level < 1.0:
            return False
        self._exact_level -= 1.0
        return True

    def _reaches(self, now, sender, receiver):
        scenario = self._scenario
        if not sender.up or not receiver.up:
            return False
        if scenario.cut_at <= now < scenario.healed_at and scenario.cut:
            if sender.group != receiver.group:
                return False
        return self._random.random() >= scenario.loss

    def _tell(self, now, vm):
        self._at(now + TELL_S, self._tell, vm)
        if not vm.up:
            return
        told = vm.way.tell(now)
        self._told_rows += len(told) if isinstance(told, tuple) else 1
        for other in self._vms:
            if other.region != vm.region or other is vm:
                continue
            if self._reaches(now, vm, other):
                self._at(now + NEAR_S, self._hear, other, vm, vm.incarnation, told)

    def _hear(self, now, vm, sender, incarnation, told):
        if vm.up:
            vm.quorum.note(sender.name, True, sender.quorum.count_heard(now), now)
            vm.way.receive(sender.name, incarnation, told, now)

    def _tell_region(self, now, region):
        self._at(now + DIGEST_S, self._tell_region, region)
        tellers = [vm for vm in self._vms if vm.up and vm.region == region]
        for group in {vm.group for vm in tellers}:
            teller = next(vm for vm in tellers if vm.group == group)
            told = teller.way.digest()
            for vm in self._vms:
                if vm.region != region and self._reaches(now, teller, vm):
                    self._at(now + FAR_S, self._hear_region, vm, region, told)

    def _hear_region(self, now, vm, region, told):
        if vm.up and told:
            vm.way.receive_region_demand(region, told, now)

    def _update(self, now, vm):
        self._at(now + UPDATE_S, self._update, vm)
        if vm.up:
            others = {v.name for v in self._vms if v.region == vm.region} - {vm.name}
            vm.way.update(vm.quorum.get_share(others, True, now), now)

    def _kill(self, now):
        scenario = self._scenario
        count = round(scenario.killed * len(self._vms))
        for vm in self._random.sample(self._vms, count):
            vm.up = False
            back = now + scenario.down_s + self._random.uniform(0, 0.3)
            self._at(back, self._restart, vm)

    def _restart(self, now, vm):
        vm.restart(now)

    def _change_limit(self, now):
        limit = self._workspace.rate_per_s * self._scenario.limit_times
        self._workspace = Workspace("w", limit, limit)
        self._limits.append((now, self._workspace))
        self._exact_level = min(self._exact_level, limit)
        for vm in self._vms:
            vm.way.set_workspace(self._workspace, now)

    def _judge(self):
        over = 0.0
        over_share = 0.0
        window_s = TOLERANCE.window_s
        first = 0
        for index, at in enumerate(self._sent_at):
            while self._sent_at[first] < at - window_s:
                first += 1
            # A lower limit binds from a window after it was set, a higher
            # one at once.
            bound = [row for since, row in self._limits if since + window_s <= at]
            newer = [row for since, row in self._limits if at - window_s < since <= at]
            limits = [*(bound or self._limits[0][1:])[-1:], *newer]
            limit = max(limits, key=lambda row: row.rate_per_s)
            allowed = limit.rate_per_s * window_s + limit.burst
            tolerated = TOLERANCE.over_share * allowed + TOLERANCE.over_requests
            beyond = index - first + 1 - allowed
            over = max(over, beyond)
            over_share = max(over_share, beyond / tolerated)
        granted = len(self._sent_at)
        missing = max(0, self._exact_granted - granted)
        refused = missing / max(1, self._exact_granted)
        return Result(over, over_share, refused, granted, self._told_rows)


SCENARIO_BY_NAME = {
    "usual": Scenario(),
    "all callers in one region": Scenario(weights=(1, 0, 0)),
    "7.5 times as many": Scenario(times=7.5),
    "7.5 times, in one region": Scenario(times=7.5, weights=(1, 0, 0)),
    "a region's callers move": Scenario(weights=(2, 1, 1), later=(0.4, 2.6, 1)),
    "half of the VMs killed": Scenario(killed=0.55),
    "half killed while 7.5 times": Scenario(killed=0.55, times=7.5),
    "all killed while 7.5 times": Scenario(killed=1.0, times=7.5),
    "a third cut off": Scenario(cut=0.34),
    "a third cut off, 7.5 times": Scenario(cut=0.34, times=7.5, hot_at=10.0),
    "limit far lower": Scenario(limit_times=0.2),
    "limit raised": Scenario(times=7.5, limit_times=3.0, limit_at=15.0),
}
